//! Files that operators give.

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

/// The path under argument `name`, which clap requires.
pub fn path_arg<'a>(args: &'a ArgMatches, name: &str) -> &'a Path {
    args.get_one::<PathBuf>(name)
        .map_or(Path::new(""), PathBuf::as_path)
}

/// A file's bytes; larger ones than any input can be are refused.
pub fn bytes(path: &Path) -> Result<Vec<u8>> {
    let at = || path.display().to_string();
    let size = fs::metadata(path).wrap_err_with(at).map_err(input)?.len();
    if size > bundle::text::MAX_TEXT_LEN as u64 {
        return Err(input(eyre!("{}: {size} bytes are too many", at())));
    }
    fs::read(path).wrap_err_with(at).map_err(input)
}

/// A file's text.
pub fn text(path: &Path) -> Result<String> {
    let text = String::from_utf8(bytes(path)?);
    text.wrap_err_with(|| path.display().to_string())
        .map_err(input)
}

/// The sections of a bundle's text.
pub fn sections(path: &Path) -> Result<Sections> {
    bundle::text::parse(&text(path)?).map_err(Failure::Findings)
}

/// A checked bundle.
pub fn bundle(path: &Path) -> Result<Bundle> {
    text(path)?.parse().map_err(Failure::Findings)
}

/// A private key.
pub fn key(path: &Path) -> Result<SigningKey> {
    let key = sign::from_pem(&text(path)?);
    key.wrap_err_with(|| path.display().to_string())
        .map_err(input)
}

/// A record of the log.
pub fn record(path: &Path) -> Result<Record> {
    decode_record(&bytes(path)?)
        .wrap_err_with(|| path.display().to_string())
        .map_err(input)
}

/// Reads a record.
pub fn decode_record(bytes: &[u8]) -> record::Result<Record> {
    Record::decode(bytes.trim_ascii())
}

/// The trusted keys under `--trust`: the section `[trust]` of a node's settings.
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
        return Err(input(eyre!("{}: no key in a section [trust]", at())));
    }
    Ok(signers)
}

/// One trusted key.
fn parse_signer(name: &str, key: &str) -> eyre::Result<Signer> {
    let key = bundle::signer::parse_key(key);
    let key = key.ok_or_else(|| eyre!("[trust] {name}: not an ed25519 public key in hex"))?;
    Ok(Signer {
        name: name.into(),
        key,
        revoked: false,
    })
}
