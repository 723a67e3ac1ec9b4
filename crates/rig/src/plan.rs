//! What a fleet is made of, and the texts that say so: the bundle and the nodes' settings.

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
/// Plain service whose calls may be repeated.
pub const LOOKUP: &str = "lookup";
/// Plain service whose calls may not be repeated.
pub const NEWSLETTER: &str = "newsletter";
/// Name of the person who signs.
pub const SIGNER: &str = "alice";
/// Seed of that person's key.
pub const SIGNER_SEED: [u8; 32] = [7; 32];
/// Key that the nodes share.
pub const PEER_KEY: &str = "0101010101010101010101010101010101010101010101010101010101010101";

/// A team of the fleet.
#[derive(Clone, Debug)]
pub struct Team {
    /// Name.
    pub name: &'static str,
    /// Bearer key.
    pub key: &'static str,
    /// Requests per second over all nodes.
    pub rate: f64,
    /// Requests in flight over all nodes.
    pub in_flight: u32,
    /// Weight.
    pub weight: u32,
    /// Most urgent priority.
    pub top: &'static str,
}

/// A stage of each replica: layers and speed.
#[derive(Clone, Copy, Debug)]
pub struct Stage {
    /// First layer.
    pub from: u16,
    /// One past the last layer.
    pub to: u16,
    /// Time for one layer and token.
    pub layer_time: Duration,
}

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Entry nodes.
    pub nodes: usize,
    /// Request workers of each.
    pub workers: usize,
    /// Availability zones, all of one region.
    pub zones: usize,
    /// Replicas of the model; each has an endpoint for each stage.
    pub replicas: usize,
    /// Stages of a replica. Replicas with other cuts make mixed chains possible.
    pub stages: Vec<Stage>,
    /// Layers of the model.
    pub layers: u16,
    /// Requests that an endpoint runs at once.
    pub slots: usize,
    /// Steps that an endpoint computes at once.
    pub batch: usize,
    /// Teams.
    pub teams: Vec<Team>,
    /// Endpoints of each plain service.
    pub services: usize,
    /// How long a node serves new connections after it began to leave.
    pub drain: Duration,
    /// How long callers may keep an address answer.
    pub address_ttl: Duration,
    /// Time to load a range of layers.
    pub load_time: Duration,
    /// Lines added to `[callers]` of every node's settings.
    pub callers: String,
    /// Lines of `[roll]` in every node's settings.
    pub roll: String,
}

/// The team of everyday work.
pub const KITCHENS: Team = Team {
    name: "kitchens",
    key: "kitchens-demo-key",
    rate: 100_000.0,
    in_flight: 100_000,
    weight: 4,
    top: "normal",
};

/// The team of urgent work.
pub const DUTY: Team = Team {
    name: "duty-desk",
    key: "duty-demo-key",
    rate: 100_000.0,
    in_flight: 100_000,
    weight: 4,
    top: "alarm",
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
            drain: Duration::from_millis(500),
            address_ttl: Duration::from_millis(500),
            load_time: Duration::ZERO,
            callers: String::new(),
            roll: String::new(),
        }
    }
}

/// Where the platform's stand-ins listen.
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
    /// Name of an availability zone.
    pub fn zone(&self, index: usize) -> String {
        format!("zone-{}", index % self.zones.max(1))
    }

    /// The bundle's text, without endpoints, with this version of the model.
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
                team.top
            );
        }
        text
    }

    /// The settings of node `index`.
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

/// Name of node `index`.
pub fn node_name(index: usize) -> String {
    format!("entry-{index}")
}

/// The hardware's bound of a stage; a stage without pacing is taken as fast as the machine.
fn layers_per_second(layer_time: Duration, batch: usize) -> f64 {
    let time = layer_time.as_secs_f64();
    if time <= 0.0 {
        return 10_000_000.0;
    }
    batch.max(1) as f64 / time
}
