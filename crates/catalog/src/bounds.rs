//! Bounds of the numbers and names that the operator, endpoints and nodes state.
//!
//! Any of them may be wrong. A value out of bounds is refused where it enters, so that no loop or
//! allocation is as long as a number says, no sum or product of durations overflows, and no name makes
//! a message of this node invalid for its peers.

use crate::Layer;
use std::fmt;
use std::time::Duration;

/// Largest number of layers of a model.
pub const MAX_LAYERS: Layer = 4096;
/// Largest number of slots of an endpoint.
pub const MAX_SLOTS: u32 = 1 << 20;
/// Longest duration.
pub const MAX_TIME: Duration = Duration::from_secs(24 * 3600);
/// Largest amount, such as of token-layers, bytes or bits per second.
pub const MAX_AMOUNT: f64 = 1e18;
/// Largest factor on the time that an endpoint takes.
pub const MAX_FACTOR: f64 = 1e6;
/// Largest size of a request's header section, in bytes.
pub const MAX_HEAD_BYTES: usize = 1 << 24;
/// Longest name in bytes. Peers accept names of 255 bytes, of which an endpoint's run takes up to 21 for
/// its start time.
pub const MAX_NAME_BYTES: usize = 200;

/// A value that is out of bounds.
#[derive(Clone, Debug, PartialEq)]
pub struct OutOfBounds(String);

impl OutOfBounds {
    /// Creates the error from its description.
    pub(crate) fn new(description: String) -> Self {
        Self(description)
    }
}

impl fmt::Display for OutOfBounds {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for OutOfBounds {}

/// Result of checking a value.
pub type Result<T> = std::result::Result<T, OutOfBounds>;

fn check<T: PartialOrd + fmt::Debug>(value: T, min: T, max: T, what: &str) -> Result<T> {
    match value >= min && value <= max {
        true => Ok(value),
        false => Err(OutOfBounds(format!(
            "{what} must be from {min:?} to {max:?}, not {value:?}"
        ))),
    }
}

/// A finite number from 0 to [`MAX_AMOUNT`].
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Amount(f64);

impl TryFrom<f64> for Amount {
    type Error = OutOfBounds;

    fn try_from(value: f64) -> Result<Self> {
        check(value, 0.0, MAX_AMOUNT, "an amount").map(Self)
    }
}

impl From<Amount> for f64 {
    fn from(amount: Amount) -> Self {
        amount.0
    }
}

/// A finite number from 0 to [`MAX_FACTOR`].
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Factor(f64);

impl TryFrom<f64> for Factor {
    type Error = OutOfBounds;

    fn try_from(value: f64) -> Result<Self> {
        check(value, 0.0, MAX_FACTOR, "a factor").map(Self)
    }
}

impl From<Factor> for f64 {
    fn from(factor: Factor) -> Self {
        factor.0
    }
}

/// A number of slots up to [`MAX_SLOTS`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Slots(u32);

impl TryFrom<u32> for Slots {
    type Error = OutOfBounds;

    fn try_from(value: u32) -> Result<Self> {
        check(value, 0, MAX_SLOTS, "the number of slots").map(Self)
    }
}

impl From<Slots> for u32 {
    fn from(slots: Slots) -> Self {
        slots.0
    }
}

/// A name of 1 to [`MAX_NAME_BYTES`] bytes without control characters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Name(String);

impl TryFrom<String> for Name {
    type Error = OutOfBounds;

    fn try_from(text: String) -> Result<Self> {
        check(text.len(), 1, MAX_NAME_BYTES, "the length of a name")?;
        match text.contains(char::is_control) {
            true => Err(OutOfBounds("a name has a control character".to_owned())),
            false => Ok(Self(text)),
        }
    }
}

impl From<Name> for String {
    fn from(name: Name) -> Self {
        name.0
    }
}

/// Returns a number of seconds as a duration of at most [`MAX_TIME`]; zero if it is negative or not a
/// number.
pub fn duration(secs: f64) -> Duration {
    let secs = secs.clamp(0.0, MAX_TIME.as_secs_f64());
    // A clamped number that is no number stays so.
    Duration::try_from_secs_f64(secs).unwrap_or_default()
}
