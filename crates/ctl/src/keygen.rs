//! `wigeonctl keygen`: creates a signing key.

use crate::failure::{Result, failed, input};
use crate::files;
use crate::output::Output;
use bundle::{section, sign};
use clap::ArgMatches;
use eyre::WrapErr;
use rand::TryRng;
use rand::rngs::SysRng;
use serde::Serialize;
use std::fmt;
use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

/// File mode of a private key: only its owner may read or write it.
const PRIVATE_KEY_MODE: u32 = 0o600;

/// Public key of the new pair. Its text form is the section `[trust]` of a node's settings.
#[derive(Serialize)]
struct Key<'a> {
    name: &'a str,
    public: String,
}

impl fmt::Display for Key<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "[trust]\n{} = {}", self.name, self.public)
    }
}

/// Generates a key pair, writes the private key to a file and prints the public key.
pub fn run(args: &ArgMatches, output: Output) -> Result {
    let name = args.get_one::<String>("name").map_or("", String::as_str);
    if !section::is_name(name) {
        return Err(input(eyre::eyre!(
            "`{name}` is not a valid name for a signer"
        )));
    }
    let mut seed = [0; 32];
    let drawn = SysRng.try_fill_bytes(&mut seed);
    drawn
        .wrap_err("reading the system's random number generator")
        .map_err(failed)?;
    let key = sign::key_from_seed(seed);
    let pem = sign::to_pem(&key).map_err(failed)?;
    write_new(files::path_arg(args, "key"), &pem)?;
    let public = sign::public_key_hex(&key);
    output.show(&Key { name, public })
}

/// Creates a file; fails if it exists, since an overwritten private key can't be recovered.
fn write_new(path: &Path, text: &str) -> Result {
    let mut options = OpenOptions::new();
    let file = options
        .write(true)
        .create_new(true)
        .mode(PRIVATE_KEY_MODE)
        .open(path);
    let mut file = file
        .wrap_err_with(|| path.display().to_string())
        .map_err(input)?;
    let written = file
        .write_all(text.as_bytes())
        .and_then(|()| file.sync_all());
    written
        .wrap_err_with(|| path.display().to_string())
        .map_err(failed)
}
