//! The real node, as a member of a fleet of others or of stand-ins for readers.
#![allow(dead_code)]

use crate::process::{self, Process};
use crate::standin::address;
use crate::standin::caller::{self, Call};
use std::net::SocketAddr;

/// A running node.
pub struct Instance {
    /// Address for its peers.
    pub peers: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for requests for the list of callers' addresses.
    pub addresses: SocketAddr,
    pub process: Process,
    metrics: SocketAddr,
}

impl Instance {
    /// Starts a node that knows the address of the store and those of its peers.
    pub fn start(name: &str, key: &str, seeds: &[SocketAddr], store: SocketAddr) -> Self {
        Self::start_in("a", name, key, seeds, store)
    }

    /// Like [`Self::start`], in another zone.
    pub fn start_in(
        zone: &str,
        name: &str,
        key: &str,
        seeds: &[SocketAddr],
        store: SocketAddr,
    ) -> Self {
        let [callers, addresses, peers, metrics] = std::array::from_fn(|_| address::unused());
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        let seeds = seeds.join(", ");
        let settings = format!(
            "[node]\nname = {name}\nzone = {zone}\nregion = south\ngrace = 3s\n\
             [callers]\nlisten = {callers}\n[addresses]\nlisten = {addresses}\n\
             [metrics]\nlisten = {metrics}\n\
             [peers]\nlisten = {peers}\nkey = {key}\nseeds = {seeds}\n\
             [store]\naddress = {store}\nheartbeat = 200ms\n[logging]\nlevel = info\n"
        );
        Self {
            peers,
            callers,
            addresses,
            process: Process::start(process::settings(callers, &settings)),
            metrics,
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
