//! The selector's part of the state dump.

use super::Selector;
use std::fmt;

impl fmt::Display for Selector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "attempts {} nodes {}",
            self.reservations.len(),
            self.fleet.nodes
        )?;
        self.write_prefills(f)?;
        for row in &self.rows {
            let endpoint = &row.endpoint;
            write!(
                f,
                "endpoint {} {} {}",
                endpoint.run, endpoint.addr, endpoint.service
            )?;
            if row.leaving {
                write!(f, " leaving")?;
            }
            if let Some(since) = row.ended_since {
                write!(f, " ended since {:.3}", since.as_secs_f64())?;
            }
            write!(
                f,
                " {:?} layers {} flying {}",
                endpoint.state, endpoint.span, row.in_flight
            )?;
            write!(
                f,
                " held {:.0} of {:.0} failures {}",
                row.reserved,
                row.capacity,
                row.health.failures()
            )?;
            if let Some(until) = self.own_moves.prefill_until(&endpoint.run) {
                write!(f, " moves until {:.3}", until.as_secs_f64())?;
            }
            if let Some(rest) = &row.rest {
                write!(f, " rest until {:.3}", rest.until().as_secs_f64())?;
            }
            if let Some(last) = row.prefill.prompts().last() {
                let prompts = row.prefill.prompts();
                let secs: f64 = prompts.iter().map(|p| p.secs).sum();
                let until = (last.began + last.expected).as_secs_f64();
                write!(
                    f,
                    " prefill of {} prompts {secs:.3} s, the last until {until:.3}",
                    prompts.len()
                )?;
            }
            if let Some(limit) = &row.limit {
                write!(f, " limit {:.1} a second", limit.per_second())?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
