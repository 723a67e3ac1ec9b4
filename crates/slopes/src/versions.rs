//! Cost of bundles: applying a delta, reading a checkpoint, their encoded sizes and memory.

use crate::size::{ENDPOINTS, SIZES, Size};
use crate::slope::Slope;
use crate::{clock, fleet};
use bundle::Bundle;
use bundle::fold::{Fold, Verdict};
use bundle::sign;
use bundle::signer::Signer;
use std::time::Duration;

/// Measures time, encoded size and memory of deltas, checkpoints and bundles.
pub fn slopes() -> Vec<Slope> {
    let new = |name, unit| Slope::new(name, unit, "endpoints", ENDPOINTS);
    let mut delta = new("fold of a delta", "us");
    let mut bytes = new("record of a delta", "bytes");
    let mut read = new("read of a checkpoint", "us");
    let mut checkpoint = new("checkpoint", "KB");
    let mut first = new("memory of the head", "KB");
    let mut further = new("memory of each further version held", "KB");
    for size in SIZES {
        let x = size.endpoints() as f64;
        let (head, more) = memory(size);
        first.add(x, head);
        further.add(x, more);
        let world = World::new(size);
        delta.add(x, clock::mean(|| world.apply_delta()));
        bytes.add(x, world.next.len() as f64);
        read.add(x, clock::mean(|| world.read_checkpoint()));
        checkpoint.add(x, world.checkpoint.len() as f64 / 1e3);
    }
    vec![delta, read, bytes, checkpoint, first, further]
}

/// Returns the memory, in kilobytes, of a bundle with text of its own, and of a further bundle
/// built from the same parsed sections.
fn memory(size: Size) -> (f64, f64) {
    let text = fleet::text(size, 30);
    let copies = (20_000 / size.endpoints()).clamp(2, 32);
    let parse = || bundle::text::parse(&text).expect("sound");
    let make = || Bundle::try_from(&parse()).expect("sound");
    let head = clock::memory(copies, make);
    let sections = parse();
    let more = clock::memory(copies, || Bundle::try_from(&sections).expect("sound"));
    (head, more)
}

/// A fold at its first version, the record of the second version, and a checkpoint of the first.
struct World {
    trusted: Signer,
    start: Fold,
    next: Vec<u8>,
    checkpoint: Vec<u8>,
}

impl World {
    fn new(size: Size) -> Self {
        let key = sign::key_from_seed([7; 32]);
        let trusted = Signer {
            name: "mira".into(),
            key: *key.verifying_key().as_bytes(),
            revoked: false,
        };
        let first = sign::sign_text(None, &fleet::text(size, 30), "mira", &key).expect("sound");
        let mut start = Fold::new(vec![trusted.clone()]);
        assert!(matches!(start.apply(0, &first), Verdict::Accepted(_)));
        let head = start.head().expect("a head").clone();
        let text = fleet::text(size, 31);
        let next = sign::sign_text(Some(&head), &text, "mira", &key).expect("sound");
        let checkpoint = start.checkpoint(Duration::ZERO).expect("a state");
        Self {
            trusted,
            start,
            next,
            checkpoint,
        }
    }

    /// Applies the second version's record to a copy of the fold.
    fn apply_delta(&self) -> Fold {
        let mut fold = self.start.clone();
        assert!(matches!(fold.apply(1, &self.next), Verdict::Accepted(_)));
        fold
    }

    /// Restores a fold from the checkpoint.
    fn read_checkpoint(&self) -> Fold {
        let mut fold = Fold::new(vec![self.trusted.clone()]);
        assert!(matches!(fold.adopt(&self.checkpoint), Verdict::Adopted(_)));
        fold
    }
}
