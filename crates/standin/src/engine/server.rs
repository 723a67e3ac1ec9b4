//! The listener, its connections, and the way of each request.

use super::counts::Counters;
use super::gate::{Gate, Silence};
use super::state::State;
use super::{stage, status};
use bytes::Bytes;
use h2::RecvStream;
use h2::server::SendResponse;
use http::{Method, Request, StatusCode};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// Tries to listen again on the address of a former life, a hundredth of a second apart.
const BIND_TRIES: u32 = 300;
const STREAM_WINDOW: u32 = 1 << 20;
const CONNECTION_WINDOW: u32 = 16 << 20;

/// Listens; the address of a former life may take a moment to be free.
pub(super) async fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let mut tries = BIND_TRIES;
    loop {
        match TcpListener::bind(addr).await {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && tries > 0 => tries -= 1,
            other => return other,
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Begins a new life on the same address, unless one is under way.
pub(super) async fn restart(state: &Arc<State>) -> io::Result<()> {
    if !state.life().is_cancelled() {
        return Ok(());
    }
    let listener = bind(state.addr).await?;
    start(state, listener);
    Ok(())
}

/// Serves a listener for one life.
pub(super) fn start(state: &Arc<State>, listener: TcpListener) {
    let life = state.revive();
    let report = status::keep(state.clone());
    state
        .runtime
        .spawn(life.clone().run_until_cancelled_owned(report));
    let accept = accept(state.clone(), listener, life.clone());
    state.runtime.spawn(life.run_until_cancelled_owned(accept));
}

async fn accept(state: Arc<State>, listener: TcpListener, life: CancellationToken) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        Counters::add(&state.counters.connections);
        let connection = connection(state.clone(), socket);
        tokio::spawn(life.clone().run_until_cancelled_owned(connection));
    }
}

async fn connection(state: Arc<State>, socket: TcpStream) {
    let _ = socket.set_nodelay(true);
    let silence = Silence {
        own: state.connection(),
        all: state.silence.clone(),
    };
    let mut builder = h2::server::Builder::new();
    builder.initial_window_size(STREAM_WINDOW);
    builder.initial_connection_window_size(CONNECTION_WINDOW);
    let Ok(mut connection) = builder
        .handshake::<_, Bytes>(Gate { socket, silence })
        .await
    else {
        return;
    };
    // Dropped with the connection, which stops its requests.
    let mut tasks = JoinSet::new();
    while let Some(Ok((request, respond))) = connection.accept().await {
        while tasks.try_join_next().is_some() {}
        tasks.spawn(route(state.clone(), request, respond));
    }
}

async fn route(state: Arc<State>, request: Request<RecvStream>, mut respond: SendResponse<Bytes>) {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/stage") => stage::serve(state, request.into_body(), respond).await,
        (&Method::POST, "/orders") => status::order(state, request.into_body(), respond).await,
        (&Method::GET, "/load") => status::load(&state, respond),
        (&Method::GET, "/health") => status::answer(&mut respond, StatusCode::OK, Bytes::new()),
        _ => status::answer(&mut respond, StatusCode::NOT_FOUND, Bytes::new()),
    }
}
