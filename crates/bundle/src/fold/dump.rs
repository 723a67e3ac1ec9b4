//! Text form of a fold, for a node's dump.

use super::{Counters, Fold};
use std::fmt;

impl fmt::Display for Fold {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.head() {
            Some(head) => writeln!(
                f,
                "version {} by {} digest {}",
                head.number, head.signer, head.digest
            )?,
            None => writeln!(f, "no version")?,
        }
        let logged = self.log_head().map_or(0, |b| b.number);
        writeln!(f, "folded to version {logged}, next offset {}", self.next)?;
        if let Some(first) = self.gap {
            writeln!(f, "gap: the log starts at offset {first}")?;
        }
        if let Some(last) = self.last_checkpoint {
            let (offset, number) = (last.offset, last.number);
            writeln!(f, "checkpoint of version {number} at offset {offset}")?;
        }
        write!(f, "{}", self.counters)
    }
}

impl fmt::Display for Counters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, count) in self.rows() {
            writeln!(f, "{name} {count}")?;
        }
        Ok(())
    }
}
