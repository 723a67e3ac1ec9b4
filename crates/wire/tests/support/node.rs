//! A node that drives a membership group over a real link, as the control thread does.
#![allow(dead_code)]

use member::action::Action;
use member::event::Event;
use member::group::Group;
use member::head::Head;
use member::identity::{Id, Identity};
use member::item::Item;
use member::peer::{Entry, ListedState, State};
use member::settings::Settings;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use wire::auth::Key;
use wire::frame::{HeadRequest, Status};
use wire::limits::Limits;
use wire::peer::{Inbound, Link, Setup};

/// The shared key of the tests.
pub const KEY: &str = "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f";
/// Time limit of every wait of the tests; long, so that a busy host doesn't fail them.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// State of a node as a test sees it.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// Number of the head that the node applies.
    pub head: u64,
    /// Peers that are up.
    pub up: Vec<Id>,
    /// Peers that the group holds for dead or parted.
    pub gone: Vec<Id>,
    /// Items received from other nodes.
    pub items: Vec<Item>,
}

/// A running node.
pub struct Node {
    /// The node's link.
    pub link: Link,
    /// Events that the test sends to the group.
    pub events: mpsc::Sender<Event>,
    /// Latest state of the node.
    pub seen: watch::Receiver<Seen>,
    /// Stops the node.
    pub cancel: CancellationToken,
    entry: Entry,
}

impl Node {
    /// Starts a node on a free port.
    pub async fn start(name: &str, key: &str, limits: Limits) -> Self {
        let (inbound, frames) = mpsc::channel(256);
        let cancel = CancellationToken::new();
        let setup = Setup {
            listen: "127.0.0.1:0".parse().expect("address"),
            advertise: None,
            key: Key::try_from(key).expect("key"),
            limits,
        };
        let link = Link::start(setup, inbound, cancel.clone())
            .await
            .expect("listen");
        let identity = Identity {
            name: name.into(),
            addr: link.addr(),
            zone: "a".into(),
            region: "r".into(),
            incarnation: 1,
        };
        let entry = Entry {
            name: name.into(),
            addr: link.addr(),
            zone: "a".into(),
            region: "r".into(),
            state: ListedState::Live,
        };
        let settings = Settings {
            probe_interval: Duration::from_millis(200),
            ..Settings::default()
        };
        let group = Group::new(identity, 7, settings);
        let (events, commands) = mpsc::channel(64);
        let (snapshot, seen) = watch::channel(Seen::default());
        let run = Run {
            group,
            link: link.clone(),
            started: Instant::now(),
            snapshot,
        };
        tokio::spawn(run.run(frames, commands, cancel.clone()));
        Self {
            link,
            events,
            seen,
            cancel,
            entry,
        }
    }

    /// Returns the node's entry in the instance list.
    pub fn entry(&self) -> Entry {
        self.entry.clone()
    }

    /// Returns the node's id.
    pub fn id(&self) -> Id {
        member::identity::id(&self.entry.name)
    }

    /// Sends an event to the node's group.
    pub async fn send_event(&self, event: Event) {
        self.events.send(event).await.expect("node runs");
    }

    /// Waits until `test` holds for the node's state; panics with `what` after [`WAIT_TIMEOUT`].
    pub async fn wait_until(&self, what: &str, test: impl Fn(&Seen) -> bool) {
        let mut seen = self.seen.clone();
        let wait = tokio::time::timeout(WAIT_TIMEOUT, seen.wait_for(|s| test(s)));
        wait.await
            .unwrap_or_else(|_| panic!("timed out waiting: {what}"))
            .expect("node runs");
    }
}

struct Run {
    group: Group,
    link: Link,
    started: Instant,
    snapshot: watch::Sender<Seen>,
}

impl Run {
    async fn run(
        mut self,
        mut frames: mpsc::Receiver<Inbound>,
        mut commands: mpsc::Receiver<Event>,
        cancel: CancellationToken,
    ) {
        let mut tick = tokio::time::interval(Duration::from_millis(20));
        loop {
            tokio::select! {
                _ = tick.tick() => self.event(Event::Tick).await,
                Some(inbound) = frames.recv() => self.inbound(inbound).await,
                Some(event) = commands.recv() => self.event(event).await,
                () = cancel.cancelled() => return,
            }
        }
    }

    async fn inbound(&mut self, inbound: Inbound) {
        match inbound {
            Inbound::Member { from, message } => {
                self.event(Event::Received { from, message }).await
            }
            Inbound::Head { reply, .. } => {
                let head = self.group.head().map(|h| h.number.to_le_bytes().to_vec());
                let _ = reply.send(head);
            }
            Inbound::Copy { reply, .. } => {
                let _ = reply.send(None);
            }
            Inbound::Status { reply } => {
                let number = self.group.head().map_or(0, |h| h.number);
                let _ = reply.send(Status {
                    number,
                    ..Status::default()
                });
            }
            Inbound::ConnectFailed(addr) => {
                let id = self
                    .group
                    .roster()
                    .iter()
                    .find(|p| p.identity.addr == addr)
                    .map(|p| p.id);
                if let Some(id) = id {
                    self.event(Event::ConnectFailed(id)).await;
                }
            }
        }
    }

    async fn event(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut out = Vec::new();
            self.group.handle(self.started.elapsed(), event, &mut out);
            for action in out {
                events.extend(self.act(action).await);
            }
        }
        let of = |test: fn(State) -> bool| {
            let me = self.group.me();
            let rows = self
                .group
                .roster()
                .iter()
                .filter(|p| p.id != me && test(p.state));
            rows.map(|p| p.id).collect::<Vec<_>>()
        };
        let (up, gone) = (of(|s| s == State::Up), of(|s| s > State::Suspect));
        let head = self.group.head().map_or(0, |h| h.number);
        self.snapshot
            .send_modify(|s| (s.head, s.up, s.gone) = (head, up, gone));
    }

    async fn act(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Send { to, message, .. } => {
                let _ = self.link.send(to, message);
                None
            }
            Action::FetchHead { head, addr, .. } => self.fetch(head, addr).await,
            Action::Learned(item) => {
                self.snapshot.send_modify(|s| s.items.push(item));
                None
            }
            Action::StateChanged { .. } => None,
        }
    }

    async fn fetch(&self, head: Head, addr: SocketAddr) -> Option<Event> {
        let ask = HeadRequest {
            number: head.number,
            have: 0,
        };
        let bytes = self.link.request_head(addr, ask).await.ok()??;
        let number = u64::from_le_bytes(bytes.try_into().ok()?);
        (number == head.number).then_some(Event::Head(head))
    }
}
