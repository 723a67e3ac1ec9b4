//! Clients of the platform: the log service, the instance list and the weight store.
//!
//! Decisions live elsewhere and see these services through three narrow traits: [`Log`], [`List`]
//! and [`Weights`]. [`http`] implements them over HTTP/1.1 with bounds on time and body; the
//! formats on the network are in [`format`] and are described in `docs/PLATFORM.md`, so that
//! another format touches this crate only. [`backoff`] gives the waits between retries.
//!
//! Inputs: addresses, limits, bodies to append. Outputs: offsets, pages, instances, rates and
//! [`Error`]s that say whether an append may have taken effect. Left to others: what a record
//! means (`bundle`, `lease`), when to retry, and what to do while a service is out.

pub mod backoff;
pub mod error;
pub mod format;
pub mod http;
pub mod instance;
pub mod limits;
pub mod list;
pub mod log;
pub mod weights;

pub use error::{Error, Result};
pub use limits::Limits;
pub use list::List;
pub use log::{Log, Offset, Page, Record};
pub use weights::Weights;
