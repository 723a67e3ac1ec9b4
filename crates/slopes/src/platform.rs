//! Cost of reading the instance list and pages of the log.

use crate::size::SIZES;
use crate::slope::Slope;
use crate::{clock, fleet};
use node::control::instance_list::InstanceList;
use platform::format::{self, Instances, Item, Page};
use platform::instance::Instance;

/// Number of instances: those of endpoints and those of nodes.
const TOTAL_INSTANCES: f64 = 9_770.0;

/// Measures size, decoding, comparison and memory of the instance list, and decoding of log pages.
pub fn slopes() -> Vec<Slope> {
    let new = |name, unit| Slope::new(name, unit, "instances", TOTAL_INSTANCES);
    let mut bytes = new("answer of the instance list", "KB");
    let mut read = new("answer decoded and checked", "us");
    let mut update = new("answer compared with the last", "us");
    let mut memory = new("memory of the list, two tables", "KB");
    for size in SIZES {
        let nodes = size.replicas / 12;
        let instances = fleet::instances(size, nodes);
        let x = instances.len() as f64;
        let answer = Instances {
            instances: instances.iter().map(Item::from).collect(),
        };
        let body = serde_json::to_vec(&answer).expect("encodes");
        bytes.add(x, body.len() as f64 / 1e3);
        read.add(x, clock::mean(|| decode(&body)));
        let mut list = InstanceList::default();
        update.add(x, clock::mean(|| list.update(&instances)));
        let copies = (20_000 / size.endpoints()).clamp(2, 32);
        let copy = || {
            let mut list = InstanceList::default();
            list.update(&instances);
            (list, instances.clone())
        };
        memory.add(x, clock::memory(copies, copy));
    }
    vec![bytes, read, update, memory, pages()]
}

/// Decodes and validates an instance list.
fn decode(body: &[u8]) -> Vec<Instance> {
    let raw: Instances = format::decode_json(body).expect("decodes");
    let checked = raw.instances.into_iter().map(Instance::try_from);
    checked.map(|i| i.expect("sound")).collect()
}

/// Measures decoding and validation of a log page. A record has 618 bytes, the size of a bundle's
/// delta.
fn pages() -> Slope {
    let mut slope = Slope::new("page of the log, decoded", "us", "records", 100.0);
    for count in [1, 100, 1_000] {
        let record = |offset| format::Record {
            offset,
            body: vec![7; 618],
        };
        let page = Page {
            first: 0,
            next: count,
            records: (0..count).map(record).collect(),
        };
        let body = page.encode();
        let read = || platform::Page::try_from(Page::decode(&body).expect("decodes"));
        slope.add(count as f64, clock::mean(read));
    }
    slope
}
