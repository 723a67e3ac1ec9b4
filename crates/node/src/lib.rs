//! The node: settings, logs, control and the start of every thread.
//!
//! A node is one process. Its threads are the request workers (`entry::worker`), one thread for
//! [`control`] (platform, membership, bundles, claims) and one for the admin listener. They
//! communicate over bounded rings; control publishes its state to the workers as an immutable
//! snapshot.
//!
//! The input is checked [`settings::Settings`], the output a running [`process::Process`]. The
//! decisions themselves are made in the crates `route`, `member`, `bundle` and `lease`.
//!
//! [`hosted`] is the variant of a node that runs on a platform's store instead of signed bundles.

pub mod control;
pub mod gauges;
pub mod hosted;
pub mod logging;
pub mod process;
pub mod settings;
