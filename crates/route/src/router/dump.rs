//! Text form of the router's state.

use super::Router;
use crate::fleet::Row;
use crate::job::Job;
use std::fmt;

/// Maximum number of jobs listed.
const MAX_LISTED_JOBS: usize = 200;

impl fmt::Display for Router {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "[router]\n{}", self.report())?;
        if let Some(view) = &self.view {
            writeln!(f, "[models]")?;
            for (model, graph) in view.bundle.models.iter().zip(&self.plan.full) {
                let (bound, stages) = (graph.max_flow, graph.stages.len());
                writeln!(
                    f,
                    "{}: bound {bound:.0} tokens/s over {stages} stages",
                    model.name
                )?;
            }
        }
        writeln!(f, "\n[endpoints]")?;
        self.fleet
            .rows
            .iter()
            .try_for_each(|row| writeln!(f, "{row}"))?;
        writeln!(f, "\n[teams]")?;
        for row in &self.shares.accounts {
            let (name, flying) = (&row.name, row.in_flight);
            writeln!(
                f,
                "{name}: in flight {flying}, taken {}, refused {}",
                row.admitted, row.refused
            )?;
        }
        writeln!(f, "\n[requests]")?;
        self.jobs
            .values()
            .take(MAX_LISTED_JOBS)
            .try_for_each(|job| writeln!(f, "{job}"))?;
        let more = self.jobs.len().saturating_sub(MAX_LISTED_JOBS);
        if more > 0 {
            writeln!(f, "and {more} more")?;
        }
        Ok(())
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (open, state) = (self.available, self.health.state);
        write!(
            f,
            "{}: open {open}, {state:?}, flying {}",
            self.name, self.in_flight
        )?;
        write!(
            f,
            " of {}/{}, usual {:.1} ms",
            self.limit(),
            self.slots,
            self.limiter.mean_time * 1e3
        )?;
        self.reserved_for
            .map_or(Ok(()), |id| write!(f, ", kept for {id:x}"))
    }
}

impl fmt::Display for Job {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (id, phase) = (self.id(), self.phase);
        write!(
            f,
            "{id:x}/{}: {phase:?}, {} tokens",
            self.attempt, self.tokens
        )?;
        write!(f, ", tries {}, sent {}", self.failed_attempts, self.sent)?;
        let Some(run) = &self.run else { return Ok(()) };
        let hops = run
            .hops
            .iter()
            .map(|h| format!(" {}[{}..{}]", h.endpoint, h.from, h.to));
        write!(
            f,
            ", at hop {} of{}",
            run.next_hop,
            hops.collect::<String>()
        )
    }
}
