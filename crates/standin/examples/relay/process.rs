//! What the kernel says of this process.

use std::fs;
use std::time::Duration;

/// Processor time of this process.
pub fn cpu() -> Duration {
    // The first field is nanoseconds on a processor, of the main thread: the only one that works.
    let text = fs::read_to_string("/proc/self/schedstat").unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|field| field.parse().ok());
    Duration::from_nanos(nanos.unwrap_or_default())
}

/// Resident memory in bytes.
pub fn memory() -> u64 {
    status("VmRSS:")
}

/// The most resident memory since the last reset, in bytes.
pub fn peak() -> u64 {
    status("VmHWM:")
}

/// Begins a new peak.
pub fn reset_peak() {
    let _ = fs::write("/proc/self/clear_refs", "5");
}

fn status(name: &str) -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or_default() << 10
}
