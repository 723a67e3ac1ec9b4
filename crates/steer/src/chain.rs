//! What a request needs of a chain.

use catalog::engine::Size;

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
