//! Bundles of each size, parsed from generated text, with load reports and instance lists to match.

use crate::size::Size;
use bundle::Bundle;
use bundle::sign;
use engine::load::{Loaded, Report};
use platform::instance::{Instance, State};
use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

/// Number of layers of a model.
const LAYERS: u16 = 64;
/// Number of requests that an endpoint runs concurrently.
const SLOTS: u32 = 32;

/// Returns the bundle text of a fleet. Team 0 has the rate limit `rate`, so that two texts that
/// differ only in `rate` give a small delta.
pub fn text(size: Size, rate: usize) -> String {
    let mut t = String::new();
    for z in 0..size.zones {
        let _ = writeln!(t, "[zone zone-{z:02}]\nregion = region-{}", z % 8);
    }
    for k in 0..4 {
        let speed = 5_000 * (k + 1);
        let _ = writeln!(t, "[kind kind-{k}]\nlayers_per_second = {speed}");
    }
    for m in 0..size.models {
        let _ = writeln!(
            t,
            "[model model-{m:02}]\nversion = 7\nlayers = {LAYERS}\ncontext = 32768\nadapters = base, tuned"
        );
    }
    (0..size.endpoints()).for_each(|e| endpoint(&mut t, size, e));
    t.push_str("[priority alarm]\nrank = 0\nurgent = yes\n");
    t.push_str("[priority normal]\nrank = 10\nweight = 4\n");
    for n in 0..size.teams {
        let key = sign::bearer_digest(&format!("key-{n}"));
        let rate = if n == 0 { rate } else { 30 };
        let _ = writeln!(
            t,
            "[team team-{n:03}]\nkeys = {key}\nweight = 2\nrate = {rate}\nin_flight = 640\ntop = normal"
        );
    }
    for a in 0..size.zones {
        for b in a..size.zones {
            let _ = writeln!(
                t,
                "[link zone-{a:02} zone-{b:02}]\nlatency = 500us\ntokens_per_second = 50000"
            );
        }
    }
    t
}

/// Appends the section of endpoint `e` to `t`.
fn endpoint(t: &mut String, size: Size, e: usize) {
    let half = usize::from(LAYERS) / 2;
    let from = half * (e % 2);
    let replica = e / 2;
    let _ = writeln!(
        t,
        "[endpoint endpoint-{e:05}]\ninstance = instance-{e:05}\naddr = 10.{}.{}.{}:9000\n\
         zone = zone-{:02}\nkind = kind-{}\nspans = model-{:02} {from}..{}\nslots = {SLOTS}\nfenced = yes",
        e >> 16,
        (e >> 8) & 255,
        e & 255,
        replica / size.models % size.zones,
        replica % 4,
        replica % size.models,
        from + half,
    );
}

/// Returns the bundle of a fleet of this size.
pub fn bundle(size: Size) -> Arc<Bundle> {
    let sections = bundle::text::parse(&text(size, 30)).expect("sound text");
    Arc::new(Bundle::try_from(&sections).expect("sound bundle"))
}

/// Returns the load report of an endpoint that holds exactly the layers that the bundle assigns to
/// it.
pub fn report(bundle: &Bundle, endpoint: usize) -> Report {
    let spans = bundle.endpoints[endpoint].spans.iter();
    let loaded = spans.map(|s| {
        let model = &bundle.models[usize::from(s.model)];
        Loaded {
            model: model.name.clone(),
            version: model.version.clone(),
            adapters: vec!["base".to_owned(), "tuned".to_owned()],
            from: s.from,
            to: s.to,
            ready: true,
        }
    });
    Report {
        running: 14,
        slots: SLOTS,
        inter_token: Duration::from_millis(40),
        models: loaded.collect(),
        ..Report::default()
    }
}

/// Returns the instance list of the fleet's endpoints and of `nodes` nodes.
pub fn instances(size: Size, nodes: usize) -> Vec<Instance> {
    let row = |name: String, n: usize| Instance {
        name,
        state: State::Live,
        zone: format!("zone-{:02}", n % size.zones),
        addr: Some(([10, (n >> 16) as u8, (n >> 8) as u8, n as u8], 9000).into()),
    };
    let endpoints = (0..size.endpoints()).map(|n| row(format!("instance-{n:05}"), n));
    let nodes = (0..nodes).map(|n| row(format!("node-{n:03}"), n));
    endpoints.chain(nodes).collect()
}
