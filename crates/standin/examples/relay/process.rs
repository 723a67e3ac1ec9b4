//! CPU time and memory of this process, read from `/proc`.

use std::fs;
use std::time::Duration;

/// Returns the CPU time of this process; zero if it cannot be read.
pub fn cpu() -> Duration {
    // The first field is the CPU time of the main thread in nanoseconds. The driver runs on no
    // other thread.
    let text = fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|field| field.parse().ok());
    Duration::from_nanos(nanos.unwrap_or_default())
}

/// Returns the resident memory in bytes.
pub fn memory() -> u64 {
    status("VmRSS:")
}

/// Returns the peak resident memory since the last reset, in bytes.
pub fn peak() -> u64 {
    status("VmHWM:")
}

/// Resets the peak of resident memory.
pub fn reset_peak() {
    let _ = fs::write("/proc/self/clear_refs", "5");
}

/// Reads a field of `/proc/self/status` that is given in KiB, and returns it in bytes.
fn status(name: &str) -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or_default() << 10
}
