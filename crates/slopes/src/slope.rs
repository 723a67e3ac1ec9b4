//! A quantity measured at several sizes, and the line fitted through the points.

use std::fmt;

/// Measurements of one quantity at several sizes.
#[derive(Clone, Debug)]
pub struct Slope {
    name: &'static str,
    unit: &'static str,
    size_unit: &'static str,
    design_size: f64,
    points: Vec<(f64, f64)>,
}

/// The line `a + b * x`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Value at size zero (intercept).
    pub a: f64,
    /// Increase for each unit of size.
    pub b: f64,
    /// Root mean square of the points' vertical distances from the line.
    pub residual: f64,
}

impl Slope {
    /// Creates an empty series of the quantity `name`, measured in `unit`, over sizes counted in
    /// `size_unit`; [`Self::projection`] evaluates the line at `design_size`.
    pub fn new(
        name: &'static str,
        unit: &'static str,
        size_unit: &'static str,
        design_size: f64,
    ) -> Self {
        Self {
            name,
            unit,
            size_unit,
            design_size,
            points: Vec::new(),
        }
    }

    /// Adds the value measured at one size.
    pub fn add(&mut self, size: f64, value: f64) {
        self.points.push((size, value));
    }

    /// Fits a line by least squares. The slope is zero if all sizes are equal.
    pub fn fit(&self) -> Fit {
        let n = self.points.len().max(1) as f64;
        let mean = |f: fn(&(f64, f64)) -> f64| self.points.iter().map(f).sum::<f64>() / n;
        let (x, y) = (mean(|p| p.0), mean(|p| p.1));
        let xx: f64 = self.points.iter().map(|p| (p.0 - x).powi(2)).sum();
        let xy: f64 = self.points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
        let b = if xx > 0.0 { xy / xx } else { 0.0 };
        let a = y - b * x;
        let squares = self.points.iter().map(|p| (p.1 - a - b * p.0).powi(2));
        let residual = (squares.sum::<f64>() / n).sqrt();
        Fit { a, b, residual }
    }

    /// Returns the line's value at the design size.
    pub fn projection(&self) -> f64 {
        let fit = self.fit();
        fit.a + fit.b * self.design_size
    }
}

impl fmt::Display for Slope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fit = self.fit();
        let points = self.points.iter();
        let points: Vec<_> = points.map(|(x, y)| format!("{x}: {y:.4}")).collect();
        write!(
            f,
            "| {} | {} | {} | {} | {:.4} | {:.6} | {:.4} | {} | {:.3} |",
            self.name,
            self.unit,
            self.size_unit,
            points.join(", "),
            fit.a,
            fit.b,
            fit.residual,
            self.design_size,
            self.projection()
        )
    }
}
