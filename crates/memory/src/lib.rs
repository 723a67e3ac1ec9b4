//! Memory that a process holds on behalf of its callers, counted in one budget.
//!
//! A [`budget::Budget`] is divided among its users by leases. A [`buffer::Buffer`] receives a body and leases the memory
//! that it allocates, which for a body in tiny chunks is far less than what the chunks would take by
//! themselves. It becomes a [`content::Content`], which holds the lease until its last clone is dropped.

pub mod budget;
pub mod buffer;
pub mod content;
pub mod shares;
