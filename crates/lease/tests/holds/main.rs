//! Lease tables under faults: one holder at a time, and no orders after a lease has expired.

mod cases;
mod random;
mod world;
