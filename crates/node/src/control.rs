//! Control: what one thread of a node knows of the fleet, and what it tells the workers.
//!
//! [`state::State`] holds it: the fold of bundles, the group of nodes, the instance list, and what
//! the workers observed. Tasks around it read the platform and the peers and send it
//! [`input::Input`]s; it answers by publishing a snapshot. Only its own thread touches it.

pub mod claims;
pub mod demand;
pub mod endpoints;
pub mod input;
pub mod listed;
pub mod loads;
pub mod observed;
pub mod publish;
pub mod records;
pub mod rolls;
pub mod state;
pub mod stream;
pub mod tail;
pub mod view;

use crate::process::{Ends, runtime};
use crate::settings::Settings;
use entry::admin::ControlRequest;
use entry::core::{ControlEvent, WorkerEvent};
use entry::ring;
use entry::snapshot::SharedSnapshot;
use entry::tls::ReloadableConfig;
use eyre::{Result, WrapErr};
use input::{INPUTS, Input, Inputs};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use state::State;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use wire::peer::{Link, Setup};

/// Messages of peers that may wait for control.
const INBOUND: usize = 1024;
/// Longest time between two ticks of the claims.
const CLAIM_TICK: Duration = Duration::from_millis(20);
/// How often certificates are looked at.
const TLS_PERIOD: Duration = Duration::from_secs(5);

/// The rings to and from one worker.
pub struct Worker {
    /// To it. A full ring drops the newest notice: a load report is followed by a newer one.
    pub notices: ring::Sender<ControlEvent>,
    /// From it.
    pub noted: ring::Receiver<WorkerEvent>,
}

/// What control is made of.
pub struct Control {
    /// Settings of the node.
    pub settings: Settings,
    /// The callers' listener.
    pub callers: SocketAddr,
    /// Number of this run.
    pub incarnation: u64,
    /// Seed of its generators.
    pub seed: u64,
    /// Where it publishes, by worker.
    pub boards: Vec<SharedSnapshot>,
    /// Questions of the admin listener.
    pub asked: mpsc::Receiver<ControlRequest>,
    /// The workers.
    pub workers: Vec<Worker>,
    /// When it ends.
    pub ends: Ends,
    /// Certificates to read again when their files change.
    pub tls: Vec<Arc<ReloadableConfig>>,
    /// Gives out the node's metrics; held as long as control runs.
    pub provider: SdkMeterProvider,
}

impl Control {
    /// Starts the thread; returns once the peers' listener is bound, with its address.
    pub fn start(self) -> Result<(SocketAddr, JoinHandle<Result<()>>)> {
        let (bound, wait) = std::sync::mpsc::channel();
        let builder = std::thread::Builder::new().name("control".to_owned());
        let thread = builder.spawn(move || runtime()?.block_on(self.run(bound)))?;
        match wait.recv() {
            Ok(addr) => Ok((addr, thread)),
            Err(_) => match thread.join() {
                Ok(Err(error)) => Err(error),
                _ => Err(eyre::eyre!("control ended at its start")),
            },
        }
    }

    async fn run(self, bound: std::sync::mpsc::Sender<SocketAddr>) -> Result<()> {
        let cancel = self.ends.control.clone();
        let (inbound, peers) = mpsc::channel(INBOUND);
        let setup = Setup {
            listen: self.settings.peers.listen,
            advertise: self.settings.peers.advertise,
            key: self.settings.peers.key.clone(),
            limits: wire::limits::Limits::default(),
        };
        let link = Link::start(setup, inbound, cancel.clone())
            .await
            .wrap_err_with(|| format!("peers' listener {}", self.settings.peers.listen))?;
        let _ = bound.send(link.addr());
        let (inputs, taken) = mpsc::channel(INPUTS);
        let mut notices = Vec::new();
        for (number, worker) in self.workers.into_iter().enumerate() {
            notices.push(worker.notices);
            tokio::spawn(notes(number, worker.noted, inputs.clone()));
        }
        let platform = self.settings.platform.clone();
        tokio::spawn(tail::rate(platform.clone(), inputs.clone()));
        tokio::spawn(tail::bundles(platform.clone(), inputs.clone(), self.seed));
        tokio::spawn(tail::instances(platform, inputs.clone(), self.seed));
        tokio::spawn(from_peers(peers, inputs.clone()));
        tokio::spawn(loads::poll(self.boards[0].clone(), inputs.clone()));
        tokio::spawn(reload(self.tls));
        let state = State::new(state::Parts {
            settings: self.settings,
            callers: self.callers,
            incarnation: self.incarnation,
            seed: self.seed,
            boards: self.boards,
            link,
            inputs,
            notices,
            leave: self.ends.leave,
        });
        serve(state, taken, self.asked, cancel).await;
        drop(self.provider);
        Ok(())
    }
}

/// The main loop.
async fn serve(
    mut state: State,
    mut inputs: mpsc::Receiver<Input>,
    mut asked: mpsc::Receiver<ControlRequest>,
    cancel: CancellationToken,
) {
    let mut tick = tokio::time::interval(member::event::TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut beat = tokio::time::interval(CLAIM_TICK);
    beat.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            () = cancel.cancelled() => break,
            _ = tick.tick() => state.tick(),
            _ = beat.tick() => state.claim(lease::claim::Event::Tick),
            Some(input) = inputs.recv() => state.input(input),
            Some(question) = asked.recv() => state.question(question),
        }
    }
    state.quit();
}

async fn notes(worker: usize, mut noted: ring::Receiver<WorkerEvent>, inputs: Inputs) {
    while let Some(note) = noted.pop().await {
        if inputs.send(Input::Note(worker, note)).await.is_err() {
            return;
        }
    }
}

async fn from_peers(mut peers: mpsc::Receiver<wire::peer::Inbound>, inputs: Inputs) {
    while let Some(inbound) = peers.recv().await {
        if inputs.send(Input::Peer(inbound)).await.is_err() {
            return;
        }
    }
}

async fn reload(stores: Vec<Arc<ReloadableConfig>>) {
    let mut period = tokio::time::interval(TLS_PERIOD);
    loop {
        period.tick().await;
        for store in &stores {
            match store.reload() {
                Ok(false) => {}
                Ok(true) => log::info!("a certificate was read again"),
                Err(error) => log::warn!("the old certificate stays in use: {error}"),
            }
        }
    }
}
