//! A node as a process on the stand-in of the platform's store.

use crate::process::{self, Process};
use crate::standin::address;
use crate::standin::caller::{self, Call};
use std::net::SocketAddr;
use std::time::Duration;

/// Starts a node with a grace time in seconds and returns the address for its callers.
pub fn start_with(store: SocketAddr, grace_secs: u64) -> (Process, SocketAddr) {
    let [callers, peers] = std::array::from_fn(|_| address::unused());
    let settings = format!(
        "[node]\nname = drain\nzone = a\nregion = south\ngrace = {grace_secs}s\n[callers]\nlisten = {callers}\n\
         [peers]\nlisten = {peers}\nkey = {}\nseeds =\n[store]\naddress = {}\nheartbeat = 200ms\n\
         [logging]\nlevel = info\n",
        "01".repeat(32),
        store
    );
    let file = process::settings(callers, &settings);
    (Process::start(file), callers)
}

/// Waits until the node has the catalog.
pub async fn wait_for_catalog(addr: SocketAddr) {
    let call = Call {
        method: "GET",
        path: "/none/x",
        id: "r0",
        key: "k1",
        deadline: "1000",
    };
    for _ in 0..500 {
        if caller::send(addr, &call)
            .await
            .is_some_and(|answer| answer.status == http::StatusCode::NOT_FOUND)
        {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("the node gets no catalog");
}
