//! `wigeonctl restore`: repairs a log that lost records and has no checkpoint.
//!
//! The log may drop records that no node has read, if the log or the nodes were down for longer
//! than its retention. Without a checkpoint, no reader can then determine the version in force, and
//! no node may write a checkpoint. The operator supplies the state to continue from: a head that a
//! node has in force, or one that was saved earlier. The head is a signed version and is written as
//! a checkpoint, so it comes into force only on readers with a gap, and never replaces a higher
//! version.

use crate::failure::{Result, failed, input};
use crate::files;
use crate::output::Output;
use crate::source;
use crate::tail::STREAM;
use bundle::record::Record;
use bundle::signed::Head;
use bytes::Bytes;
use clap::ArgMatches;
use eyre::{WrapErr, eyre};
use platform::Log;
use serde::Serialize;
use std::fmt;
use std::time::{Duration, SystemTime};

/// Version that was restored.
#[derive(Serialize)]
struct Restored {
    number: u64,
    signer: String,
    digest: String,
}

impl fmt::Display for Restored {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            number,
            signer,
            digest,
        } = self;
        write!(
            f,
            "the log goes on from version {number} by {signer}\ndigest {digest}"
        )
    }
}

/// Appends a head as a checkpoint to a log with a gap; fails if the log has none.
pub async fn run(args: &ArgMatches, output: Output) -> Result {
    let Record::Checkpoint(head) = files::record(files::path_arg(args, "file"))? else {
        return Err(input(eyre!(
            "the record is not a head; `dump --format head` writes one"
        )));
    };
    let mut tail = source::tail(args)?;
    tail.catch_up().await?;
    if !tail.fold.in_gap() {
        return Err(failed(eyre!(
            "the log has no gap; there is nothing to restore"
        )));
    }
    let trusted = files::trusted_signers(args)?;
    let trust = head.envelope.check(&trusted, &[]);
    trust.map_err(|e| input(eyre!("{e}")))?;
    let written = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let written = written.unwrap_or(Duration::ZERO);
    let head = Head {
        next: tail.fold.next_offset(),
        written,
        ..head
    };
    let header = head.envelope.header.clone();
    let body = Record::Checkpoint(head).encode();
    let appended = tail.log.append(STREAM, Bytes::from(body)).await;
    appended
        .wrap_err(
            "appending to the log; run the command again, it has no effect if the append succeeded",
        )
        .map_err(failed)?;
    tail.catch_up().await?;
    let number = tail.fold.head().map_or(0, |b| b.number);
    if tail.fold.in_gap() || number < header.number {
        return Err(failed(eyre!(
            "the log changed in the meantime; run the command again"
        )));
    }
    output.show(&Restored {
        number: header.number,
        signer: header.signer,
        digest: header.result.to_string(),
    })
}
