//! The node: settings, logs, control and the start of every thread.
//!
//! A node is one process. Its threads are the request workers (`entry::worker`), one for
//! [`control`] (platform, membership, bundles, claims) and one for the admin listener. They are joined by
//! bounded rings; what control knows reaches the workers as an immutable snapshot.
//!
//! Inputs: checked [`settings::Settings`]. Outputs: a running [`process::Process`]. Decisions are
//! left to `route`, `member`, `bundle` and `lease`.

pub mod control;
pub mod gauges;
pub mod hosted;
pub mod logging;
pub mod process;
pub mod settings;
