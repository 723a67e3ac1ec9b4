//! Nodes: processes of the project, started by the command of the deploy file with settings from its template.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Addresses of a node.
#[derive(Clone, Copy, Debug)]
pub struct Addrs {
    pub callers: SocketAddr,
    pub directory: SocketAddr,
    pub ready: SocketAddr,
    pub peers: SocketAddr,
}

/// What differs between the nodes of a deployment.
#[derive(Clone, Debug)]
pub struct Setup {
    pub name: String,
    pub zone: String,
    /// Loopback address of the machine.
    pub ip: String,
    pub addrs: Addrs,
    pub seeds: Vec<SocketAddr>,
    pub store: SocketAddr,
    pub memory_mb: u32,
}

/// A running process, which is killed when this is dropped.
pub struct Node {
    pub setup: Setup,
    child: Child,
}

/// Returns free ports of a loopback address.
pub fn free_addrs(ip: &str) -> Addrs {
    let bind = || TcpListener::bind((ip, 0)).unwrap();
    let all = [bind(), bind(), bind(), bind()];
    let [callers, directory, ready, peers] = all.map(|l| l.local_addr().unwrap());
    Addrs {
        callers,
        directory,
        ready,
        peers,
    }
}

/// Returns the values of a `key = "value"` line of the deploy file.
fn deploy_value(text: &str, key: &str) -> String {
    let lines = text.lines().filter_map(|l| l.split_once('='));
    let mut values = lines.filter(|(name, _)| name.trim() == key).map(|(_, v)| v);
    values
        .next()
        .unwrap_or_default()
        .trim()
        .trim_matches('"')
        .to_owned()
}

impl Setup {
    /// Fills in the template of the deploy file.
    fn settings(&self, template: &str) -> String {
        let seeds: Vec<String> = self.seeds.iter().map(|s| s.to_string()).collect();
        let values = [
            ("node_name", self.name.clone()),
            ("zone", self.zone.clone()),
            ("region", "tas-south".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
            ("listen.front", self.addrs.callers.to_string()),
            ("listen.directory", self.addrs.directory.to_string()),
            ("listen.ready", self.addrs.ready.to_string()),
            ("listen.control", self.addrs.peers.to_string()),
            ("seeds", seeds.join(",")),
            ("platform.address", self.store.to_string()),
            ("heartbeat_ms", "1200".to_owned()),
            ("ip", self.ip.clone()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.budget_slack", "198".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("limits.max_fds", "4200".to_owned()),
        ];
        values
            .iter()
            .fold(template.to_owned(), |text, (name, value)| {
                text.replace(&format!("{{{{{name}}}}}"), value)
            })
    }

    /// Starts the node. Its settings and its output are in `folder`.
    pub fn start(self, folder: &Path) -> Node {
        let root = std::env::current_dir().unwrap();
        let deploy = std::fs::read_to_string(root.join("deploy/system.toml")).unwrap();
        let template =
            std::fs::read_to_string(root.join(deploy_value(&deploy, "template"))).unwrap();
        let file: PathBuf = folder.join(format!("{}.ini", self.name));
        std::fs::write(&file, self.settings(&template)).unwrap();
        let run = deploy_value(&deploy, "run");
        let run = run.replace("/etc/wigeonshelf/settings.json", file.to_str().unwrap());
        let run = run.replace("{{limits.memory_mb}}", &self.memory_mb.to_string());
        let words: Vec<&str> = run.split(' ').collect();
        let log = folder.join(format!("{}.log", self.name));
        let output = File::options().create(true).append(true).open(log).unwrap();
        let child = Command::new(root.join(words[0]))
            .args(&words[1..])
            .env("WIGEONSHELF_BOOT", &file)
            .stdin(Stdio::null())
            .stderr(output.try_clone().unwrap())
            .stdout(output)
            .spawn()
            .expect("the build of the deploy file is missing");
        Node { setup: self, child }
    }
}

impl Node {
    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = "GET /wigeonshelf/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        crate::client::exchange(
            self.setup.addrs.ready,
            request.as_bytes(),
            Duration::from_secs(1),
        )
        .is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until it is ready.
    pub fn await_ready(&self, limit: Duration) -> bool {
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
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
