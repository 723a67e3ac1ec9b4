//! Amounts quantised to one byte on a logarithmic scale, for rates and counts.

use std::fmt;

/// Levels per doubling of the amount: 4, so that adjacent levels differ by 19%.
const STEPS_PER_DOUBLING: f64 = 4.0;
/// Amount of the lowest level above zero.
const LOWEST_AMOUNT: f64 = 0.01;

/// An amount rounded up to the next level: zero, or from 0.01 to 1e17 in steps of 19%.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Level(pub u8);

impl Level {
    /// Returns the lowest level whose amount is at least `amount`.
    pub fn of(amount: f64) -> Self {
        if amount <= 0.0 || amount.is_nan() {
            return Self(0);
        }
        let step = ((amount / LOWEST_AMOUNT).log2() * STEPS_PER_DOUBLING - 1e-9).ceil();
        Self(step.clamp(0.0, 254.0) as u8 + 1)
    }

    /// Returns the amount that the level represents.
    pub fn amount(self) -> f64 {
        match self.0 {
            0 => 0.0,
            step => LOWEST_AMOUNT * (f64::from(step - 1) / STEPS_PER_DOUBLING).exp2(),
        }
    }

    /// Returns the number of steps between two levels.
    pub fn distance(self, other: Self) -> u8 {
        self.0.abs_diff(other.0)
    }
}

impl fmt::Display for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.amount())
    }
}
