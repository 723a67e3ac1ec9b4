//! Serialized form of frame heads, before validation. It is the same for all engines.

mod call;
mod reply;

pub use call::{Call, Input, Open};
pub use reply::{Reason, Reply};

use crate::frame::{self, Error, MAX_NAME_BYTES};
use serde::{Deserialize, Serialize};

/// Serialized form of [`frame::Place`].
#[derive(Debug, Serialize, Deserialize)]
pub struct Place {
    request: u128,
    attempt: u32,
    step: u32,
    from: u16,
    to: u16,
}

impl From<frame::Place> for Place {
    fn from(place: frame::Place) -> Self {
        let frame::Place {
            request,
            attempt,
            step,
            from,
            to,
        } = place;
        Self {
            request,
            attempt,
            step,
            from,
            to,
        }
    }
}

impl TryFrom<Place> for frame::Place {
    type Error = Error;

    fn try_from(place: Place) -> Result<Self, Error> {
        let Place {
            request,
            attempt,
            step,
            from,
            to,
        } = place;
        check(attempt > 0, "attempt")?;
        check(step > 0, "step")?;
        check(from < to, "to")?;
        Ok(Self {
            request,
            attempt,
            step,
            from,
            to,
        })
    }
}

fn is_name(name: &str) -> bool {
    (1..=MAX_NAME_BYTES).contains(&name.len())
}

/// Returns an error that names `field` unless `fits` holds.
fn check(fits: bool, field: &'static str) -> Result<(), Error> {
    if fits {
        Ok(())
    } else {
        Err(Error::FieldOutOfRange(field))
    }
}
