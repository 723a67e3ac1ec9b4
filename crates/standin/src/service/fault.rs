//! Switches for faults of a service.

use crate::lifecycle::lock;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

/// A moment of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// Before its effect.
    Before,
    /// After its effect, before the answer.
    After,
}

#[derive(Debug, Default)]
struct Settings {
    crash: Option<CrashPoint>,
    delay: Duration,
}

/// All switches of a service.
#[derive(Debug, Default)]
pub(super) struct Fault {
    pub(super) truncate: AtomicBool,
    pub(super) busy: AtomicBool,
    settings: Mutex<Settings>,
}

impl Fault {
    pub(super) fn set_crash(&self, point: Option<CrashPoint>) {
        lock(&self.settings).crash = point;
    }

    pub(super) fn set_delay(&self, delay: Duration) {
        lock(&self.settings).delay = delay;
    }

    pub(super) fn crash(&self) -> Option<CrashPoint> {
        lock(&self.settings).crash
    }

    pub(super) fn delay(&self) -> Duration {
        lock(&self.settings).delay
    }
}
