//! Who writes a checkpoint, and when.
//!
//! The log drops records after a time, but a reader that starts from nothing needs the whole
//! state. So some node must write a checkpoint well before the last one is dropped, with no node
//! set aside for it and hundreds that could. Every node runs this policy: it draws a moment in
//! a window that is the same for all, and draws again when it reads that another node was
//! first. With N nodes, a window W and a time D from append to read, about N·D/W checkpoints
//! are written in place of one; a checkpoint more does no harm but its bytes.
//!
//! The window opens when the last checkpoint is a quarter of the retention old and closes a
//! quarter later, so half of the retention is left to ride out an outage of the log. Ages are
//! by the writer's wall clock: a node that was just started knows no other age of what it
//! reads. A wrong clock moves a checkpoint in time or doubles it, it can't make one wrong.

use crate::fold::Fold;
use crate::signed::Location;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Time since the process started.
pub type Now = Duration;

/// Longest window when a checkpoint is needed soon.
const MAX_URGENT_WINDOW: Duration = Duration::from_secs(120);

/// A writer's clock may be this much ahead before its stamp is ignored.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(60);

/// Settings of the policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// How long the log keeps a record.
    pub retention: Duration,
    /// Versions after which a checkpoint is written whatever its age: bounds what a new reader
    /// has to judge.
    pub max_versions: u64,
}

/// Why a checkpoint is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Need {
    /// The last one gets old.
    Age,
    /// There is none that a new reader could use, or too many versions came since.
    Urgent,
}

/// What the drawn moment is based on; it is drawn again when this changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Basis {
    last: Option<Location>,
    need: Need,
}

/// The policy of one node.
#[derive(Clone, Debug)]
pub struct Policy {
    settings: Settings,
    random: ChaCha8Rng,
    basis: Option<Basis>,
    due: Now,
}

impl Policy {
    /// A policy; nodes pass different seeds.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            random: ChaCha8Rng::seed_from_u64(seed),
            basis: None,
            due: Duration::ZERO,
        }
    }

    /// Whether to append [`Fold::checkpoint`] now. `wall` is the time since the Unix epoch,
    /// `first` the first retained offset. To be asked every second or so.
    pub fn poll(&mut self, now: Now, wall: Duration, first: u64, fold: &Fold) -> bool {
        if fold.in_gap() || fold.log_head().is_none() {
            self.basis = None;
            return false;
        }
        let basis = Basis {
            last: fold.last_checkpoint(),
            need: self.need(first, fold),
        };
        if self.basis != Some(basis) {
            self.basis = Some(basis);
            self.due = now + self.draw_delay(wall, basis);
        }
        if now < self.due {
            return false;
        }
        // Until the new checkpoint is read back, try again at the pace of the short window.
        self.due = now + self.jitter(self.urgent_window());
        true
    }

    /// Why the next checkpoint is needed.
    fn need(&self, first: u64, fold: &Fold) -> Need {
        let Some(last) = fold.last_checkpoint() else {
            return Need::Urgent;
        };
        let number = fold.log_head().map_or(0, |b| b.number);
        let too_many = number.saturating_sub(last.number) >= self.settings.max_versions;
        if last.next < first || too_many {
            Need::Urgent
        } else {
            Need::Age
        }
    }

    /// Time until the drawn moment.
    fn draw_delay(&mut self, wall: Duration, basis: Basis) -> Duration {
        match basis.last {
            Some(last) if basis.need == Need::Age => {
                let window = self.settings.retention / 4;
                window.saturating_sub(age(last, wall, window)) + self.jitter(window)
            }
            _ => {
                let window = self.urgent_window();
                self.jitter(window)
            }
        }
    }

    /// The short window.
    fn urgent_window(&self) -> Duration {
        MAX_URGENT_WINDOW.min(self.settings.retention / 16)
    }

    /// A random part of `window`.
    fn jitter(&mut self, window: Duration) -> Duration {
        window.mul_f64(self.random.random::<f64>())
    }
}

/// Age of a checkpoint; `window` if its stamp can't be right, so that the window is open.
fn age(last: Location, wall: Duration, window: Duration) -> Duration {
    if last.written > wall + MAX_CLOCK_LEAD {
        return window;
    }
    wall.saturating_sub(last.written)
}
