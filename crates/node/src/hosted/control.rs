//! Control: what a node believes, and how it learns it.
//!
//! One thread with a current-thread runtime. [`state::State`] holds what is believed; tasks around
//! it read the store and the peers and send it [`input::Input`]s.

pub mod assignment;
pub mod copy;
pub mod failures;
pub mod input;
pub mod loads;
pub mod orders;
pub mod pulls;
pub mod reader;
pub mod state;
pub mod tables;
pub mod throttle;

use super::settings::Settings;
use adapter::Platform;
use adapter::store::Table;
use eyre::{Result, WrapErr};
use gate::metrics::Metrics;
use gate::view::SharedView;
use input::{INPUT_QUEUE_LEN, Input, InputSender};
use journal::Journal;
use state::State;
use std::sync::Arc;
use std::time::Duration;
use steer::transition::Transition;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;
use wire::peer::{Inbound, Link, Setup};

/// Messages of peers that may wait.
const INBOUND_QUEUE_LEN: usize = 1024;
/// Peers that a node keeps a connection to: those that ask engines, those that take copies from it,
/// and those that membership spoke to within the time that an unused connection stays open. With
/// fewer, a reader before 3,000 endpoints closed connections that it needed again a third of a second later.
const MAX_PEER_CONNECTIONS: usize = 256;
/// How often control looks whether anything is due.
const STEP_INTERVAL: Duration = Duration::from_millis(100);

/// What control is made of.
pub struct Control {
    /// Settings of the node.
    pub settings: Settings,
    /// Number of this run.
    pub incarnation: u64,
    /// Seed of its draws.
    pub seed: u64,
    /// Where it publishes.
    pub shared_view: SharedView,
    /// Decisions are told here.
    pub journal: Journal,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// The node begins to leave.
    pub leave: CancellationToken,
    /// Control ends.
    pub end: CancellationToken,
}

impl Control {
    /// Runs until `end`; the worker tells through `noted` what it finds out about endpoints, and
    /// asks through `asked` for control's part of a dump.
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
                routes: MAX_PEER_CONNECTIONS,
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
            Some(reply) = dump_requests.recv() => {
                // Whoever asked has gone if nobody takes it.
                let _ = reply.send(state.dump());
            }
        }
    }
    state.announce_exit();
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
