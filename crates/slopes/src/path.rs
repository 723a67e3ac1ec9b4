//! Cost of the callers' request path: routing decisions and the heads of stage frames.

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

/// Deadline of all requests, beyond the last arrival of every run so that none expires.
const DEADLINE: Duration = Duration::from_secs(36_000);
/// Number of arrivals in one measurement.
const ROUNDS: u32 = 40_000;
/// Number of requests in flight at a worker: 12,000 requests/s of 11 s each, over 370 nodes with
/// two workers each.
const IN_FLIGHT: u32 = 176;

/// Measures the router, its admission queue and the codec of stage frames.
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
        let update = || {
            now += Duration::from_secs(1);
            router.handle(now, Event::View(snapshot()), &mut Vec::new());
        };
        same.add(x, clock::mean(update));
        let (spent, ticked) = measure_requests(start(), size.models);
        request.add(x, spent);
        tick.add(x, ticked);
    }
    let mut slopes = vec![request, tick, view, same, memory];
    slopes.extend(admission());
    slopes.push(frames());
    slopes
}

/// Returns the processor time, in microseconds, of one request that starts on arrival (both its
/// arrival and its end), and of one tick.
fn measure_requests(mut router: Router, models: usize) -> (f64, f64) {
    let mut now = Duration::from_secs(2);
    let mut out = Vec::new();
    let mut in_flight = VecDeque::new();
    let (spent, ()) = clock::once(|| {
        for i in 0..ROUNDS {
            now += Duration::from_millis(2);
            let base = fixture::request(i.into(), DEADLINE);
            let request = Request {
                target: Target::Model((i as usize % models) as u16, None),
                priority: 1,
                ..base
            };
            router.handle(now, Event::Arrive(request), &mut out);
            collect_started(&mut out, &mut in_flight);
            if in_flight.len() > IN_FLIGHT as usize
                && let Some((id, attempt)) = in_flight.pop_front()
            {
                router.handle(now, Event::Finished(id, attempt), &mut out);
            }
        }
    });
    // No endpoint responds in this run. Requests left in flight would be taken for unresponsive
    // during the ticks, and their endpoints for failed.
    for (id, attempt) in in_flight {
        router.handle(now, Event::Finished(id, attempt), &mut out);
    }
    let ticked = clock::mean(|| {
        now += route::event::TICK;
        out.clear();
        router.handle(now, Event::Tick, &mut out);
    });
    (spent / f64::from(ROUNDS), ticked)
}

/// Drains `out` and appends the attempts that it starts to `in_flight`.
fn collect_started(out: &mut Vec<Action>, in_flight: &mut VecDeque<(u128, u32)>) {
    let starts = out.drain(..).filter_map(|a| match a {
        Action::Start(id, attempt, _) => Some((id, attempt)),
        _ => None,
    });
    in_flight.extend(starts);
}

/// Measures admission at a full fleet of 40 replicas: an arrival that is queued, and the end of a
/// request that starts the next one.
fn admission() -> Vec<Slope> {
    let by = "teams";
    let mut short = Slope::new("admission, 100 waiting", "us", by, TEAMS);
    let mut long = Slope::new("admission, 2,000 waiting", "us", by, TEAMS);
    for teams in [10, 100, 470] {
        short.add(teams as f64, measure_admission(teams, 100));
        long.add(teams as f64, measure_admission(teams, 2_000));
    }
    vec![short, long]
}

/// Returns the processor time of one arrival and one end, in microseconds, with `waiting` requests
/// queued.
fn measure_admission(teams: usize, waiting: u32) -> f64 {
    let bundle = Arc::new(fixture::fleet(14, 2, teams));
    let mut router = Router::new(1, Settings::default());
    let mut out = Vec::new();
    let view = Event::View(Arc::new(fixture::view(&bundle, 0)));
    let mut now = Duration::from_secs(1);
    router.handle(now, view, &mut out);
    let mut in_flight = VecDeque::new();
    let mut arrive = |router: &mut Router, now, id: u32, out: &mut Vec<Action>| {
        let base = fixture::request(id.into(), DEADLINE);
        let request = Request {
            team: (id as usize % teams) as u16,
            ..base
        };
        router.handle(now, Event::Arrive(request), out);
        collect_started(out, &mut in_flight);
        in_flight.pop_front()
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
                collect_started(&mut out, &mut next);
                running.extend(next);
            }
        }
    });
    spent / f64::from(rounds)
}

/// Measures encoding and decoding of a step frame's head, by payload size.
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
