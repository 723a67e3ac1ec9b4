//! How often a worker is told what its node believes.

use node::hosted::control::viewed::Viewed;
use std::time::Duration;
use tokio::time::Instant;

// Reports of engines come all the time. A small node before thousands of endpoints that tells its
// worker of each one has no time left for callers, and puts a new catalog in force seconds late. The
// worker is told as seldom as the list is long, but of a new catalog at once.
#[test]
fn long_lists_are_told_seldom_and_new_catalogs_at_once() {
    let start = Instant::now();
    let view = |ms, version, leaving| Viewed {
        at: start + Duration::from_millis(ms),
        version,
        leaving,
    };
    let told = view(0, 3, false);
    assert!(told.gives_way(&view(100, 3, false), 100));
    assert!(!told.gives_way(&view(100, 3, false), 3000));
    assert!(told.gives_way(&view(1000, 3, false), 3000));
    assert!(told.gives_way(&view(1, 4, false), 3000));
    assert!(told.gives_way(&view(1, 3, true), 3000));
}
