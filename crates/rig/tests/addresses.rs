//! Entry nodes that are offered to callers.

use http::{Method, StatusCode};
use rig::caller::{Addresses, Caller, get};
use rig::fleet::{Fleet, wait};
use rig::plan::Plan;
use std::time::Duration;

/// Number of requests for addresses, since their order is drawn at random.
const REQUESTS: usize = 20;

/// Nodes 0 and 2 in zone-0, nodes 1 and 3 in zone-1.
async fn fleet() -> Fleet {
    let plan = Plan {
        nodes: 4,
        zones: 2,
        address_ttl: Duration::from_secs(2),
        drain: Duration::from_secs(4),
        ..Plan::default()
    };
    Fleet::start(plan).await.expect("fleet")
}

async fn zones(fleet: &Fleet, node: usize, query: &str) -> Vec<String> {
    let path = format!("/v1/addresses{query}");
    let answer: Addresses = get(fleet.node(node).callers, &path)
        .await
        .expect("addresses");
    assert_eq!(answer.ttl_seconds, 2);
    answer.addresses.into_iter().map(|l| l.zone).collect()
}

// A caller that gives its zone gets that zone's nodes first from any node. Without a zone, or with
// one that is not in the bundle, the answering node's own zone is used.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_of_the_zone_come_first() {
    let fleet = fleet().await;
    let (zero, one) = (
        ["zone-0", "zone-0", "zone-1", "zone-1"],
        ["zone-1", "zone-1", "zone-0", "zone-0"],
    );
    for _ in 0..REQUESTS {
        for node in 0..2 {
            assert_eq!(zones(&fleet, node, "?zone=zone-0").await, zero);
            assert_eq!(zones(&fleet, node, "?zone=zone-1").await, one);
        }
        for query in [
            "",
            "?zone=",
            "?zone=none-such",
            "?zone=%zz",
            "?zone=%ff&zone=zone-0",
            "?other=1",
        ] {
            assert_eq!(zones(&fleet, 0, query).await, zero, "{query}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_spread_over_the_nodes_of_a_zone() {
    let fleet = fleet().await;
    let mut first = Vec::new();
    for _ in 0..4 * REQUESTS {
        let answer: Addresses = get(fleet.node(1).callers, "/v1/addresses")
            .await
            .expect("addresses");
        first.push(answer.addresses[0].url.clone());
    }
    first.sort();
    first.dedup();
    assert_eq!(first.len(), 2, "{first:?}");
}

// Addresses are served without a key and also with an invalid one, because callers request them
// before anything else.
#[tokio::test(flavor = "multi_thread")]
async fn address_request_needs_no_key() {
    let fleet = fleet().await;
    let headers = [("authorization", "Bearer other".to_owned())];
    let addr = fleet.node(0).callers;
    let answer = Caller::new()
        .call(addr, Method::GET, "/v1/addresses", &headers, "")
        .await;
    assert_eq!(answer.expect("answer").0, StatusCode::OK);
}

// No node offers a leaving node, not even that node itself, and the others are still offered.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_node_is_offered_by_no_node() {
    let fleet = fleet().await;
    let gone = fleet.node(2).callers.to_string();
    let unnamed = async {
        for node in 0..4 {
            wait("the node is not offered", || async {
                let named = get::<Addresses>(fleet.node(node).callers, "/v1/addresses").await;
                let urls: Vec<String> = named.map_or(Vec::new(), |n| {
                    n.addresses.into_iter().map(|l| l.url).collect()
                });
                urls.len() == 3 && urls.iter().all(|u| !u.ends_with(&gone))
            })
            .await
            .expect("unnamed");
        }
    };
    tokio::join!(fleet.node(2).leave(), unnamed);
}
