//! Reads the files that are named on the command line.

use crate::failure::{Failure, Result, input};
use bundle::Bundle;
use bundle::record::{self, Record};
use bundle::sections::Sections;
use bundle::sign::{self, SigningKey};
use bundle::signer::Signer;
use clap::ArgMatches;
use eyre::{WrapErr, eyre};
use ini::Ini;
use std::fs;
use std::path::{Path, PathBuf};

/// Returns the path in argument `name`, which clap requires to be present.
pub fn path_arg<'a>(args: &'a ArgMatches, name: &str) -> &'a Path {
    args.get_one::<PathBuf>(name)
        .map_or(Path::new(""), PathBuf::as_path)
}

/// Reads a file. Files above `MAX_TEXT_LEN`, the limit of any valid input, are rejected unread.
pub fn bytes(path: &Path) -> Result<Vec<u8>> {
    let at = || path.display().to_string();
    let size = fs::metadata(path).wrap_err_with(at).map_err(input)?.len();
    if size > bundle::text::MAX_TEXT_LEN as u64 {
        return Err(input(eyre!(
            "{}: file has {size} bytes, more than any valid input",
            at()
        )));
    }
    fs::read(path).wrap_err_with(at).map_err(input)
}

/// Reads a file as UTF-8 text.
pub fn text(path: &Path) -> Result<String> {
    let text = String::from_utf8(bytes(path)?);
    text.wrap_err_with(|| path.display().to_string())
        .map_err(input)
}

/// Parses the text of a bundle into sections, without checking the bundle as a whole.
pub fn sections(path: &Path) -> Result<Sections> {
    bundle::text::parse(&text(path)?).map_err(Failure::Findings)
}

/// Reads and checks a bundle.
pub fn bundle(path: &Path) -> Result<Bundle> {
    text(path)?.parse().map_err(Failure::Findings)
}

/// Reads a private signing key in PEM format.
pub fn key(path: &Path) -> Result<SigningKey> {
    let key = sign::from_pem(&text(path)?);
    key.wrap_err_with(|| path.display().to_string())
        .map_err(input)
}

/// Reads a log record.
pub fn record(path: &Path) -> Result<Record> {
    decode_record(&bytes(path)?)
        .wrap_err_with(|| path.display().to_string())
        .map_err(input)
}

/// Decodes a log record; surrounding white space is ignored.
pub fn decode_record(bytes: &[u8]) -> record::Result<Record> {
    Record::decode(bytes.trim_ascii())
}

/// Reads the trusted signers from the section `[trust]` of the file given with `--trust`, such as a
/// node's settings; empty without the flag.
pub fn trusted_signers(args: &ArgMatches) -> Result<Vec<Signer>> {
    let Some(path) = args.get_one::<PathBuf>("trust") else {
        return Ok(Vec::new());
    };
    let at = || path.display().to_string();
    let ini = Ini::load_from_str(&text(path)?)
        .wrap_err_with(at)
        .map_err(input)?;
    let entries = ini.section_all(Some("trust")).flat_map(|s| s.iter());
    let signers = entries.map(|(name, key)| parse_signer(name, key));
    let signers: Vec<Signer> = signers.collect::<eyre::Result<_>>().map_err(input)?;
    if signers.is_empty() {
        return Err(input(eyre!("{}: no key found in a section [trust]", at())));
    }
    Ok(signers)
}

/// Parses one entry of the section `[trust]`.
fn parse_signer(name: &str, key: &str) -> eyre::Result<Signer> {
    let key = bundle::signer::parse_key(key);
    let key = key.ok_or_else(|| eyre!("[trust] {name}: not an ed25519 public key in hex"))?;
    Ok(Signer {
        name: name.into(),
        key,
        revoked: false,
    })
}
