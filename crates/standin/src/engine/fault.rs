//! Switches for faults.

use super::kv::Broken;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// Frames that belong elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crossed {
    /// Before each right answer comes one of the attempt before.
    OldAttempt,
    /// Each answer names another request.
    OtherRequest,
    /// Each answer names the step before.
    OldStep,
    /// Each answer names another range of layers.
    OtherLayers,
    /// Each answer comes twice.
    Twice,
    /// Bytes that are no frame come instead of an answer.
    Garbled,
    /// The stream ends instead of an answer, as it does after a whole one.
    Ended,
}

#[derive(Debug)]
struct Settings {
    poison: Vec<u8>,
    late: Duration,
    slow: f64,
    crossed: Option<Crossed>,
    broken: Option<Broken>,
}

/// All switches of an engine.
#[derive(Debug)]
pub(super) struct Fault {
    /// Steps until death; 0 is off.
    pub(super) die_at: AtomicU64,
    pub(super) busy: AtomicBool,
    pub(super) leaving: AtomicBool,
    pub(super) fail: AtomicBool,
    pub(super) hold: watch::Sender<bool>,
    settings: Mutex<Settings>,
}

impl Default for Fault {
    fn default() -> Self {
        let settings = Settings {
            poison: Vec::new(),
            late: Duration::ZERO,
            slow: 1.0,
            crossed: None,
            broken: None,
        };
        Self {
            die_at: AtomicU64::new(0),
            busy: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            fail: AtomicBool::new(false),
            hold: watch::Sender::new(false),
            settings: Mutex::new(settings),
        }
    }
}

impl Fault {
    pub(super) fn set_poison(&self, text: &str) {
        self.lock().poison = text.as_bytes().to_vec();
    }

    pub(super) fn set_late(&self, by: Duration) {
        self.lock().late = by;
    }

    pub(super) fn set_slow(&self, factor: f64) {
        self.lock().slow = factor;
    }

    pub(super) fn set_crossed(&self, crossed: Option<Crossed>) {
        self.lock().crossed = crossed;
    }

    pub(super) fn set_broken(&self, broken: Option<Broken>) {
        self.lock().broken = broken;
    }

    pub(super) fn late(&self) -> Duration {
        self.lock().late
    }

    pub(super) fn slow(&self) -> f64 {
        self.lock().slow
    }

    pub(super) fn crossed(&self) -> Option<Crossed> {
        self.lock().crossed
    }

    pub(super) fn broken(&self) -> Option<Broken> {
        self.lock().broken
    }

    /// Whether the prompt kills the engine.
    pub(super) fn is_poison(&self, prompt: &[u8]) -> bool {
        let settings = self.lock();
        let poison = settings.poison.as_slice();
        !poison.is_empty() && prompt.windows(poison.len()).any(|part| part == poison)
    }

    /// Counts a step; whether it is the one to die at.
    pub(super) fn is_last_step(&self) -> bool {
        let less = |left: u64| left.checked_sub(1);
        let before = self
            .die_at
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, less);
        before == Ok(1)
    }

    fn lock(&self) -> MutexGuard<'_, Settings> {
        self.settings.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
