//! The node binary.
fn main() {}
