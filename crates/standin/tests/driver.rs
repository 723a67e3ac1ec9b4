//! The driver of a pipeline against stand-in engines, over real sockets on loopback.

#[path = "driver/common.rs"]
mod common;
#[path = "driver/whole.rs"]
mod whole;
