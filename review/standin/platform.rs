//! A small deployment: the store, endpoints and nodes.

use crate::endpoint::{self, Kind};
use crate::node::Node;
use crate::record::Record;
use crate::store::Store;
use std::path::Path;
use std::thread;
use std::time::Duration;

const MANIFEST: &str = r#"{"version":1,"routes":[
{"name":"chat","host":"h","path_prefix":"/chat/","kind":"streaming","timeout_ms":20000,"target_latency_ms":500,"priority":1,"service":"model","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":250},
{"name":"read","host":"h","path_prefix":"/read/","kind":"safe","timeout_ms":1200,"target_latency_ms":150,"priority":2,"service":"app","max_attempts":2,"public":false}],
"services":[{"name":"model","health_path":"/health","max_conns":1068,"engine":{"slots":192,"kv_token_bytes":59000,"stride":4,"models":[{"name":"m","load_s":0.5}],"step_ms":30.0,"per_seq_ms":0.005,"context_per_k":0.006,"read_per_s":164000.0,"chunk":512,"pairs_per_m":0.199,"report_lag_ms":200.0,"loads_at_once":6,"delays":[],"usual":{"prompt":100,"answer":160},"layers":8,"layer_mb":1750.0,"act_bytes":29500,"pipe_mbps":13000.0,"kinds":[{"name":"card","megabytes":24000.0,"pace":1.0,"read_x":1.0}]}},
{"name":"app","health_path":"/health","max_conns":100}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"north","api_keys":["k1"],"priority":1}]}"#;

/// Number of endpoints of the plain service.
const PLAIN_ENDPOINTS: u32 = 3;
const PLAIN: Kind = Kind::Plain {
    work: Duration::from_millis(30),
};

/// Starts `N` nodes and this number of engines of this kind, and waits until the nodes are ready and know the
/// engines' layers; `None` if they do not get ready.
pub fn start<const N: usize>(
    root: &Path,
    dir: &Path,
    engines: u32,
    engine: Kind,
    record: &Record,
) -> Option<[Node; N]> {
    let store = Store::start();
    store.put("keyed.op", "config", MANIFEST);
    for number in 0..engines {
        endpoint::start(&format!("i-e{number}"), "a", engine, &store, record);
    }
    for number in 0..PLAIN_ENDPOINTS {
        endpoint::start(&format!("i-p{number}"), "a", PLAIN, &store, record);
    }
    let mut nodes: [Node; N] = std::array::from_fn(|number| {
        Node::new(
            root,
            dir,
            &format!("front-a-{}", number + 1),
            "a",
            store.addr,
        )
    });
    // The settings name at most three seeds.
    let seeds: Vec<_> = nodes.iter().map(|node| node.control).take(3).collect();
    for node in &mut nodes {
        node.set_seeds(&seeds);
        node.start();
    }
    let ready = nodes
        .iter()
        .all(|node| node.wait_until_ready(Duration::from_secs(10)));
    // The platform starts the traffic ten seconds after the machines.
    thread::sleep(Duration::from_secs(6));
    ready.then_some(nodes)
}
