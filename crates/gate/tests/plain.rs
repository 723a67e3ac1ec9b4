//! Plain requests: at most once, answered with an endpoint's own answer or an honest refusal.

mod support;

use http::{HeaderValue, StatusCode};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::caller::{Got, request, send};
use support::server::{Act, Server, header};
use support::{ALLOWANCE, node, plain, run, start, view};

async fn servers(acts: [Act; 2]) -> [Server; 2] {
    let [a, b] = acts;
    [Server::start(vec![a]).await, Server::start(vec![b]).await]
}

/// A node before two endpoints that do these, and how often they were asked together.
async fn ask(path: &str, acts: [Act; 2]) -> (support::caller::Got, usize) {
    let servers = servers(acts).await;
    let node = node(servers.iter().map(|s| plain(s.addr)).collect()).await;
    let got = send(node.addr, request(path)).await;
    (got, servers.iter().map(|s| s.heads().len()).sum())
}

#[test]
fn an_answer_comes_back_unchanged() {
    run(async {
        let server = Server::start(vec![Act::Answer(203, "sheet")]).await;
        let node = node(vec![plain(server.addr)]).await;
        let got = send(node.addr, request("/safe/x?a=1")).await;
        assert_eq!((got.status.as_u16(), got.body.as_str()), (203, "sheet"));
        assert_eq!(got.headers["seal"], "s");
        let head = &server.heads()[0];
        assert!(head.starts_with("POST /safe/x?a=1 HTTP/1.1"), "{head}");
        assert_eq!(header(head, "team").as_deref(), Some("north"));
        assert_eq!(header(head, "key"), None);
        let left: u64 = header(head, "deadline").unwrap().parse().unwrap();
        assert!(left <= 4000, "{left}");
    });
}

// A newsletter would go out twice: the endpoint has read the request, and its connection breaks.
// Nobody knows whether it ran, so it is sent nowhere else, and the caller is not told that it has
// not run.
#[test]
fn a_request_that_may_have_run_is_not_run_again() {
    run(async {
        for act in [Act::Reset, Act::Half, Act::Foreign, Act::Unsealed] {
            let (got, sent) = ask("/once/x", [act.clone(), act.clone()]).await;
            assert_eq!((got.status, sent), (StatusCode::BAD_GATEWAY, 1), "{act:?}");
        }
        let (got, sent) = ask("/once/x", [Act::Answer(500, "no"), Act::Answer(500, "no")]).await;
        assert_eq!(
            (got.status.as_u16(), got.body.as_str(), sent),
            (500, "no", 1)
        );
    });
}

// The endpoint says itself that it did not run the request. Then another may, also where a request
// runs at most once; and if all refuse, "not run" is true.
#[test]
fn a_request_that_did_not_run_goes_elsewhere() {
    run(async {
        for path in ["/once/x", "/safe/x"] {
            let mut statuses = Vec::new();
            for acts in [
                [Act::Refuse(503), Act::Answer(200, "a")],
                [Act::Refuse(421), Act::Answer(200, "a")],
            ] {
                let (got, _) = ask(path, acts).await;
                statuses.push(got.status.as_u16());
            }
            assert_eq!(statuses, [200, 200], "{path}");
            let (got, _) = ask(path, [Act::Refuse(503), Act::Refuse(503)]).await;
            assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE);
            assert!(got.headers.contains_key("retry-after"));
        }
    });
}

#[test]
fn an_idempotent_request_is_sent_again() {
    run(async {
        for act in [Act::Reset, Act::Half, Act::Foreign, Act::Answer(500, "no")] {
            let (got, _) = ask("/safe/x", [act.clone(), Act::Answer(200, "a")]).await;
            assert_eq!(
                (got.status.as_u16(), got.body.as_str()),
                (200, "a"),
                "{act:?}"
            );
        }
    });
}

// An endpoint is silent. The caller's answer would come from it never; another endpoint is asked
// well before the caller's time is over.
#[test]
fn a_silent_endpoint_is_left_for_another() {
    run(async {
        let (got, _) = ask("/safe/x", [Act::Silent, Act::Answer(200, "a")]).await;
        assert_eq!(got.status.as_u16(), 200);
    });
}

#[test]
fn no_more_than_the_routes_attempts_are_made() {
    run(async {
        let acts = [Act::Answer(500, "no"), Act::Answer(500, "no")];
        let (got, sent) = ask("/safe/x", acts).await;
        assert_eq!((got.status.as_u16(), sent), (500, 2));
    });
}

// An endpoint sends a second answer behind its first. On a kept connection it stands where the
// next caller's answer is expected; the next caller must not get it.
#[test]
fn a_second_answer_reaches_nobody() {
    run(async {
        let server = Server::start(vec![Act::Twice, Act::Answer(200, "three")]).await;
        let node = node(vec![plain(server.addr)]).await;
        let first = send(node.addr, request("/safe/x")).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
        let second = send(node.addr, request("/safe/x")).await;
        assert_eq!(
            (first.body.as_str(), second.body.as_str()),
            ("one", "three")
        );
    });
}

// Guards against callers that are refused, and told to come back after seconds, by nodes that know the
// catalog a moment later: all 195 nodes started together and refused 1,147 requests in a second and a
// half. Once the time in which a catalog comes is over, requests are refused at once.
#[test]
fn a_request_waits_for_the_first_catalog_of_a_young_node() {
    run(async {
        let node = start(ALLOWANCE).await;
        let server = Server::start(vec![Act::Answer(200, "a")]).await;
        let begun = Instant::now();
        let learns = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            let known = view(vec![plain(server.addr)]);
            node.shared_view.store(Some(Arc::new(known)));
        };
        let (got, ()) = tokio::join!(send(node.addr, request("/safe/x")), learns);
        assert_eq!(got.status, StatusCode::OK);
        assert!(begun.elapsed() < Duration::from_millis(600));

        let node = start(ALLOWANCE).await;
        let mut short = request("/safe/x");
        let time = HeaderValue::from_static("400");
        short.headers_mut().insert("deadline", time);
        let begun = Instant::now();
        let got = send(node.addr, short).await;
        assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE);
        let waited = begun.elapsed();
        assert!(waited < Duration::from_millis(300), "{waited:?}");
        tokio::time::sleep(Duration::from_millis(2000)).await;
        let begun = Instant::now();
        let got = send(node.addr, request("/safe/x")).await;
        assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(begun.elapsed() < Duration::from_millis(200));
    });
}

// A node that has just started knows no catalog. It must not say that a route or key does not
// exist, which callers take as final: it says that it is not ready, and that nothing has run. Where all
// nodes started anew, the others know none either, and most callers come back only once: they are
// told a time in which a store comes back, and not the same one all.
#[test]
fn a_node_without_a_catalog_sends_callers_elsewhere() {
    run(async {
        let node = start(ALLOWANCE).await;
        let got = send(node.addr, request("/safe/x")).await;
        assert_eq!(got.status, StatusCode::SERVICE_UNAVAILABLE);
        let after = |got: &Got| -> f64 {
            got.headers["retry-after"]
                .to_str()
                .unwrap()
                .parse()
                .unwrap()
        };
        assert!((1.5..=3.0).contains(&after(&got)), "{:?}", got.headers);
        let mut others = Vec::new();
        for _ in 0..4 {
            others.push(after(&send(node.addr, request("/safe/x")).await));
        }
        assert!(others.iter().any(|o| *o != others[0]), "{others:?}");
        let server = Server::start(vec![Act::Answer(200, "a")]).await;
        node.shared_view
            .store(Some(Arc::new(view(vec![plain(server.addr)]))));
        assert_eq!(
            send(node.addr, request("/safe/x")).await.status.as_u16(),
            200
        );
        let mut unknown = request("/safe/x");
        unknown
            .headers_mut()
            .insert("key", "other".parse().unwrap());
        assert_eq!(
            send(node.addr, unknown).await.status,
            StatusCode::UNAUTHORIZED
        );
        let nowhere = send(node.addr, request("/nowhere/x")).await;
        assert_eq!(nowhere.status, StatusCode::NOT_FOUND);
        node.worker.close();
        let closing = send(node.addr, request("/safe/x")).await;
        assert_eq!(closing.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(closing.headers["connection"], "close");
    });
}

// A caller gives up and closes its connection. The endpoint's work is for nobody then; it learns of
// it because its own connection is closed.
#[test]
fn a_caller_that_leaves_takes_its_request_along() {
    run(async {
        let server = Server::start(vec![Act::Silent]).await;
        let node = node(vec![plain(server.addr)]).await;
        let sent = send(node.addr, request("/once/x"));
        assert!(
            tokio::time::timeout(Duration::from_millis(100), sent)
                .await
                .is_err()
        );
        for _ in 0..100 {
            if server.left() == 1 {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        assert_eq!((server.left(), node.worker.in_flight()), (1, 0));
    });
}

// The time of a request that runs at most once is over while its endpoint is at work. The caller
// is told at once, and not that it has not run.
#[test]
fn a_late_request_ends_with_its_time() {
    run(async {
        let mut short = request("/once/x");
        short
            .headers_mut()
            .insert("deadline", "100".parse().unwrap());
        let server = Server::start(vec![Act::Silent]).await;
        let node = node(vec![plain(server.addr)]).await;
        let got = send(node.addr, short).await;
        assert_eq!(got.status, StatusCode::GATEWAY_TIMEOUT);
    });
}
