//! Lease tables under faults: one holder at a time, and none that sends after its lapse.

mod cases;
mod random;
mod world;
