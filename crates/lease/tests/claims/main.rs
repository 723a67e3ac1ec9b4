//! Claim tables under faults: each key runs at most once across all nodes.

mod cases;
mod random;
mod world;
