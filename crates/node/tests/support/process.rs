//! Runs the real binary as a process, with a settings file of its own.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

const BINARY: &str = env!("CARGO_BIN_EXE_wigeonshelf");

/// Writes the settings file of the process that is to listen at `addr`. The address names the file,
/// since no other process gets it.
pub fn settings(addr: SocketAddr, content: &str) -> PathBuf {
    let name = format!("node-{}-{}.ini", addr.ip(), addr.port());
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, content).unwrap();
    file
}

/// Runs the `check` command on a settings file, and returns its status and output.
pub fn check(file: &Path) -> std::process::Output {
    let mut command = Command::new(BINARY);
    command.args(["check", "--config", file.to_str().unwrap()]);
    command.output().unwrap()
}

/// A running process. Dropping it kills the process and removes the settings file.
pub struct Process {
    child: Child,
    pub file: PathBuf,
}

impl Process {
    /// Starts a process with the settings in `file`.
    pub fn start(file: PathBuf) -> Self {
        Self {
            child: spawn(&file),
            file,
        }
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self) {
        self.child = spawn(&self.file);
    }

    /// Kills the process without a drain, and keeps its settings.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Returns the exit status if the process has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// Returns what the process uses and has used. The process must be running.
    pub fn usage(&self) -> Usage {
        let value = |name| self.status_kb(name).unwrap_or_else(|| panic!("no {name}"));
        let folder = format!("/proc/{}/fd", self.child.id());
        Usage {
            peak_kb: value("VmHWM:"),
            resident_kb: value("VmRSS:"),
            descriptors: std::fs::read_dir(folder).unwrap().count() as u64,
        }
    }

    /// Returns the largest resident memory so far, in binary kilobytes; `None` once the process has ended.
    pub fn peak_kb(&self) -> Option<u64> {
        self.status_kb("VmHWM:")
    }

    /// Returns an amount of the kernel's status of the process, in binary kilobytes.
    fn status_kb(&self, name: &str) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find_map(|l| l.strip_prefix(name))?;
        line.split_whitespace().next()?.parse().ok()
    }

    /// Returns the time of the processor that the process has used, which the kernel counts in ticks of 10 ms.
    pub fn processor_time(&self) -> Duration {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields = stat.rsplit(')').next().unwrap().split_whitespace();
        let ticks: u64 = fields
            .skip(11)
            .take(2)
            .map(|t| t.parse::<u64>().unwrap())
            .sum();
        Duration::from_millis(10 * ticks)
    }

    /// Prepares a signal.
    pub fn prepare_signal(&self, name: &str) -> PreparedSignal {
        let script = format!("read -r line; kill {name} {}", self.child.id());
        let mut command = Command::new("sh");
        command.args(["-c", &script]).stdin(Stdio::piped());
        PreparedSignal(command.stderr(Stdio::null()).spawn().unwrap())
    }

    /// Sends a signal. Returns false if the process has already ended.
    pub fn signal(&self, name: &str) -> bool {
        let mut command = Command::new("kill");
        command.args([name, &self.child.id().to_string()]);
        let status = command.stderr(Stdio::null()).status().unwrap();
        status.success()
    }
}

/// What a process uses.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Largest resident memory so far, in binary kilobytes.
    pub peak_kb: u64,
    /// Resident memory, in binary kilobytes.
    pub resident_kb: u64,
    /// Number of open descriptors.
    pub descriptors: u64,
}

/// A signal that is sent without the delay of starting a program.
pub struct PreparedSignal(Child);

impl PreparedSignal {
    /// Sends the signal.
    pub fn send(mut self) {
        drop(self.0.stdin.take());
        self.0.wait().unwrap();
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
    command.stdout(output(file)).spawn().unwrap()
}

/// Returns where the lines of a process go: to a file in the folder that the environment variable
/// `NODE_LOGS` names, named like its settings.
fn output(file: &Path) -> Stdio {
    let Some(folder) = std::env::var_os("NODE_LOGS") else {
        return Stdio::null();
    };
    let name = file.with_extension("log");
    let path = Path::new(&folder).join(name.file_name().unwrap());
    let mut options = std::fs::OpenOptions::new();
    options.create(true).append(true);
    options.open(path).unwrap().into()
}
