//! `wigeonctl sign`: checks and signs a bundle as the successor of the head.

use crate::failure::{Failure, Result, failed, input};
use crate::files;
use crate::output::{self, Output};
use crate::source;
use bundle::record::Record;
use bundle::sign::{self, Error};
use clap::ArgMatches;
use eyre::{WrapErr, eyre};
use serde::Serialize;
use std::fmt;
use std::fs;
use std::path::PathBuf;

/// Summary of the signed version.
#[derive(Serialize)]
struct Signed {
    number: u64,
    parent: String,
    digest: String,
    signer: String,
    set: usize,
    removed: usize,
}

impl fmt::Display for Signed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            number,
            digest,
            signer,
            set,
            removed,
            ..
        } = self;
        write!(
            f,
            "signed version {number} by {signer}: {set} sections set, {removed} removed\n\
             digest {digest}"
        )
    }
}

/// Signs the text of a bundle as the version after the head, and writes it to `--out` or stdout.
pub async fn run(args: &ArgMatches, output: Output) -> Result {
    let name = args.get_one::<String>("name").map_or("", String::as_str);
    let key = files::key(files::path_arg(args, "key"))?;
    let child = files::bundle(files::path_arg(args, "file"))?;
    let parent = source::head(args).await?;
    let version = sign::sign_bundle(parent.as_ref(), &child, name, &key).map_err(sign_failure)?;
    let header = &version.envelope.header;
    let signed = Signed {
        number: header.number,
        parent: header.parent.to_string(),
        digest: header.result.to_string(),
        signer: header.signer.clone(),
        set: version.delta.set.len(),
        removed: version.delta.removed.len(),
    };
    let body = Record::Version(version).encode();
    match args.get_one::<PathBuf>("out") {
        Some(path) => {
            let written = fs::write(path, &body);
            written
                .wrap_err_with(|| path.display().to_string())
                .map_err(failed)?;
            output.show(&signed)
        }
        None => output::write_all(&body),
    }
}

/// Converts an error of signing, which is always one of the input.
fn sign_failure(error: Error) -> Failure {
    match error {
        Error::Bundle(findings) => Failure::Findings(findings),
        other => input(eyre!("{other}")),
    }
}
