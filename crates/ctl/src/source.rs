//! Sources of the head: a file, a node or the log.

use crate::admin::Admin;
use crate::failure::{Result, failed, input};
use crate::files;
use crate::tail::Tail;
use bundle::Bundle;
use bundle::fold;
use bundle::record::Record;
use clap::ArgMatches;
use eyre::{WrapErr, eyre};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Admin path of the head in force, as a record with the complete bundle.
pub const HEAD_PATH: &str = "/admin/v1/head";

/// Returns the head that the new version succeeds; `None` for the first version.
pub async fn head(args: &ArgMatches) -> Result<Option<Bundle>> {
    if args.get_flag("first") {
        return Ok(None);
    }
    if let Some(path) = args.get_one::<PathBuf>("parent") {
        return parent_bundle(&files::record(path)?).map(Some);
    }
    if let Some(addr) = args.get_one::<SocketAddr>("admin") {
        let body = Admin(*addr).get(HEAD_PATH).await.map_err(failed)?;
        let record = files::decode_record(&body);
        let record = record
            .wrap_err("decoding the node's head")
            .map_err(failed)?;
        return parent_bundle(&record).map(Some);
    }
    let mut tail = tail(args)?;
    tail.catch_up().await?;
    if tail.fold.in_gap() {
        return Err(failed(eyre!(
            "the log has a gap and no checkpoint; get the head from a node with --admin"
        )));
    }
    Ok(tail.fold.head().map(|b| (**b).clone()))
}

/// Returns a reader of the log given with `--log`, which trusts the signers given with `--trust`.
pub fn tail(args: &ArgMatches) -> Result<Tail> {
    let addr = args.get_one::<SocketAddr>("log");
    let addr = addr.ok_or_else(|| input(eyre!("--log is missing")))?;
    Ok(Tail::new(*addr, files::trusted_signers(args)?))
}

/// Builds the bundle of a record. The record's signature isn't checked: the signature of the new
/// version covers the complete text given by the operator, and a wrong parent only makes the new
/// version lose its race.
fn parent_bundle(record: &Record) -> Result<Bundle> {
    let sections = record.sections();
    let sections = sections.map_err(|e| {
        input(eyre!(
            "the parent record does not hold a complete bundle: it {e}"
        ))
    })?;
    let bundle = fold::build_bundle(&sections, &record.envelope().header);
    bundle.map_err(|e| input(eyre!("parent: {e}")))
}
