//! Where a command gets the head from.

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

/// Path of the head in force, as a full record.
pub const HEAD_PATH: &str = "/admin/v1/head";

/// The head to sign on; `None` for the first version.
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
        let record = record.wrap_err("the node's head").map_err(failed)?;
        return parent_bundle(&record).map(Some);
    }
    let mut tail = tail(args)?;
    tail.catch_up().await?;
    if tail.fold.in_gap() {
        return Err(failed(eyre!(
            "the log has a gap and no checkpoint; ask a node"
        )));
    }
    Ok(tail.fold.head().map(|b| (**b).clone()))
}

/// The log under `--log` with the keys under `--trust`.
pub fn tail(args: &ArgMatches) -> Result<Tail> {
    let addr = args.get_one::<SocketAddr>("log");
    let addr = addr.ok_or_else(|| input(eyre!("--log is missing")))?;
    Ok(Tail::new(*addr, files::trusted_signers(args)?))
}

/// The bundle of a record. Its signature isn't checked: the new version is signed with the whole
/// text that the operator gives, and a wrong parent only makes it lose.
fn parent_bundle(record: &Record) -> Result<Bundle> {
    let sections = record.sections();
    let sections = sections.map_err(|e| input(eyre!("parent is not a whole bundle: it {e}")))?;
    let bundle = fold::build_bundle(&sections, &record.envelope().header);
    bundle.map_err(|e| input(eyre!("parent: {e}")))
}
