//! How much room for requests a cover of the layers should leave.
//!
//! More layers on an endpoint leave less room for requests, so room is traded for second copies of
//! layers. Few copies leave a zone with holes when an endpoint dies; little room refuses requests
//! that engines have the time for.

use catalog::engine::Engine;

/// Requests of usual size that a cover should have room for, at the least.
const MIN_REQUESTS: f64 = 20.0;
/// Requests of usual size that a cover has room for where room and second copies compete. Grounds:
/// three zones with 225 requests in flight have 75 each, and half as many again when one of them
/// sends its requests to the others. Worth (0 to 1) of five days of trouble, three seeds each, on
/// accelerators with memory for 1.7 covers a zone: 150 gives 0.544, 100 gives 0.572, 75 gives 0.571;
/// on two fleets with larger ones, two seeds each, 100 gains 0.027 and 0.018 on 150.
const SUFFICIENT_REQUESTS: f64 = 100.0;
/// Requests of usual size past which a cover gets no more room. On days of trouble with 38 endpoints
/// in three zones 300 lose a seventh of the worth against 150. Zones with memory for several covers
/// and 200 requests in flight need it: with 100, requests of a calm day went to other zones.
const MAX_REQUESTS: f64 = 150.0;

/// Tokens of a usual request.
fn tokens_per_request(engine: &Engine) -> f64 {
    let tokens = f64::from(engine.typical_size.prompt) + f64::from(engine.typical_size.answer);
    tokens.max(1.0)
}

/// The least room of a cover, in tokens.
pub fn min_tokens(engine: &Engine) -> f64 {
    MIN_REQUESTS * tokens_per_request(engine)
}

/// The most room of a cover that is looked for, in tokens.
pub fn max_tokens(engine: &Engine) -> f64 {
    MAX_REQUESTS * tokens_per_request(engine)
}

/// The room of a cover, in tokens, that suffices where more of it would cost second copies.
pub fn sufficient_tokens(engine: &Engine) -> f64 {
    SUFFICIENT_REQUESTS * tokens_per_request(engine)
}
