//! Starts and ends the threads of a node on a platform's store.
//!
//! Leaving: the node is no longer told to callers and says that it takes none, and answers go out
//! with `connection: close`. Callers keep an address for a while and use connections that are open,
//! so for a third of the grace time all that comes is served. Then new requests are refused as not
//! run; the process ends when nothing is in flight, or shortly before it would be killed.

use super::control::Control;
use super::settings::{self, Settings};
use crate::process::{incarnation, provider, runtime};
use adapter::header::Headers;
use eyre::{Result, WrapErr};
use gate::listener::{self, Port, Stop};
use gate::metrics::Metrics;
use gate::view::SharedView;
use gate::worker::{Parts, Worker};
use journal::Journal;
use journal::event::Event;
use opentelemetry::metrics::MeterProvider;
use prometheus::Registry;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use tokio_util::sync::CancellationToken;

/// Part of the grace time in which new requests are still served.
const SERVE_FRACTION: f64 = 0.38;
/// Part of the grace time after which what is in flight is broken off.
const ABORT_FRACTION: f64 = 0.94;
/// How often the end of what is in flight is looked for.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time that the last lines may take.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(300);
/// How often idle connections are looked at.
const TIDY_INTERVAL: Duration = Duration::from_secs(1);
/// How often the settings file is looked at: it may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Findings about endpoints that may wait for control.
const TRANSITION_QUEUE_LEN: usize = 256;
/// Questions for a dump that may wait.
const DUMP_QUEUE_LEN: usize = 4;
/// Connections that the listeners for short questions take.
const MAX_AUXILIARY_CONNECTIONS: usize = 256;

/// When the parts of a node end.
#[derive(Clone, Debug, Default)]
struct Shutdown {
    leave: CancellationToken,
    /// New requests are refused.
    close: CancellationToken,
    serving: Stop,
    control: CancellationToken,
    /// Requests in flight, for the thread that waits for their end.
    in_flight: Arc<AtomicU64>,
}

/// Runs a node until a signal ends it.
pub fn run(file: &Path, settings: Settings) -> Result<()> {
    let (journal, lines) = Journal::new(journal::QUEUE_CAPACITY);
    let writer = journal::writer::start(&journal, lines, std::io::stdout())?;
    journal::logger::install(&journal, settings.level)?;
    journal.record(Event::Start {
        node: settings.name.clone(),
        callers: settings.callers.to_string(),
    });
    let shutdown = Shutdown::default();
    let shared_view = SharedView::default();
    let incarnation = incarnation();
    let seed = seed(&settings.name, incarnation);
    let (transitions, transition_queue) = mpsc::channel(TRANSITION_QUEUE_LEN);
    let (dumps, dump_queue) = mpsc::channel(DUMP_QUEUE_LEN);
    let registry = Registry::new();
    // Held until the end: the instruments work as long as it does.
    let provider = provider(&registry)?;
    let metrics = Metrics::new(&provider.meter("wigeonshelf"), registry);
    let parts = Parts {
        metrics: metrics.clone(),
        dumps,
        dialect: Headers::default(),
        shared_view: shared_view.clone(),
        journal: journal.clone(),
        allowance: settings.allowance,
        seed,
        transitions,
    };
    let worker = start_worker(&settings, parts, &shutdown)?;
    let control = Control {
        settings: settings.clone(),
        incarnation,
        seed,
        shared_view,
        journal: journal.clone(),
        metrics,
        leave: shutdown.leave.clone(),
        end: shutdown.control.clone(),
    };
    let builder = std::thread::Builder::new().name("control".to_owned());
    let control =
        builder.spawn(move || runtime()?.block_on(control.run(transition_queue, dump_queue)))?;
    let watch = SettingsWatch {
        file: file.to_owned(),
        settings,
        journal: journal.clone(),
    };
    let result = runtime()?.block_on(run_until_signal(watch, &shutdown));
    for thread in [worker, control] {
        thread
            .join()
            .map_err(|_| eyre::eyre!("a thread panicked"))??;
    }
    journal.record(Event::Stop { reason: "ended" });
    writer.finish(LOG_FLUSH_TIMEOUT);
    result
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
            listeners.push((bind(addr)?, port, MAX_AUXILIARY_CONNECTIONS));
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
    let mut tidy_tick = tokio::time::interval(TIDY_INTERVAL);
    loop {
        tokio::select! {
            () = shutdown.serving.kill.cancelled() => return Ok(()),
            () = shutdown.close.cancelled() => break,
            _ = tidy_tick.tick() => worker.prune(),
        }
    }
    worker.close();
    loop {
        shutdown
            .in_flight
            .store(worker.in_flight(), Ordering::Relaxed);
        tokio::select! {
            () = shutdown.serving.kill.cancelled() => return Ok(()),
            () = tokio::time::sleep(DRAIN_POLL_INTERVAL) => {}
        }
    }
}

fn bind(addr: SocketAddr) -> Result<std::net::TcpListener> {
    entry::listener::open(addr).wrap_err_with(|| format!("listener {addr}"))
}

struct SettingsWatch {
    file: PathBuf,
    settings: Settings,
    journal: Journal,
}

/// Waits for the signal to end, then leaves.
async fn run_until_signal(mut watch: SettingsWatch, shutdown: &Shutdown) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let mut poll = tokio::time::interval(SETTINGS_POLL_INTERVAL);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => watch.reload(true),
            _ = poll.tick() => watch.reload(false),
        }
    }
    leave(&watch, shutdown, &mut terminate).await;
    Ok(())
}

async fn leave(watch: &SettingsWatch, shutdown: &Shutdown, terminate: &mut Signal) {
    let grace = watch.settings.grace;
    let started = tokio::time::Instant::now();
    watch.journal.record(Event::Stop {
        reason: "signal to end",
    });
    shutdown.leave.cancel();
    tokio::select! {
        () = tokio::time::sleep(grace.mul_f64(SERVE_FRACTION)) => {}
        _ = terminate.recv() => {}
    }
    shutdown.in_flight.store(u64::MAX, Ordering::Relaxed);
    shutdown.close.cancel();
    shutdown.serving.drain.cancel();
    let deadline = started + grace.mul_f64(ABORT_FRACTION);
    while shutdown.in_flight.load(Ordering::Relaxed) > 0 && tokio::time::Instant::now() < deadline {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    // The last answers are in the kernel's hands by then, or in a moment.
    tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    shutdown.control.cancel();
    shutdown.serving.kill.cancel();
}

impl SettingsWatch {
    /// Reads the settings again if the file changed; `asked` if a signal asked for it.
    fn reload(&mut self, signalled: bool) {
        let outcome = match settings::load(&self.file) {
            Ok(new) if format!("{new:?}") == format!("{:?}", self.settings) => {
                if !signalled {
                    return;
                }
                "nothing changed".to_owned()
            }
            Ok(new) => {
                log::set_max_level(new.level);
                self.settings = new;
                "changed: the level of lines is taken, the rest at the next start".to_owned()
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
