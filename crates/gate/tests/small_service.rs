//! Requests that crash all endpoints of a service, which start again at their addresses.

mod support;

use catalog::endpoint::{Endpoint, State};
use futures::future::join_all;
use http::StatusCode;
use std::sync::Arc;
use std::time::Duration;
use support::caller::{Received, request, send};
use support::isolation::{add_relay, isolate};
use support::server::{Behavior, Server};
use support::{LAYERS, Node, endpoint_for, node, run, stage, view, wait_for_request};

/// Maximum number of endpoints that a request may end after it has ended all of a service.
const MAX_FURTHER_ENDS: usize = 3;
/// Number of times that the request returns.
const ROUNDS: usize = 5;
/// Time that a request runs before it crashes its endpoint.
const CRASH_DELAY: Duration = Duration::from_millis(40);
/// Time for which an endpoint is not used after a failure, and more.
const EJECTION_TIME: Duration = Duration::from_millis(400);
/// Time until an endpoint that crashed starts again.
const RESTART_TIME: Duration = Duration::from_millis(60);

async fn sleep(time: Duration) {
    tokio::time::sleep(time).await;
}

/// A service whose endpoints start again at their addresses, each time as another run.
struct Service {
    path: &'static str,
    behavior: Behavior,
    servers: Vec<Server>,
    /// Number of starts of each endpoint.
    starts: Vec<usize>,
    node: Node,
}

impl Service {
    async fn start(path: &'static str, behavior: Behavior, endpoints: usize) -> Self {
        let mut servers = Vec::new();
        for _ in 0..endpoints {
            servers.push(Server::start(vec![behavior.clone()]).await);
        }
        let service = Self {
            path,
            behavior,
            starts: vec![1; servers.len()],
            servers,
            node: node(Vec::new()).await,
        };
        service.publish(Vec::new());
        service
    }

    /// Returns the registrations of the endpoints that were started last.
    fn endpoints(&self) -> Vec<Endpoint> {
        let rows = self.servers.iter().zip(&self.starts);
        let rows = rows.map(|(server, start)| {
            let mut endpoint = endpoint_for(self.path)(server);
            endpoint.run.id = format!("{}-{start}", endpoint.run.id);
            endpoint
        });
        rows.collect()
    }

    /// Publishes a view of the endpoints and of those in `others`.
    fn publish(&self, others: Vec<Endpoint>) {
        let endpoints = self.endpoints().into_iter().chain(others).collect();
        self.node.shared_view.store(Some(Arc::new(view(endpoints))));
    }

    /// Sends this number of copies of the request at the same time.
    async fn send(&self, copies: usize) -> Vec<Received> {
        let copies = (0..copies).map(|_| send(self.node.addr, request(self.path)));
        join_all(copies).await
    }

    /// Returns how many endpoints have crashed since they last started.
    fn ended(&self) -> usize {
        self.servers.iter().filter(|s| s.has_crashed()).count()
    }

    /// Starts an endpoint again.
    async fn restart(&mut self, at: usize) {
        let addr = self.servers[at].addr;
        self.servers[at] = Server::start_at(addr, vec![self.behavior.clone()]).await;
        self.starts[at] += 1;
    }

    /// Starts the endpoints again that have crashed, and publishes their runs.
    async fn restart_crashed(&mut self) {
        sleep(RESTART_TIME).await;
        for at in 0..self.servers.len() {
            if self.servers[at].has_crashed() {
                self.restart(at).await;
            }
        }
        self.publish(Vec::new());
    }
}

// Guards against a request that ends all endpoints of its service each time it returns: none of them
// is left to show that the others have ended.
#[test]
fn a_request_that_ends_all_endpoints_of_its_service_is_refused() {
    run(async {
        for path in ["/once/x", "/safe/x"] {
            for (endpoints, copies) in [(1, 1), (2, 2), (3, 1), (3, 3), (8, 8)] {
                let crash = Behavior::Crash.delayed(CRASH_DELAY);
                let mut service = Service::start(path, crash, endpoints).await;
                let mut ended = Vec::new();
                for _ in 0..ROUNDS {
                    service.send(copies).await;
                    ended.push(service.ended());
                    service.restart_crashed().await;
                }
                let further: usize = ended.iter().skip(1).sum();
                let case = format!("{path}, {endpoints} endpoints, {copies} copies");
                assert!(further <= MAX_FURTHER_ENDS, "{case}: ended {ended:?}");
                assert_eq!(ended.last(), Some(&0), "{case}: ended {ended:?}");
            }
        }
    });
}

// Guards against the same for streams, which may crash their endpoints after the first events.
#[test]
fn a_stream_that_ends_all_endpoints_of_its_service_is_refused() {
    run(async {
        let crash = Behavior::EventsThenCrash(1, 2).delayed(CRASH_DELAY);
        let mut service = Service::start("/chat/x", crash, 3).await;
        let mut ended = Vec::new();
        for _ in 0..ROUNDS {
            service.send(3).await;
            ended.push(service.ended());
            service.restart_crashed().await;
        }
        let further: usize = ended.iter().skip(1).sum();
        assert!(further <= MAX_FURTHER_ENDS, "ended {ended:?}");
        assert_eq!(ended.last(), Some(&0), "ended {ended:?}");
    });
}

// Guards against an end that is not counted because no other endpoint of the service runs, while those
// of another service show that this node has paths.
#[test]
fn the_end_of_the_only_endpoint_that_runs_is_counted_at_once() {
    run(async {
        let crash = Behavior::Crash.delayed(CRASH_DELAY);
        let mut service = Service::start("/once/x", crash, 3).await;
        let model = Server::start(vec![Behavior::Answer(200, "x")]).await;
        join_all(service.servers[1..].iter().map(Server::crash)).await;
        let mut ended = 0;
        for _ in 0..ROUNDS {
            service.publish(vec![stage(model.addr, 0, LAYERS)]);
            service.send(1).await;
            if service.servers[0].has_crashed() {
                ended += 1;
                service.restart(0).await;
            }
        }
        assert!(ended < MAX_FURTHER_ENDS, "{ended}");
    });
}

// Guards against an endpoint that starts again so fast that its address never refuses a connection.
#[test]
fn an_endpoint_that_starts_again_at_once_is_counted() {
    run(async {
        let mut service = Service::start("/once/x", Behavior::Reset, 3).await;
        let mut runs = 0;
        for _ in 0..ROUNDS {
            service.send(1).await;
            for at in 0..service.servers.len() {
                if !service.servers[at].heads().is_empty() {
                    runs += 1;
                    service.servers[at].crash().await;
                    service.restart(at).await;
                }
            }
            service.publish(Vec::new());
        }
        assert!(runs <= MAX_FURTHER_ENDS, "{runs}");
    });
}

// Guards against refusals of a request that is in demand: copies of it that arrive together wait for
// the one that shows that it does not crash endpoints.
#[test]
fn copies_of_a_harmless_request_are_served_after_a_crash() {
    run(async {
        let answer = Behavior::Answer(200, "x").delayed(Duration::from_millis(20));
        let mut service = Service::start("/once/x", answer, 3).await;
        service.servers[0].set_behavior(Behavior::Silent);
        let servers = service.servers.clone();
        let sending = service.send(8);
        let crash = async {
            wait_for_request(&servers[0]).await;
            servers[0].crash().await;
        };
        futures::join!(sending, crash);
        service.restart_crashed().await;
        let responses = service.send(8).await;
        let served = responses.iter().filter(|r| r.status == StatusCode::OK);
        assert_eq!(served.count(), 8);
    });
}

// Guards against a count of endpoints that the node merely did not reach, once they end later for
// another reason.
#[test]
fn an_endpoint_that_answers_later_did_not_crash() {
    run(async {
        for announced in [false, true] {
            let mut service = Service::start("/once/x", Behavior::Answer(200, "x"), 1).await;
            // Each round, a request breaks off; the endpoint then answers others, or says that it
            // leaves, and later another run takes its address.
            for _ in 0..ROUNDS {
                service.servers[0].set_behavior(Behavior::Reset);
                let broken = service.send(1).await;
                assert_eq!(broken[0].status, StatusCode::BAD_GATEWAY);
                service.servers[0].set_behavior(Behavior::Answer(200, "x"));
                if announced {
                    let mut leaving = service.endpoints();
                    leaving[0].state = State::Draining;
                    let leaving = Arc::new(view(leaving));
                    service.node.shared_view.store(Some(leaving));
                    sleep(Duration::from_millis(10)).await;
                    send(service.node.addr, request("/safe/other")).await;
                } else {
                    sleep(EJECTION_TIME).await;
                    let other = send(service.node.addr, request("/safe/other")).await;
                    assert_eq!(other.status, StatusCode::OK);
                }
                service.servers[0].crash().await;
                service.restart_crashed().await;
            }
        }
    });
}

// Guards against a request that is refused for its crashes and is sent to another node all the same, as
// all endpoints that ended look like lost paths.
#[test]
fn a_request_that_crashes_endpoints_is_not_relayed() {
    run(async {
        let mut service = Service::start("/once/x", Behavior::Crash, 2).await;
        for _ in 0..ROUNDS {
            service.send(1).await;
            service.restart_crashed().await;
        }
        join_all(service.servers.iter().map(Server::crash)).await;
        isolate(&service.node, "/safe/other").await;
        let sound = Server::start(vec![Behavior::Answer(200, "x")]).await;
        let other = node(vec![endpoint_for("/once/x")(&sound)]).await;
        add_relay(&service.node, other.addr, &[]);
        let refused = service.send(1).await;
        assert_eq!(refused[0].status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(sound.heads().is_empty());
        let relayed = send(service.node.addr, request("/once/other")).await;
        assert_eq!(relayed.status, StatusCode::OK);
    });
}
