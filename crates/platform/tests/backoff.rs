//! Tests of the delays between retries.

use platform::backoff::Backoff;
use std::time::Duration;

const MIN: Duration = Duration::from_millis(100);
const MAX: Duration = Duration::from_secs(5);

#[test]
fn delays_double_up_to_the_maximum_within_jitter() {
    let mut backoff = Backoff::new(MIN, MAX, 1);
    for failures in 0..200u32 {
        let step = MIN.saturating_mul(1 << failures.min(10)).min(MAX);
        let delay = backoff.record_failure(None);
        assert!(
            delay >= step / 2 && delay <= step,
            "{delay:?} after {failures}"
        );
    }
}

#[test]
fn a_success_resets_the_delay_and_seeds_differ() {
    let mut a = Backoff::new(MIN, MAX, 1);
    let mut b = Backoff::new(MIN, MAX, 2);
    let delays = |backoff: &mut Backoff| {
        (0..8)
            .map(|_| backoff.record_failure(None))
            .collect::<Vec<_>>()
    };
    assert_ne!(delays(&mut a), delays(&mut b));
    a.record_success();
    assert!(a.record_failure(None) <= MIN);
    assert_eq!(a.failures(), 1);
}

#[test]
fn the_retry_after_delay_applies_up_to_the_maximum() {
    let mut backoff = Backoff::new(MIN, MAX, 1);
    assert_eq!(
        backoff.record_failure(Some(Duration::from_secs(2))),
        Duration::from_secs(2)
    );
    assert_eq!(backoff.record_failure(Some(Duration::from_secs(3600))), MAX);
}
