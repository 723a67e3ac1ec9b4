//! SVG chart of losses: seconds on the x axis, counts by cause stacked on the y axis.

use super::Losses;
use crate::failure::{Result, failed};
use plotters::prelude::*;
use std::path::Path;

/// Width and height in pixels.
const SIZE_PX: (u32, u32) = (1000, 480);
/// Size of the label area of each axis, in pixels.
const LABEL_AREA_PX: u32 = 48;

/// Draws the chart and writes it to `file` as SVG.
pub fn write(losses: &Losses, file: &Path) -> Result {
    let mut text = String::new();
    draw(losses, &mut text).map_err(|error| failed(eyre::eyre!("drawing the chart: {error}")))?;
    let written = std::fs::write(file, text);
    written.map_err(|error| failed(eyre::Report::new(error).wrap_err(file.display().to_string())))
}

/// Draws the chart into `text`.
fn draw(losses: &Losses, text: &mut String) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::with_string(text, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let end = losses
        .intervals
        .keys()
        .max()
        .map_or(1, |last| last + losses.interval_s);
    let sums = losses
        .intervals
        .values()
        .map(|counts| counts.values().sum::<u64>());
    let max_count = sums.max().unwrap_or_default().max(1);
    let mut chart = ChartBuilder::on(&root)
        .margin(10)
        .x_label_area_size(LABEL_AREA_PX)
        .y_label_area_size(LABEL_AREA_PX)
        .build_cartesian_2d(0..end, 0..max_count)?;
    let mut mesh = chart.configure_mesh();
    mesh.disable_x_mesh();
    mesh.x_desc("second in which requests came")
        .y_desc("requests late or lost")
        .draw()?;
    for (number, &cause) in losses.causes.keys().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let bars = losses.intervals.iter().filter_map(|(&from, counts)| {
            let count = *counts.get(&cause)?;
            let below: u64 = counts.range(..cause).map(|(_, n)| n).sum();
            let corners = [(from, below), (from + losses.interval_s, below + count)];
            Some(Rectangle::new(corners, color.filled()))
        });
        let series = chart.draw_series(bars)?.label(cause.to_string());
        series.legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], color.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
