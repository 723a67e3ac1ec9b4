//! Time to detect failures, time to spread items, false suspicions and cost of membership at 8, 64 and 370 nodes.
//!
//! Runs on a simulated network. Bytes are those of the `wire` crate's frames and include the overhead of
//! connections, as measured by `cargo run --release -p wigeonshelf-wire
//! --example frame_cost`.

#[path = "../tests/support/net.rs"]
mod net;

use member::demand::{Demand, Limit};
use member::event::Event;
use member::head::Head;
use member::item::{Observation, team};
use member::message::Message;
use member::peer::State;
use member::settings::Settings;
use member::team::{self, Teams};
use net::{Faults, NO_FAULTS, Net, ms, run_and_print};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

const SECOND: Duration = ms(1000);
/// Nodes and availability zones.
const SIZES: [(usize, usize); 3] = [(8, 3), (64, 6), (370, 18)];
/// Bytes of the length and the MAC of a frame, and of the header of an HTTP/2 DATA frame.
const FRAME_OVERHEAD_BYTES: usize = 4 + 16 + 9;
/// Bytes of the IP and TCP headers, with timestamps, of each segment.
const PACKET_OVERHEAD_BYTES: usize = 52;
/// Payload bytes of a TCP segment.
const SEGMENT_BYTES: usize = 1_448;
/// Bytes of an HTTP/2 PING frame. A ping and its answer are counted half for each side.
const PING_BYTES: usize = 17;
/// Number of teams at full size.
const TEAMS: usize = 470;

/// Returns the number of deaths and publications to measure.
fn repetitions(size: (usize, usize)) -> usize {
    if size.0 > 100 { 4 } else { 10 }
}

/// Returns the bytes of a message on the wire, including overhead.
fn message_bytes(message: &Message) -> usize {
    let frame = wire::frame::Frame::send(message.clone());
    let bytes = frame.encode().expect("encodes").len() + FRAME_OVERHEAD_BYTES + PING_BYTES;
    bytes + PACKET_OVERHEAD_BYTES * (1 + bytes.div_ceil(SEGMENT_BYTES))
}

fn joined_net(size: (usize, usize), seed: u64) -> Net {
    let mut net = Net::new(size.0, size.1, seed, Settings::default());
    net.run(SECOND * 25);
    assert!(net.all_up(), "{} nodes join", size.0);
    net.state_changes.clear();
    net
}

fn quantile(times: &mut [Duration], q: f64) -> f64 {
    times.sort();
    let last = times.len().saturating_sub(1);
    times
        .get((last as f64 * q).round() as usize)
        .map_or(f64::NAN, Duration::as_secs_f64)
}

/// Measures the time from a death to the first suspicion, and to the verdict on all other nodes.
fn detection_time(size: (usize, usize)) -> String {
    let mut net = joined_net(size, 1);
    let (mut first, mut all) = (Vec::new(), Vec::new());
    for round in 0..repetitions(size) {
        let victim = round * 7 % size.0;
        let (start, id) = (net.now, net.id(victim));
        net.kill(victim);
        net.run(net.now + SECOND * 25);
        let of = |s: State| {
            net.state_changes
                .iter()
                .filter(move |c| c.peer == id && c.state == s && c.at >= start)
        };
        first.extend(of(State::Suspect).map(|c| c.at - start).min());
        all.extend(of(State::Dead).map(|c| c.at - start).max());
        net.start(victim);
        net.run(net.now + SECOND * 15);
        assert!(net.all_up(), "victim returns");
    }
    let (a, b) = (quantile(&mut first, 0.5), quantile(&mut first, 1.0));
    let (c, d) = (quantile(&mut all, 0.5), quantile(&mut all, 1.0));
    format!("| {} | {a:.1} | {b:.1} | {c:.1} | {d:.1} |", size.0)
}

/// Measures the time from a publication until the last node has it, for a head, an urgent item and a load item.
fn spread_time(size: (usize, usize), loss: f64) -> String {
    let mut net = joined_net(size, 2);
    net.faults = Faults {
        loss_ratio: loss,
        ..NO_FAULTS
    };
    let (mut heads, mut urgent, mut plain) = (Vec::new(), Vec::new(), Vec::new());
    for round in 0..repetitions(size) as u64 {
        let (start, origin) = (net.now, round as usize * 3 % size.0);
        net.set_head(
            origin,
            Head {
                number: round + 1,
                digest: [1; 32],
            },
        );
        let condemned = Observation::Condemned {
            fingerprint: round,
            ttl: SECOND * 60,
        };
        net.event(origin, Event::Publish(vec![condemned]));
        net.event(
            origin,
            Event::Publish(vec![Observation::Load(member::level::Level(
                round as u8 + 1,
            ))]),
        );
        net.run(net.now + SECOND * 15);
        let last = net
            .heads
            .iter()
            .filter(|h| h.0 >= start)
            .map(|h| h.0 - start)
            .max();
        assert!(
            (0..size.0).all(|i| net.head(i) == round + 1),
            "head everywhere"
        );
        heads.extend(last);
        let of = |u: bool| {
            let new = net
                .learned
                .iter()
                .filter(move |l| l.0 >= start && l.2.body.urgent() == u);
            (new.clone().count(), new.map(|l| l.0 - start).max())
        };
        assert_eq!(
            (of(true).0, of(false).0),
            (size.0 - 1, size.0 - 1),
            "items everywhere"
        );
        urgent.extend(of(true).1);
        plain.extend(of(false).1);
    }
    let row = [heads, urgent, plain].map(|mut v| (quantile(&mut v, 0.5), quantile(&mut v, 1.0)));
    let row = row.map(|(m, w)| format!("{m:.2} / {w:.2}")).join(" | ");
    format!("| {} | {:.0}% | {row} |", size.0, loss * 100.0)
}

/// A fault that is injected once per minute.
type Fault = fn(&mut Net, u32);

/// Counts suspicions, verdicts of death and of partition while no node fails.
fn false_accusations(size: (usize, usize), name: &str, fault: Fault) -> String {
    let minutes = if size.0 > 100 { 2 } else { 15 };
    let mut net = joined_net(size, 3);
    for minute in 0..minutes {
        fault(&mut net, minute);
        net.run(net.now + SECOND * 60);
    }
    let of = |s: State| net.state_changes.iter().filter(|c| c.state == s).count();
    let hours = size.0 as f64 * f64::from(minutes) / 60.0;
    let (suspect, parted) = (of(State::Suspect), of(State::Parted));
    let dead = net.reported(State::Dead, ms(0)).len();
    format!(
        "| {} | {name} | {hours:.0} | {suspect} | {dead} | {parted} |",
        size.0
    )
}

fn quiet(_: &mut Net, _: u32) {}

fn lossy(net: &mut Net, _: u32) {
    net.faults = Faults {
        loss_ratio: 0.01,
        ..NO_FAULTS
    };
}

fn pausing(net: &mut Net, minute: u32) {
    let paused = (0..net.nodes.len()).filter(|i| i % 8 == minute as usize % 8);
    paused
        .collect::<Vec<_>>()
        .into_iter()
        .for_each(|i| net.pause(i, SECOND * 2));
}

fn parting(net: &mut Net, minute: u32) {
    let region = if net.nodes.len() == 8 { "z1" } else { "r1" };
    match minute {
        0 => net.partition(1, |i| i.region == region || i.zone == region),
        _ => net.heal(),
    }
}

const FAULTS: [(&str, Fault); 4] = [
    ("none", quiet),
    ("1% loss", lossy),
    ("2 s pauses, a node in eight each minute", pausing),
    ("a region (8: a zone) parts, then joins", parting),
];

/// Demand of all teams at all nodes: every team has demand at about 30% of the nodes, and 20 teams have large limits.
struct Load {
    rng: ChaCha8Rng,
    limits: Vec<Limit>,
    demands: Vec<Vec<Demand>>,
}

impl Load {
    fn new(nodes: usize) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(5);
        let limit = |t: usize| {
            let rate = if t < 20 { 300.0 } else { 15.0 };
            Limit {
                team: team(&format!("team-{t}")),
                rate,
                in_flight: rate * 4.0,
            }
        };
        let limits: Vec<Limit> = (0..TEAMS).map(limit).collect();
        let demand = |l: &Limit, rng: &mut ChaCha8Rng| {
            let busy = rng.random_bool(0.3);
            let rate = if busy {
                l.rate / nodes as f64 * rng.random_range(0.2..3.0)
            } else {
                0.0
            };
            Demand {
                rate,
                in_flight: rate * 4.0,
            }
        };
        let row = |rng: &mut ChaCha8Rng| limits.iter().map(|l| demand(l, rng)).collect();
        let demands = (0..nodes).map(|_| row(&mut rng)).collect();
        Self {
            rng,
            limits,
            demands,
        }
    }

    /// Changes the demand of 10 random teams at a node.
    fn change_some(&mut self, node: usize) {
        for _ in 0..10 {
            let t = self.rng.random_range(0..TEAMS);
            let nodes = self.demands.len() as f64;
            let rate = self.limits[t].rate / nodes * self.rng.random_range(0.0..3.0);
            self.demands[node][t] = Demand {
                rate,
                in_flight: rate * 4.0,
            };
        }
    }
}

/// Measures messages, bytes and processor time per node and second while the demand of 470 teams changes at
/// every node.
fn cost(size: (usize, usize), seconds: u32) -> String {
    let mut net = joined_net(size, 4);
    let mut load = Load::new(size.0);
    let mut teams: Vec<Teams> = (0..size.0)
        .map(|_| Teams::new(team::Settings::default()))
        .collect();
    let mut next = vec![net.now; size.0];
    let mut spent = Duration::ZERO;
    let mut run = |net: &mut Net, time: Duration| {
        let to = net.now + time;
        net.run_with(to, |net, index| {
            if net.now < next[index] {
                return;
            }
            next[index] = net.now + SECOND;
            load.change_some(index);
            let now = net.now;
            let begun = Instant::now();
            let Some(group) = net.group(index) else {
                return;
            };
            let step = teams[index].step(now, group, &load.limits, &load.demands[index]);
            spent += begun.elapsed();
            net.event(index, Event::Publish(step.publish));
        });
    };
    run(&mut net, SECOND * 35);
    net.message_bytes = Some(message_bytes);
    let begun = Instant::now();
    run(&mut net, SECOND * seconds);
    let wall = begun.elapsed();
    let per = 1.0 / (size.0 as f64 * f64::from(seconds));
    let sum = |v: &[u64]| v.iter().sum::<u64>() as f64 * per;
    let most = net.traffic.sent.iter().max().copied().unwrap_or(0) as f64 / f64::from(seconds);
    let (messages, sent) = (sum(&net.traffic.messages), sum(&net.traffic.sent));
    let core = wall.as_secs_f64() * per * 100.0;
    let share = spent.as_secs_f64() / (size.0 as f64 * f64::from(seconds + 35)) * 100.0;
    let row = format!(
        "| {} | {messages:.1} | {sent:.0} | {most:.0} | {:.0} | {core:.2}% | {share:.2}% |",
        size.0,
        sent * 2.0
    );
    let kinds = net.traffic.kinds.iter().map(|(kind, (count, bytes))| {
        format!(
            "\n    {kind}: {:.2}/s {:.0} B/s",
            *count as f64 * per,
            *bytes as f64 * per
        )
    });
    let stored = |i: usize| {
        net.group(0)
            .map_or(0, |g| g.store().items(net.id(i)).count())
    };
    let items: usize = (0..size.0).map(stored).sum();
    format!(
        "{row}{}\n    items stored at a node: {items}",
        kinds.collect::<String>()
    )
}

type Job = Box<dyn FnOnce() -> String + Send>;

fn job(f: impl FnOnce() -> String + Send + 'static) -> Job {
    Box::new(f)
}

fn main() {
    println!("Detection of a killed node, seconds (10 deaths; 4 at 370 nodes)\n");
    println!(
        "| nodes | first suspicion, median | worst | judged dead everywhere, median | worst |"
    );
    println!("|---|---|---|---|---|");
    run_and_print(SIZES.map(|s| job(move || detection_time(s))).into());
    println!("\nSpread to the last node, seconds, median / worst of 10 (4 at 370 nodes)\n");
    println!("| nodes | loss | head in force | urgent item | load or demand |");
    println!("|---|---|---|---|---|");
    let lossy = SIZES
        .iter()
        .flat_map(|s| [0.0, 0.01].map(|loss| (*s, loss)));
    run_and_print(
        lossy
            .map(|(s, loss)| job(move || spread_time(s, loss)))
            .collect(),
    );
    println!("\nFalse accusations\n");
    println!(
        "| nodes | fault | node hours | suspicions reported | nodes judged dead | parted reports |"
    );
    println!("|---|---|---|---|---|---|");
    let faults = SIZES.iter().flat_map(|s| FAULTS.map(|f| (*s, f)));
    run_and_print(
        faults
            .map(|(s, (name, f))| job(move || false_accusations(s, name, f)))
            .collect(),
    );
    println!("\nCost per node and second with 470 teams' demand changing\n");
    println!(
        "| nodes | messages sent | bytes sent | most at a node | sent and received | core, all | core, shares |"
    );
    println!("|---|---|---|---|---|---|---|");
    SIZES.iter().for_each(|s| println!("{}", cost(*s, 15)));
}
