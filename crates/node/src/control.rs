//! Control: what one thread of a node knows of the fleet, and what it tells the workers.
//!
//! [`state::State`] holds it: the fold of bundles, the group of nodes, the instance list, and what
//! the workers observed. Tasks around it read the platform and the peers and send it
//! [`input::Input`]s; it answers by publishing a snapshot. Only its own thread touches it.

pub mod claims;
pub mod demand;
pub mod endpoints;
pub mod input;
pub mod instance_list;
pub mod loads;
pub mod log_stream;
pub mod observed;
pub mod publish;
pub mod records;
pub mod rolls;
pub mod state;
pub mod tail;
pub mod view;

use crate::process::{ShutdownSignals, runtime};
use crate::settings::Settings;
use entry::admin::ControlRequest;
use entry::core::{ControlEvent, WorkerEvent};
use entry::ring;
use entry::snapshot::SharedSnapshot;
use entry::tls::ReloadableConfig;
use eyre::{Result, WrapErr};
use input::{INPUT_CAPACITY, Input, Inputs};
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
const INBOUND_CAPACITY: usize = 1024;
/// Longest time between two ticks of the claims.
const CLAIM_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// How often certificates are looked at.
const CERTIFICATE_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// The rings to and from one worker.
pub struct WorkerRings {
    /// To it. A full ring drops the newest notice: a load report is followed by a newer one.
    pub control_events: ring::Sender<ControlEvent>,
    /// From it.
    pub worker_events: ring::Receiver<WorkerEvent>,
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
    pub shared_snapshots: Vec<SharedSnapshot>,
    /// Questions of the admin listener.
    pub requests: mpsc::Receiver<ControlRequest>,
    /// The workers.
    pub workers: Vec<WorkerRings>,
    /// When it ends.
    pub shutdown: ShutdownSignals,
    /// Certificates to read again when their files change.
    pub tls: Vec<Arc<ReloadableConfig>>,
    /// Gives out the node's metrics; held as long as control runs.
    pub provider: SdkMeterProvider,
}

impl Control {
    /// Starts the thread; returns once the peers' listener is bound, with its address.
    pub fn start(self) -> Result<(SocketAddr, JoinHandle<Result<()>>)> {
        let (bound_tx, bound_rx) = std::sync::mpsc::channel();
        let builder = std::thread::Builder::new().name("control".to_owned());
        let thread = builder.spawn(move || runtime()?.block_on(self.run(bound_tx)))?;
        match bound_rx.recv() {
            Ok(addr) => Ok((addr, thread)),
            Err(_) => match thread.join() {
                Ok(Err(error)) => Err(error),
                _ => Err(eyre::eyre!("control ended at its start")),
            },
        }
    }

    async fn run(self, bound_tx: std::sync::mpsc::Sender<SocketAddr>) -> Result<()> {
        let cancel = self.shutdown.control.clone();
        let (inbound, peers) = mpsc::channel(INBOUND_CAPACITY);
        let setup = Setup {
            listen: self.settings.peers.listen,
            advertise: self.settings.peers.advertise,
            key: self.settings.peers.key.clone(),
            limits: wire::limits::Limits::default(),
        };
        let link = Link::start(setup, inbound, cancel.clone())
            .await
            .wrap_err_with(|| format!("peers' listener {}", self.settings.peers.listen))?;
        let _ = bound_tx.send(link.addr());
        let (inputs, input_rx) = mpsc::channel(INPUT_CAPACITY);
        let mut control_events = Vec::new();
        for (number, worker) in self.workers.into_iter().enumerate() {
            control_events.push(worker.control_events);
            tokio::spawn(forward_worker_events(
                number,
                worker.worker_events,
                inputs.clone(),
            ));
        }
        let platform = self.settings.platform.clone();
        tokio::spawn(tail::poll_rate(platform.clone(), inputs.clone()));
        tokio::spawn(tail::read_bundles(
            platform.clone(),
            inputs.clone(),
            self.seed,
        ));
        tokio::spawn(tail::poll_instances(platform, inputs.clone(), self.seed));
        tokio::spawn(forward_peer_messages(peers, inputs.clone()));
        tokio::spawn(loads::poll(
            self.shared_snapshots[0].clone(),
            inputs.clone(),
        ));
        tokio::spawn(reload_certificates(self.tls));
        let state = State::new(state::Parts {
            settings: self.settings,
            callers: self.callers,
            incarnation: self.incarnation,
            seed: self.seed,
            shared_snapshots: self.shared_snapshots,
            link,
            inputs,
            control_events,
            leave: self.shutdown.leave,
        });
        serve(state, input_rx, self.requests, cancel).await;
        drop(self.provider);
        Ok(())
    }
}

/// The main loop.
async fn serve(
    mut state: State,
    mut inputs: mpsc::Receiver<Input>,
    mut requests: mpsc::Receiver<ControlRequest>,
    cancel: CancellationToken,
) {
    let mut tick = tokio::time::interval(member::event::TICK);
    tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut claim_tick = tokio::time::interval(CLAIM_TICK_INTERVAL);
    claim_tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            biased;
            () = cancel.cancelled() => break,
            _ = tick.tick() => state.tick(),
            _ = claim_tick.tick() => state.handle_claim_event(lease::claim::Event::Tick),
            Some(input) = inputs.recv() => state.handle_input(input),
            Some(request) = requests.recv() => state.handle_request(request),
        }
    }
    state.quit();
}

async fn forward_worker_events(
    worker: usize,
    mut events: ring::Receiver<WorkerEvent>,
    inputs: Inputs,
) {
    while let Some(event) = events.pop().await {
        if inputs
            .send(Input::WorkerEvent(worker, event))
            .await
            .is_err()
        {
            return;
        }
    }
}

async fn forward_peer_messages(mut peers: mpsc::Receiver<wire::peer::Inbound>, inputs: Inputs) {
    while let Some(inbound) = peers.recv().await {
        if inputs.send(Input::Peer(inbound)).await.is_err() {
            return;
        }
    }
}

async fn reload_certificates(stores: Vec<Arc<ReloadableConfig>>) {
    let mut interval = tokio::time::interval(CERTIFICATE_POLL_INTERVAL);
    loop {
        interval.tick().await;
        for store in &stores {
            match store.reload() {
                Ok(false) => {}
                Ok(true) => log::info!("a certificate was read again"),
                Err(error) => log::warn!("the old certificate stays in use: {error}"),
            }
        }
    }
}
