//! Starts and stops the threads of a node on a platform's store.
//!
//! A signal starts a graceful drain. The node is no longer listed among the addresses for callers,
//! reports itself as not ready, and sends responses with `connection: close`. Callers cache
//! addresses for a while and reuse open connections, so requests still arrive. Those that can end
//! before the node does are served, and the others are refused as not run ([`gate::departure`]). The
//! process ends when no connection of a caller is open, which is after the last response was written,
//! or shortly before it would be killed. Requests that have no response by then get one that says what is
//! known of them.

use super::control::Control;
use super::settings::{self, Settings};
use crate::process::{incarnation, meter_provider, runtime};
use crate::settings::Source;
use adapter::header::Headers;
use eyre::{Result, WrapErr};
use gate::departure::Schedule;
use gate::listener::{self, Port, Stop};
use gate::metrics::Metrics;
use gate::view::SharedView;
use gate::worker::{Parts, Worker};
use journal::Journal;
use journal::event::Event;
use memory::shares::Shares;
use opentelemetry::metrics::MeterProvider;
use prometheus::Registry;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Interval at which the number of callers' connections is checked during a drain.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time to write the remaining decision lines at the end.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval at which the worker closes idle connections.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the settings file is checked for changes that no signal announced.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Capacity of the queue of changes of endpoint health from the worker to control.
const TRANSITION_QUEUE_LEN: usize = 256;
/// Capacity of the queue of dump requests.
const DUMP_QUEUE_LEN: usize = 4;

/// Cancellation tokens that stop the parts of a node, in the order of a drain.
#[derive(Clone, Debug, Default)]
struct Shutdown {
    /// Times of the drain, set before it begins.
    schedule: Arc<OnceLock<Schedule>>,
    /// Cancelled when the drain begins.
    leave: CancellationToken,
    /// Cancelled when all new requests are refused.
    close: CancellationToken,
    /// Cancelled when requests in flight are given up.
    abort: CancellationToken,
    /// Cancelled by the worker when no connection of a caller is open and it accepts no more requests.
    idle: CancellationToken,
    /// Stops the listeners and their connections.
    serving: Stop,
    /// Cancelled when control must stop.
    control: CancellationToken,
}

/// The signals that a node handles.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl Signals {
    /// Handles the signals from now on; must be called within a runtime.
    fn listen() -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }
}

/// Runs a node until a signal stops it.
pub fn run(source: Source, settings: Settings) -> Result<()> {
    // Signals are handled before callers are accepted: by default they would kill the process.
    let main_runtime = runtime()?;
    let signals = main_runtime.block_on(async { Signals::listen() })?;
    let (journal, lines) = Journal::new(journal::QUEUE_CAPACITY);
    let writer = journal::writer::start(&journal, lines, std::io::stdout())?;
    journal::logger::install(&journal, settings.level)?;
    journal.record(Event::Start {
        node: settings.name.clone(),
        callers: settings.callers.to_string(),
    });
    let shutdown = Shutdown::default();
    let shared_view = SharedView::default();
    let (changes, changes_receiver) = watch::channel(0);
    let incarnation = incarnation();
    let seed = seed(&settings.name, incarnation);
    let (transitions, transition_queue) = mpsc::channel(TRANSITION_QUEUE_LEN);
    let (dumps, dump_queue) = mpsc::channel(DUMP_QUEUE_LEN);
    let registry = Registry::new();
    // Kept alive until the end, since the instruments stop working when the provider is dropped.
    let provider = meter_provider(&registry)?;
    let metrics = Metrics::new(&provider.meter("wigeonshelf"), registry);
    let reports = Shares::of(settings.memory_bytes).reports();
    let parts = Parts {
        metrics: metrics.clone(),
        dumps,
        dialect: Headers::new(reports.clone()),
        shared_view: shared_view.clone(),
        changes: changes_receiver,
        journal: journal.clone(),
        allowance: settings.allowance,
        memory_bytes: settings.memory_bytes,
        seed,
        transitions,
    };
    let worker = start_worker(&settings, parts, &shutdown)?;
    let control = Control {
        settings: settings.clone(),
        incarnation,
        seed,
        shared_view,
        changes,
        journal: journal.clone(),
        metrics,
        reports,
        leave: shutdown.leave.clone(),
        end: shutdown.control.clone(),
    };
    let builder = std::thread::Builder::new().name("control".to_owned());
    let control =
        builder.spawn(move || runtime()?.block_on(control.run(transition_queue, dump_queue)))?;
    let watch = SettingsWatch {
        source,
        settings,
        journal: journal.clone(),
    };
    main_runtime.block_on(run_until_signal(watch, &shutdown, signals));
    for thread in [worker, control] {
        thread
            .join()
            .map_err(|_| eyre::eyre!("a thread panicked"))??;
    }
    journal.record(Event::Stop { reason: "ended" });
    writer.finish(LOG_FLUSH_TIMEOUT);
    Ok(())
}

type Thread = std::thread::JoinHandle<Result<()>>;

fn start_worker(settings: &Settings, parts: Parts<Headers>, shutdown: &Shutdown) -> Result<Thread> {
    let mut listeners = vec![(bind(settings.callers)?, Port::Callers, settings.connections)];
    for (addr, port) in [
        (settings.addresses, Port::Addresses),
        (settings.ready, Port::Ready),
        (settings.metrics, Port::Metrics),
    ] {
        if let Some(addr) = addr {
            listeners.push((bind(addr)?, port, settings.auxiliary_connections));
        }
    }
    let shutdown = shutdown.clone();
    let builder = std::thread::Builder::new().name("worker".to_owned());
    Ok(builder.spawn(move || {
        let local = LocalSet::new();
        let worker = Worker::new(parts);
        local.block_on(&runtime()?, serve(worker, listeners, shutdown))
    })?)
}

async fn serve(
    worker: Rc<Worker<Headers>>,
    listeners: Vec<(std::net::TcpListener, Port, usize)>,
    shutdown: Shutdown,
) -> Result<()> {
    for (listener, port, connections) in listeners {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let stop = shutdown.serving.clone();
        let running = listener::run(worker.clone(), listener, port, connections, stop);
        tokio::task::spawn_local(running);
    }
    let mut prune_tick = tokio::time::interval(PRUNE_INTERVAL);
    loop {
        tokio::select! {
            () = shutdown.serving.kill.cancelled() => return Ok(()),
            () = shutdown.leave.cancelled() => break,
            _ = prune_tick.tick() => worker.prune(),
        }
    }
    if let Some(schedule) = shutdown.schedule.get() {
        worker.leave(*schedule);
    }
    loop {
        tokio::select! {
            () = shutdown.serving.kill.cancelled() => return Ok(()),
            _ = prune_tick.tick() => worker.prune(),
            () = tokio::time::sleep(DRAIN_POLL_INTERVAL) => {}
        }
        if shutdown.close.is_cancelled() {
            worker.close();
        }
        if shutdown.abort.is_cancelled() {
            worker.abort();
        }
        // Decided on the thread that accepts requests, so that none is accepted in between.
        if shutdown.serving.drain.is_cancelled() && worker.open_connections() == 0 {
            worker.close();
            shutdown.idle.cancel();
        }
    }
}

fn bind(addr: SocketAddr) -> Result<std::net::TcpListener> {
    entry::listener::open(addr).wrap_err_with(|| format!("listener {addr}"))
}

/// The settings in use, and where they are reloaded from.
struct SettingsWatch {
    source: Source,
    settings: Settings,
    journal: Journal,
}

/// Reloads changed settings until SIGTERM or SIGINT arrives, then drains the node.
async fn run_until_signal(mut watch: SettingsWatch, shutdown: &Shutdown, mut signals: Signals) {
    let mut poll = tokio::time::interval(SETTINGS_POLL_INTERVAL);
    loop {
        tokio::select! {
            _ = signals.terminate.recv() => break,
            _ = signals.interrupt.recv() => break,
            _ = signals.hangup.recv() => watch.reload(true),
            _ = poll.tick() => watch.reload(false),
        }
    }
    leave(&watch, shutdown, &mut signals.terminate).await;
}

/// Drains the node within the grace time. After another SIGTERM all new requests are refused.
async fn leave(watch: &SettingsWatch, shutdown: &Shutdown, terminate: &mut Signal) {
    let schedule = Schedule::new(Instant::now(), watch.settings.grace);
    watch.journal.record(Event::Stop {
        reason: "signal to end",
    });
    // Only this function sets it.
    let _ = shutdown.schedule.set(schedule);
    shutdown.leave.cancel();
    tokio::select! {
        () = tokio::time::sleep_until(schedule.accept_until()) => {}
        _ = terminate.recv() => shutdown.close.cancel(),
    }
    shutdown.serving.drain.cancel();
    loop {
        tokio::select! {
            () = shutdown.idle.cancelled() => break,
            () = tokio::time::sleep_until(schedule.abort_at()) => break,
            _ = terminate.recv() => shutdown.close.cancel(),
        }
    }
    shutdown.abort.cancel();
    // Callers read the responses to what was given up; streams go on until the end.
    tokio::select! {
        () = shutdown.idle.cancelled() => {}
        () = tokio::time::sleep_until(schedule.end_at()) => {}
    }
    // Gives the last responses time to be written to their sockets.
    tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    shutdown.control.cancel();
    shutdown.serving.kill.cancel();
}

impl SettingsWatch {
    /// Reloads the settings if the file changed. `signalled` is true if a signal requested this;
    /// the outcome is then logged even if nothing changed.
    fn reload(&mut self, signalled: bool) {
        let outcome = match settings::load(&self.source) {
            Ok(new) if format!("{new:?}") == format!("{:?}", self.settings) => {
                if !signalled {
                    return;
                }
                "nothing changed".to_owned()
            }
            Ok(new) => {
                log::set_max_level(new.level);
                self.settings = new;
                "changed: the level of lines and the grace time are taken, the rest at the next start".to_owned()
            }
            Err(findings) => {
                let findings: Vec<_> = findings.iter().map(ToString::to_string).collect();
                format!("kept the old ones: {}", findings.join("; "))
            }
        };
        self.journal.record(Event::Reload { outcome });
    }
}

fn seed(name: &str, incarnation: u64) -> u64 {
    member::identity::id(name) ^ incarnation.rotate_left(20)
}
