//! The real binary as a process, with settings in a file of its own.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

const BINARY: &str = env!("CARGO_BIN_EXE_wigeonshelf");

/// Writes settings for the process that will listen at `addr`; no other one gets that address.
pub fn settings(addr: SocketAddr, content: &str) -> PathBuf {
    let name = format!("node-{}-{}.ini", addr.ip(), addr.port());
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, content).unwrap();
    file
}

/// Checks a settings file and returns what the command tells.
pub fn check(file: &Path) -> std::process::Output {
    let mut command = Command::new(BINARY);
    command.args(["check", "--config", file.to_str().unwrap()]);
    command.output().unwrap()
}

/// A process. It is killed, and its settings are removed, when this is dropped.
pub struct Process {
    child: Child,
    pub file: PathBuf,
}

impl Process {
    /// Starts one with the settings in `file`.
    pub fn start(file: PathBuf) -> Self {
        Self {
            child: spawn(&file),
            file,
        }
    }

    /// Starts it again with the same settings.
    pub fn restart(&mut self) {
        self.child = spawn(&self.file);
    }

    /// Kills it, which tells nobody, and leaves its settings.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// How it ended, if it has.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// Sends a signal; false if the process takes none, since it has ended.
    pub fn signal(&self, name: &str) -> bool {
        let mut command = Command::new("kill");
        command.args([name, &self.child.id().to_string()]);
        let status = command.stderr(Stdio::null()).status().unwrap();
        status.success()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

fn spawn(file: &Path) -> Child {
    let mut command = Command::new(BINARY);
    command.args(["--config", file.to_str().unwrap()]);
    command.stdout(Stdio::null()).spawn().unwrap()
}
