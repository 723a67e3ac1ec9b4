//! The callers' API: bodies, answers and errors in the format of chat-completion clients.

pub mod chat;
pub mod chunk;
pub mod completion;
pub mod error;
pub mod header;
pub mod models;
pub mod params;
pub mod stop;
