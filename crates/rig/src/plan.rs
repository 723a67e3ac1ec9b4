//! Description of a fleet, and the bundle and node settings generated from it.

use bundle::sign;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

/// Model of every fleet.
pub const MODEL: &str = "menu";
/// Version of its weights.
pub const VERSION: &str = "1";
/// Adapter of the model.
pub const ADAPTER: &str = "allergen";
/// Plain service whose calls are repeatable.
pub const LOOKUP: &str = "lookup";
/// Plain service whose calls are not repeatable.
pub const NEWSLETTER: &str = "newsletter";
/// Name of the bundle signer.
pub const SIGNER: &str = "alice";
/// Seed of the signer's key.
pub const SIGNER_SEED: [u8; 32] = [7; 32];
/// Shared key that authenticates nodes to each other, in hexadecimal.
pub const PEER_KEY: &str = "0101010101010101010101010101010101010101010101010101010101010101";

/// A team of the fleet.
#[derive(Clone, Debug)]
pub struct Team {
    /// Name.
    pub name: &'static str,
    /// Bearer key.
    pub key: &'static str,
    /// Limit of requests per second over all nodes.
    pub rate: f64,
    /// Limit of requests in flight over all nodes.
    pub in_flight: u32,
    /// Weight in fair sharing.
    pub weight: u32,
    /// Highest priority that the team may use.
    pub highest_priority: &'static str,
}

/// A stage of each replica: its layers and speed.
#[derive(Clone, Copy, Debug)]
pub struct Stage {
    /// First layer.
    pub from: u16,
    /// One past the last layer.
    pub to: u16,
    /// Time to compute one layer for one token; zero for no added time.
    pub layer_time: Duration,
}

/// Description of a fleet.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Number of entry nodes.
    pub nodes: usize,
    /// Number of request workers of each node.
    pub workers: usize,
    /// Number of availability zones, all in one region.
    pub zones: usize,
    /// Number of replicas of the model; each has one endpoint for each stage.
    pub replicas: usize,
    /// Stages of each replica. Replicas with different cuts would allow chains that mix replicas.
    pub stages: Vec<Stage>,
    /// Number of layers of the model.
    pub layers: u16,
    /// Number of requests that an endpoint runs concurrently.
    pub slots: usize,
    /// Number of steps that an endpoint computes concurrently.
    pub batch: usize,
    /// Teams.
    pub teams: Vec<Team>,
    /// Number of endpoints of each plain service.
    pub services: usize,
    /// Number of pieces of a service's answer.
    pub pieces: usize,
    /// Minimum size of a piece, in bytes.
    pub piece_bytes: usize,
    /// Time for which a leaving node accepts new connections.
    pub drain: Duration,
    /// Time for which callers may use the answer to an address request.
    pub address_ttl: Duration,
    /// Time to load a range of layers.
    pub load_time: Duration,
    /// Additional lines of `[callers]` of every node's settings.
    pub callers: String,
    /// Lines of `[roll]` in every node's settings.
    pub roll: String,
}

/// Team whose requests have normal priority.
pub const KITCHENS: Team = Team {
    name: "kitchens",
    key: "kitchens-demo-key",
    rate: 100_000.0,
    in_flight: 100_000,
    weight: 4,
    highest_priority: "normal",
};

/// Team that may send urgent requests.
pub const DUTY: Team = Team {
    name: "duty-desk",
    key: "duty-demo-key",
    rate: 100_000.0,
    in_flight: 100_000,
    weight: 4,
    highest_priority: "alarm",
};

impl Default for Plan {
    fn default() -> Self {
        Self {
            nodes: 3,
            workers: 1,
            zones: 3,
            replicas: 3,
            stages: vec![
                Stage {
                    from: 0,
                    to: 6,
                    layer_time: Duration::ZERO,
                },
                Stage {
                    from: 6,
                    to: 12,
                    layer_time: Duration::ZERO,
                },
            ],
            layers: 12,
            slots: 32,
            batch: 0,
            teams: vec![KITCHENS, DUTY],
            services: 2,
            pieces: 1,
            piece_bytes: 64,
            drain: Duration::from_millis(500),
            address_ttl: Duration::from_millis(500),
            load_time: Duration::ZERO,
            callers: String::new(),
            roll: String::new(),
        }
    }
}

/// Addresses of the platform's stand-ins.
#[derive(Clone, Copy, Debug)]
pub struct Platform {
    /// Log service.
    pub log: SocketAddr,
    /// Instance list.
    pub list: SocketAddr,
    /// Weight store.
    pub weights: SocketAddr,
}

impl Plan {
    /// Returns the name of the availability zone of the item with this index.
    pub fn zone(&self, index: usize) -> String {
        format!("zone-{}", index % self.zones.max(1))
    }

    /// Returns the text of the bundle with this version of the model, without endpoints.
    pub fn bundle(&self, version: &str) -> String {
        let mut text = String::new();
        for zone in 0..self.zones {
            let _ = writeln!(text, "[zone zone-{zone}]\nregion = south\n");
        }
        for (i, stage) in self.stages.iter().enumerate() {
            let speed = layers_per_second(stage.layer_time, self.batch);
            let _ = writeln!(text, "[kind kind-{i}]\nlayers_per_second = {speed}\n");
        }
        let _ = writeln!(
            text,
            "[model {MODEL}]\nversion = {version}\nlayers = {}\ncontext = 8192\nadapters = {ADAPTER}\n",
            self.layers
        );
        if self.services > 0 {
            let _ = writeln!(text, "[service {LOOKUP}]\nrepeatable = yes\n");
            let _ = writeln!(text, "[service {NEWSLETTER}]\nrepeatable = no\n");
        }
        text.push_str("[priority alarm]\nrank = 0\nurgent = yes\n\n");
        text.push_str("[priority normal]\nrank = 10\nweight = 4\n\n");
        text.push_str("[priority batch]\nrank = 20\nweight = 1\n\n");
        for a in 0..self.zones {
            for b in a..self.zones {
                let latency = if a == b { "100us" } else { "500us" };
                let _ = writeln!(
                    text,
                    "[link zone-{a} zone-{b}]\nlatency = {latency}\ntokens_per_second = 1000000\n"
                );
            }
        }
        for team in &self.teams {
            let _ = writeln!(
                text,
                "[team {}]\nkeys = {}\nweight = {}\nrate = {}\nin_flight = {}\ntop = {}\nusual = normal\n",
                team.name,
                sign::bearer_digest(team.key),
                team.weight,
                team.rate,
                team.in_flight,
                team.highest_priority
            );
        }
        text
    }

    /// Returns the settings of node `index`.
    pub fn settings(&self, index: usize, platform: &Platform) -> String {
        let zone = self.zone(index);
        let workers = self.workers;
        let (drain, ttl) = (self.drain.as_millis(), self.address_ttl.as_millis());
        let public = sign::public_key_hex(&sign::key_from_seed(SIGNER_SEED));
        let (callers, roll) = (&self.callers, &self.roll);
        let Platform { log, list, weights } = platform;
        format!(
            "[node]\nname = {}\nzone = {zone}\nregion = south\nworkers = {workers}\n\
             drain = {drain}ms\naddress_ttl = {ttl}ms\n\
             [callers]\nlisten = 127.0.0.1:0\n{callers}\n\
             [peers]\nlisten = 127.0.0.1:0\nkey = {PEER_KEY}\n\
             [admin]\nlisten = 127.0.0.1:0\n\
             [platform]\nlog = {log}\nlist = {list}\nweights = {weights}\n\
             [trust]\n{SIGNER} = {public}\n\
             [roll]\n{roll}\n",
            node_name(index)
        )
    }
}

/// Returns the name of node `index`.
pub fn node_name(index: usize) -> String {
    format!("entry-{index}")
}

/// Returns the maximum speed of a stage for the bundle. A stage whose `layer_time` is zero is
/// limited only by the machine and gets a fixed high value.
fn layers_per_second(layer_time: Duration, batch: usize) -> f64 {
    let time = layer_time.as_secs_f64();
    if time <= 0.0 {
        return 10_000_000.0;
    }
    batch.max(1) as f64 / time
}
