//! Measures processor time of the current thread and memory of the process.

use cap::Cap;
use std::alloc::System;
use std::time::{Duration, Instant};

/// Allocator that counts allocated bytes. Counting adds some nanoseconds to each allocation, which
/// are part of the measured times.
#[global_allocator]
static HEAP: Cap<System> = Cap::new(System, usize::MAX);

/// Minimum wall time of a measurement. The kernel updates a running thread's processor time only
/// at its timer ticks, so a run must span many of them.
const MIN_RUN_TIME: Duration = Duration::from_millis(300);

/// Returns the processor time that the current thread has used, or zero if the kernel does not
/// report it. Load of other processes affects it only through shared caches and cores.
pub fn thread_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split_whitespace().next().and_then(|n| n.parse().ok());
    Duration::from_nanos(nanos.unwrap_or(0))
}

/// Calls `f` once and returns its processor time, in microseconds, and its result.
pub fn once<T>(f: impl FnOnce() -> T) -> (f64, T) {
    let start = thread_time();
    let value = f();
    (micros(thread_time() - start), value)
}

/// Returns the mean processor time of a call of `f`, in microseconds. Calls `f` at least three
/// times and until `MIN_RUN_TIME` has passed.
pub fn mean<T>(mut f: impl FnMut() -> T) -> f64 {
    let (start, wall) = (thread_time(), Instant::now());
    let mut calls = 0_u32;
    while wall.elapsed() < MIN_RUN_TIME || calls < 3 {
        std::hint::black_box(f());
        calls += 1;
    }
    micros(thread_time() - start) / f64::from(calls)
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}

/// Returns the allocated memory, in kilobytes: the requested sizes, without the allocator's own
/// overhead.
pub fn allocated() -> f64 {
    HEAP.allocated() as f64 / 1e3
}

/// Returns the mean memory of a value that `make` returns, in kilobytes, over `count` values held
/// at the same time.
pub fn memory<T>(count: usize, mut make: impl FnMut() -> T) -> f64 {
    let start = allocated();
    let held: Vec<T> = (0..count).map(|_| make()).collect();
    let each = (allocated() - start) / count as f64;
    drop(held);
    each
}
