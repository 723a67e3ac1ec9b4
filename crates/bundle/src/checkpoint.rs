//! Policy that decides which node writes a checkpoint, and when.
//!
//! The log drops records after the retention period, but a reader without any state needs the
//! whole state. So some node must write a checkpoint well before the last one is dropped. No node
//! is designated for this, and hundreds are able to. Every node runs this policy: it draws a
//! random time within a window that is the same for all nodes, and draws again when it reads a
//! checkpoint that another node wrote first. With N nodes, a window W and a delay D from append to
//! read, about N·D/W redundant checkpoints are written in each round; a redundant checkpoint is
//! harmless except for its size.
//!
//! The window opens when the age of the last checkpoint is a quarter of the retention period and
//! closes a quarter later, so an outage of the log may last for half of the retention period. The
//! age is computed from the writer's wall clock: a recently started node has no other source for
//! the age of the records it reads. A wrong clock delays, advances or duplicates a checkpoint, but
//! can't make its content wrong.

use crate::fold::Fold;
use crate::signed::Location;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Time since the process started.
pub type Now = Duration;

/// Maximum length of the window when a checkpoint is needed urgently.
const MAX_URGENT_WINDOW: Duration = Duration::from_secs(120);

/// Maximum lead of a writer's clock over the local one; a timestamp further ahead is ignored.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(60);

/// Settings of the checkpoint policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Retention period of the log.
    pub retention: Duration,
    /// Number of versions since the last checkpoint after which the next one is written whatever
    /// the age of the last. Bounds the number of versions that a new reader has to judge.
    pub max_versions: u64,
}

/// Reason why a checkpoint is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Need {
    /// The age of the last one approaches the retention period.
    Age,
    /// There is none that a new reader could use, or too many versions were accepted since.
    Urgent,
}

/// Inputs of the drawn time; a new time is drawn when they change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Basis {
    last: Option<Location>,
    need: Need,
}

/// State of the checkpoint policy on one node.
#[derive(Clone, Debug)]
pub struct Policy {
    settings: Settings,
    random: ChaCha8Rng,
    basis: Option<Basis>,
    due: Now,
}

impl Policy {
    /// Creates a policy. Nodes pass different seeds so that they draw different times.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            random: ChaCha8Rng::seed_from_u64(seed),
            basis: None,
            due: Duration::ZERO,
        }
    }

    /// Returns whether to append [`Fold::checkpoint`] now. `wall` is the time since the Unix epoch,
    /// `first` the first retained offset. Callers poll about once a second.
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
        // Until the new checkpoint is read back, retry after a random part of the urgent window.
        self.due = now + self.jitter(self.urgent_window());
        true
    }

    /// Returns the reason for the next checkpoint.
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

    /// Draws the delay until the next checkpoint is due.
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

    /// Returns the window for a checkpoint that is needed urgently.
    fn urgent_window(&self) -> Duration {
        MAX_URGENT_WINDOW.min(self.settings.retention / 16)
    }

    /// Returns a random duration below `window`.
    fn jitter(&mut self, window: Duration) -> Duration {
        window.mul_f64(self.random.random::<f64>())
    }
}

/// Returns the age of a checkpoint, or `window` if its timestamp is implausible, so that the window
/// is open.
fn age(last: Location, wall: Duration, window: Duration) -> Duration {
    if last.written > wall + MAX_CLOCK_LEAD {
        return window;
    }
    wall.saturating_sub(last.written)
}
