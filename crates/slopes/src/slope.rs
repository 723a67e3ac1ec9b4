//! A quantity measured at several sizes, and the line through it.

use std::fmt;

/// One quantity by size.
#[derive(Clone, Debug)]
pub struct Slope {
    name: &'static str,
    unit: &'static str,
    by: &'static str,
    at: f64,
    points: Vec<(f64, f64)>,
}

/// The line `a + b * x`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Value at size zero.
    pub a: f64,
    /// What one more adds.
    pub b: f64,
    /// Root of the mean square distance of the points from the line.
    pub residual: f64,
}

impl Slope {
    /// `name` in `unit`, by the number of `by`; worked out for `at` of them.
    pub fn new(name: &'static str, unit: &'static str, by: &'static str, at: f64) -> Self {
        Self {
            name,
            unit,
            by,
            at,
            points: Vec::new(),
        }
    }

    /// Adds what was measured at one size.
    pub fn add(&mut self, size: f64, value: f64) {
        self.points.push((size, value));
    }

    /// Least squares.
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

    /// The line's value at the size to design for.
    pub fn worked_out(&self) -> f64 {
        let fit = self.fit();
        fit.a + fit.b * self.at
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
            self.by,
            points.join(", "),
            fit.a,
            fit.b,
            fit.residual,
            self.at,
            self.worked_out()
        )
    }
}
