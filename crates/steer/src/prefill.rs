//! Prefill of long and short prompts at shared endpoints.
//!
//! Engines prefill prompts in chunks, one after the other. A long prompt delays the first event of
//! requests that are prefilled after it at the same stage, and several long prompts add up. This
//! module holds what a worker knows of prefill in progress ([`backlog`]), the price of it in a
//! search ([`pricing`]), and the order in which engines are asked to admit requests.
//!
//! It is used for services whose catalog states the chunk of their engines and that have a route
//! with a latency target. Its limits derive from the smallest of these targets.

pub mod backlog;
pub mod means;
pub mod overtaking;
pub(crate) mod pricing;

use catalog::{Catalog, ServiceId};
use std::time::Duration;

/// Fraction of the smallest latency target that prefill in progress at one stage may take before
/// the stage is avoided. The same fraction bounds the wait for free capacity at a node, so the two
/// together leave a fifth of the target for the request itself.
const MAX_BACKLOG_FRACTION: f64 = 0.4;
/// Fraction of its latency target after which a request that was not sent yet is treated as short,
/// so that a long prompt that waited for capacity is not overtaken at engines too.
const MAX_OVERTAKEN_FRACTION: f64 = 1.0 / 3.0;
/// Size of a prompt below which it is short, as a multiple of the service's usual prompt.
const SHORT_FACTOR: f64 = 0.75;
/// Size of a prompt above which it is long, as a multiple of the service's usual prompt.
const LONG_FACTOR: f64 = 1.5;
/// Number of size classes, and so the factor on a priority.
const CLASSES: u8 = 3;
/// Numerically largest priority that can be combined with a size class: engines accept 0 to 9.
const MAX_COMBINED_PRIORITY: u8 = 2;

/// Class of a prompt by its size. The order of the variants is that of admission at engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SizeClass {
    /// Clearly shorter than usual.
    Short,
    /// Of about the usual size, or the usual size is unknown.
    Middle,
    /// Clearly longer than usual.
    Long,
}

impl SizeClass {
    /// Returns the class of a prompt in a service whose usual prompt has `usual` tokens.
    pub fn of(prompt: u32, usual: u32) -> Self {
        let (prompt, usual) = (f64::from(prompt), f64::from(usual));
        if usual == 0.0 {
            Self::Middle
        } else if prompt < usual * SHORT_FACTOR {
            Self::Short
        } else if prompt > usual * LONG_FACTOR {
            Self::Long
        } else {
            Self::Middle
        }
    }
}

/// How prefill is treated in one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Number of prompt tokens that an engine prefills for each decode step. It runs the steps of one
    /// event between two chunks.
    pub tokens_per_step: f64,
    /// Smallest latency target of the service's routes.
    pub latency_target: Duration,
    /// Size of the service's usual prompt, in tokens.
    pub usual_prompt: u32,
    /// Whether engines are asked to take short prompts first: the priorities of the catalog leave
    /// space for size classes.
    pub is_ordered: bool,
}

impl Policy {
    /// Returns the policy of a service; `None` if the catalog does not state the chunk of its
    /// engines or no route to it has a latency target.
    pub fn of(catalog: &Catalog, service: ServiceId) -> Option<Self> {
        let engine = catalog.service(service)?.engine.as_ref()?;
        let chunk = engine.prefill_chunk?;
        let routes = catalog.routes.iter();
        let routes = routes.filter(|r| r.split.iter().any(|s| s.service == service));
        let targets = routes.map(|r| r.latency_target).filter(|t| !t.is_zero());
        Some(Self {
            tokens_per_step: f64::from(chunk.max(1)) / f64::from(engine.steps_per_event.max(1)),
            latency_target: targets.min()?,
            usual_prompt: engine.typical_size.prompt,
            is_ordered: catalog.lowest_priority() <= MAX_COMBINED_PRIORITY,
        })
    }

    /// Returns the size class of a prompt.
    pub fn class(&self, prompt: u32) -> SizeClass {
        SizeClass::of(prompt, self.usual_prompt)
    }

    /// Returns the prefill in progress above which a stage is avoided.
    pub fn max_backlog(&self) -> Duration {
        self.latency_target.mul_f64(MAX_BACKLOG_FRACTION)
    }
}

/// A request whose priority at the engines is determined.
#[derive(Clone, Copy, Debug)]
pub struct Admission {
    /// Priority of the request, 0 first.
    pub priority: u8,
    /// Number of tokens of its prompt.
    pub prompt: u32,
    /// Time since its arrival.
    pub waited: Duration,
    /// Whether its prefill may overtake long prompts, by [`crate::Selector::may_overtake`].
    pub may_overtake: bool,
    /// Latency target of its route.
    pub latency_target: Duration,
}

impl Admission {
    /// Returns the priority that engines are given: within each priority of the catalog, short
    /// prompts come before long ones. It is the request's own priority if the service has no
    /// [`Policy`], or if the combined priorities would exceed what engines accept.
    pub fn engine_priority(&self, catalog: &Catalog, service: ServiceId) -> u8 {
        match Policy::of(catalog, service).filter(|p| p.is_ordered) {
            Some(policy) => self.priority * CLASSES + self.class(&policy) as u8,
            None => self.priority,
        }
    }

    fn class(&self, policy: &Policy) -> SizeClass {
        let limit = self.latency_target.mul_f64(MAX_OVERTAKEN_FRACTION);
        if !limit.is_zero() && self.waited >= limit {
            return SizeClass::Short;
        }
        match self.may_overtake {
            true => policy.class(self.prompt),
            false => SizeClass::Long,
        }
    }
}
