//! Clients of the platform's services over HTTP/1.1.

pub mod client;
pub mod kept;
pub mod list;
pub mod log;
pub mod weights;

pub use list::List;
pub use log::Log;
pub use weights::Weights;
