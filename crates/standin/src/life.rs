//! Lives of an endpoint: it listens, dies with all its connections, and comes back on the same
//! address.

mod gate;

pub(crate) use gate::Gate;
use gate::Silence;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::runtime::Handle as Runtime;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Tries to listen again on the address of a former life.
const BIND_TRIES: u32 = 300;
/// Wait between two tries to listen or accept.
const PAUSE: Duration = Duration::from_millis(10);

/// An endpoint that can die and come back.
pub(crate) trait Serve: Send + Sync + Sized + 'static {
    /// Its life.
    fn life(&self) -> &Life;

    /// Called as each life begins.
    fn begin(self: &Arc<Self>);

    /// Serves one connection.
    fn serve(self: Arc<Self>, gate: Gate) -> impl Future<Output = ()> + Send;
}

/// The current life, and the silence of its connections.
#[derive(Debug)]
pub(crate) struct Life {
    addr: SocketAddr,
    restart_after: Option<Duration>,
    runtime: Runtime,
    token: Mutex<CancellationToken>,
    silence: Arc<AtomicBool>,
    open: Mutex<Vec<Weak<AtomicBool>>>,
    deaths: AtomicU64,
    connections: AtomicU64,
}

impl Life {
    pub(crate) fn new(addr: SocketAddr, restart_after: Option<Duration>) -> Self {
        Self {
            addr,
            restart_after,
            runtime: Runtime::current(),
            token: Mutex::default(),
            silence: Arc::default(),
            open: Mutex::default(),
            deaths: AtomicU64::new(0),
            connections: AtomicU64::new(0),
        }
    }

    /// Deaths so far.
    pub(crate) fn deaths(&self) -> u64 {
        self.deaths.load(Ordering::SeqCst)
    }

    /// Connections accepted so far.
    pub(crate) fn connections(&self) -> u64 {
        self.connections.load(Ordering::SeqCst)
    }

    /// Goes silent on the connections open now.
    pub(crate) fn silence_open(&self) {
        let open = lock(&self.open);
        let live = open.iter().filter_map(Weak::upgrade);
        live.for_each(|silence| silence.store(true, Ordering::SeqCst));
    }

    /// Goes silent wholly, or ends that for new connections.
    pub(crate) fn silence(&self, on: bool) {
        self.silence.store(on, Ordering::SeqCst);
    }

    /// Runs work on the endpoint's runtime until this life ends.
    pub(crate) fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) {
        let token = lock(&self.token).clone();
        self.runtime.spawn(token.run_until_cancelled_owned(work));
    }

    fn is_over(&self) -> bool {
        lock(&self.token).is_cancelled()
    }

    /// The switches for a new connection's silence.
    fn connection(&self) -> Silence {
        self.connections.fetch_add(1, Ordering::SeqCst);
        let own = Arc::new(AtomicBool::new(false));
        let mut open = lock(&self.open);
        open.retain(|other| other.strong_count() > 0);
        open.push(Arc::downgrade(&own));
        Silence {
            own,
            all: self.silence.clone(),
        }
    }
}

/// Listens; the address of a former life may take a moment to be free.
pub(crate) async fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let mut tries = BIND_TRIES;
    loop {
        match TcpListener::bind(addr).await {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && tries > 0 => tries -= 1,
            other => return other,
        }
        sleep(PAUSE).await;
    }
}

/// Begins a life with this listener.
pub(crate) fn start<S: Serve>(server: &Arc<S>, listener: TcpListener) {
    *lock(&server.life().token) = CancellationToken::new();
    server.begin();
    server.life().spawn(accept(server.clone(), listener));
}

/// Begins a new life on the same address, unless one is under way.
pub(crate) async fn restart<S: Serve>(server: &Arc<S>) -> io::Result<()> {
    if !server.life().is_over() {
        return Ok(());
    }
    let listener = bind(server.life().addr).await?;
    start(server, listener);
    Ok(())
}

/// Ends the life: the listener and all connections close.
pub(crate) fn die<S: Serve>(server: &Arc<S>) {
    let life = server.life();
    if life.is_over() {
        return;
    }
    life.deaths.fetch_add(1, Ordering::SeqCst);
    lock(&life.token).cancel();
    let Some(after) = life.restart_after else {
        return;
    };
    let server = server.clone();
    life.runtime.spawn(async move {
        sleep(after).await;
        let _ = restart(&server).await;
    });
}

async fn accept<S: Serve>(server: Arc<S>, listener: TcpListener) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            sleep(PAUSE).await;
            continue;
        };
        let _ = socket.set_nodelay(true);
        let silence = server.life().connection();
        let gate = Gate { socket, silence };
        server.life().spawn(server.clone().serve(gate));
    }
}

/// Locks, also after a panic elsewhere: the data are counts and settings, whole at any time.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
