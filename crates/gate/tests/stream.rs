//! Answers in events: none twice, none missing, whole only when whole.

mod support;

use catalog::endpoint::State;
use gate::view::View;
use http::StatusCode;
use journal::event::Event;
use journal::{Journal, Line, Message};
use std::sync::Arc;
use std::time::{Duration, Instant};
use steer::budget::Allowance;
use support::caller::{Got, ids, request, send};
use support::server::{Act, Server, header};
use support::{ALLOWANCE, LAYERS, node, reordered, run, stage, start, start_with, view};

/// An answer from an endpoint that does the first act and, once that has failed, another one.
async fn ask(first: Act, then: Act) -> (Got, Vec<String>) {
    let a = Server::start(vec![first]).await;
    let b = Server::start(vec![then]).await;
    let node = node(vec![stage(a.addr, 0, LAYERS)]).await;
    let both = view(vec![stage(a.addr, 0, LAYERS), stage(b.addr, 0, LAYERS)]);
    let asked = send(node.addr, request("/chat/x"));
    let shared_view = node.shared_view.clone();
    // The second endpoint registers once the first has the request.
    let registered = async {
        while a.heads().is_empty() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        shared_view.store(Some(Arc::new(both)));
    };
    let (got, ()) = tokio::join!(asked, registered);
    (got, b.heads())
}

#[test]
fn events_come_through_unchanged() {
    run(async {
        let (got, _) = ask(Act::Events(1, 5), Act::Silent).await;
        assert_eq!((ids(&got.body), got.whole), (vec![1, 2, 3, 4, 5], true));
        assert_eq!(got.headers["seal"], "s");
    });
}

// The endpoint dies in the middle of an event. The caller gets the answer as if nothing had been:
// no half event, none twice, none missing. The other endpoint is told where to go on.
#[test]
fn an_answer_goes_on_after_the_last_whole_event() {
    run(async {
        let (got, heads) = ask(Act::Torn(1, 3), Act::Events(4, 6)).await;
        assert_eq!((ids(&got.body), got.whole), ((1..=6).collect(), true));
        assert!(!got.body.contains("data: t4\n\ndata"), "{}", got.body);
        assert_eq!(header(&heads[0], "after").as_deref(), Some("3"));
    });
}

// The other endpoint begins anew instead of going on. What the caller has is left out.
#[test]
fn events_that_the_caller_has_are_left_out() {
    run(async {
        let (got, _) = ask(Act::Torn(1, 3), Act::Events(1, 6)).await;
        assert_eq!((ids(&got.body), got.whole), ((1..=6).collect(), true));
    });
}

// The other endpoint leaves an event out. An answer with a gap must not look whole.
#[test]
fn an_answer_with_a_gap_is_broken_off() {
    run(async {
        let (got, _) = ask(Act::Torn(1, 3), Act::Events(5, 6)).await;
        assert_eq!((ids(&got.body), got.whole), (vec![1, 2, 3], false));
    });
}

// Nothing can go on with the answer. What has come is with the caller; the answer does not look
// whole, since its connection is broken off.
#[test]
fn an_answer_that_nobody_finishes_does_not_look_whole() {
    run(async {
        let (got, _) = ask(Act::Torn(1, 3), Act::Refuse(503)).await;
        assert_eq!((ids(&got.body), got.whole), (vec![1, 2, 3], false));
    });
}

// An endpoint stops answering between two events. Its silence is noticed, and another goes on
// before the caller gives up.
#[test]
fn an_answer_that_stalls_goes_on_elsewhere() {
    run(async {
        let (got, _) = ask(Act::Stall(1, 2), Act::Events(3, 4)).await;
        assert_eq!((ids(&got.body), got.whole), (vec![1, 2, 3, 4], true));
    });
}

// The same with no budget for further attempts: silence alone is no reason to cut an answer that
// may still go on. It stays open until its time is over.
#[test]
fn a_silent_answer_is_not_cut_while_nothing_can_go_on() {
    run(async {
        let none = Allowance {
            ratio: 0.0,
            slack: 0.0,
            window: Duration::from_secs(10),
        };
        let a = Server::start(vec![Act::Stall(1, 2)]).await;
        let b = Server::start(vec![Act::Events(3, 4)]).await;
        let node = start(none).await;
        let both = view(vec![stage(a.addr, 0, LAYERS), stage(b.addr, 0, LAYERS)]);
        node.shared_view.store(Some(Arc::new(both)));
        // One of the two is asked first; if it is the one that answers whole, ask again.
        let asked = send(node.addr, request("/chat/x"));
        let ended = tokio::time::timeout(Duration::from_millis(2500), asked).await;
        if let Ok(got) = ended {
            assert!(a.heads().is_empty(), "{got:?}");
            return;
        }
        assert_eq!((a.heads().len(), b.heads().len()), (1, 0));
    });
}

// The head of a chain waits for a dead stage and says so. The stage is replaced in the chain that
// is under way: the same answer goes on, and no further attempt is made.
#[test]
fn a_dead_stage_is_replaced_under_way() {
    a_stage_dies(|view| view);
}

// Meanwhile the operator writes a version that names the services in another order. The answer
// began under the version before; its stage is replaced by one of its own service all the same.
#[test]
fn a_dead_stage_is_replaced_under_a_later_version() {
    a_stage_dies(reordered);
}

/// A stage dies under way, and what is known then is as `change` makes it.
fn a_stage_dies(change: fn(View) -> View) {
    a_stage_is_replaced(change, true, Duration::from_millis(1200));
}

// An endpoint says that it leaves while an answer passes through it, and serves for two more seconds.
// Left there, the answer stalls when it ends, and the caller waits until the silence is explained.
// It is moved before: the head gets the order though it waits for nothing, and is sent nothing anew.
#[test]
fn an_answer_is_moved_off_a_stage_that_leaves() {
    let leaves = |mut view: View| {
        Arc::make_mut(&mut view.fleet.endpoints)[1].state = State::Draining;
        view
    };
    // Shorter than the silence after which an answer is given up.
    a_stage_is_replaced(leaves, false, Duration::from_millis(1400));
}

/// An answer runs over two stages when a spare one registers for the second, and what is known then
/// is as `change` makes it; `stalls` if the head says that the answer waits for the second. Within
/// `time` the head is ordered to go on over the spare one, and nothing is sent anew.
fn a_stage_is_replaced(change: fn(View) -> View, stalls: bool, time: Duration) {
    run(async move {
        let head = Server::start(vec![Act::Stall(1, 2)]).await;
        let second = Server::start(vec![Act::Silent]).await;
        let spare = Server::start(vec![Act::Silent]).await;
        let node = node(vec![stage(head.addr, 0, 2), stage(second.addr, 2, LAYERS)]).await;
        let asked = send(node.addr, request("/chat/x"));
        let changes = async {
            while head.heads().is_empty() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            let rows = vec![
                stage(head.addr, 0, 2),
                stage(second.addr, 2, LAYERS),
                stage(spare.addr, 2, LAYERS),
            ];
            node.shared_view.store(Some(Arc::new(change(view(rows)))));
            if stalls {
                head.report(format!("r1 {}", second.addr));
            }
            while head.orders().is_empty() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let both = async { tokio::join!(asked, changes) };
        let _ = tokio::time::timeout(time, both).await;
        assert_eq!(head.orders(), ["r1/2"]);
        assert_eq!((head.heads().len(), spare.heads().len()), (1, 0));
    });
}

// Guards against answers that are sent anew, at the cost of a further attempt and of all their tokens,
// when two stages of a chain die together: the head names one of them, and refuses the way around it
// for the other.
#[test]
fn two_stages_that_die_together_are_both_replaced() {
    two_stages_are_replaced(|view| view, true);
}

// Guards against answers that stay on stages which are about to go, since the head refuses each way
// around one of them for the other: 1,800 orders of a day were refused, and answers stalled in the end.
#[test]
fn two_stages_that_leave_together_are_both_replaced() {
    let leave = |mut view: View| {
        let rows = Arc::make_mut(&mut view.fleet.endpoints);
        rows[..2].iter_mut().for_each(|r| r.state = State::Draining);
        view
    };
    two_stages_are_replaced(leave, false);
}

/// An answer runs over a head and two further stages when spare ones register for both, and what is
/// known then is as `change` makes it; `stalls` if the head says that the answer waits for the second. The
/// head takes the way around both and not the way around one, and nothing is sent anew.
fn two_stages_are_replaced(change: fn(View) -> View, stalls: bool) {
    run(async move {
        let head = Server::start(vec![Act::Stall(1, 2)]).await;
        let silent = || Server::start(vec![Act::Silent]);
        let (lost, spare) = (
            [silent().await, silent().await],
            [silent().await, silent().await],
        );
        let rows = |servers: &[Server; 2]| {
            let [second, third] = servers;
            vec![stage(second.addr, 1, 2), stage(third.addr, 2, LAYERS)]
        };
        let mut known = rows(&lost);
        known.push(stage(head.addr, 0, 1));
        let node = node(known.clone()).await;
        let asked = send(node.addr, request("/chat/x"));
        let changes = async {
            while head.heads().is_empty() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            head.miss(lost[1].addr);
            if stalls {
                head.report(format!("r1 {}", lost[0].addr));
            }
            known.extend(rows(&spare));
            node.shared_view.store(Some(Arc::new(change(view(known)))));
            while head.orders().len() < 2 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let both = async { tokio::join!(asked, changes) };
        let _ = tokio::time::timeout(Duration::from_millis(1400), both).await;
        assert_eq!(head.orders(), ["r1/3", "r1/3"]);
        let sent: usize = spare.iter().map(|s| s.heads().len()).sum();
        assert_eq!((head.heads().len(), sent), (1, 0));
    });
}

// Guards against accounts in which a caller waited for a moment only: the pause of an answer that went on
// from another endpoint was counted from there, and not from the caller's last event.
#[test]
fn the_pause_that_is_told_is_the_callers() {
    run(async {
        let silent = Server::start(vec![Act::Stall(1, 2)]).await;
        let other = Server::start(vec![Act::Events(3, 5)]).await;
        let (journal, lines) = Journal::new(64);
        let node = start_with(ALLOWANCE, journal).await;
        let first = view(vec![stage(silent.addr, 0, LAYERS)]);
        node.shared_view.store(Some(Arc::new(first)));
        let asked = send(node.addr, request("/chat/x"));
        let learns = async {
            while silent.heads().is_empty() {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            let both = [silent.addr, other.addr].map(|addr| stage(addr, 0, LAYERS));
            node.shared_view.store(Some(Arc::new(view(both.to_vec()))));
        };
        let begun = Instant::now();
        let (got, ()) = tokio::join!(asked, learns);
        assert_eq!((ids(&got.body), got.whole), (vec![1, 2, 3, 4, 5], true));
        let waited = begun.elapsed().as_millis() as u64;
        let told = lines.try_iter().find_map(|message| match message {
            Message::Line(Line {
                event: Event::Ended { pause_ms, .. },
                ..
            }) => Some(pause_ms),
            _ => None,
        });
        let told = told.expect("the request ended");
        assert!(told * 2 > waited && told <= waited, "{told} of {waited} ms");
    });
}

#[test]
fn a_chain_names_every_stage() {
    run(async {
        let head = Server::start(vec![Act::Events(1, 2)]).await;
        let tail = Server::start(vec![Act::Silent]).await;
        let node = node(vec![stage(head.addr, 0, 1), stage(tail.addr, 1, LAYERS)]).await;
        let got = send(node.addr, request("/chat/x")).await;
        assert_eq!(got.status, StatusCode::OK);
        let chain = header(&head.heads()[0], "chain").unwrap();
        assert_eq!(chain, format!("{}=0-1,{}=1-4", head.addr, tail.addr));
    });
}

// No endpoint holds one of the layers. The caller learns at once that nothing has run, and when to
// come back.
#[test]
fn a_request_that_no_chain_can_take_is_refused_as_not_run() {
    run(async {
        let head = Server::start(vec![Act::Events(1, 2)]).await;
        let node = node(vec![stage(head.addr, 0, 2)]).await;
        let got = send(node.addr, request("/chat/x")).await;
        assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE);
        let after: f64 = got.headers["retry-after"]
            .to_str()
            .unwrap()
            .parse()
            .unwrap();
        assert!(after > 0.0 && head.heads().is_empty());
    });
}
