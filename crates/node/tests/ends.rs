//! Responses that pass through a stopping process, for each way in which their endpoints end them.

#[path = "support/hosted.rs"]
mod hosted;
#[path = "support/process.rs"]
mod process;
#[path = "../../../platform/standin/mod.rs"]
mod standin;

use hosted::{start_with, wait_for_catalog};
use standin::caller::{self, Call};
use standin::ends::{End, Endpoint};
use standin::plain;
use standin::store::Store;
use std::net::SocketAddr;
use std::time::Duration;

/// Events of a stream, and the time before each of them.
const EVENTS: u64 = 43;
const INTERVAL: Duration = Duration::from_millis(40);
/// Routes whose requests are streams that can be resumed, streams that can't, run at most once, and may be repeated.
const ROUTES: [&str; 4] = ["resume", "chat", "once", "safe"];
/// Requests of each route before and after the signal, one each [`SEND_INTERVAL`].
const REQUESTS: usize = 8;
const SEND_INTERVAL: Duration = Duration::from_millis(100);

fn call<'a>(path: &'a str, id: &'a str) -> Call<'a> {
    Call {
        method: "POST",
        path,
        id,
        key: "k1",
        deadline: "5000",
    }
}

/// Returns what is wrong with the response to a request, if anything is: it must be whole, or a refusal.
async fn send(addr: SocketAddr, route: &str, id: String) -> Result<bool, String> {
    let path = format!("/{route}/x");
    let Some(answer) = caller::send(addr, &call(&path, &id)).await else {
        return Err(format!("{id}: no response"));
    };
    let events = answer
        .body
        .lines()
        .filter(|l| l.starts_with("id: "))
        .count();
    let is_whole = match route {
        "resume" | "chat" => events as u64 == EVENTS,
        _ => answer.body.ends_with(&id),
    };
    match answer.status.as_u16() {
        200 if answer.complete && is_whole => Ok(true),
        503 if answer.complete => Ok(false),
        status => Err(format!(
            "{id}: {status}, complete {}, {events} events",
            answer.complete
        )),
    }
}

/// Sends requests to a node before and after a signal to stop. Returns what was wrong.
async fn violations(end: End) -> Vec<String> {
    let store = Store::start().await;
    for number in 0..3 {
        let id = format!("e{number}");
        let endpoint = Endpoint::start(&id, end, EVENTS, INTERVAL).await;
        plain::register(&store, &id, endpoint.addr, plain::SLOTS);
    }
    store.put_manifest(&plain::manifest(1, 16384, 65536));
    let (node, addr) = start_with(store.addr, 8);
    wait_for_catalog(addr).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let mut sent = Vec::new();
    for number in 0..2 * REQUESTS {
        if number == REQUESTS {
            assert!(node.signal("-TERM"));
        }
        for route in ROUTES {
            let id = format!("{end:?}-{route}-{number}");
            sent.push((number, tokio::spawn(send(addr, route, id))));
        }
        tokio::time::sleep(SEND_INTERVAL).await;
    }
    let mut wrong = Vec::new();
    for (number, response) in sent {
        match response.await.unwrap() {
            Ok(served) if served || number >= REQUESTS => {}
            Ok(_) => wrong.push(format!(
                "{end:?}: request {number} was refused before the stop"
            )),
            Err(text) => wrong.push(text),
        }
    }
    wrong
}

// Guards against responses that are broken off, in calm and beside a stop, because their endpoint ends them with the
// connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_are_whole_beside_a_stop_however_they_end() {
    let ends = End::ALL.map(|end| tokio::spawn(violations(end)));
    let mut wrong = Vec::new();
    for end in ends {
        wrong.extend(end.await.unwrap());
    }
    assert!(wrong.is_empty(), "{} wrong: {wrong:#?}", wrong.len());
}
