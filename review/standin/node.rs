//! Nodes as processes, with settings made from the template of the deploy file.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::http::Conn;

pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub directory: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    root: PathBuf,
    file: PathBuf,
    process: Option<Child>,
}

/// Lowest port for nodes, and number of ports for each script. They lie below those that the kernel gives to
/// outgoing connections, and differ between scripts that run beside each other.
const FIRST_PORT: u32 = 12_000;
const PORTS_PER_SCRIPT: u32 = 80;
const SCRIPTS: u32 = 250;

/// Number of ports that were looked at.
static TAKEN: AtomicU32 = AtomicU32::new(0);

/// Returns a free port on a loopback address, another one each time.
fn free() -> SocketAddr {
    let first = FIRST_PORT + std::process::id() % SCRIPTS * PORTS_PER_SCRIPT;
    loop {
        let port = first + TAKEN.fetch_add(1, Ordering::SeqCst);
        let port = u16::try_from(port).expect("a free port");
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("address");
        }
    }
}

impl Node {
    /// Writes the settings of a node; it is not started yet.
    pub fn new(root: &Path, dir: &Path, name: &str, zone: &str, store: SocketAddr) -> Self {
        let [callers, directory, ready, control, metrics] = std::array::from_fn(|_| free());
        let template = fs::read_to_string(root.join("deploy/node.ini")).expect("template");
        let values = [
            ("node_name", name.to_owned()),
            ("zone", zone.to_owned()),
            ("region", "south".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
            ("listen.front", callers.to_string()),
            ("listen.directory", directory.to_string()),
            ("listen.ready", ready.to_string()),
            ("listen.control", control.to_string()),
            ("platform.address", store.to_string()),
            ("heartbeat_ms", "1200".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.budget_slack", "198".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("limits.max_fds", "4200".to_owned()),
        ];
        let mut text = template.replace("{{ip}}:9464", &metrics.to_string());
        for (key, value) in values {
            text = text.replace(&format!("{{{{{key}}}}}"), &value);
        }
        let file = dir.join(format!("{name}.ini"));
        fs::write(&file, text).expect("settings");
        Self {
            name: name.to_owned(),
            callers,
            directory,
            ready,
            control,
            root: root.to_owned(),
            file,
            process: None,
        }
    }

    /// Names the first nodes to contact.
    pub fn set_seeds(&self, seeds: &[SocketAddr]) {
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        let text = fs::read_to_string(&self.file).expect("settings");
        fs::write(&self.file, text.replace("{{seeds}}", &seeds.join(","))).expect("settings");
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let mut command = Command::new(self.root.join("target/release/wigeonshelf"));
        command
            .arg("--config")
            .arg(&self.file)
            .current_dir(&self.root);
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.file.with_extension("log"));
        command
            .stdin(Stdio::null())
            .stdout(log.map_or(Stdio::null(), Stdio::from))
            .stderr(Stdio::null());
        self.process = command.spawn().ok();
    }

    pub fn signal(&self, signal: &str) -> Instant {
        let sent_at = Instant::now();
        if let Some(process) = &self.process {
            let _ = Command::new("kill")
                .arg(signal)
                .arg(process.id().to_string())
                .status();
        }
        sent_at
    }

    /// Returns the resident memory of the process; 0 if it does not run.
    pub fn memory_mb(&self) -> u64 {
        let id = self.process.as_ref().map_or(0, Child::id);
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kib.unwrap_or(0) / 1024
    }

    /// Waits until the process has ended by itself, and kills it after `limit`, as the platform does.
    pub fn wait_for_end(&mut self, limit: Duration) {
        let until = Instant::now() + limit;
        if let Some(process) = &mut self.process {
            while Instant::now() < until {
                if matches!(process.try_wait(), Ok(Some(_))) {
                    return;
                }
                std::thread::sleep(Duration::from_millis(10));
            }
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> std::io::Result<u16> {
            let mut conn = Conn::connect(self.ready, Duration::from_millis(500))?;
            conn.stream
                .set_read_timeout(Some(Duration::from_millis(500)))?;
            conn.write(b"GET /wigeonshelf/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")?;
            Ok(conn.message()?.status())
        };
        ask().is_ok_and(|status| status == 200)
    }

    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        if let Some(process) = &mut self.process {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}
