//! Claim tables under random faults: at most one run per key over all nodes, ever.

mod cases;
mod random;
mod world;
