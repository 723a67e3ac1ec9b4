//! Claim and lease tables with the stand-in of the log service over loopback sockets, driven as in
//! a node.

use lease::claim::event::Request;
use lease::claim::{self, Key};
use lease::group_lease::{self, Candidacy, Group};
use lease::{Now, Outcome, Owner, Page, Record, RequestId};
use platform::{Limits, Log as _, http};
use standin::fault::Mode;
use standin::log::Log;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::JoinHandle;

const NODES: u64 = 3;
const KEYS: u64 = 30;
const READ_TIMEOUT: Duration = Duration::from_millis(500);
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const TICK: Duration = Duration::from_millis(20);

/// Number of runs of each key, and the reply to each request.
#[derive(Debug, Default)]
struct Results {
    runs: BTreeMap<claim::Hash, u32>,
    replies: BTreeMap<RequestId, Reply>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    Ran,
    Joined,
    Redirected,
    Refused,
}

type Shared = Arc<Mutex<Results>>;

struct Node {
    events: UnboundedSender<claim::Event>,
    task: JoinHandle<()>,
}

fn any() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn wall() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

fn page(page: platform::Page) -> Page {
    let record = |r: platform::Record| Record {
        offset: r.offset,
        body: r.body,
    };
    let records = page.records.into_iter().map(record).collect();
    Page {
        first: page.first,
        next: page.next,
        records,
    }
}

fn start(n: u64, log: SocketAddr, results: Shared) -> Node {
    let (events, queue) = unbounded_channel();
    let settings = claim::Settings {
        shards: 2,
        started_at: wall(),
        append_interval: Duration::from_millis(50),
        ..claim::Settings::default()
    };
    let table = claim::Table::new(
        Owner {
            node: n,
            incarnation: 1,
        },
        n,
        settings,
    );
    let client = Arc::new(http::Log::new(log, Limits::default()));
    let task = tokio::spawn(drive(table, client, events.clone(), queue, results));
    events.send(claim::Event::HomeShards(vec![0, 1])).unwrap();
    Node { events, task }
}

async fn drive(
    mut table: claim::Table,
    client: Arc<http::Log>,
    events: UnboundedSender<claim::Event>,
    mut queue: UnboundedReceiver<claim::Event>,
    results: Shared,
) {
    let started = Instant::now();
    let mut ticks = tokio::time::interval(TICK);
    loop {
        let event = tokio::select! {
            event = queue.recv() => event.unwrap_or(claim::Event::Tick),
            _ = ticks.tick() => claim::Event::Tick,
        };
        let mut actions = Vec::new();
        table.handle(started.elapsed(), event, &mut actions);
        for action in actions {
            execute_claim_action(action, &client, &events, &results);
        }
    }
}

fn execute_claim_action(
    action: claim::Action,
    client: &Arc<http::Log>,
    events: &UnboundedSender<claim::Event>,
    results: &Shared,
) {
    use claim::Action;
    let (client, events) = (client.clone(), events.clone());
    let record = |request, reply| {
        results.lock().unwrap().replies.insert(request, reply);
    };
    match action {
        Action::Append { batch, shard, body } => {
            tokio::spawn(async move {
                let event = match client.append(&claim::stream(shard), body).await {
                    Ok(_) => claim::Event::Appended(batch),
                    Err(e) if e.unsure() => claim::Event::AppendUnsure(batch),
                    Err(_) => claim::Event::AppendFailed(batch),
                };
                events.send(event).ok();
            });
        }
        Action::Read { shard, from, wait } => {
            tokio::spawn(async move {
                let wait = if wait { READ_TIMEOUT } else { Duration::ZERO };
                let event = match client.read(&claim::stream(shard), from, wait).await {
                    Ok(read) => claim::Event::Page(shard, page(read)),
                    Err(_) => claim::Event::ReadFailed(shard),
                };
                events.send(event).ok();
            });
        }
        Action::Run { request, hash } => {
            *results.lock().unwrap().runs.entry(hash).or_default() += 1;
            record(request, Reply::Ran);
            events
                .send(claim::Event::Ended(hash, Outcome::Complete, 10))
                .ok();
        }
        Action::Join { request, .. } | Action::Answer { request, .. } => {
            record(request, Reply::Joined);
        }
        Action::Redirect { request, .. } => record(request, Reply::Redirected),
        Action::Refuse { request, .. } => record(request, Reply::Refused),
        Action::DropAnswer(_) => {}
    }
}

/// Sends each key to all nodes in parallel and waits until all requests have a reply.
async fn send_all(nodes: &[Node], results: &Shared, round: u64) {
    for key in 0..KEYS {
        let text = format!("{}-{round}-{key}", wall().as_secs());
        let form = Key::parse("desk", &text).unwrap();
        for (n, node) in (0..).zip(nodes) {
            let request = RequestId::from((round * KEYS + key) * NODES + n);
            let ask = Request {
                id: request,
                key: form,
                fingerprint: 1,
                deadline: Now::MAX,
            };
            node.events.send(claim::Event::Received(ask)).unwrap();
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let wanted = ((round + 1) * KEYS * NODES) as usize;
    let end = Instant::now() + TEST_TIMEOUT;
    while results.lock().unwrap().replies.len() < wanted && Instant::now() < end {
        tokio::time::sleep(TICK).await;
    }
}

/// Three nodes get every key at once, while the log loses answers, refuses appends over its rate
/// limit and is unavailable for a while. Each key must run once, and every request must run, join
/// the run, or be redirected to the node that runs it.
#[tokio::test]
async fn each_key_sent_to_three_nodes_runs_once() {
    let log = Log::start(any()).await.unwrap();
    log.set_append_rate(100);
    let results = Shared::default();
    let nodes: Vec<Node> = (0..NODES)
        .map(|n| start(n, log.addr, results.clone()))
        .collect();
    send_all(&nodes, &results, 0).await;
    log.faults.drop_answers(10);
    send_all(&nodes, &results, 1).await;
    log.faults.set_mode(Mode::Down);
    let later = async {
        tokio::time::sleep(Duration::from_millis(600)).await;
        log.faults.set_mode(Mode::Up);
    };
    tokio::join!(send_all(&nodes, &results, 2), later);
    let results = results.lock().unwrap();
    assert_eq!(results.runs.len() as u64, 3 * KEYS);
    assert!(
        results.runs.values().all(|runs| *runs == 1),
        "{:?}",
        results.runs
    );
    assert_eq!(results.replies.len() as u64, 3 * KEYS * NODES);
    assert!(
        !results
            .replies
            .values()
            .any(|reply| *reply == Reply::Refused)
    );
    assert!(log.faults.dropped_answers() > 0);
    nodes.iter().for_each(|node| node.task.abort());
}

/// Two nodes contend for a group while the log service loses its first answers. Exactly one node
/// must acquire the lease.
#[tokio::test]
async fn one_of_two_nodes_holds_the_group() {
    const GROUP: Group = 7;
    let log = Log::start(any()).await.unwrap();
    log.faults.drop_answers(2);
    let settings = group_lease::Settings {
        min_backoff: TICK,
        ..group_lease::Settings::default()
    };
    let client = http::Log::new(log.addr, Limits::default());
    let table = |n| {
        group_lease::Table::new(
            Owner {
                node: n,
                incarnation: 1,
            },
            n,
            settings,
        )
    };
    let mut tables = [table(1), table(2)];
    let mut queues: [Vec<group_lease::Event>; 2] = Default::default();
    let started = Instant::now();
    for queue in &mut queues {
        queue.push(group_lease::Event::Candidacies(vec![Candidacy {
            group: GROUP,
            rank: 0,
        }]));
    }
    let end = started + TEST_TIMEOUT;
    let held = |tables: &[group_lease::Table], now| {
        tables
            .iter()
            .filter(|table| table.permit(now, GROUP).is_some())
            .count()
    };
    while held(&tables, started.elapsed()) == 0 && Instant::now() < end {
        for (table, queue) in tables.iter_mut().zip(&mut queues) {
            let mut actions = Vec::new();
            let events = std::mem::take(queue);
            for event in events.into_iter().chain([group_lease::Event::Tick]) {
                table.handle(started.elapsed(), event, &mut actions);
            }
            for action in actions {
                queue.extend(execute(action, &client).await);
            }
        }
        tokio::time::sleep(TICK).await;
    }
    assert_eq!(held(&tables, started.elapsed()), 1);
    assert!(log.faults.dropped_answers() > 0);
}

async fn execute(action: group_lease::Action, client: &http::Log) -> Option<group_lease::Event> {
    match action {
        group_lease::Action::Append { batch, body } => {
            Some(match client.append(group_lease::STREAM, body).await {
                Ok(_) => group_lease::Event::Appended(batch),
                Err(e) if e.unsure() => group_lease::Event::AppendUnsure(batch),
                Err(_) => group_lease::Event::AppendFailed(batch),
            })
        }
        group_lease::Action::Read { from, .. } => Some(
            match client.read(group_lease::STREAM, from, Duration::ZERO).await {
                Ok(read) => group_lease::Event::Page(page(read)),
                Err(_) => group_lease::Event::ReadFailed,
            },
        ),
        group_lease::Action::Gained(..) | group_lease::Action::Lost(_) => None,
    }
}
