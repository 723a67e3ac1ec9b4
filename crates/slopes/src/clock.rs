//! Processor time of this thread and memory of this process.

use cap::Cap;
use std::alloc::System;
use std::time::{Duration, Instant};

/// Counts what is allocated. It costs each allocation some nanoseconds, which the times include.
#[global_allocator]
static HEAP: Cap<System> = Cap::new(System, usize::MAX);

/// The kernel brings a running thread's count up to date at its ticks only, so that a run must
/// last for many of them.
const LEAST: Duration = Duration::from_millis(300);

/// Processor time that this thread has used. Other processes' load does not count in it, apart
/// from what they take of caches and shared cores.
pub fn used() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split_whitespace().next().and_then(|n| n.parse().ok());
    Duration::from_nanos(nanos.unwrap_or(0))
}

/// Microseconds of processor time that `f` takes.
pub fn once<T>(f: impl FnOnce() -> T) -> (f64, T) {
    let start = used();
    let value = f();
    (micros(used() - start), value)
}

/// Mean microseconds of processor time that `f` takes; it is called until the count is long enough.
pub fn mean<T>(mut f: impl FnMut() -> T) -> f64 {
    let (start, wall) = (used(), Instant::now());
    let mut calls = 0_u32;
    while wall.elapsed() < LEAST || calls < 3 {
        std::hint::black_box(f());
        calls += 1;
    }
    micros(used() - start) / f64::from(calls)
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

/// Kilobytes that are allocated, as asked for: without what the allocator adds.
pub fn allocated() -> f64 {
    HEAP.allocated() as f64 / 1e3
}

/// Kilobytes of each of `count` values made by `make`.
pub fn memory<T>(count: usize, mut make: impl FnMut() -> T) -> f64 {
    let start = allocated();
    let held: Vec<T> = (0..count).map(|_| make()).collect();
    let each = (allocated() - start) / count as f64;
    drop(held);
    each
}
