//! One request's stream at a stage.

mod io;
mod work;

use super::counts::Counters;
use super::state::{Refusal, State};
use bytes::Bytes;
use engine::frame::{Call, Reply};
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use http::Response;
use io::Io;
use std::sync::Arc;
use work::Stage;

/// The caller reset the stream, or broke the protocol.
struct Gone;

/// Result of a part of a stream.
type Result<T> = std::result::Result<T, Gone>;

/// Serves a stream to its end.
pub(super) async fn serve(state: Arc<State>, body: RecvStream, mut respond: SendResponse<Bytes>) {
    let Ok(sender) = respond.send_response(Response::new(()), false) else {
        return;
    };
    let mut io = Io::new(sender, body);
    let Ok(Some(Call::Open(open))) = io.call().await else {
        io.abort(Reason::PROTOCOL_ERROR);
        return;
    };
    let (slot, span) = match state.admit(&open) {
        Ok(admitted) => admitted,
        Err(Refusal { reason, wait }) => {
            Counters::add(&state.counters.refused);
            let _ = io.reply(&Reply::Refused(reason, wait), Bytes::new(), true);
            return;
        }
    };
    Counters::add(&state.counters.opened);
    let stage = Stage::new(state.clone(), open, span, slot);
    // Counted also when the connection dies and this task is dropped on the way.
    let mut end = End {
        state: state.clone(),
        is_whole: false,
    };
    match stage.run(&mut io).await {
        Ok(()) => end.is_whole = true,
        Err(Gone) => io.abort(Reason::CANCEL),
    }
}

struct End {
    state: Arc<State>,
    is_whole: bool,
}

impl Drop for End {
    fn drop(&mut self) {
        let counters = &self.state.counters;
        let counter = if self.is_whole {
            &counters.finished
        } else {
            &counters.cancelled
        };
        Counters::add(counter);
    }
}
