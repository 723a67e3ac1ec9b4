//! Control: what a node believes, and how it learns it.
//!
//! One thread with a current-thread runtime. [`state::State`] holds what is believed; tasks around
//! it read the store and the peers and send it [`input::Input`]s.

pub mod accused;
pub mod copy;
pub mod input;
pub mod loads;
pub mod orders;
pub mod pace;
pub mod pulls;
pub mod reader;
pub mod readers;
pub mod state;
pub mod tables;

use super::settings::Settings;
use adapter::Platform;
use adapter::store::Table;
use eyre::{Result, WrapErr};
use gate::metrics::Metrics;
use gate::view::SharedView;
use input::{INPUTS, Input, Inputs};
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
const INBOUND: usize = 1024;
/// Peers that a node keeps a connection to: those that ask engines, those that take copies from it,
/// and those that membership spoke to within the time that an unused connection stays open. With
/// fewer, a reader before 3,000 endpoints closed connections that it needed again a third of a second later.
const ROUTES: usize = 256;
/// How often control looks whether anything is due.
const STEP: Duration = Duration::from_millis(100);

/// What control is made of.
pub struct Control {
    /// Settings of the node.
    pub settings: Settings,
    /// Number of this run.
    pub incarnation: u64,
    /// Seed of its draws.
    pub seed: u64,
    /// Where it publishes.
    pub board: SharedView,
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
        noted: mpsc::Receiver<Transition>,
        asked: mpsc::Receiver<oneshot::Sender<String>>,
    ) -> Result<()> {
        let (inbound, peers) = mpsc::channel(INBOUND);
        let setup = Setup {
            listen: self.settings.peers,
            advertise: Some(self.settings.peers),
            key: self.settings.key.clone(),
            limits: wire::limits::Limits {
                routes: ROUTES,
                ..wire::limits::Limits::default()
            },
        };
        let link = Link::start(setup, inbound, self.end.clone())
            .await
            .wrap_err_with(|| format!("peers' listener {}", self.settings.peers))?;
        let platform = Arc::new(Platform::new(self.settings.store));
        let (inputs, taken) = mpsc::channel(INPUTS);
        let (reads, told) = watch::channel(true);
        for table in [Table::Operator, Table::Endpoints] {
            let (platform, inputs) = (platform.clone(), inputs.clone());
            let metrics = self.metrics.clone();
            tokio::spawn(reader::follow(
                platform,
                table,
                inputs,
                told.clone(),
                metrics,
            ));
        }
        tokio::spawn(from_peers(peers, inputs.clone()));
        tokio::spawn(from_worker(noted, inputs.clone()));
        let end = self.end.clone();
        let state = State::new(self, platform, link, inputs, reads);
        serve(state, taken, asked, end).await;
        Ok(())
    }
}

async fn serve(
    mut state: State,
    mut inputs: mpsc::Receiver<Input>,
    mut asked: mpsc::Receiver<oneshot::Sender<String>>,
    end: CancellationToken,
) {
    let mut step = tokio::time::interval(STEP);
    step.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            () = end.cancelled() => break,
            _ = step.tick() => state.step(),
            Some(input) = inputs.recv() => state.input(input),
            Some(reply) = asked.recv() => {
                // Whoever asked has gone if nobody takes it.
                let _ = reply.send(state.dump());
            }
        }
    }
    state.quit();
}

async fn from_worker(mut noted: mpsc::Receiver<Transition>, inputs: Inputs) {
    while let Some(note) = noted.recv().await {
        if inputs.send(Input::Note(note)).await.is_err() {
            return;
        }
    }
}

async fn from_peers(mut peers: mpsc::Receiver<Inbound>, inputs: Inputs) {
    while let Some(inbound) = peers.recv().await {
        if inputs.send(Input::Peer(inbound)).await.is_err() {
            return;
        }
    }
}
