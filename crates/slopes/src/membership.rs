//! Cost of membership (probes, anti-entropy exchanges and the items that they carry) and of the
//! shares of team limits that are computed from those items.

use crate::net::{Net, ms};
use crate::size::{NODES, TEAMS};
use crate::slope::Slope;
use crate::{clock, net};
use member::demand::{Demand, Limit};
use member::event::Event;
use member::group::Group;
use member::item::{Observation, team};
use member::level::Level;
use member::message::Message;
use member::settings::Settings;
use member::team::{self, Teams};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Interval of the steps that compute shares.
const SECOND: Duration = ms(1000);
/// Simulated time within which all nodes of a group have joined.
const JOIN_TIME: Duration = ms(20_000);
/// Numbers of nodes and availability zones of the measured groups.
const GROUPS: [(usize, usize); 4] = [(8, 3), (64, 6), (185, 9), (370, 18)];
/// Overhead of a frame besides its body, in bytes: length, MAC, header of the DATA frame, half of a
/// ping and its pong, and the IP and TCP headers.
const FRAME_OVERHEAD: usize = 4 + 16 + 9 + 17 + 2 * 52;
/// Fraction of all pairs of node and team that have demand.
const ACTIVE_FRACTION: f64 = 0.3;
/// Number of teams whose demand changes at a node each second.
const DEMAND_CHANGES: usize = 10;

/// Returns the size of `message` on the network, in bytes.
fn wire_len(message: &Message) -> usize {
    let frame = wire::frame::Frame::send(message.clone());
    frame.encode().expect("encodes").len() + FRAME_OVERHEAD
}

/// Returns a simulated network of nodes that have all joined.
fn joined_net((nodes, zones): (usize, usize)) -> Net {
    let mut net = Net::new(nodes, zones, 4, Settings::default());
    net.run(JOIN_TIME);
    net
}

/// A simulated network in which each node has demand of 470 teams.
struct World {
    net: Net,
    rng: ChaCha8Rng,
    limits: Vec<Limit>,
    demands: Vec<Vec<Demand>>,
    teams: Vec<Teams>,
    next: Vec<Duration>,
}

impl World {
    fn new(size: (usize, usize)) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(5);
        let limits = limits(TEAMS as usize);
        let net = joined_net(size);
        let mut demand = || match rng.random_bool(ACTIVE_FRACTION) {
            true => demand_for(rng.random_range(0.2..3.0), size.0),
            false => Demand::default(),
        };
        let mut row = || limits.iter().map(|_| demand()).collect();
        let demands = (0..size.0).map(|_| row()).collect();
        Self {
            next: vec![net.now; size.0],
            teams: vec![Teams::new(team::Settings::default()); size.0],
            net,
            rng,
            limits,
            demands,
        }
    }

    /// Runs the network for `time`; if `shares` is true, the nodes change demand and compute
    /// shares.
    fn run(&mut self, time: Duration, shares: bool) {
        let to = self.net.now + time;
        let mut net = std::mem::replace(&mut self.net, Net::new(0, 1, 0, Settings::default()));
        net.run_with(to, |net, index| {
            if shares && net.now >= self.next[index] {
                self.step(net, index);
            }
        });
        self.net = net;
    }

    /// Changes some demands of node `index`, computes its shares and publishes its demand.
    fn step(&mut self, net: &mut Net, index: usize) {
        self.next[index] = net.now + SECOND;
        for _ in 0..DEMAND_CHANGES {
            let team = self.rng.random_range(0..self.limits.len());
            let nodes = self.demands.len();
            self.demands[index][team] = demand_for(self.rng.random_range(0.0..3.0), nodes);
        }
        let Some(group) = net.group(index) else {
            return;
        };
        let step = self.teams[index].step(net.now, group, &self.limits, &self.demands[index]);
        net.event(index, Event::Publish(step.publish));
    }
}

fn limits(teams: usize) -> Vec<Limit> {
    let limit = |t| Limit {
        team: team(&format!("team-{t:03}")),
        rate: 30.0,
        in_flight: 640.0,
    };
    (0..teams).map(limit).collect()
}

/// Returns one node's demand if all nodes together demand `fraction` of a team's limit, spread
/// evenly.
fn demand_for(fraction: f64, nodes: usize) -> Demand {
    let rate = 30.0 * fraction / nodes as f64;
    Demand {
        rate,
        in_flight: rate * 11.0,
    }
}

/// Measures messages, bytes, processor time and memory of a node, by the number of nodes and items.
pub fn slopes() -> Vec<Slope> {
    let new = |name, unit| Slope::new(name, unit, "nodes", NODES);
    let mut membership = new("membership alone, a second", "us");
    let mut demand_and_shares = new("with demand of 470 teams and their shares, a second", "us");
    let mut messages = new("messages sent, a second", "messages");
    let mut bytes = new("bytes sent and received, a second", "KB");
    let mut bytes_without_demand = new("bytes sent and received without demand, a second", "KB");
    let mut learned = new("items learned, a second", "items");
    let mut memory = new("memory of the group, items of this run", "KB");
    for size in GROUPS {
        let x = size.0 as f64;
        let mut world = World::new(size);
        // The kernel updates processor time only at its timer ticks, so the smallest group runs
        // longer to span enough of them.
        let time = SECOND * if size.0 < 32 { 40 } else { 8 };
        let per = 1.0 / (time.as_secs_f64() * x);
        membership.add(x, clock::once(|| world.run(time, false)).0 * per);
        world.net.message_bytes = Some(wire_len);
        world.run(time, false);
        let sent = |net: &Net| net.traffic.sent.iter().sum::<u64>() as f64;
        let before = sent(&world.net);
        bytes_without_demand.add(x, before * per * 2.0 / 1e3);
        world.net.message_bytes = None;
        world.run(time, true);
        demand_and_shares.add(x, clock::once(|| world.run(time, true)).0 * per);
        world.net.message_bytes = Some(wire_len);
        let count = |net: &Net| net.traffic.messages.iter().sum::<u64>() as f64;
        let (first, known) = (count(&world.net), world.net.learned.len());
        world.run(time, true);
        bytes.add(x, (sent(&world.net) - before) * per * 2.0 / 1e3);
        messages.add(x, (count(&world.net) - first) * per);
        learned.add(x, (world.net.learned.len() - known) as f64 * per);
        let group = world.net.group(0).expect("runs");
        memory.add(x, clock::memory(40, || group.clone()));
    }
    let mut slopes = vec![
        membership,
        demand_and_shares,
        messages,
        bytes,
        bytes_without_demand,
        learned,
        memory,
    ];
    slopes.extend(items());
    slopes.push(codec());
    slopes
}

/// Returns the group of one node after every node has published a demand for `teams` teams.
pub fn group_with_demand(nodes: usize, zones: usize, teams: usize) -> Group {
    let mut net = joined_net((nodes, zones));
    let limits = limits(teams);
    for index in 0..nodes {
        let callers = Observation::Callers {
            addr: ([10, 0, 1, index as u8], 7100).into(),
            tls: false,
        };
        let load = Observation::Load(Level::of(0.5));
        net.event(index, Event::Publish(vec![callers, load]));
        let demand = |l: &Limit| Observation::Demand {
            team: l.team,
            rate: Level::of(1.0),
            in_flight: Level::of(10.0),
        };
        let bodies: Vec<_> = limits.iter().map(demand).collect();
        let chunks = bodies.chunks(50).map(<[_]>::to_vec);
        chunks.for_each(|c| net.event(index, Event::Publish(c)));
    }
    net.run(net.now + SECOND * 15);
    net.group(0).expect("runs").clone()
}

/// Returns the number of items in a group's store.
pub fn item_count(group: &Group) -> usize {
    let origins = group.store().origins();
    origins.map(|o| group.store().items(o).count()).sum()
}

/// Measures the computation of shares, by items and by teams, and the memory of the store, by
/// items.
fn items() -> Vec<Slope> {
    let all = NODES * TEAMS * ACTIVE_FRACTION;
    let mut step = Slope::new("step of the shares, 470 teams", "us", "items stored", all);
    let mut memory = Slope::new("memory of the group's store", "KB", "items stored", all);
    for nodes in [8, 16, 32] {
        let group = group_with_demand(nodes, 3, TEAMS as usize);
        let x = item_count(&group) as f64;
        step.add(x, measure_shares(&group, TEAMS as usize));
        memory.add(x, clock::memory(10, || group.clone()));
    }
    let mut teams = Slope::new("step of the shares, 8 nodes", "us", "teams", TEAMS);
    for count in [10, 100, 470] {
        teams.add(
            count as f64,
            measure_shares(&group_with_demand(8, 3, count), count),
        );
    }
    vec![step, teams, memory]
}

/// Returns the processor time of one computation of `count` teams' shares, in microseconds.
fn measure_shares(group: &Group, count: usize) -> f64 {
    let mut teams = Teams::new(team::Settings::default());
    let limits = limits(count);
    let demands = vec![demand_for(1.0, 8); count];
    let mut now = SECOND * 60;
    clock::mean(|| {
        now += SECOND;
        teams.step(now, group, &limits, &demands)
    })
}

/// Measures encoding, decoding and verification of a frame between nodes.
fn codec() -> Slope {
    use member::message::{Body, Summary};
    let mut slope = Slope::new("frame, written and read", "us", "frame bytes", 1_200.0);
    for versions in [0, 4, 24, 48] {
        let summary = Summary {
            hash: 1,
            versions: vec![300; versions],
        };
        let message = Message {
            from: 1,
            incarnation: 1,
            head: None,
            updates: Vec::new(),
            body: Body::Digest(vec![summary; 16]),
        };
        let frame = wire::frame::Frame::send(message);
        let bytes = frame.encode().expect("encodes");
        let spent = clock::mean(|| {
            let bytes = frame.encode().expect("encodes");
            wire::frame::Frame::decode(&bytes).is_ok()
        });
        slope.add(bytes.len() as f64, spent);
    }
    slope
}

/// Measures the simulated time, in seconds, until all nodes have declared a killed node dead, and
/// until a new head and an urgent item have reached all nodes.
pub fn propagation_times() -> Vec<Slope> {
    let new = |name| Slope::new(name, "s", "nodes", NODES);
    let mut dead = new("death, until judged everywhere");
    let mut suspect = new("death, until first suspected");
    let mut head = new("new head, until in force everywhere");
    let mut item = new("urgent item, until known everywhere");
    for size in GROUPS {
        let x = size.0 as f64;
        let mut net = joined_net(size);
        let (start, victim) = (net.now, size.0 / 2);
        let id = net.id(victim);
        net.kill(victim);
        net.run(start + SECOND * 25);
        use member::peer::State;
        let times_of = |state: State| {
            let changes = net.state_changes.iter();
            let matching =
                changes.filter(move |c| c.peer == id && c.state == state && c.at >= start);
            matching.map(move |c| (c.at - start).as_secs_f64())
        };
        suspect.add(x, times_of(State::Suspect).fold(f64::NAN, f64::min));
        dead.add(x, times_of(State::Dead).fold(f64::NAN, f64::max));
        let start = net.now;
        publish(&mut net);
        net.run(start + SECOND * 10);
        let heads = net.heads.iter().map(|h| (h.0 - start).as_secs_f64());
        head.add(x, heads.fold(0.0, f64::max));
        let urgent = net
            .learned
            .iter()
            .filter(|l| l.0 >= start && l.2.body.urgent());
        let times = urgent.map(|l| (l.0 - start).as_secs_f64());
        item.add(x, times.fold(0.0, f64::max));
    }
    vec![suspect, dead, head, item]
}

/// Publishes a new head and an urgent item from node 0.
fn publish(net: &mut net::Net) {
    let head = member::head::Head {
        number: 1,
        digest: [1; 32],
    };
    net.set_head(0, head);
    let ejected = Observation::Endpoint {
        name: "endpoint-00001".to_owned(),
        ejected: true,
        ttl: SECOND * 15,
    };
    net.event(0, Event::Publish(vec![ejected]));
}
