//! Bodies of requests, for as long as the requests may be sent again.

use memory::content::Content;
use std::cell::RefCell;
use steer::crash::Fingerprint;

/// A body that may be dropped while its request is in flight. What was derived from it stays.
#[derive(Debug)]
pub struct Body {
    state: RefCell<State>,
}

#[derive(Debug)]
enum State {
    Present(Content),
    Dropped(Dropped),
}

/// A body that was dropped. Its request can't be sent any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dropped {
    /// Hash of the content of the request.
    pub fingerprint: Fingerprint,
}

/// Result of asking for a body.
pub type Result<T> = std::result::Result<T, Dropped>;

impl Body {
    /// Keeps a body.
    pub fn new(content: Content) -> Self {
        Self {
            state: RefCell::new(State::Present(content)),
        }
    }

    /// Returns the body, which stays complete for as long as the result is held.
    ///
    /// # Errors
    ///
    /// Returns [`Dropped`] if the body was dropped.
    pub fn get(&self) -> Result<Content> {
        match &*self.state.borrow() {
            State::Present(content) => Ok(content.clone()),
            State::Dropped(dropped) => Err(*dropped),
        }
    }

    /// Returns the length in bytes; 0 once it was dropped.
    pub fn len(&self) -> usize {
        match &*self.state.borrow() {
            State::Present(content) => content.len(),
            State::Dropped(_) => 0,
        }
    }

    /// Returns whether it has no bytes, or was dropped.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns whether somebody holds the body, so that dropping it would free nothing.
    pub fn is_in_use(&self) -> bool {
        match &*self.state.borrow() {
            State::Present(content) => content.is_shared(),
            State::Dropped(_) => false,
        }
    }

    /// Drops the body of the request whose content has this fingerprint. Those who hold it go on.
    pub fn release(&self, fingerprint: Fingerprint) {
        self.state.replace(State::Dropped(Dropped { fingerprint }));
    }
}
