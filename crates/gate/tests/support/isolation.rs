//! Isolation of a node from the endpoints of a service.

use super::caller::{request, send};
use super::{Node, endpoint_at, node, refusing_addr};
use gate::view::{Relay, View};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use steer::transition::Transition;

/// Time within which a node must know that it is isolated.
const DETECTION_TIME: Duration = Duration::from_secs(2);

/// Returns the reports of isolation that a node made.
pub fn isolations(node: &Node) -> Vec<bool> {
    let transitions = node.transitions.borrow();
    let isolations = transitions.iter().filter_map(|t| match t {
        Transition::Isolation { isolated, .. } => Some(*isolated),
        _ => None,
    });
    isolations.collect()
}

/// Lets the view of a node list another node as relay.
pub fn add_relay(node: &Node, addr: SocketAddr, isolated_from: &[&str]) {
    let current = node.shared_view.load_full().unwrap();
    let mut changed = View::clone(&current);
    changed.relays.push(Relay {
        addr,
        isolated_from: isolated_from.iter().map(|s| (*s).to_owned()).collect(),
    });
    node.shared_view.store(Some(Arc::new(changed)));
}

/// Sends requests until the node knows that it is isolated.
pub async fn isolate(node: &Node, path: &str) {
    let isolated = async {
        while isolations(node).is_empty() {
            send(node.addr, request(path)).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let isolated = tokio::time::timeout(DETECTION_TIME, isolated).await;
    isolated.expect("the node does not know that it is isolated");
}

/// Starts a node whose plain endpoints refuse connections.
pub async fn refused_node() -> Node {
    refused_node_for("/once/x").await
}

/// Starts a node whose endpoints that serve this path refuse connections.
pub async fn refused_node_for(path: &str) -> Node {
    let endpoint = endpoint_at(path);
    node((0..3).map(|_| endpoint(refusing_addr())).collect()).await
}
