//! Fault switches of an engine.

use super::kv::ComputeFault;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::watch;

/// Faults in the replies to steps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyFault {
    /// Precedes each correct reply with one that names the previous attempt.
    StaleAttempt,
    /// Names another request in each reply.
    OtherRequest,
    /// Names the previous step in each reply.
    StaleStep,
    /// Names another range of layers in each reply.
    OtherLayers,
    /// Sends each reply twice.
    Duplicate,
    /// Sends bytes that are not a valid frame instead of a reply.
    Garbled,
    /// Ends the stream instead of a reply, in the way a complete answer ends.
    EndOfStream,
}

#[derive(Debug)]
struct Settings {
    crash_text: Vec<u8>,
    delay: Duration,
    slowdown: f64,
    reply_fault: Option<ReplyFault>,
    compute_fault: Option<ComputeFault>,
}

/// State of all fault switches.
#[derive(Debug)]
pub(super) struct Fault {
    /// Steps until the crash; 0 is off.
    pub(super) crash_at: AtomicU64,
    pub(super) busy: AtomicBool,
    pub(super) leaving: AtomicBool,
    pub(super) failing: AtomicBool,
    /// Whether answers end only at their maximum length.
    pub(super) endless: AtomicBool,
    pub(super) hold_steps: watch::Sender<bool>,
    settings: Mutex<Settings>,
}

impl Default for Fault {
    fn default() -> Self {
        let settings = Settings {
            crash_text: Vec::new(),
            delay: Duration::ZERO,
            slowdown: 1.0,
            reply_fault: None,
            compute_fault: None,
        };
        Self {
            crash_at: AtomicU64::new(0),
            busy: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            failing: AtomicBool::new(false),
            endless: AtomicBool::new(false),
            hold_steps: watch::Sender::new(false),
            settings: Mutex::new(settings),
        }
    }
}

impl Fault {
    pub(super) fn set_crash_text(&self, text: &str) {
        self.lock().crash_text = text.as_bytes().to_vec();
    }

    pub(super) fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    pub(super) fn set_slowdown(&self, factor: f64) {
        self.lock().slowdown = factor;
    }

    pub(super) fn set_reply_fault(&self, reply_fault: Option<ReplyFault>) {
        self.lock().reply_fault = reply_fault;
    }

    pub(super) fn set_compute_fault(&self, compute_fault: Option<ComputeFault>) {
        self.lock().compute_fault = compute_fault;
    }

    pub(super) fn delay(&self) -> Duration {
        self.lock().delay
    }

    pub(super) fn slowdown(&self) -> f64 {
        self.lock().slowdown
    }

    pub(super) fn reply_fault(&self) -> Option<ReplyFault> {
        self.lock().reply_fault
    }

    pub(super) fn compute_fault(&self) -> Option<ComputeFault> {
        self.lock().compute_fault
    }

    /// Returns whether the prompt contains the text that crashes the engine.
    pub(super) fn matches_crash_text(&self, prompt: &[u8]) -> bool {
        let settings = self.lock();
        let crash_text = settings.crash_text.as_slice();
        !crash_text.is_empty()
            && prompt
                .windows(crash_text.len())
                .any(|part| part == crash_text)
    }

    /// Counts a step, and returns whether the engine crashes in it.
    pub(super) fn is_crash_step(&self) -> bool {
        let less = |left: u64| left.checked_sub(1);
        let before = self
            .crash_at
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, less);
        before == Ok(1)
    }

    fn lock(&self) -> MutexGuard<'_, Settings> {
        self.settings.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
