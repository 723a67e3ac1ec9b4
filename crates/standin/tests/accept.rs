//! Stand-ins of the platform when file descriptors run out.

use platform::{Limits, Log as _, http};
use standin::log::Log;
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::time::Duration;

/// Set for the process whose file descriptors run out.
const LIMITED: &str = "STANDIN_TEST_LIMITED";
/// Name of the test, which the process runs again under a limit.
const TEST: &str = "accept_errors_are_retried_with_a_pause";
/// Time during which no connection can be accepted.
const OUTAGE: Duration = Duration::from_millis(500);
/// Maximum processor time during the outage, in clock ticks of 10 ms.
const MAX_TICKS: u64 = 10;

/// Returns the processor time of this process, in clock ticks.
fn processor_ticks() -> u64 {
    let stat = std::fs::read_to_string("/proc/self/stat").expect("the state of the process");
    let (_, fields) = stat.rsplit_once(") ").expect("fields after the name");
    let fields: Vec<&str> = fields.split(' ').collect();
    let ticks = fields[11..13].iter().map(|field| field.parse::<u64>());
    ticks.map(|ticks| ticks.expect("a number")).sum()
}

/// Opens connections until there is no file descriptor for another one.
fn exhaust(addr: SocketAddr) -> Vec<TcpStream> {
    let connect = || TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok();
    std::iter::from_fn(connect).collect()
}

// Guards against a stand-in that takes a whole core, and so slows the test down that it serves,
// while connections can't be accepted.
#[test]
fn accept_errors_are_retried_with_a_pause() {
    if std::env::var_os(LIMITED).is_none() {
        let program = std::env::current_exe().expect("this program");
        let mut command = Command::new("sh");
        command.args([
            "-c",
            "ulimit -n 40 && exec \"$0\" --exact \"$1\" --nocapture",
        ]);
        command.arg(program).arg(TEST).env(LIMITED, "1");
        let output = command.output().expect("the program runs");
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{text}");
        return;
    }
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let log = Log::start(SocketAddr::from(([127, 0, 0, 1], 0)))
            .await
            .expect("starts");
        // No file can be read once the connections are open.
        let before = processor_ticks();
        let connections = exhaust(log.addr);
        tokio::time::sleep(OUTAGE).await;
        drop(connections);
        let used = processor_ticks() - before;
        assert!(used <= MAX_TICKS, "{used} ticks in {OUTAGE:?}");
        let client = http::Log::new(log.addr, Limits::default());
        let appended = client.append("a", bytes::Bytes::from_static(b"x")).await;
        assert_eq!(appended, Ok(0));
    });
}
