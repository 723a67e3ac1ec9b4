//! Clients of the platform: the log service, the instance list and the weight store.
//!
//! Other crates use these services through three narrow traits: [`Log`], [`List`] and [`Weights`].
//! [`http`] implements the traits over HTTP/1.1 with limits on time and body size. [`mod@format`]
//! contains the formats on the network, which `docs/PLATFORM.md` describes; a change of format
//! affects this crate only. [`backoff`] computes the delays between retries.
//!
//! Inputs: addresses, limits, bodies to append. Outputs: offsets, pages, instances, rates and
//! [`Error`]s that state whether an append may have taken effect. This crate doesn't interpret
//! records (`bundle` and `lease` do), and doesn't decide when to retry or what to do while a
//! service is unavailable.

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
