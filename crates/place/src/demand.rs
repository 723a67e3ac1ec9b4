//! How much room for requests a cover of the layers should leave.
//!
//! More layers on an endpoint leave less room for requests, so room is traded for second copies of
//! layers. Few copies leave a zone with holes when an endpoint dies; little room refuses requests
//! that engines have the time for.

use catalog::engine::Engine;

/// Requests of usual size that a cover should have room for, at the least.
const LEAST: f64 = 20.0;
/// Requests of usual size past which a cover gets no more room. Measured on days of trouble with
/// 38 endpoints in three zones, worth of all days against 150: 60 lose a tenth, 40 two thirds (too
/// few requests fit), 300 a seventh (no second copies are left).
const MOST: f64 = 150.0;

/// Tokens of a usual request.
fn usual(engine: &Engine) -> f64 {
    let tokens = f64::from(engine.usual.prompt) + f64::from(engine.usual.answer);
    tokens.max(1.0)
}

/// The least room of a cover, in tokens.
pub fn least_tokens(engine: &Engine) -> f64 {
    LEAST * usual(engine)
}

/// The most room of a cover that is looked for, in tokens.
pub fn most_tokens(engine: &Engine) -> f64 {
    MOST * usual(engine)
}
