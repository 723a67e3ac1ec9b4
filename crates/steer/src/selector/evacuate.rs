//! Plans for the idle responses of this node whose chains have ended stages.

use super::Selector;
use super::moves::{Path, Scope};
use super::others::Others;
use crate::Timestamp;
use crate::evacuation::queues::Queues;
use crate::evacuation::{
    self, Decision, Evacuee, INCREMENTS, MOVE_TIME, NEW_CHAIN_SECS, Plan, Rank,
};
use crate::target::{Stage, Target};
use catalog::ServiceId;
use std::net::SocketAddr;
use std::time::Duration;

/// What a response can do, each with the time until its next event in seconds.
#[derive(Debug, Default)]
struct Options {
    replace: Option<(Vec<Path>, f64)>,
    resume: Option<(Path, f64)>,
    /// For how long the response gives way to others.
    defer: Option<Duration>,
}

impl Options {
    fn replace_time(&self) -> Option<f64> {
        self.replace.as_ref().map(|(_, time)| *time)
    }

    fn resume_time(&self) -> Option<f64> {
        self.resume.as_ref().map(|(_, time)| *time)
    }

    fn prefers_resumption(&self) -> bool {
        evacuation::prefers_resumption(self.replace_time(), self.resume_time())
    }

    /// Returns the time of the faster option.
    fn time(&self) -> Option<f64> {
        let times = self.replace_time().into_iter().chain(self.resume_time());
        times.reduce(f64::min)
    }

    /// Returns the paths of the faster option.
    fn paths(&self) -> &[Path] {
        match (self.prefers_resumption(), &self.replace, &self.resume) {
            (true, _, Some((path, _))) => std::slice::from_ref(path),
            (false, Some((paths, _)), _) => paths,
            _ => &[],
        }
    }
}

impl Selector {
    /// Returns whether the view lists an endpoint of a chain as ended.
    pub fn has_ended_stage(&self, target: &Target) -> bool {
        !self.fleet.ended.is_empty() && target.stages.iter().any(|s| self.has_ended(s))
    }

    /// Returns whether the end of an endpoint of a chain is confirmed.
    pub fn has_confirmed_end(&self, target: &Target) -> bool {
        let confirmed = &self.fleet.confirmed_ended;
        let mut stages = target.stages.iter();
        stages.any(|s| confirmed.contains(&s.run.to_string()))
    }

    /// Returns the addresses of the stages of a chain whose endpoint has ended.
    pub fn ended_stages(&self, target: &Target) -> Vec<SocketAddr> {
        let ended = target.stages.iter().filter(|s| self.has_ended(s));
        ended.map(|s| s.addr).collect()
    }

    fn has_ended(&self, stage: &Stage) -> bool {
        self.fleet.ended.contains(&stage.run.to_string())
    }

    /// Plans the moves of responses that are idle and whose chains have ended stages. Those that can
    /// still meet their target are planned first, and reserve what they take.
    pub fn evacuate(&mut self, now: Timestamp, evacuees: &[Evacuee]) -> Vec<Decision> {
        let stay = Decision {
            plan: Plan::Stay,
            replace: None,
            resume: None,
        };
        let mut decisions = vec![stay; evacuees.len()];
        let mut services: Vec<ServiceId> = evacuees.iter().map(|e| e.service).collect();
        services.sort_unstable();
        services.dedup();
        for service in services {
            let members = (0..evacuees.len()).filter(|&at| evacuees[at].service == service);
            self.evacuate_service(now, service, evacuees, members.collect(), &mut decisions);
        }
        decisions
    }

    fn evacuate_service(
        &mut self,
        now: Timestamp,
        service: ServiceId,
        evacuees: &[Evacuee],
        members: Vec<usize>,
        decisions: &mut [Decision],
    ) {
        let catalog = self.fleet.catalog.clone();
        let Some(service) = catalog.service(service) else {
            return;
        };
        let Some(engine) = &service.engine else {
            return;
        };
        let scope = Scope {
            now,
            service,
            engine,
            residence: self.flow(service, engine).residence(),
            queue_factor: evacuation::QUEUE_FACTOR,
        };
        // Each response takes the place of an increment of the simulated moves.
        let position = |&member: &usize| {
            let place = evacuees[member].place * f64::from(INCREMENTS);
            (place as u32).min(INCREMENTS - 1)
        };
        let mut positions: Vec<u32> = members.iter().map(position).collect();
        positions.sort_unstable();
        for (member, options) in self.plan_service(scope, evacuees, &members, &positions) {
            decisions[member] = self.commit(scope, &evacuees[member], options);
        }
    }

    /// Returns the options of each response, in the order of the moves.
    fn plan_service(
        &self,
        scope: Scope<'_>,
        evacuees: &[Evacuee],
        members: &[usize],
        positions: &[u32],
    ) -> Vec<(usize, Options)> {
        let usable = self.rows_where(|row| scope.is_usable(row));
        let lost = self.rows_where(|row| {
            let age = row.ended_since.map(|since| scope.now.saturating_sub(since));
            row.endpoint.service == scope.service.name && age.is_some_and(|a| a < MOVE_TIME)
        });
        let losses = lost
            .iter()
            .map(|&at| self.loss_of_endpoint(scope.engine, at));
        let losses: Vec<_> = losses.collect();
        let since = lost
            .iter()
            .filter_map(|&at| self.rows[at].ended_since)
            .max();
        let elapsed = since.map_or(Duration::ZERO, |s| scope.now.saturating_sub(s));
        let unloaded = Queues::new(self.rows.len(), self.zones.len(), Duration::ZERO);
        let rank = |&member: &usize| {
            let evacuee = &evacuees[member];
            let options = self.options(scope, evacuee, &usable, &unloaded);
            let time = duration(options.time().unwrap_or_default());
            (Rank::new(evacuee.idle, evacuee.pause_target, time), member)
        };
        let mut order: Vec<(Rank, usize)> = members.iter().map(rank).collect();
        order.sort_unstable();
        let Some(first) = members.first().map(|&at| &evacuees[at]) else {
            return Vec::new();
        };
        let context = f64::from(first.context);
        let mut others = Others::new(self, scope, &first.need, context, &losses, elapsed);
        if members.iter().any(|&at| evacuees[at].retry.is_some()) {
            others = others.resumable_on(&usable);
        }
        let mut planned = Vec::new();
        for ((_, member), &position) in order.into_iter().zip(positions) {
            let evacuee = &evacuees[member];
            others.advance(self, position);
            let mut options = self.options(scope, evacuee, &usable, &others.queues);
            if let Some(time) = options.time().filter(|_| evacuee.may_defer) {
                let rank = Rank::new(evacuee.idle, evacuee.pause_target, duration(time));
                let queue = duration(time - self.time_unloaded(scope, &options, evacuee));
                options.defer = evacuation::deferral(rank, queue, evacuee.pause_target, elapsed);
            }
            if options.defer.is_none() {
                let tokens = f64::from(evacuee.context);
                for path in options.paths() {
                    self.add_path(scope, &mut others.queues, path, tokens);
                }
            }
            planned.push((member, options));
        }
        planned
    }

    /// Returns the time of the faster option without any queue.
    fn time_unloaded(&self, scope: Scope<'_>, options: &Options, evacuee: &Evacuee) -> f64 {
        let unloaded = Queues::new(self.rows.len(), self.zones.len(), Duration::ZERO);
        let start = match options.prefers_resumption() {
            true => NEW_CHAIN_SECS,
            false => 0.0,
        };
        let tokens = f64::from(evacuee.context);
        options.paths().iter().fold(start, |at, path| {
            self.time_over(scope, &unloaded, path, tokens, at)
        })
    }

    /// Returns what a response can do behind the queued work of others. A new chain is not searched
    /// for if even one without prefill would be later than a replacement.
    fn options(
        &self,
        scope: Scope<'_>,
        evacuee: &Evacuee,
        usable: &[usize],
        queues: &Queues,
    ) -> Options {
        let tokens = f64::from(evacuee.context);
        let gaps = self.gaps(&evacuee.target, &self.ended_stages(&evacuee.target));
        let replace = gaps.and_then(|gaps| self.replacement(scope, &gaps, queues, &evacuee.need));
        let replace = replace.ok().map(|paths| {
            let time = paths.iter().fold(0.0, |at, path| {
                self.time_over(scope, queues, path, tokens, at)
            });
            (paths, time)
        });
        let may_be_later = |(_, time): &(_, f64)| *time > NEW_CHAIN_SECS;
        let resume = match evacuee.retry.is_some() && replace.as_ref().is_none_or(may_be_later) {
            true => {
                // The head of the old chain already holds the request.
                let head = &evacuee.target.head().run;
                let is_other = |&&at: &&usize| self.rows[at].endpoint.run != *head;
                let usable: Vec<usize> = usable.iter().filter(is_other).copied().collect();
                self.new_chain(scope, &usable, queues, &evacuee.need)
            }
            false => None,
        };
        let resume = resume.map(|path| {
            let time = self.time_over(scope, queues, &path, tokens, NEW_CHAIN_SECS);
            (path, time)
        });
        Options {
            replace,
            resume,
            defer: None,
        }
    }

    /// Reserves the option that a response takes. Without a retry in the budget, only a replacement
    /// is possible.
    fn commit(&mut self, scope: Scope<'_>, evacuee: &Evacuee, options: Options) -> Decision {
        let (replace, resume) = (options.replace_time(), options.resume_time());
        let prefers_resumption = options.prefers_resumption();
        let plan = match options {
            Options {
                defer: Some(time), ..
            } => Plan::Defer(time),
            Options {
                resume: Some((path, _)),
                ..
            } if prefers_resumption && self.take_retry(scope, evacuee) => {
                let tokens = f64::from(evacuee.context);
                Plan::Resume(self.commit_resumption(scope, &path, &evacuee.need, tokens))
            }
            Options {
                replace: Some((paths, _)),
                ..
            } => self.commit_stages(scope, evacuee, &paths),
            _ => Plan::Stay,
        };
        Decision {
            plan,
            replace: replace.map(duration),
            resume: resume.map(duration),
        }
    }

    fn commit_stages(&mut self, scope: Scope<'_>, evacuee: &Evacuee, paths: &[Path]) -> Plan {
        let target = &evacuee.target;
        let Ok(gaps) = self.gaps(target, &self.ended_stages(target)) else {
            return Plan::Stay;
        };
        let tokens = f64::from(evacuee.context);
        let need = &evacuee.need;
        Plan::Replace(self.commit_replacement(scope, target, &gaps, paths, need, tokens))
    }

    fn take_retry(&mut self, scope: Scope<'_>, evacuee: &Evacuee) -> bool {
        let Some(purpose) = evacuee.retry else {
            return false;
        };
        self.try_retry(scope.now, &scope.service.name, purpose)
    }
}

fn duration(secs: f64) -> Duration {
    Duration::try_from_secs_f64(secs.max(0.0)).unwrap_or(Duration::MAX)
}
