//! Simulated moves of the other nodes, whose responses lost the same endpoints.

use super::Selector;
use super::moves::{Gap, Path, Scope, overlaps};
use crate::Timestamp;
use crate::chain::Need;
use crate::evacuation::queues::Queues;
use crate::evacuation::{self, INCREMENTS, NEW_CHAIN_SECS};
use crate::row::Row;
use crate::search::Neighbors;
use catalog::endpoint::Span;
use catalog::engine::Engine;
use std::time::Duration;

/// Layers of an endpoint that the other nodes replace too.
pub(super) struct Loss {
    row: usize,
    span: Span,
    neighbors: Neighbors,
}

/// An endpoint whose requests of other nodes move.
struct Source {
    span: Span,
    neighbors: Neighbors,
    /// Whether the endpoint is the head of its chains, which can't be replaced.
    is_head: bool,
    usable: Vec<usize>,
    /// Tokens that move in each increment.
    tokens: f64,
}

/// Simulated moves of the other nodes.
pub(super) struct Others<'a> {
    scope: Scope<'a>,
    need: &'a Need,
    context: f64,
    sources: Vec<Source>,
    /// Endpoints of new chains; `None` if the responses are not resumed.
    resumable: Option<Vec<usize>>,
    /// The cheapest new chain, until a move loads it.
    new_chain: Option<Path>,
    done: u32,
    pub(super) queues: Queues,
}

impl<'a> Others<'a> {
    /// Prepares the simulation of the moves off lost endpoints, which began `elapsed` ago.
    pub(super) fn new(
        selector: &Selector,
        scope: Scope<'a>,
        need: &'a Need,
        context: f64,
        lost: &[Loss],
        elapsed: Duration,
    ) -> Self {
        let source = |loss: &Loss| {
            let row = &selector.rows[loss.row];
            let span = loss.span;
            Source {
                span,
                neighbors: loss.neighbors,
                is_head: span.from == 0,
                usable: selector.rows_where(|r| scope.is_usable(r) && overlaps(r, span)),
                tokens: selector.stranded_tokens(scope.now, row) / f64::from(INCREMENTS),
            }
        };
        let (rows, zones) = (selector.rows.len(), selector.zones.len());
        let mut queues = Queues::new(rows, zones, elapsed);
        let row = |run: &_| selector.index.get(run).copied();
        selector.own_moves.add_to(scope.now, &mut queues, row);
        let sources = lost.iter().map(source).filter(|s| s.tokens > 0.0);
        Self {
            scope,
            need,
            context,
            sources: sources.collect(),
            resumable: None,
            new_chain: None,
            done: 0,
            queues,
        }
    }

    /// Lets the responses of the other nodes be resumed on these endpoints too.
    pub(super) fn resumable_on(self, usable: &[usize]) -> Self {
        Self {
            resumable: Some(usable.to_vec()),
            ..self
        }
    }

    /// Simulates moves until `increments` are done.
    pub(super) fn advance(&mut self, selector: &Selector, increments: u32) {
        let sources = std::mem::take(&mut self.sources);
        while self.done < increments {
            self.done += 1;
            for source in &sources {
                self.step(selector, source);
            }
        }
        self.sources = sources;
    }

    /// Moves one increment of a source's tokens.
    fn step(&mut self, selector: &Selector, source: &Source) {
        let replace = match source.is_head {
            true => None,
            false => {
                let found = selector.cheapest_path(
                    self.scope,
                    source.span,
                    source.neighbors,
                    &source.usable,
                    &self.queues,
                    self.need,
                );
                found.ok().map(|path| {
                    let time = self.time_over(selector, &path, 0.0);
                    (path, time)
                })
            }
        };
        let replace_time = replace.as_ref().map(|(_, time)| *time);
        let resume = match self.resumable {
            Some(_) if replace_time.is_none_or(|t| t > NEW_CHAIN_SECS) => {
                self.find_new_chain(selector)
            }
            _ => None,
        };
        let resume_time = resume.as_ref().map(|(_, time)| *time);
        let chosen = match evacuation::prefers_resumption(replace_time, resume_time) {
            true => {
                self.new_chain = None;
                resume
            }
            false => replace,
        };
        if let Some((path, _)) = chosen {
            selector.add_path(self.scope, &mut self.queues, &path, source.tokens);
        }
    }

    fn time_over(&self, selector: &Selector, path: &Path, start: f64) -> f64 {
        selector.time_over(self.scope, &self.queues, path, self.context, start)
    }

    /// Returns a cheap new chain and the time until its first event.
    fn find_new_chain(&mut self, selector: &Selector) -> Option<(Path, f64)> {
        let usable = self.resumable.as_ref()?;
        if self.new_chain.is_none() {
            self.new_chain = selector.new_chain(self.scope, usable, &self.queues, self.need);
        }
        let path = self.new_chain.clone()?;
        let time = self.time_over(selector, &path, NEW_CHAIN_SECS);
        Some((path, time))
    }
}

impl Selector {
    /// Returns the loss of all layers of an endpoint.
    pub(super) fn loss_of_endpoint(&self, engine: &Engine, row: usize) -> Loss {
        let (span, zone) = (self.rows[row].endpoint.span, self.rows[row].zone);
        let has_next = span.to < engine.layers;
        Loss {
            row,
            span,
            // Most chains stay within a zone.
            neighbors: Neighbors {
                before: Some(zone),
                after: has_next.then_some(zone),
            },
        }
    }

    /// Returns the loss of the stages of a gap; those of endpoints that are no longer registered are
    /// left out, since nothing is known of their other requests.
    pub(super) fn losses_of_gap(&self, gap: &Gap<'_>) -> Vec<Loss> {
        let rows = gap.stages().iter().filter_map(|s| self.index.get(&s.run));
        rows.map(|&row| Loss {
            row,
            span: gap.span(),
            neighbors: gap.neighbors,
        })
        .collect()
    }

    /// Returns the number of tokens of other nodes' requests at each layer of a lost endpoint, by
    /// its last load report.
    fn stranded_tokens(&self, now: Timestamp, row: &Row) -> f64 {
        // None of these requests ends while its stage is lost, so none is discounted.
        let used = row.used(now, self.nodes(), Duration::MAX);
        let layers = f64::from(row.endpoint.span.len().max(1));
        (used - row.reserved).max(0.0) / layers
    }
}
