//! `wigeonctl restore`
//!
//! If the log dropped records that no node has read (it was out, or the nodes were, for longer
//! than its retention) and holds no checkpoint, no reader can judge it any more and no node may
//! write a checkpoint. An operator then names the state to go on from: a head that a node has in
//! force, or one saved earlier. It is a signed version, and it is written as a checkpoint, so it
//! comes into force on readers with a gap only, and never in place of a higher version.

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

/// What was restored.
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

/// Writes a head into a log that can't be judged.
pub async fn run(args: &ArgMatches, output: Output) -> Result {
    let Record::Checkpoint(head) = files::record(files::path_arg(args, "file"))? else {
        return Err(input(eyre!("not a head; `dump --format head` gives one")));
    };
    let mut tail = source::tail(args)?;
    tail.catch_up().await?;
    if !tail.fold.in_gap() {
        return Err(failed(eyre!(
            "the log can be judged; nothing is to be restored"
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
        .wrap_err("log; run it again, it does nothing if this took effect")
        .map_err(failed)?;
    tail.catch_up().await?;
    let number = tail.fold.head().map_or(0, |b| b.number);
    if tail.fold.in_gap() || number < header.number {
        return Err(failed(eyre!("the log has changed meanwhile; run it again")));
    }
    output.show(&Restored {
        number: header.number,
        signer: header.signer,
        digest: header.result.to_string(),
    });
    Ok(())
}
