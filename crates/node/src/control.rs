//! Control: a thread that maintains the node's view of the fleet and publishes it to the workers.
//!
//! [`state::State`] holds the bundles, the group of nodes, the instance list and the observations
//! of the workers. Other tasks of the thread read from the platform's services and from peers and
//! send the results to the state as [`input::Input`]s. When its view changes, the state publishes a
//! new snapshot to each worker. The state belongs to this thread and is never shared.

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

/// Capacity of the queue of messages from peers.
const INBOUND_CAPACITY: usize = 1024;
/// Interval of the ticks of the claims.
const CLAIM_TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which the certificate files are checked for changes.
const CERTIFICATE_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// The rings to and from one worker.
pub struct WorkerRings {
    /// Events to the worker. A load report that does not fit into a full ring is dropped, since a
    /// newer one follows.
    pub control_events: ring::Sender<ControlEvent>,
    /// Events from the worker.
    pub worker_events: ring::Receiver<WorkerEvent>,
}

/// Parts from which the control thread is started.
pub struct Control {
    /// Settings of the node.
    pub settings: Settings,
    /// Bound address of the callers' listener.
    pub callers: SocketAddr,
    /// Number that identifies this run of the node.
    pub incarnation: u64,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Snapshots to publish, by worker.
    pub shared_snapshots: Vec<SharedSnapshot>,
    /// Requests of the admin listener.
    pub requests: mpsc::Receiver<ControlRequest>,
    /// Rings to and from the workers.
    pub workers: Vec<WorkerRings>,
    /// Signals that stop the parts of the node.
    pub shutdown: ShutdownSignals,
    /// Certificates to reload when their files change.
    pub tls: Vec<Arc<ReloadableConfig>>,
    /// Provider of the node's metrics. It is kept alive until control ends, because the instruments
    /// stop working when it is dropped.
    pub provider: SdkMeterProvider,
}

impl Control {
    /// Starts the thread. Returns the address of the peers' listener once it is bound, and the
    /// thread.
    pub fn start(self) -> Result<(SocketAddr, JoinHandle<Result<()>>)> {
        let (bound_tx, bound_rx) = std::sync::mpsc::channel();
        let builder = std::thread::Builder::new().name("control".to_owned());
        let thread = builder.spawn(move || runtime()?.block_on(self.run(bound_tx)))?;
        match bound_rx.recv() {
            Ok(addr) => Ok((addr, thread)),
            Err(_) => match thread.join() {
                Ok(Err(error)) => Err(error),
                _ => Err(eyre::eyre!(
                    "the control thread ended before its listener was bound"
                )),
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

/// Runs the main loop of control until `cancel`.
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

/// Sends the events of one worker to control.
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

/// Sends the messages of peers to control.
async fn forward_peer_messages(mut peers: mpsc::Receiver<wire::peer::Inbound>, inputs: Inputs) {
    while let Some(inbound) = peers.recv().await {
        if inputs.send(Input::Peer(inbound)).await.is_err() {
            return;
        }
    }
}

/// Reloads certificates whose files have changed. If a new certificate can't be loaded, the
/// previous one stays in use.
async fn reload_certificates(stores: Vec<Arc<ReloadableConfig>>) {
    let mut interval = tokio::time::interval(CERTIFICATE_POLL_INTERVAL);
    loop {
        interval.tick().await;
        for store in &stores {
            match store.reload() {
                Ok(false) => {}
                Ok(true) => log::info!("reloaded a certificate"),
                Err(error) => log::warn!(
                    "could not reload a certificate, the previous one stays in use: {error}"
                ),
            }
        }
    }
}
