//! Responses over HTTP/1.1 from endpoints, other nodes and the platform's store: what counts as one.
//!
//! The HTTP library checks the syntax. [`head`] decides whether a parsed head is that of a response at all, and
//! how its body ends; everything that receives responses asks it. What a response means is up to the caller.

pub mod head;
