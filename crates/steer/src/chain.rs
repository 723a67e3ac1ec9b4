//! What a request needs of a chain.

use catalog::engine::Size;

/// Part of an endpoint's room that requests without urgency may fill, by what is known of its use.
///
/// More than all of it: a request counts here with its whole expected answer from its start, while
/// it takes memory token by token. Measured on three days with 84 and 66 nodes, worth:
/// 0.67 gives less than 0.92 on each (mean 0.08 against 0.16), 1.07 more (0.25); at 1.3 engines
/// put more requests back and it falls again where it differs.
pub const FILL: f64 = 1.07;
/// The same for urgent requests.
pub const FILL_URGENT: f64 = 1.12;

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
