//! Text form of the router's state.

use super::Router;
use crate::fleet::Row;
use crate::flight::Flight;
use std::fmt;

/// Requests listed at most.
const LISTED: usize = 200;

impl fmt::Display for Router {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "[router]\n{}", self.report())?;
        if let Some(view) = &self.view {
            writeln!(f, "[models]")?;
            for (model, graph) in view.bundle.models.iter().zip(&self.plan.whole) {
                let (bound, stages) = (graph.bound, graph.stages.len());
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
        for row in &self.shares.rows {
            let (name, flying) = (&row.name, row.in_flight);
            writeln!(
                f,
                "{name}: in flight {flying}, taken {}, refused {}",
                row.taken, row.refused
            )?;
        }
        writeln!(f, "\n[requests]")?;
        self.flights
            .values()
            .take(LISTED)
            .try_for_each(|flight| writeln!(f, "{flight}"))?;
        let more = self.flights.len().saturating_sub(LISTED);
        if more > 0 {
            writeln!(f, "and {more} more")?;
        }
        Ok(())
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (open, state) = (self.open, self.health.state);
        write!(
            f,
            "{}: open {open}, {state:?}, flying {}",
            self.name, self.flying
        )?;
        write!(
            f,
            " of {}/{}, usual {:.1} ms",
            self.limit(),
            self.slots,
            self.pace.usual * 1e3
        )?;
        self.ward
            .map_or(Ok(()), |id| write!(f, ", kept for {id:x}"))
    }
}

impl fmt::Display for Flight {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (id, phase) = (self.id(), self.phase);
        write!(
            f,
            "{id:x}/{}: {phase:?}, {} tokens",
            self.attempt, self.tokens
        )?;
        write!(f, ", tries {}, sent {}", self.tries, self.sent)?;
        let Some(run) = &self.run else { return Ok(()) };
        let hops = run
            .hops
            .iter()
            .map(|h| format!(" {}[{}..{}]", h.endpoint, h.from, h.to));
        write!(f, ", at hop {} of{}", run.hop, hops.collect::<String>())
    }
}
