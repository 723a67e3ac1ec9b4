//! The stream of one request at a stage.

mod io;
mod work;

use super::counts::Counters;
use super::state::{Refusal, State};
use bytes::Bytes;
use engine::frame::{Call, Reply};
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use http::Response;
use io::FrameStream;
use std::sync::Arc;
use work::Stage;

/// The caller reset the stream or violated the protocol.
struct StreamClosed;

/// Result of an operation on a stream.
type Result<T> = std::result::Result<T, StreamClosed>;

/// Serves a stream until the caller ends or resets it.
pub(super) async fn serve(state: Arc<State>, body: RecvStream, mut respond: SendResponse<Bytes>) {
    let Ok(sender) = respond.send_response(Response::new(()), false) else {
        return;
    };
    let mut io = FrameStream::new(sender, body);
    let Ok(Some(Call::Open(open))) = io.call().await else {
        io.abort(Reason::PROTOCOL_ERROR);
        return;
    };
    let (slot, span) = match state.admit(&open) {
        Ok(admitted) => admitted,
        Err(Refusal {
            reason,
            retry_after,
        }) => {
            Counters::add(&state.counters.refused);
            let _ = io.reply(&Reply::Refused(reason, retry_after), Bytes::new(), true);
            return;
        }
    };
    Counters::add(&state.counters.opened);
    let stage = Stage::new(state.clone(), open, span, slot);
    // Counts the request on drop, since a connection that closes drops this task midway.
    let mut completion = Completion {
        state: state.clone(),
        is_complete: false,
    };
    match stage.run(&mut io).await {
        Ok(()) => completion.is_complete = true,
        Err(StreamClosed) => io.abort(Reason::CANCEL),
    }
}

/// Counts a request as finished or cancelled when it is dropped.
struct Completion {
    state: Arc<State>,
    is_complete: bool,
}

impl Drop for Completion {
    fn drop(&mut self) {
        let counters = &self.state.counters;
        let counter = if self.is_complete {
            &counters.finished
        } else {
            &counters.cancelled
        };
        Counters::add(counter);
    }
}
