//! Test bench that passes single events to a router.
#![allow(dead_code)]

use bundle::id::EndpointId;
use route::action::{Action, Hop};
use route::event::Event;
use route::failure::{Cause, Failure};
use route::request::Id;
use route::router::Router;
use route::settings::Settings;
use route::view::View;
use std::sync::Arc;
use std::time::Duration;

/// Router with its view and the current time.
pub struct Bench {
    pub router: Router,
    pub now: Duration,
    pub view: View,
}

/// Deadline that no test reaches.
pub const FAR_DEADLINE: Duration = Duration::from_secs(60);

impl Bench {
    pub fn new(bundle: bundle::Bundle) -> Self {
        let view = super::fixture::view(&Arc::new(bundle), 0);
        let router = Router::new(7, Settings::default());
        let now = Duration::from_secs(1);
        let mut bench = Self {
            router,
            now,
            view: view.clone(),
        };
        bench.publish_view(view);
        bench
    }

    /// Passes another view to the router.
    pub fn publish_view(&mut self, view: View) {
        self.view = view.clone();
        self.handle(Event::View(Arc::new(view)));
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.now += Duration::from_millis(1);
        self.router.handle(self.now, event, &mut out);
        assert!(
            self.router.verify().is_empty(),
            "{:?}",
            self.router.verify()
        );
        out
    }

    pub fn advance(&mut self, time: Duration) -> Vec<Action> {
        let end = self.now + time;
        let mut out = Vec::new();
        while self.now < end {
            self.now += route::event::TICK;
            self.router.handle(self.now, Event::Tick, &mut out);
        }
        out
    }

    pub fn fail(
        &mut self,
        id: Id,
        attempt: u32,
        endpoint: EndpointId,
        cause: Cause,
        sent: bool,
    ) -> Vec<Action> {
        let failure = Failure {
            endpoint,
            cause,
            sent,
            retry_after: None,
        };
        self.handle(Event::Failed(id, attempt, failure))
    }
}

/// Returns the attempt and the chain with which a request is started by these actions.
pub fn find_start(out: &[Action], id: Id) -> Option<(u32, Vec<Hop>)> {
    out.iter().find_map(|a| match a {
        Action::Start(i, attempt, hops) if *i == id => Some((*attempt, hops.clone())),
        _ => None,
    })
}
