//! Clients of the platform's services over HTTP/1.1.

pub mod client;
mod connector;
pub mod kept;
pub mod list;
pub mod log;
pub mod weights;

use response::connection::Options;
use response::meter::Allowance;

/// Bounds of a connection. A response has a short head.
const OPTIONS: Options = Options {
    buffer_bytes: 16 << 10,
    receive_buffer_bytes: 32 << 10,
    user_timeout: None,
    allowance: Allowance {
        head: 128 << 10,
        body: 1 << 20,
    },
};

pub use list::List;
pub use log::Log;
pub use weights::Weights;
