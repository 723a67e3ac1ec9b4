//! Responses over HTTP/1.1 from endpoints, other nodes and the platform's store: what counts as one, and
//! what receiving it may cost.
//!
//! The HTTP library checks the syntax. [`head`] decides whether a parsed head is that of a response at all, and
//! how its body ends; everything that receives responses asks it. [`meter`] bounds the work that a peer can
//! cause with bytes that bring nothing, such as interim responses, chunks of a byte or comments without end.
//! [`connection`] opens connections with these bounds, [`body`] collects bodies within a budget, and [`ending`]
//! tells a body that its sender ended by closing the connection from one that was cut.
//!
//! Inputs: sockets, parsed responses, budgets. Outputs: checked heads, bodies, and errors that say which bound
//! was exceeded. What a response means is up to the caller.

pub mod body;
pub mod connection;
pub mod ending;
pub mod head;
pub mod meter;
