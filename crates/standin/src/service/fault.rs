//! Switches for faults of a service.

use crate::life::lock;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

/// A moment of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Moment {
    /// Before its effect.
    Before,
    /// After its effect, before the answer.
    After,
}

#[derive(Debug, Default)]
struct Settings {
    die: Option<Moment>,
    late: Duration,
}

/// All switches of a service.
#[derive(Debug, Default)]
pub(super) struct Fault {
    pub(super) half: AtomicBool,
    pub(super) busy: AtomicBool,
    settings: Mutex<Settings>,
}

impl Fault {
    pub(super) fn set_die(&self, moment: Option<Moment>) {
        lock(&self.settings).die = moment;
    }

    pub(super) fn set_late(&self, by: Duration) {
        lock(&self.settings).late = by;
    }

    pub(super) fn die(&self) -> Option<Moment> {
        lock(&self.settings).die
    }

    pub(super) fn late(&self) -> Duration {
        lock(&self.settings).late
    }
}
