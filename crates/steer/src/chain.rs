//! Requirements of a request on a chain of endpoints.

use catalog::engine::Size;

/// Fraction of an endpoint's known capacity that requests without urgency may fill.
///
/// A request counts with its whole expected answer from its start, whereas its memory use grows
/// token by token, so nearly all of the capacity can be filled. Beyond it, engines refuse requests,
/// and each refusal costs a retry. With 67 nodes, the service score under faults is 0.548 with
/// 1.07, 0.564 with 0.95 and 0.560 with 0.85; with 8 nodes it is 0.572 with 1.07 and 0.575 with
/// 0.95.
pub const MAX_FILL: f64 = 0.95;
/// Same for urgent requests.
pub const MAX_FILL_URGENT: f64 = 1.0;
/// Lower bound of the fraction that requests without urgency may fill while capacity is kept for the
/// urgent requests that are expected until the next load report. It leaves them most of the capacity
/// if the expectation is too high.
pub const MIN_FILL: f64 = 0.7;

/// Requirements of a request on a chain of endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// Number of tokens of the prompt and the expected answer.
    pub size: Size,
    /// Whether the request may use the capacity that is kept for urgent requests.
    pub urgent: bool,
}

impl Need {
    /// Returns the number of tokens that the request occupies at each layer when it ends.
    pub fn tokens(&self) -> f64 {
        f64::from(self.size.prompt) + f64::from(self.size.answer)
    }
}
