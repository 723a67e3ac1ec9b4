//! Targets for the free capacity of a replica set, the endpoints that together hold every layer.
//!
//! The more layers an endpoint holds, the less memory it has left for requests, so free capacity is
//! traded against second copies of layers. With too few copies, an availability zone lacks layers
//! when an endpoint dies; with too little capacity, requests are refused although the engines have
//! the compute time for them.

use catalog::engine::Engine;

/// Minimum number of requests of typical size that a replica set has capacity for.
const MIN_REQUESTS: f64 = 20.0;
/// Number of requests of typical size that a replica set has capacity for where more capacity would
/// cost second copies of layers. Three zones with 225 requests in flight have 75 each, and one and
/// a half times as many when one zone sends its requests to the others. On accelerators with memory
/// for 1.7 replica sets per zone, the service score under faults (0 to 1) is 0.572 with 100, 0.571
/// with 75 and 0.544 with 150; on two fleets with larger accelerators, 100 scores 0.027 and 0.018
/// more than 150.
const SUFFICIENT_REQUESTS: f64 = 100.0;
/// Maximum number of requests of typical size that a replica set is given capacity for. With 300,
/// 38 endpoints in three zones lose a seventh of the service score under faults compared with 150.
/// With 100, zones with memory for several replica sets and 200 requests in flight send requests to
/// other zones even without faults.
const MAX_REQUESTS: f64 = 150.0;

/// Returns the number of tokens of a request of typical size.
fn tokens_per_request(engine: &Engine) -> f64 {
    let tokens = f64::from(engine.typical_size.prompt) + f64::from(engine.typical_size.answer);
    tokens.max(1.0)
}

/// Returns the minimum capacity of a replica set, in tokens.
pub fn min_tokens(engine: &Engine) -> f64 {
    MIN_REQUESTS * tokens_per_request(engine)
}

/// Returns the capacity of a replica set beyond which no more is sought, in tokens.
pub fn max_tokens(engine: &Engine) -> f64 {
    MAX_REQUESTS * tokens_per_request(engine)
}

/// Returns the capacity of a replica set that is sufficient where more would cost second copies of
/// layers, in tokens.
pub fn sufficient_tokens(engine: &Engine) -> f64 {
    SUFFICIENT_REQUESTS * tokens_per_request(engine)
}
