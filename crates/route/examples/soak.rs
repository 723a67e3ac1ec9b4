//! Runs long randomised tests: `soak [FIRST] [COUNT]` draws COUNT cases from seed FIRST and prints
//! the first failing one in its smallest form, for `tests/cases/`.

#[path = "../tests/support/case.rs"]
mod case;
#[path = "../tests/support/fixture.rs"]
mod fixture;
#[path = "../tests/support/host.rs"]
mod host;
#[path = "../tests/support/world.rs"]
mod world;

use case::Case;
use route::router::Router;
use route::settings::Settings;
use std::panic::{AssertUnwindSafe, catch_unwind};

fn violations(case: &Case) -> Vec<String> {
    let run = AssertUnwindSafe(|| case.run(|seed| Router::new(seed, Settings::default())));
    catch_unwind(run).unwrap_or_else(|_| vec!["panic".into()])
}

fn main() {
    let mut args = std::env::args()
        .skip(1)
        .map(|a| a.parse().expect("a number"));
    let first: u64 = args.next().unwrap_or(1000);
    let count: u64 = args.next().unwrap_or(2000);
    for seed in first..first + count {
        let case = Case::draw(seed);
        if !violations(&case).is_empty() {
            let small = case.shrink(|c| !violations(c).is_empty());
            println!("seed {seed} fails: {:?}\n{small}", violations(&small));
            std::process::exit(1);
        }
    }
    println!("{count} cases from seed {first} on: no violations");
}
