//! Control plane of a node: its view of catalog, endpoints and other nodes, and how it is updated.
//!
//! Control runs on one thread with a current-thread runtime. [`state::State`] holds the view;
//! separate tasks read the store and request data from peers, and send [`input::Input`]s to it.

pub mod assignment;
pub mod copy;
pub mod failures;
pub mod input;
pub mod liveness;
pub mod loads;
pub mod orders;
pub mod polls;
pub mod pulls;
pub mod reader;
pub mod state;
pub mod tables;
pub mod throttle;
pub mod uploads;

use super::settings::Settings;
use adapter::Platform;
use adapter::store::Table;
use eyre::{Result, WrapErr};
use gate::metrics::Metrics;
use gate::view::SharedView;
use input::{INPUT_QUEUE_LEN, Input, InputSender};
use journal::Journal;
use memory::budget::Budget;
use state::State;
use std::sync::Arc;
use std::time::Duration;
use steer::transition::Transition;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{Instant, MissedTickBehavior};
use tokio_util::sync::CancellationToken;
use wire::peer::{Inbound, Link, Setup};

/// Capacity of the queue of messages from peers.
const INBOUND_QUEUE_LEN: usize = 1024;
/// Maximum number of connections to peers. It covers the nodes that poll engines, the nodes that
/// copy tables from this one, and those that membership has contacted within the idle timeout of a
/// connection. With a lower limit, a reader in a fleet of 3,000 endpoints closes connections that
/// it needs again a third of a second later.
const MAX_PEER_CONNECTIONS: usize = 256;
/// Interval of control's periodic work.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// Configuration and shared handles of control.
pub struct Control {
    /// Settings of the node.
    pub settings: Settings,
    /// Incarnation number of this process.
    pub incarnation: u64,
    /// Seed of the random number generator.
    pub seed: u64,
    /// The view that control publishes to the worker.
    pub shared_view: SharedView,
    /// Signals the worker that a view with another set of ended runs was stored.
    pub changes: watch::Sender<u64>,
    /// Log of decisions.
    pub journal: Journal,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The memory of what engines report.
    pub reports: Budget,
    /// Cancelled when the node begins to drain.
    pub leave: CancellationToken,
    /// Cancelled when control must stop.
    pub end: CancellationToken,
}

impl Control {
    /// Runs until `end` is cancelled. The worker sends changes of endpoint health through
    /// `transitions`, and requests control's section of a dump through `dump_requests`.
    pub async fn run(
        self,
        transitions: mpsc::Receiver<Transition>,
        dump_requests: mpsc::Receiver<oneshot::Sender<String>>,
    ) -> Result<()> {
        let (inbound, peers) = mpsc::channel(INBOUND_QUEUE_LEN);
        let setup = Setup {
            listen: self.settings.peers,
            advertise: Some(self.settings.peers),
            key: self.settings.key.clone(),
            limits: wire::limits::Limits {
                max_routes: MAX_PEER_CONNECTIONS,
                ..wire::limits::Limits::default()
            },
        };
        let link = Link::start(setup, inbound, self.end.clone())
            .await
            .wrap_err_with(|| format!("peers' listener {}", self.settings.peers))?;
        let platform = Arc::new(Platform::new(self.settings.store));
        let (inputs, input_queue) = mpsc::channel(INPUT_QUEUE_LEN);
        let (enable_reads, read_enabled) = watch::channel(true);
        for table in [Table::Operator, Table::Endpoints] {
            let (platform, inputs) = (platform.clone(), inputs.clone());
            let metrics = self.metrics.clone();
            tokio::spawn(reader::follow(
                platform,
                table,
                inputs,
                read_enabled.clone(),
                metrics,
            ));
        }
        tokio::spawn(forward_messages(peers, inputs.clone()));
        tokio::spawn(forward_transitions(transitions, inputs.clone()));
        let end = self.end.clone();
        let state = State::new(self, platform, link, inputs, enable_reads);
        serve(state, input_queue, dump_requests, end).await;
        Ok(())
    }
}

async fn serve(
    mut state: State,
    mut inputs: mpsc::Receiver<Input>,
    mut dump_requests: mpsc::Receiver<oneshot::Sender<String>>,
    end: CancellationToken,
) {
    let mut step = tokio::time::interval(STEP_INTERVAL);
    step.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            () = end.cancelled() => break,
            _ = step.tick() => state.step(),
            Some(input) = inputs.recv() => state.handle_input(input),
            // After the inputs, so that answers that have arrived are handled before a deadline.
            () = wait_until(state.next_deadline()) => state.check_engines(),
            Some(reply) = dump_requests.recv() => {
                // Sending fails only if the requester has gone away.
                let _ = reply.send(state.dump());
            }
        }
    }
    state.announce_exit();
}

/// Waits until `deadline`; forever if there is none.
async fn wait_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

async fn forward_transitions(mut transitions: mpsc::Receiver<Transition>, inputs: InputSender) {
    while let Some(transition) = transitions.recv().await {
        if inputs.send(Input::Transition(transition)).await.is_err() {
            return;
        }
    }
}

async fn forward_messages(mut peers: mpsc::Receiver<Inbound>, inputs: InputSender) {
    while let Some(inbound) = peers.recv().await {
        if inputs.send(Input::Peer(inbound)).await.is_err() {
            return;
        }
    }
}
