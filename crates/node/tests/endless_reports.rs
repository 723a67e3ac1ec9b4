//! Engines whose status reports don't end, before a node with little memory.

#[path = "crowd/caller.rs"]
mod caller;
#[path = "support/process.rs"]
mod process;
#[allow(dead_code)]
#[path = "crowd/site.rs"]
mod site;
#[path = "../../../platform/standin/mod.rs"]
mod standin;

use adapter::report::{Control, Session};
use memory::budget::Budget;
use site::Site;
use standin::endless::{self, Kind};
use standin::manifest;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Number of engines.
const ENGINES: usize = 120;
/// Time in which each of them is asked several times.
const WATCH_TIME: Duration = Duration::from_secs(4);
/// Most bytes that a connection may take for a report, of which the kernels hold up to half.
const MAX_BYTES: usize = 8 << 20;
/// Time in which what a closed connection has taken is known.
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// Runs a node before engines that send these in turn, and checks its memory and an ordinary request.
async fn check_beside(name: &str, kinds: &[Kind]) {
    let mut site = Site::start(name).await;
    site.store.put_manifest(&manifest(2, "/safe/"));
    for (number, kind) in (0..ENGINES).zip(kinds.iter().cycle()) {
        let (addr, _) = endless::start(*kind).await;
        endless::register_engine(&site.store, &format!("e{number}"), addr);
    }
    tokio::time::sleep(WATCH_TIME).await;
    site.node.check(name);
    site.node.check_ordinary(name).await;
}

// Guards against reports that together take the memory of the machine, which ends the process with the requests
// of callers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reports_without_end_leave_room() {
    check_beside("bodies", &[Kind::Body]).await;
    check_beside("refusals", &[Kind::Refusal]).await;
    check_beside("mixed", &Kind::ALL).await;
}

async fn fetch(addr: SocketAddr, budget: Budget) {
    let report = Control::new(addr, budget).fetch_report().await;
    assert!(report.is_err(), "a report without end");
}

async fn poll(addr: SocketAddr, budget: Budget) {
    let (mut session, driver) = Session::open(addr, budget).await.unwrap();
    tokio::spawn(driver.run());
    assert!(session.poll(true).await.is_err(), "a report without end");
}

// Guards against a report that keeps a core busy for as long as a call may last, and against reports that wait
// for each other.
#[tokio::test]
async fn a_report_without_end_ends_its_connection() {
    let budget = Budget::new(1 << 20, 0);
    for kind in Kind::ALL {
        let (addr, taken) = endless::start(kind).await;
        fetch(addr, budget.clone()).await;
        poll(addr, budget.clone()).await;
        tokio::time::sleep(SETTLE_TIME).await;
        let taken = taken.load(Ordering::Relaxed);
        assert!(taken <= MAX_BYTES, "{kind:?}: {taken}");
        assert_eq!(budget.used(), 0, "{kind:?}");
    }
}
