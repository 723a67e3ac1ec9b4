//! `wigeonctl history`: lists the versions that were in force.

use crate::admin::Admin;
use crate::failure::{Result, failed};
use crate::output::Output;
use crate::source;
use bundle::history::History;
use clap::ArgMatches;
use eyre::WrapErr;
use std::net::SocketAddr;

/// Admin path of the versions that a node remembers.
const HISTORY_PATH: &str = "/admin/v1/history";

/// Prints the versions that were in force, from a node's admin API or by reading the log.
pub async fn run(args: &ArgMatches, output: Output) -> Result {
    let history: History = match args.get_one::<SocketAddr>("admin") {
        Some(addr) => {
            let body = Admin(*addr).get(HISTORY_PATH).await.map_err(failed)?;
            serde_json::from_slice(&body)
                .wrap_err("decoding the node's history")
                .map_err(failed)?
        }
        None => {
            let mut tail = source::tail(args)?;
            tail.catch_up().await?;
            History::from(&tail.fold)
        }
    };
    output.show(&history)
}
