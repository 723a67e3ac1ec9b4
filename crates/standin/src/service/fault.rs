//! Fault switches of a service.

use crate::lifecycle::lock;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

/// Point in a call at which the service crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// Before the call's effect.
    Before,
    /// After the call's effect and before its answer.
    After,
}

#[derive(Debug, Default)]
struct Settings {
    crash: Option<CrashPoint>,
    delay: Duration,
}

/// State of all fault switches.
#[derive(Debug, Default)]
pub(super) struct Fault {
    pub(super) truncate: AtomicBool,
    pub(super) end_by_close: AtomicBool,
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
