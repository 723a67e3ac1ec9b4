//! The callers' request path: a router's decisions and the heads of stage frames.

use crate::size::{ENDPOINTS, SIZES, TEAMS};
use crate::slope::Slope;
use crate::{clock, fixture, fleet};
use bytes::BytesMut;
use engine::frame::{Call, Input, Item, Place, Reader, Step, encode};
use route::action::Action;
use route::event::Event;
use route::request::{Request, Target};
use route::router::Router;
use route::settings::Settings;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

const LATE: Duration = Duration::from_secs(36_000);
/// Arrivals of one measurement.
const ROUNDS: u32 = 40_000;
/// Requests in flight at a worker: 12,000 requests/s of 11 s each over 370 nodes of two workers.
const FLYING: u32 = 176;

/// All slopes of the path.
pub fn slopes() -> Vec<Slope> {
    let by = "endpoints";
    let new = |name, unit| Slope::new(name, unit, by, ENDPOINTS);
    let mut memory = new("router's memory, a worker", "KB");
    let mut view = new("new bundle at a router", "us");
    let mut same = new("new snapshot of the same bundle at a router", "us");
    let mut request = new("request, arrival to end", "us");
    let mut tick = new("router's tick (50 a second), nothing in flight", "us");
    for size in SIZES {
        let bundle = fleet::bundle(size);
        let x = size.endpoints() as f64;
        let snapshot = || Arc::new(fixture::view(&bundle, 0));
        let start = || {
            let mut router = Router::new(1, Settings::default());
            router.handle(
                Duration::from_secs(1),
                Event::View(snapshot()),
                &mut Vec::new(),
            );
            router
        };
        let copies = (20_000 / size.endpoints()).clamp(4, 64);
        memory.add(x, clock::memory(copies, start));
        view.add(x, clock::mean(start));
        let mut router = start();
        let mut now = Duration::from_secs(2);
        let again = || {
            now += Duration::from_secs(1);
            router.handle(now, Event::View(snapshot()), &mut Vec::new());
        };
        same.add(x, clock::mean(again));
        let (spent, ticked) = requests(start(), size.models);
        request.add(x, spent);
        tick.add(x, ticked);
    }
    let mut slopes = vec![request, tick, view, same, memory];
    slopes.extend(admission());
    slopes.push(frames());
    slopes
}

/// Microseconds of an arrival that starts at once and its end, and of a tick.
fn requests(mut router: Router, models: usize) -> (f64, f64) {
    let mut now = Duration::from_secs(2);
    let mut out = Vec::new();
    let mut flying = VecDeque::new();
    let (spent, ()) = clock::once(|| {
        for i in 0..ROUNDS {
            now += Duration::from_millis(2);
            let base = fixture::request(i.into(), LATE);
            let request = Request {
                target: Target::Model((i as usize % models) as u16, None),
                priority: 1,
                ..base
            };
            router.handle(now, Event::Arrive(request), &mut out);
            started(&mut out, &mut flying);
            if flying.len() > FLYING as usize
                && let Some((id, attempt)) = flying.pop_front()
            {
                router.handle(now, Event::Finished(id, attempt), &mut out);
            }
        }
    });
    // Nothing answers here: what is in flight would pass for silent, and endpoints for dead.
    for (id, attempt) in flying {
        router.handle(now, Event::Finished(id, attempt), &mut out);
    }
    let ticked = clock::mean(|| {
        now += route::event::TICK;
        out.clear();
        router.handle(now, Event::Tick, &mut out);
    });
    (spent / f64::from(ROUNDS), ticked)
}

fn started(out: &mut Vec<Action>, flying: &mut VecDeque<(u128, u32)>) {
    let starts = out.drain(..).filter_map(|a| match a {
        Action::Start(id, attempt, _) => Some((id, attempt)),
        _ => None,
    });
    flying.extend(starts);
}

/// A full fleet of 40 replicas: an arrival that has to wait, and the end that starts the next one.
fn admission() -> Vec<Slope> {
    let by = "teams";
    let mut short = Slope::new("admission, 100 waiting", "us", by, TEAMS);
    let mut long = Slope::new("admission, 2,000 waiting", "us", by, TEAMS);
    for teams in [10, 100, 470] {
        short.add(teams as f64, admit(teams, 100));
        long.add(teams as f64, admit(teams, 2_000));
    }
    vec![short, long]
}

fn admit(teams: usize, waiting: u32) -> f64 {
    let bundle = Arc::new(fixture::fleet(14, 2, teams));
    let mut router = Router::new(1, Settings::default());
    let mut out = Vec::new();
    let view = Event::View(Arc::new(fixture::view(&bundle, 0)));
    let mut now = Duration::from_secs(1);
    router.handle(now, view, &mut out);
    let mut flying = VecDeque::new();
    let mut arrive = |router: &mut Router, now, id: u32, out: &mut Vec<Action>| {
        let base = fixture::request(id.into(), LATE);
        let request = Request {
            team: (id as usize % teams) as u16,
            ..base
        };
        router.handle(now, Event::Arrive(request), out);
        started(out, &mut flying);
        flying.pop_front()
    };
    let mut running = VecDeque::new();
    for id in 0..waiting + 84 {
        running.extend(arrive(&mut router, now, id, &mut out));
    }
    let rounds = ROUNDS / 4;
    let (spent, ()) = clock::once(|| {
        for id in 0..rounds {
            now += Duration::from_micros(100);
            running.extend(arrive(&mut router, now, 1_000_000 + id, &mut out));
            if let Some((id, attempt)) = running.pop_front() {
                router.handle(now, Event::Finished(id, attempt), &mut out);
                let mut next = VecDeque::new();
                started(&mut out, &mut next);
                running.extend(next);
            }
        }
    });
    spent / f64::from(rounds)
}

/// A step's head, written and read.
fn frames() -> Slope {
    let mut slope = Slope::new(
        "step's head, written and read",
        "us",
        "payload bytes",
        16_384.0,
    );
    for payload in [8, 4_096, 8_192, 16_384] {
        let call = Call::Step(Step {
            place: Place {
                request: 1 << 100,
                attempt: 1,
                step: 100,
                from: 16,
                to: 32,
            },
            input: Input::Activations,
            payload,
        });
        let body = vec![7_u8; payload as usize];
        let spent = clock::mean(|| {
            let mut buf = BytesMut::new();
            encode(&call, &mut buf).expect("short");
            buf.extend_from_slice(&body);
            let mut reader = Reader::<Call>::default();
            reader.push(buf.freeze());
            let mut items = 0;
            while let Ok(Some(item)) = reader.read() {
                items += usize::from(matches!(item, Item::Head(_)));
            }
            items
        });
        slope.add(payload.into(), spent);
    }
    slope
}
