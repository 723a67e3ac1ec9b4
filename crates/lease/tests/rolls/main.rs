//! Rolls over a small simulated fleet of endpoints that load, fail, leave and restart.

mod cases;
mod fleet;
mod random;
