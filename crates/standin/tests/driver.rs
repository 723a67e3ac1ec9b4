//! Tests of the pipeline driver against stand-in engines, over loopback sockets.

#[path = "driver/common.rs"]
mod common;
#[path = "driver/crossed.rs"]
mod crossed;
#[path = "driver/died.rs"]
mod died;
#[path = "driver/random.rs"]
mod random;
#[path = "driver/refused.rs"]
mod refused;
#[path = "driver/silent.rs"]
mod silent;
#[path = "driver/whole.rs"]
mod whole;
