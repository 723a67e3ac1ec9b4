//! The real node, as a member of a fleet of stand-ins for readers.
#![allow(dead_code)]

use crate::process::{self, Process};
use crate::reader::Reader;
use crate::standin::address;
use crate::standin::caller::{self, Call};
use std::net::SocketAddr;

/// A running node in zone `a`.
pub struct Instance {
    /// Address for its peers.
    pub peers: SocketAddr,
    metrics: SocketAddr,
    _process: Process,
}

impl Instance {
    /// Starts a node that knows the address of the store and those of its peers.
    pub fn start(name: &str, key: &str, seeds: &[&Reader], store: SocketAddr) -> Self {
        let [callers, peers, metrics] = std::array::from_fn(|_| address::unused());
        let seeds: Vec<String> = seeds.iter().map(|r| r.link.addr().to_string()).collect();
        let seeds = seeds.join(", ");
        let settings = format!(
            "[node]\nname = {name}\nzone = a\nregion = south\ngrace = 3s\n\
             [callers]\nlisten = {callers}\n[metrics]\nlisten = {metrics}\n\
             [peers]\nlisten = {peers}\nkey = {key}\nseeds = {seeds}\n\
             [store]\naddress = {store}\nheartbeat = 200ms\n[logging]\nlevel = info\n"
        );
        Self {
            peers,
            metrics,
            _process: Process::start(process::settings(callers, &settings)),
        }
    }

    /// Returns a page of the metrics address, such as `/dump`; `None` if the node does not respond.
    pub async fn page(&self, path: &str) -> Option<String> {
        let call = Call {
            method: "GET",
            path,
            id: "r1",
            key: "",
            deadline: "4000",
        };
        Some(caller::send(self.metrics, &call).await?.body)
    }
}
