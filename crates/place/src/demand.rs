//! How much room for requests a cover of the layers should leave.

use catalog::engine::Engine;

/// Tokens that every cover of all layers should have room for, at the least.
///
/// More layers on an endpoint leave less room for requests. One cover per availability zone with
/// much room serves more than several with little, until what is left over can't be used.
pub const LEAST_TOKENS: f64 = 20_000.0;

/// Requests of usual size that the least room takes.
pub fn least_tokens(engine: &Engine) -> f64 {
    let usual = f64::from(engine.usual.prompt) + f64::from(engine.usual.answer);
    LEAST_TOKENS.max(usual * 16.0)
}
