//! What a request needs of a chain.

use catalog::engine::Size;

/// Part of an endpoint's room that requests without urgency may fill, by what is known of its use.
///
/// A request counts here with its whole expected answer from its start, while it takes memory token
/// by token, so nearly all of it can be filled; past that engines refuse what was sent to them, and
/// each refusal is a further attempt. Worth of five days with 67 nodes: 1.07 gives 0.548, 0.95 gives
/// 0.564, 0.85 gives 0.560; with 8 nodes 0.572 and 0.575 for the first two.
pub const MAX_FILL: f64 = 0.95;
/// The same for urgent requests.
pub const MAX_FILL_URGENT: f64 = 1.0;

/// What a request needs of a chain of endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// Its tokens.
    pub size: Size,
    /// Whether it may use the room that is kept back for urgent requests.
    pub urgent: bool,
}

impl Need {
    /// Tokens that it takes at each layer before its end.
    pub fn tokens(&self) -> f64 {
        f64::from(self.size.prompt) + f64::from(self.size.answer)
    }
}
