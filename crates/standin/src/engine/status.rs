//! Load reports, and the execution of orders.

use super::Span;
use super::counts::Counters;
use super::state::{Holding, Snapshot, State, lock};
use bytes::{Bytes, BytesMut};
use engine::load::{Loaded, Report};
use engine::order::{Answer, Command, Order};
use h2::RecvStream;
use h2::server::SendResponse;
use http::{Response, StatusCode};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Maximum size of an order.
const MAX_ORDER_BYTES: usize = 64 << 10;

/// Takes a load report once per `report_lag`; with a zero lag, reports are built on request.
pub(super) async fn refresh_report(state: Arc<State>) {
    let lag = state.config.report_lag;
    if lag.is_zero() {
        *lock(&state.snapshot) = None;
        return;
    }
    loop {
        let snapshot = Snapshot {
            report: report(&state),
            taken_at: Instant::now(),
        };
        *lock(&state.snapshot) = Some(snapshot);
        sleep(lag).await;
    }
}

/// Builds a load report of the current state.
fn report(state: &State) -> Report {
    let now = Instant::now();
    let held = lock(&state.held);
    let models = held.iter().map(|held| Loaded {
        model: held.span.model.clone(),
        version: held.span.version.clone(),
        adapters: held.span.adapters.clone().unwrap_or_default(),
        from: held.span.from,
        to: held.span.to,
        ready: held.ready_at <= now,
    });
    Report {
        running: state.running() as u32,
        waiting: state.lanes.waiting() as u32,
        slots: state.config.slots as u32,
        inter_token: Duration::from_nanos(state.inter_token.load(Ordering::Relaxed)),
        age: Duration::ZERO,
        models: models.collect(),
        cache: lock(&state.cache).events(),
        fence: state.fence.load(Ordering::SeqCst),
    }
}

/// Answers with the latest snapshot and its age, or with a new report if none is kept.
pub(super) fn load(state: &State, mut respond: SendResponse<Bytes>) {
    let kept = lock(&state.snapshot).clone();
    let report = match kept {
        Some(Snapshot { report, taken_at }) => Report {
            age: taken_at.elapsed(),
            ..report
        },
        None => report(state),
    };
    let body = serde_json::to_vec(&report).unwrap_or_default();
    answer(&mut respond, StatusCode::OK, body.into());
}

/// Reads an order from a request body, executes it and answers with the result.
pub(super) async fn order(
    state: Arc<State>,
    mut body: RecvStream,
    mut respond: SendResponse<Bytes>,
) {
    let mut bytes = BytesMut::new();
    while let Some(Ok(chunk)) = body.data().await {
        let _ = body.flow_control().release_capacity(chunk.len());
        bytes.extend_from_slice(&chunk);
        if bytes.len() > MAX_ORDER_BYTES {
            return answer(&mut respond, StatusCode::PAYLOAD_TOO_LARGE, Bytes::new());
        }
    }
    let Ok(order) = serde_json::from_slice::<Order>(&bytes) else {
        return answer(&mut respond, StatusCode::BAD_REQUEST, Bytes::new());
    };
    let body = serde_json::to_vec(&execute(&state, order)).unwrap_or_default();
    answer(&mut respond, StatusCode::OK, body.into());
}

/// Checks an order's fencing number and applies its command.
fn execute(state: &State, order: Order) -> Answer {
    let highest = state.fence.fetch_max(order.fence, Ordering::SeqCst);
    if state.config.fenced && order.fence < highest {
        Counters::add(&state.counters.stale_fences);
        return Answer::OldFence;
    }
    Counters::add(&state.counters.orders);
    match order.command {
        Command::Load {
            model,
            version,
            layers,
            adapters,
            from,
            to,
        } => {
            let adapters = Some(adapters);
            load_span(
                state,
                Span {
                    model,
                    version,
                    layers,
                    from,
                    to,
                    adapters,
                },
            )
        }
        Command::Unload { model, version } => {
            let is_other =
                |held: &Holding| (&held.span.model, &held.span.version) != (&model, &version);
            lock(&state.held).retain(is_other);
            Answer::Done
        }
        Command::Serve(on) => {
            state.fault.leaving.store(!on, Ordering::SeqCst);
            Answer::Done
        }
    }
}

/// Starts to load a range, which replaces the model version's previous range. A range that is
/// already loaded or being loaded is left unchanged.
fn load_span(state: &State, span: Span) -> Answer {
    if span.from >= span.to || span.to > span.layers {
        return Answer::Refused;
    }
    let mut held = lock(&state.held);
    if held.iter().any(|other| other.span == span) {
        return Answer::Done;
    }
    held.retain(|other| (&other.span.model, &other.span.version) != (&span.model, &span.version));
    held.push(Holding {
        span,
        ready_at: Instant::now() + state.config.load_time,
    });
    Answer::Done
}

/// Sends a complete response.
pub(super) fn answer(respond: &mut SendResponse<Bytes>, status: StatusCode, body: Bytes) {
    let mut response = Response::new(());
    *response.status_mut() = status;
    let Ok(mut sender) = respond.send_response(response, body.is_empty()) else {
        return;
    };
    if !body.is_empty() {
        let _ = sender.send_data(body, true);
    }
}
