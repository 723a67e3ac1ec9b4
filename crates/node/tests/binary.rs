//! The binary: command line, findings in settings, and signals.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::time::{Duration, Instant};

/// Maximum time to wait for an expected state.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the state is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

fn wigeonshelf(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wigeonshelf"));
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/cases");
    command
        .args(args)
        .current_dir(folder)
        .output()
        .expect("the binary runs")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn help_and_version_go_to_standard_output() {
    let help = wigeonshelf(&["--help"]);
    assert!(help.status.success() && help.stderr.is_empty());
    for word in ["--config", "check", "--version"] {
        assert!(text(&help.stdout).contains(word), "{word}");
    }
    let version = wigeonshelf(&["--version"]);
    assert!(version.status.success());
    assert_eq!(
        text(&version.stdout),
        format!("wigeonshelf {}\n", env!("CARGO_PKG_VERSION"))
    );
}

#[test]
fn invalid_command_lines_exit_with_code_2() {
    let lines: [&[&str]; 5] = [
        &[],
        &["check"],
        &["--none-such"],
        &["check", "--config", "none-such.ini"],
        &["--config", "none-such.ini"],
    ];
    for args in lines {
        let output = wigeonshelf(args);
        assert_eq!(output.status.code(), Some(2), "{args:?}");
        assert!(
            !output.stderr.is_empty() && output.stdout.is_empty(),
            "{args:?}"
        );
    }
}

#[test]
fn valid_settings_pass_the_check() {
    let output = wigeonshelf(&["check", "--config", "good.ini"]);
    assert!(output.status.success(), "{output:?}");
    assert!(text(&output.stdout).contains("entry-1") && output.stderr.is_empty());
}

// An operator sees every finding with its place in a single run, before anything is started:
// `check` and a start report the same findings.
#[test]
fn every_finding_is_reported_and_nothing_is_started() {
    let case = include_str!("cases/faults.ini");
    let expected: Vec<&str> = case
        .lines()
        .filter_map(|l| l.strip_prefix("; expect "))
        .collect();
    for args in [
        &["check", "--config", "faults.ini"][..],
        &["--config", "faults.ini"],
    ] {
        let output = wigeonshelf(args);
        assert_eq!(output.status.code(), Some(2));
        assert!(output.stdout.is_empty());
        assert_eq!(text(&output.stderr).lines().collect::<Vec<_>>(), expected);
    }
}

/// A running node without the services of the platform.
struct Node {
    child: Child,
    admin: SocketAddr,
    callers: SocketAddr,
    file: PathBuf,
}

fn settings(name: &str, drain: &str, callers: u16) -> String {
    format!(
        "[node]\nname = {name}\nzone = a\nregion = south\nworkers = 1\n\
         drain = {drain}\naddress_ttl = 0s\n\
         [callers]\nlisten = 127.0.0.1:{callers}\n\
         [peers]\nlisten = 127.0.0.1:0\nkey = {}\n\
         [admin]\nlisten = 127.0.0.1:0\n\
         [platform]\nlog = 127.0.0.1:9\nlist = 127.0.0.1:9\n\
         [trust]\nalice = d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a\n\
         [logging]\nlevel = info\n",
        "01".repeat(32)
    )
}

/// Writes settings into a file named after the test.
fn write(name: &str, settings: &str) -> PathBuf {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.ini"));
    std::fs::write(&file, settings).expect("the settings file is written");
    file
}

/// Returns the address that follows `word` in a line.
fn addr_after(line: &str, word: &str) -> SocketAddr {
    let rest = line.split(word).nth(1).expect("the line contains the word");
    let addr = rest.trim().split(',').next().expect("an address");
    addr.parse().expect("an address")
}

impl Node {
    /// Starts a node on ports that the kernel assigns and the node logs.
    fn start(name: &str, drain: &str) -> Self {
        let file = write(name, &settings(name, drain, 0));
        let mut command = Command::new(env!("CARGO_BIN_EXE_wigeonshelf"));
        command.arg("--config").arg(&file).stderr(Stdio::piped());
        let mut child = command.spawn().expect("the process starts");
        let mut lines = BufReader::new(child.stderr.take().expect("stderr")).lines();
        let line = lines.find(|l| l.as_ref().is_ok_and(|l| l.contains("serves callers on ")));
        let line = line.expect("the node logs its listeners").expect("a line");
        // The rest of the log is read and discarded, so that the node never blocks on a full pipe.
        std::thread::spawn(move || lines.count());
        let node = Self {
            child,
            admin: addr_after(&line, "admin on "),
            callers: addr_after(&line, "callers on "),
            file,
        };
        wait_until("/healthz responds", || {
            node.get(node.admin, "/healthz")
                .starts_with("HTTP/1.1 200 ")
        });
        node
    }

    /// Returns the response to a GET request; it is empty if there is none.
    fn get(&self, addr: SocketAddr, path: &str) -> String {
        let mut answer = Vec::new();
        if let Ok(mut stream) = TcpStream::connect(addr) {
            let _ = stream.set_read_timeout(Some(TIMEOUT));
            let _ = write!(
                stream,
                "GET {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\r\n"
            );
            let _ = stream.read_to_end(&mut answer);
        }
        text(&answer)
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(status.expect("kill runs").success());
    }

    fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("a status")
    }

    /// Waits until the process ends and returns its exit code.
    fn wait_for_exit(&mut self) -> Option<i32> {
        wait_until("the node ends", || self.exit_status().is_some());
        self.exit_status().and_then(|s| s.code())
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // Has no effect on a process whose exit status has already been collected.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

fn wait_until(what: &str, mut test: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !test() {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

// A node without its platform responds on both listeners, and reports that it is not ready.
#[test]
fn started_node_answers() {
    let mut node = Node::start("answers", "0s");
    assert!(node.get(node.admin, "/readyz").starts_with("HTTP/1.1 503 "));
    assert!(
        node.get(node.admin, "/metrics")
            .starts_with("HTTP/1.1 200 ")
    );
    let refused = node.get(node.callers, "/v1/addresses");
    assert!(
        refused.starts_with("HTTP/1.1 503 ") && refused.contains("\"starting\""),
        "{refused}"
    );
    node.signal("TERM");
    assert_eq!(node.wait_for_exit(), Some(0));
}

// Guards against events between the threads that are lost without a trace: a full ring was counted,
// and the counter was read by no one.
#[test]
fn overflows_of_rings_are_on_the_metrics_page() {
    let node = Node::start("overflows", "0s");
    let page = node.get(node.admin, "/metrics");
    for ring in ["control", "worker"] {
        let counter = format!("wigeonshelf_ring_overflows_total{{to=\"{ring}\"");
        let line = page.lines().find(|l| l.starts_with(&counter));
        assert!(
            line.is_some_and(|l| l.ends_with(" 0")),
            "{counter}: {line:?}"
        );
    }
}

// Callers that use a cached address are still served while the node drains; then it exits with code
// 0.
#[test]
fn signal_drains_and_ends() {
    for signal in ["TERM", "INT"] {
        let mut node = Node::start(&format!("drains-{signal}"), "2s");
        node.signal(signal);
        let leaving = |node: &Node| {
            node.get(node.admin, "/admin/v1/status")
                .contains("\"leaving\":true")
        };
        wait_until("the node reports that it leaves", || leaving(&node));
        assert!(
            node.get(node.callers, "/v1/addresses")
                .starts_with("HTTP/1.1 503 ")
        );
        assert_eq!(node.wait_for_exit(), Some(0));
    }
}

// A second signal ends the process at once, for an operator who can't wait for a drain of an hour.
#[test]
fn second_signal_ends_at_once() {
    let mut node = Node::start("at-once", "1h");
    node.signal("TERM");
    let leaving = |node: &Node| {
        node.get(node.admin, "/admin/v1/status")
            .contains("\"leaving\":true")
    };
    wait_until("the node reports that it leaves", || leaving(&node));
    assert!(node.exit_status().is_none());
    node.signal("TERM");
    assert_eq!(node.wait_for_exit(), Some(0));
}

// A second process on the same port exits with code 1 and names the listener. If the kernel let
// both listen, each would silently get half of the callers' connections.
#[test]
fn port_in_use_is_reported() {
    let node = Node::start("first", "0s");
    let file = write("second", &settings("second", "0s", node.callers.port()));
    let mut command = Command::new(env!("CARGO_BIN_EXE_wigeonshelf"));
    command.arg("--config").arg(&file).stderr(Stdio::piped());
    let mut second = command.spawn().expect("the process starts");
    let end = Instant::now() + TIMEOUT / 3;
    while second.try_wait().expect("a status").is_none() {
        if Instant::now() > end {
            let _ = second.kill();
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    let output = second.wait_with_output().expect("the process ended");
    assert_eq!(output.status.code(), Some(1), "{output:?}");
    let message = text(&output.stderr);
    assert!(
        message.contains(&format!("callers' listener {}", node.callers)),
        "{message}"
    );
}
