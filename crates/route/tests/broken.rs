//! Mutation tests of the audit: deliberately defective variants of the router must each be caught
//! in a run.
//!
//! A variant passes events to a correct router and alters its actions. A separate audit, of the
//! kind that each router runs over itself, checks the result.

#[path = "support/case.rs"]
mod case;
#[path = "support/fixture.rs"]
mod fixture;
#[path = "support/host.rs"]
mod host;
#[path = "support/world.rs"]
mod world;

use case::Case;
use route::Now;
use route::action::Action;
use route::audit::Audit;
use route::event::Event;
use route::finding::{Fault, Finding};
use route::outcome::Outcome;
use route::refusal::{Reason, Refusal};
use route::request::Id;
use route::router::Router;
use route::settings::Settings;
use std::collections::BTreeMap;
use std::sync::Arc;
use world::Handler;

/// Defect of a variant.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Defect {
    /// Runs the hops of a chain in the wrong order.
    SwapsHops,
    /// Leaves out the last layer of the first hop.
    SkipsLayer,
    /// Starts non-repeatable work again instead of ending it with an unknown outcome.
    RepeatsWork,
    /// Refuses work as not run although it may have run.
    DeniesWork,
    /// Ends an answer as complete at its first token.
    FinishesEarly,
    /// Ends a request twice.
    FinishesTwice,
    /// Starts a second attempt while another one runs.
    StartsTwice,
    /// Ignores which endpoints are leaving.
    IgnoresLeaving,
    /// Ignores which requests are condemned.
    IgnoresCondemned,
}

struct Variant {
    router: Router,
    audit: Audit,
    defect: Defect,
    chains: BTreeMap<Id, (u32, Vec<route::action::Hop>)>,
    found: Vec<Finding>,
}

impl Variant {
    fn new(seed: u64, defect: Defect) -> Self {
        let router = Router::new(seed, Settings::default());
        let (audit, chains, found) = (Audit::default(), BTreeMap::new(), Vec::new());
        Self {
            router,
            audit,
            defect,
            chains,
            found,
        }
    }

    /// Returns the event as the router sees it.
    fn visible_event(&self, event: &Event) -> Event {
        let Event::View(view) = event else {
            return event.clone();
        };
        let mut view = (**view).clone();
        match self.defect {
            Defect::IgnoresLeaving => view.available.fill(true),
            Defect::IgnoresCondemned => view.condemned.clear(),
            _ => {}
        }
        Event::View(Arc::new(view))
    }

    /// Returns the actions that replace an action of the router.
    fn alter(&mut self, action: Action) -> Vec<Action> {
        if let Action::Start(id, attempt, hops) = &action {
            self.chains.insert(*id, (*attempt, hops.clone()));
        }
        match (self.defect, action) {
            (Defect::SwapsHops, Action::Start(id, attempt, mut hops)) => {
                hops.reverse();
                vec![Action::Start(id, attempt, hops)]
            }
            (Defect::SkipsLayer, Action::Start(id, attempt, mut hops)) => {
                hops[0].to = hops[0].to.saturating_sub(1);
                vec![Action::Start(id, attempt, hops)]
            }
            (Defect::RepeatsWork, Action::Finish(id, Outcome::Unknown)) => {
                let (attempt, hops) = self.chains[&id].clone();
                vec![Action::Start(id, attempt + 1, hops)]
            }
            (Defect::DeniesWork, Action::Finish(id, Outcome::Unknown)) => {
                let refusal = Refusal {
                    reason: Reason::Overload,
                    retry_after: None,
                };
                vec![Action::Refuse(id, refusal)]
            }
            (Defect::FinishesTwice, Action::Finish(id, outcome)) => {
                vec![Action::Finish(id, outcome), Action::Finish(id, outcome)]
            }
            (Defect::StartsTwice, Action::Start(id, attempt, hops)) => {
                let again = Action::Start(id, attempt + 1, hops.clone());
                vec![Action::Start(id, attempt, hops), again]
            }
            (_, action) => vec![action],
        }
    }
}

impl Handler for Variant {
    fn handle(&mut self, now: Now, event: Event, out: &mut Vec<Action>) {
        self.audit.event(&event);
        let mut actions = Vec::new();
        self.router
            .handle(now, self.visible_event(&event), &mut actions);
        if let (Defect::FinishesEarly, Event::Token(id, _)) = (self.defect, &event) {
            actions.push(Action::Finish(*id, Outcome::Complete));
        }
        for action in actions {
            for altered in self.alter(action) {
                self.found.extend(self.audit.action(&altered));
            }
        }
        self.found.extend(self.audit.end_left(&event));
        let _ = out;
    }
}

/// Correct router whose actions are carried out, next to a variant whose actions are only audited.
struct Pair {
    correct: Router,
    variant: Variant,
}

impl Handler for Pair {
    fn handle(&mut self, now: Now, event: Event, out: &mut Vec<Action>) {
        self.variant.handle(now, event.clone(), &mut Vec::new());
        self.correct.handle(now, event, out);
    }
}

/// Returns the faults that the audit of a variant finds in one case.
fn found(defect: Defect, seed: u64) -> Vec<Fault> {
    let case = Case {
        crasher_interval: 30,
        ..Case::draw(seed)
    };
    let mut world = case.world(|seed| Pair {
        correct: Router::new(seed, Settings::default()),
        variant: Variant::new(seed, defect),
    });
    world.run(case.end());
    assert_eq!(
        world.all_violations(),
        Vec::<String>::new(),
        "the sound router, seed {seed}"
    );
    let variants = world.nodes.iter().map(|n| &n.handler.variant);
    variants.flat_map(|v| &v.found).map(|f| f.fault).collect()
}

/// Returns whether a fault is of the kind that a defect must cause.
fn expected(defect: Defect, fault: &Fault) -> bool {
    match defect {
        Defect::SwapsHops | Defect::SkipsLayer => matches!(fault, Fault::Gap(..)),
        Defect::RepeatsWork => matches!(fault, Fault::Repeated),
        Defect::DeniesWork => matches!(fault, Fault::Sent),
        Defect::FinishesEarly => matches!(fault, Fault::Partial),
        Defect::FinishesTwice => matches!(fault, Fault::Ended),
        Defect::StartsTwice => matches!(fault, Fault::Twice),
        Defect::IgnoresLeaving => matches!(fault, Fault::Closed(_)),
        Defect::IgnoresCondemned => matches!(fault, Fault::Condemned),
    }
}

#[test]
fn each_defect_is_caught() {
    let defects = [
        Defect::SwapsHops,
        Defect::SkipsLayer,
        Defect::RepeatsWork,
        Defect::DeniesWork,
        Defect::FinishesEarly,
        Defect::FinishesTwice,
        Defect::StartsTwice,
        Defect::IgnoresLeaving,
        Defect::IgnoresCondemned,
    ];
    for defect in defects {
        let caught = (0..12).any(|seed| found(defect, seed).iter().any(|f| expected(defect, f)));
        assert!(caught, "{defect:?} was not caught");
    }
}
