//! Lifecycle of an endpoint: start, crash with the loss of all connections, and restart on the
//! same address.

mod connection;

pub(crate) use connection::Connection;
use connection::HangSwitch;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Handle as Runtime;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Maximum number of retries to bind an address that is still in use.
const MAX_BIND_RETRIES: u32 = 300;
/// Delay between two attempts to bind or accept.
pub(crate) const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// An endpoint that can crash and restart.
pub(crate) trait Serve: Send + Sync + Sized + 'static {
    /// Lifecycle of the endpoint.
    fn lifecycle(&self) -> &Lifecycle;

    /// Called at each start and restart.
    fn on_start(self: &Arc<Self>);

    /// Serves one connection.
    fn serve(self: Arc<Self>, connection: Connection) -> impl Future<Output = ()> + Send;
}

/// Run state of an endpoint, and the switches that make its connections unresponsive.
#[derive(Debug)]
pub(crate) struct Lifecycle {
    addr: SocketAddr,
    restart_after: Option<Duration>,
    runtime: Runtime,
    /// Cancelled when the current run ends; stops the tasks of that run.
    token: Mutex<CancellationToken>,
    unresponsive: Arc<AtomicBool>,
    /// Hang switches of the open connections.
    open: Mutex<Vec<Weak<AtomicBool>>>,
    crash_count: AtomicU64,
    connection_count: AtomicU64,
}

impl Lifecycle {
    pub(crate) fn new(addr: SocketAddr, restart_after: Option<Duration>) -> Self {
        Self {
            addr,
            restart_after,
            runtime: Runtime::current(),
            token: Mutex::default(),
            unresponsive: Arc::default(),
            open: Mutex::default(),
            crash_count: AtomicU64::new(0),
            connection_count: AtomicU64::new(0),
        }
    }

    /// Number of crashes so far.
    pub(crate) fn crash_count(&self) -> u64 {
        self.crash_count.load(Ordering::SeqCst)
    }

    /// Number of connections accepted so far.
    pub(crate) fn connection_count(&self) -> u64 {
        self.connection_count.load(Ordering::SeqCst)
    }

    /// Stops answering on the connections that are open now.
    pub(crate) fn hang_open_connections(&self) {
        let open = lock(&self.open);
        let live = open.iter().filter_map(Weak::upgrade);
        live.for_each(|hung| hung.store(true, Ordering::SeqCst));
    }

    /// Makes the whole endpoint unresponsive, or ends that for new connections.
    pub(crate) fn set_unresponsive(&self, on: bool) {
        self.unresponsive.store(on, Ordering::SeqCst);
    }

    /// Runs `work` on the endpoint's runtime until it completes or the endpoint crashes.
    pub(crate) fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) {
        let token = lock(&self.token).clone();
        self.runtime.spawn(token.run_until_cancelled_owned(work));
    }

    fn is_stopped(&self) -> bool {
        lock(&self.token).is_cancelled()
    }

    /// Counts a new connection and creates its hang switch.
    fn register_connection(&self) -> HangSwitch {
        self.connection_count.fetch_add(1, Ordering::SeqCst);
        let own = Arc::new(AtomicBool::new(false));
        let mut open = lock(&self.open);
        open.retain(|other| other.strong_count() > 0);
        open.push(Arc::downgrade(&own));
        HangSwitch {
            own,
            all: self.unresponsive.clone(),
        }
    }
}

/// Binds a listener. Retries while the address is in use, since the listener of the previous run
/// may take a moment to release it.
pub(crate) async fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let mut retries = MAX_BIND_RETRIES;
    loop {
        match TcpListener::bind(addr).await {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && retries > 0 => retries -= 1,
            other => return other,
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// Starts the endpoint on a bound listener.
pub(crate) fn start<S: Serve>(server: &Arc<S>, listener: TcpListener) {
    *lock(&server.lifecycle().token) = CancellationToken::new();
    server.on_start();
    server.lifecycle().spawn(accept(server.clone(), listener));
}

/// Restarts a crashed endpoint on the same address; does nothing if it is running.
pub(crate) async fn restart<S: Serve>(server: &Arc<S>) -> io::Result<()> {
    if !server.lifecycle().is_stopped() {
        return Ok(());
    }
    let listener = bind(server.lifecycle().addr).await?;
    start(server, listener);
    Ok(())
}

/// Crashes the endpoint: the listener and all connections close. Schedules the restart if one is
/// configured.
pub(crate) fn crash<S: Serve>(server: &Arc<S>) {
    let lifecycle = server.lifecycle();
    if lifecycle.is_stopped() {
        return;
    }
    lifecycle.crash_count.fetch_add(1, Ordering::SeqCst);
    lock(&lifecycle.token).cancel();
    let Some(after) = lifecycle.restart_after else {
        return;
    };
    let server = server.clone();
    lifecycle.runtime.spawn(async move {
        sleep(after).await;
        let _ = restart(&server).await;
    });
}

/// Accepts connections and serves each in a task of its own.
async fn accept<S: Serve>(server: Arc<S>, listener: TcpListener) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            sleep(RETRY_INTERVAL).await;
            continue;
        };
        let _ = socket.set_nodelay(true);
        let hang = server.lifecycle().register_connection();
        let connection = Connection { socket, hang };
        server.lifecycle().spawn(server.clone().serve(connection));
    }
}

/// Locks a mutex and ignores poisoning: the data are counters and settings, which are consistent
/// at any time.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
