//! Support shared by the tests: a folder with an operator's files.
#![allow(dead_code, reason = "each test file uses some of it")]

use bundle::signer::Signer;
use serde_json::Value;
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Signs the example bundle as the first version, to standard output.
pub const SIGN_FIRST: [&str; 7] = [
    "sign",
    "bundle.ini",
    "--name",
    "mira",
    "--key",
    "mira.pem",
    "--first",
];

/// Temporary folder with an operator's files; removed on drop.
pub struct Workdir(PathBuf);

impl Workdir {
    /// Creates a folder with the example bundle.
    pub fn new(name: &str) -> Self {
        let folder = format!("wigeonctl-{name}-{}", std::process::id());
        let dir = Self(std::env::temp_dir().join(folder));
        fs::create_dir_all(&dir.0).unwrap();
        dir.write("bundle.ini", include_str!("../../../etc/bundle.ini"));
        dir
    }

    /// Runs `wigeonctl` in the folder.
    pub fn run(&self, args: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_wigeonctl"));
        command.current_dir(&self.0).args(args).output().unwrap()
    }

    /// Creates a key for each name, and `trust.ini` with all public keys.
    pub fn signers(&self, names: &[&str]) {
        let mut trust = String::new();
        for name in names {
            let key = format!("{name}.pem");
            let output = self.run(&["keygen", "--name", name, "--key", &key]);
            ok(&output);
            trust += &String::from_utf8(output.stdout).unwrap();
        }
        self.write("trust.ini", &trust);
    }

    /// Signs the example bundle as the first version, into `1.json`.
    pub fn sign_first(&self) {
        ok(&self.run(&[&SIGN_FIRST[..], &["--out", "1.json"]].concat()));
    }

    /// Returns the folder.
    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Writes a file in the folder.
    pub fn write(&self, name: &str, text: &str) {
        fs::write(self.0.join(name), text).unwrap();
    }

    /// Reads a file in the folder.
    pub fn read(&self, name: &str) -> String {
        fs::read_to_string(self.0.join(name)).unwrap()
    }
}

impl Drop for Workdir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Asserts that the command succeeded; prints its stderr otherwise.
pub fn ok(output: &Output) {
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{:?}: {stderr}", output.status);
}

/// Asserts that the command succeeded and returns the JSON on its stdout.
pub fn json(output: &Output) -> Value {
    ok(output);
    serde_json::from_slice(&output.stdout).unwrap()
}

/// Parses the keys of a section `[trust]`, independently of the tool's own parser.
pub fn trusted(text: &str) -> Vec<Signer> {
    let lines = text.lines().filter_map(|l| l.split_once(" = "));
    let signers = lines.map(|(name, key)| Signer {
        name: name.into(),
        key: bundle::signer::parse_key(key).unwrap(),
        revoked: false,
    });
    signers.collect()
}
