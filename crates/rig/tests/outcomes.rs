//! What callers are told when an answer can't be whole.

use rig::caller::{Answer, Ask, Caller};
use rig::expect;
use rig::fleet::Fleet;
use rig::plan::{Plan, Stage};
use standin::engine::Counters;
use std::time::Duration;

/// One replica of two stages that take some milliseconds for each token.
async fn single() -> Fleet {
    let stage = |from, to| Stage {
        from,
        to,
        layer_time: Duration::from_millis(1),
    };
    let plan = Plan {
        nodes: 1,
        replicas: 1,
        stages: vec![stage(0, 6), stage(6, 12)],
        ..Plan::default()
    };
    Fleet::start(plan).await.expect("fleet")
}

fn once(message: &str, stream: bool) -> Ask {
    let ask = Ask {
        stream,
        most: 64,
        ..Ask::of(message)
    };
    ask.header("x-wigeonshelf-repeatable", "false")
}

async fn ask(fleet: &Fleet, ask: &Ask) -> Answer {
    let answer = Caller::new().chat(fleet.node(0).callers, ask).await;
    answer.expect("answer")
}

fn steps(fleet: &Fleet) -> u64 {
    let counters = fleet.endpoints.iter().map(|e| e.engine.counters());
    counters.map(|c| Counters::get(&c.steps)).sum()
}

// The caller is told "unknown", never "not run". A stage dies in its second step of a request that
// may not be repeated: bytes that start the work have left, so it may have run.
#[tokio::test(flavor = "multi_thread")]
async fn not_run_is_never_said_once_work_may_have_begun() {
    for stream in [true, false] {
        let fleet = single().await;
        fleet.endpoints[1].engine.crash_at_step(2);
        let answer = ask(&fleet, &once("lock the tower", stream)).await;
        assert!(answer.unknown(), "{answer:?}");
        assert!(!answer.done, "{answer:?}");
        assert!(steps(&fleet) > 0);
    }
}

// The caller of a stream sees an error event, no end mark, and a connection that breaks off. It must
// not be taken for a whole answer, whichever of the three the caller's library looks at.
#[tokio::test(flavor = "multi_thread")]
async fn broken_stream_does_not_end_like_a_whole_one() {
    let fleet = single().await;
    fleet.endpoints[0].engine.crash_at_step(4);
    let request = once("repair steps", true);
    let answer = ask(&fleet, &request).await;
    assert!(answer.status.is_success(), "{answer:?}");
    assert!(!answer.text.is_empty());
    assert!(expect::text(&fleet.plan, &request).starts_with(&answer.text));
    assert_eq!(answer.error.as_deref(), Some("outcome_unknown"));
    assert!(!answer.done && answer.broken && answer.finish.is_none());
}

// The caller that asked for all or nothing gets an error and no text, though tokens had come.
#[tokio::test(flavor = "multi_thread")]
async fn whole_or_nothing_gives_nothing() {
    let fleet = single().await;
    fleet.endpoints[0].engine.crash_at_step(4);
    let request = once("repair steps", true).header("x-wigeonshelf-whole", "true");
    let answer = ask(&fleet, &request).await;
    assert_eq!(answer.status.as_u16(), 502);
    assert!(answer.unknown() && answer.text.is_empty(), "{answer:?}");
    let retry = answer.headers.get("x-should-retry");
    assert_eq!(retry.map(|v| v.as_bytes()), Some(&b"false"[..]));
}

// The caller is told "not run" and when to come back, and no step has run. Every stage refuses the
// request before anything starts, and the deadline ends the search for another.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_is_truly_unrun() {
    let fleet = single().await;
    fleet.endpoints[1].engine.set_leaving(true);
    let request = once("sesame swap", false).header("x-wigeonshelf-deadline-ms", "400");
    let answer = ask(&fleet, &request).await;
    assert!(answer.not_run(), "{answer:?}");
    assert!(answer.status.is_server_error());
    assert_eq!(steps(&fleet), 0);
}

// The caller is told "not run" at once when nothing serves the model.
#[tokio::test(flavor = "multi_thread")]
async fn dead_fleet_refuses() {
    let fleet = single().await;
    fleet.endpoints[0].engine.crash();
    let request = Ask::of("hello").header("x-wigeonshelf-deadline-ms", "1500");
    let answer = ask(&fleet, &request).await;
    assert!(answer.not_run(), "{answer:?}");
    assert_eq!(steps(&fleet), 0);
}

// The caller of a request that may not be repeated goes away while it runs. It is not cut off
// halfway: it runs to its end, once.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_may_not_be_repeated_outlives_its_caller() {
    let fleet = single().await;
    let caller = Caller::new();
    let request = once("lock the tower", true);
    let response = caller.open(fleet.node(0).callers, &request).await;
    assert!(response.expect("answer").status().is_success());
    drop(caller);
    let finished = || async {
        let counters = fleet.endpoints[0].engine.counters();
        Counters::get(&counters.finished) == 1
    };
    rig::fleet::wait("the request runs to its end", finished)
        .await
        .expect("finished");
    let counters = fleet.endpoints[0].engine.counters();
    assert_eq!(Counters::get(&counters.cancelled), 0);
    assert_eq!(Counters::get(&counters.opened), 1);
}
