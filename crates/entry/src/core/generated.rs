//! The tokens of an answer so far.

use crate::account::{Account, GROWTH_FACTOR};
use engine::chain::Token;

/// Bytes that a token takes beside its text.
const ENTRY_BYTES: usize = size_of::<(u32, u32)>();

/// Tokens that are kept until their answer ends, so that another attempt can continue after them. They are kept
/// in a few long buffers: texts of their own would leave memory in pieces that nothing else fits into.
#[derive(Debug)]
pub(super) struct Generated {
    /// Ids of the tokens, each with the end of its text.
    entries: Vec<(u32, u32)>,
    text: String,
    account: Account,
    /// Bytes taken from the account.
    taken: usize,
}

impl Generated {
    /// Creates an answer without tokens, whose memory is a part of `account`.
    pub(super) fn new(account: Account) -> Self {
        Self {
            entries: Vec::new(),
            text: String::new(),
            account,
            taken: 0,
        }
    }

    /// Appends a token. Returns false if there is no room for it.
    pub(super) fn try_push(&mut self, token: &Token) -> bool {
        let bytes = GROWTH_FACTOR * (ENTRY_BYTES + token.text.len());
        let end = u32::try_from(self.text.len() + token.text.len());
        let Some(end) = end.ok().filter(|_| self.account.try_grow(bytes)) else {
            return false;
        };
        self.taken += bytes;
        self.text.push_str(&token.text);
        self.entries.push((token.id, end));
        true
    }

    pub(super) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the tokens.
    pub(super) fn tokens(&self) -> Vec<Token> {
        let mut start = 0;
        let token = |&(id, end): &(u32, u32)| {
            let text = &self.text[start..end as usize];
            start = end as usize;
            Token {
                id,
                text: text.to_owned(),
            }
        };
        self.entries.iter().map(token).collect()
    }
}

impl Drop for Generated {
    fn drop(&mut self) {
        self.account.shrink(self.taken);
    }
}
