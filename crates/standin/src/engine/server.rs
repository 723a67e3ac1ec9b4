//! HTTP/2 connections of an engine, and the routing of requests by method and path.

use super::state::{State, lock};
use super::{stage, status};
use crate::lifecycle::{Connection, Lifecycle, Serve};
use bytes::Bytes;
use h2::RecvStream;
use h2::server::SendResponse;
use http::{Method, Request, StatusCode};
use std::sync::Arc;
use tokio::task::JoinSet;

const MAX_FRAME_BYTES: u32 = 64 << 10;
const STREAM_WINDOW_BYTES: u32 = 1 << 20;
const CONNECTION_WINDOW_BYTES: u32 = 16 << 20;

impl Serve for State {
    fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    fn on_start(self: &Arc<Self>) {
        lock(&self.cache).clear();
        self.lifecycle.spawn(status::refresh_report(self.clone()));
    }

    async fn serve(self: Arc<Self>, connection: Connection) {
        let mut builder = h2::server::Builder::new();
        builder.initial_window_size(STREAM_WINDOW_BYTES);
        builder.initial_connection_window_size(CONNECTION_WINDOW_BYTES);
        builder.max_frame_size(MAX_FRAME_BYTES);
        let Ok(mut connection) = builder.handshake::<_, Bytes>(connection).await else {
            return;
        };
        // Dropping the set when the connection ends aborts the tasks of its requests.
        let mut tasks = JoinSet::new();
        while let Some(Ok((request, respond))) = connection.accept().await {
            while tasks.try_join_next().is_some() {}
            tasks.spawn(route(self.clone(), request, respond));
        }
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
