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
const SERVE_PART: f64 = 0.38;
/// Part of the grace time after which what is in flight is broken off.
const FINISH_PART: f64 = 0.94;
/// How often the end of what is in flight is looked for.
const LOOK: Duration = Duration::from_millis(20);
/// Longest time that the last lines may take.
const LAST_LINES: Duration = Duration::from_millis(300);
/// How often idle connections are looked at.
const TIDY: Duration = Duration::from_secs(1);
/// How often the settings file is looked at: it may change without a signal.
const SETTINGS_LOOK: Duration = Duration::from_secs(2);
/// Findings about endpoints that may wait for control.
const NOTES: usize = 256;
/// Questions for a dump that may wait.
const DUMPS: usize = 4;
/// Connections that the listeners for short questions take.
const SMALL: usize = 256;

/// When the parts of a node end.
#[derive(Clone, Debug, Default)]
struct Ends {
    leave: CancellationToken,
    /// New requests are refused.
    close: CancellationToken,
    serving: Stop,
    control: CancellationToken,
    /// Requests in flight, for the thread that waits for their end.
    flying: Arc<AtomicU64>,
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
    let ends = Ends::default();
    let board = SharedView::default();
    let incarnation = incarnation();
    let seed = seed(&settings.name, incarnation);
    let (notes, noted) = mpsc::channel(NOTES);
    let (dumps, asked) = mpsc::channel(DUMPS);
    let registry = Registry::new();
    // Held until the end: the instruments work as long as it does.
    let provider = provider(&registry)?;
    let metrics = Metrics::new(&provider.meter("wigeonshelf"), registry);
    let parts = Parts {
        metrics: metrics.clone(),
        dumps,
        dialect: Headers::default(),
        shared_view: board.clone(),
        journal: journal.clone(),
        allowance: settings.allowance,
        seed,
        transitions: notes,
    };
    let worker = start_worker(&settings, parts, &ends)?;
    let control = Control {
        settings: settings.clone(),
        incarnation,
        seed,
        board,
        journal: journal.clone(),
        metrics,
        leave: ends.leave.clone(),
        end: ends.control.clone(),
    };
    let builder = std::thread::Builder::new().name("control".to_owned());
    let control = builder.spawn(move || runtime()?.block_on(control.run(noted, asked)))?;
    let watched = Watched {
        file: file.to_owned(),
        settings,
        journal: journal.clone(),
    };
    let result = runtime()?.block_on(until_end(watched, &ends));
    for thread in [worker, control] {
        thread
            .join()
            .map_err(|_| eyre::eyre!("a thread panicked"))??;
    }
    journal.record(Event::Stop { reason: "ended" });
    writer.finish(LAST_LINES);
    result
}

type Thread = std::thread::JoinHandle<Result<()>>;

fn start_worker(settings: &Settings, parts: Parts<Headers>, ends: &Ends) -> Result<Thread> {
    let mut listeners = vec![(bind(settings.callers)?, Port::Callers, settings.connections)];
    for (addr, port) in [
        (settings.addresses, Port::Addresses),
        (settings.ready, Port::Ready),
        (settings.metrics, Port::Metrics),
    ] {
        if let Some(addr) = addr {
            listeners.push((bind(addr)?, port, SMALL));
        }
    }
    let ends = ends.clone();
    let builder = std::thread::Builder::new().name("worker".to_owned());
    Ok(builder.spawn(move || {
        let local = LocalSet::new();
        let worker = Worker::new(parts);
        local.block_on(&runtime()?, serve(worker, listeners, ends))
    })?)
}

async fn serve(
    worker: Rc<Worker<Headers>>,
    listeners: Vec<(std::net::TcpListener, Port, usize)>,
    ends: Ends,
) -> Result<()> {
    for (listener, port, connections) in listeners {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let stop = ends.serving.clone();
        let running = listener::run(worker.clone(), listener, port, connections, stop);
        tokio::task::spawn_local(running);
    }
    let mut tidy = tokio::time::interval(TIDY);
    loop {
        tokio::select! {
            () = ends.serving.kill.cancelled() => return Ok(()),
            () = ends.close.cancelled() => break,
            _ = tidy.tick() => worker.prune(),
        }
    }
    worker.close();
    loop {
        ends.flying.store(worker.in_flight(), Ordering::Relaxed);
        tokio::select! {
            () = ends.serving.kill.cancelled() => return Ok(()),
            () = tokio::time::sleep(LOOK) => {}
        }
    }
}

fn bind(addr: SocketAddr) -> Result<std::net::TcpListener> {
    entry::listener::open(addr).wrap_err_with(|| format!("listener {addr}"))
}

struct Watched {
    file: PathBuf,
    settings: Settings,
    journal: Journal,
}

/// Waits for the signal to end, then leaves.
async fn until_end(mut watched: Watched, ends: &Ends) -> Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut hup = signal(SignalKind::hangup())?;
    let mut look = tokio::time::interval(SETTINGS_LOOK);
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            _ = hup.recv() => watched.reload(true),
            _ = look.tick() => watched.reload(false),
        }
    }
    leave(&watched, ends, &mut term).await;
    Ok(())
}

async fn leave(watched: &Watched, ends: &Ends, term: &mut Signal) {
    let grace = watched.settings.grace;
    let begun = tokio::time::Instant::now();
    watched.journal.record(Event::Stop {
        reason: "signal to end",
    });
    ends.leave.cancel();
    tokio::select! {
        () = tokio::time::sleep(grace.mul_f64(SERVE_PART)) => {}
        _ = term.recv() => {}
    }
    ends.flying.store(u64::MAX, Ordering::Relaxed);
    ends.close.cancel();
    ends.serving.drain.cancel();
    let finish = begun + grace.mul_f64(FINISH_PART);
    while ends.flying.load(Ordering::Relaxed) > 0 && tokio::time::Instant::now() < finish {
        tokio::time::sleep(LOOK).await;
    }
    // The last answers are in the kernel's hands by then, or in a moment.
    tokio::time::sleep(LOOK).await;
    ends.control.cancel();
    ends.serving.kill.cancel();
}

impl Watched {
    /// Reads the settings again if the file changed; `asked` if a signal asked for it.
    fn reload(&mut self, asked: bool) {
        let outcome = match settings::load(&self.file) {
            Ok(new) if format!("{new:?}") == format!("{:?}", self.settings) => {
                if !asked {
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
