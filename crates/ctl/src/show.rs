//! `wigeonctl status` and `wigeonctl dump`: print the state of a node as its admin API reports it.

use crate::admin::Admin;
use crate::failure::{Result, failed, input};
use crate::output::{Output, show_bytes};
use crate::source::HEAD_PATH;
use clap::ArgMatches;
use eyre::{WrapErr, eyre};
use serde_json::Value;
use std::net::SocketAddr;

/// Admin path of the summary of a node's state.
const STATUS_PATH: &str = "/admin/v1/status";

/// Prints the summary of a node's state.
pub async fn status(args: &ArgMatches, output: Output) -> Result {
    let body = admin_arg(args)?.get(STATUS_PATH).await.map_err(failed)?;
    if output == Output::Json {
        return show_bytes(&body);
    }
    let value: Value = serde_json::from_slice(&body)
        .wrap_err("decoding the node's status")
        .map_err(failed)?;
    let mut text = String::new();
    flatten("", &value, &mut text);
    show_bytes(text.as_bytes())
}

/// Prints the complete state of a node, or its head as a record.
pub async fn dump(args: &ArgMatches, output: Output) -> Result {
    let format = args.get_one::<String>("format").map(String::as_str);
    let path = match (format, output) {
        (Some("head"), _) => HEAD_PATH,
        (Some("json"), _) | (None, Output::Json) => "/dump?format=json",
        _ => "/dump?format=text",
    };
    let body = admin_arg(args)?.get(path).await.map_err(failed)?;
    show_bytes(&body)
}

/// Returns the admin API given with `--admin`.
fn admin_arg(args: &ArgMatches) -> Result<Admin> {
    let addr = args.get_one::<SocketAddr>("admin");
    addr.map(|a| Admin(*a))
        .ok_or_else(|| input(eyre!("--admin is missing")))
}

/// Appends a JSON value to `text` as lines of the form `path value`, one for each scalar. Keys and
/// array indices in a path are joined with dots.
fn flatten(path: &str, value: &Value, text: &mut String) {
    let child_path = |name: &str| match path {
        "" => name.to_owned(),
        _ => format!("{path}.{name}"),
    };
    match value {
        Value::Object(map) => map
            .iter()
            .for_each(|(k, v)| flatten(&child_path(k), v, text)),
        Value::Array(rows) => {
            let numbered = rows.iter().enumerate();
            numbered.for_each(|(i, v)| flatten(&child_path(&i.to_string()), v, text));
        }
        Value::String(s) => *text += &format!("{path} {s}\n"),
        other => *text += &format!("{path} {other}\n"),
    }
}
