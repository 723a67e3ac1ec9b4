//! Cost of parsing, verifying, hashing and folding bundles, for fleets of four sizes.
//!
//! `cargo run --release -p wigeonshelf-bundle --example fold_cost`
//!
//! Prints one row per size; times are the median of several runs on one thread. The columns after
//! the size of a delta are the cost of one change on each node, and the share of a core, in per
//! cent, that 16,000 changes a day take; the last two are the size of a checkpoint and the time to
//! adopt it.

use bundle::Bundle;
use bundle::fold::{Fold, Verdict};
use bundle::record::Record;
use bundle::sign;
use bundle::signer::Signer;
use std::fmt::Write as _;
use std::hint::black_box;
use std::time::{Duration, Instant};

/// Changes of configuration per day at the design size.
const CHANGES_PER_DAY: f64 = 16_000.0;
/// Seconds per day.
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Number of runs from which the median is taken.
const RUNS: usize = 15;

/// Size of a fleet: number of rows in each table.
#[derive(Clone, Copy)]
struct Size {
    endpoints: usize,
    teams: usize,
    models: usize,
    zones: usize,
}

/// Measured sizes; the last is the design size.
const SIZES: [Size; 4] = [
    Size {
        endpoints: 40,
        teams: 10,
        models: 2,
        zones: 3,
    },
    Size {
        endpoints: 600,
        teams: 60,
        models: 6,
        zones: 6,
    },
    Size {
        endpoints: 2_350,
        teams: 235,
        models: 12,
        zones: 12,
    },
    Size {
        endpoints: 4_700,
        teams: 470,
        models: 18,
        zones: 18,
    },
];

/// Returns the bundle text of a fleet of `size`, in which team 0 has the rate limit `rate`.
fn text(size: Size, rate: usize) -> String {
    let mut t = String::new();
    for z in 0..size.zones {
        let _ = writeln!(t, "[zone zone-{z:02}]\nregion = region-{}", z % 8);
    }
    for k in 0..4 {
        let _ = writeln!(
            t,
            "[kind kind-{k}]\nlayers_per_second = {}",
            5_000 * (k + 1)
        );
    }
    for m in 0..size.models {
        let _ = writeln!(
            t,
            "[model model-{m:02}]\nversion = 7\nlayers = 64\ncontext = 32768\nadapters = base, tuned"
        );
    }
    for e in 0..size.endpoints {
        push_endpoint(&mut t, size, e);
    }
    t.push_str("[priority alarm]\nrank = 0\nurgent = yes\n");
    t.push_str("[priority normal]\nrank = 10\nweight = 4\n");
    for n in 0..size.teams {
        let key = sign::bearer_digest(&format!("key-{n}"));
        let rate = if n == 0 { rate } else { 30 };
        let _ = writeln!(
            t,
            "[team team-{n:03}]\nkeys = {key}\nweight = 2\nrate = {rate}\nin_flight = 64\n\
             top = normal\nmodels = model-00, model-01"
        );
    }
    for a in 0..size.zones {
        for b in a..size.zones {
            let _ = writeln!(
                t,
                "[link zone-{a:02} zone-{b:02}]\nlatency = 500us\ntokens_per_second = 50000"
            );
        }
    }
    t
}

/// Appends the section of endpoint `e`, which serves half of a model's layers.
fn push_endpoint(t: &mut String, size: Size, e: usize) {
    let from = 32 * (e % 2);
    let _ = writeln!(
        t,
        "[endpoint endpoint-{e:05}]\ninstance = instance-{e:05}\naddr = 10.{}.{}.{}:9000\n\
         zone = zone-{:02}\nkind = kind-{}\nspans = model-{:02} {from}..{}\nslots = 16\nfenced = yes",
        e >> 16,
        (e >> 8) & 255,
        e & 255,
        (e / 2) % size.zones,
        e % 4,
        (e / 2) % size.models,
        from + 32,
    );
}

/// Returns the median time of `RUNS` runs.
fn median<T>(mut run: impl FnMut() -> T) -> Duration {
    let mut times: Vec<Duration> = (0..RUNS)
        .map(|_| {
            let start = Instant::now();
            black_box(run());
            start.elapsed()
        })
        .collect();
    times.sort_unstable();
    times[RUNS / 2]
}

/// Measures folding a second version onto the first and adopting a checkpoint. Returns the median
/// time of the fold, the delta record, the length of the checkpoint in bytes, and the median time
/// of the adoption.
fn measure_fold(size: Size) -> (Duration, Vec<u8>, usize, Duration) {
    let key = sign::key_from_seed([7; 32]);
    let public = *key.verifying_key().as_bytes();
    let trusted = Signer {
        name: "mira".into(),
        key: public,
        revoked: false,
    };
    let first = sign::sign_text(None, &text(size, 30), "mira", &key).expect("valid bundle");
    let mut start = Fold::new(vec![trusted.clone()]);
    assert!(matches!(start.apply(0, &first), Verdict::Accepted(_)));
    let head = start.head().expect("a head").clone();
    let next = sign::sign_text(Some(&head), &text(size, 31), "mira", &key).expect("valid bundle");
    let delta = median(|| {
        let mut fold = start.clone();
        assert!(matches!(fold.apply(1, &next), Verdict::Accepted(_)));
        fold
    });
    let checkpoint = start.checkpoint(Duration::ZERO).expect("a state");
    let adopt = median(|| {
        let mut fold = Fold::new(vec![trusted.clone()]);
        assert!(matches!(fold.adopt(&checkpoint), Verdict::Adopted(_)));
        fold
    });
    (delta, next, checkpoint.len(), adopt)
}

/// Returns the resident memory of the process, in bytes.
fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split_whitespace()
        .nth(1)
        .and_then(|p| p.parse::<usize>().ok());
    pages.unwrap_or_default() * 4096
}

/// Measures the memory, in kilobytes, of one bundle with sections of its own, and of each further
/// bundle that shares the sections of the first. The bundles are kept in `held`, since memory that
/// was freed would be reused and falsify later measurements.
fn memory(size: Size, held: &mut Vec<Bundle>) -> (f64, f64) {
    const FOLDS: usize = 8;
    let sections = bundle::text::parse(&text(size, 30)).expect("valid bundle");
    let parse_copy = || bundle::text::parse(&sections.to_string()).expect("valid bundle");
    let start = resident_bytes();
    let bundles: Vec<Bundle> = (0..FOLDS)
        .map(|_| Bundle::try_from(&parse_copy()).expect("valid bundle"))
        .collect();
    let first_total = resident_bytes().saturating_sub(start);
    let start = resident_bytes();
    let more: Vec<Bundle> = (0..FOLDS)
        .map(|_| Bundle::try_from(&bundles[0].sections).expect("valid bundle"))
        .collect();
    let shared_total = resident_bytes().saturating_sub(start);
    held.extend(bundles);
    held.extend(more);
    let average_kb = |bytes: usize| bytes as f64 / FOLDS as f64 / 1e3;
    (average_kb(first_total), average_kb(shared_total))
}

/// Returns the number of bytes of a delta record that any codec must encode: names, values, digests
/// and signature.
fn min_encoded_len(record: &[u8]) -> usize {
    let Ok(Record::Version(version)) = Record::decode(record) else {
        return 0;
    };
    let header = &version.envelope.header;
    let set = version.delta.set.values();
    let sections: usize = set
        .map(|s| s.key().to_string().len() + s.body().len())
        .sum();
    header.signer.len() + 8 + 3 * 32 + 64 + sections
}

fn main() {
    // Measured first: memory that the later runs leave with the allocator would hide the growth.
    println!("endpoints | KB of a head | KB of each further version held");
    let mut held = Vec::new();
    for size in SIZES {
        let (head, further) = memory(size, &mut held);
        println!("{:9} | {head:12.0} | {further:29.0}", size.endpoints);
    }
    println!(
        "endpoints teams models | text KB | parse ms verify ms digest ms | delta B (least) | fold of a delta ms | % of a core at 16,000 a day | checkpoint KB | read one ms"
    );
    for size in SIZES {
        let text = text(size, 30);
        let parse = median(|| bundle::text::parse(&text));
        let sections = bundle::text::parse(&text).expect("valid bundle");
        let verify = median(|| Bundle::try_from(&sections));
        let digest = median(|| sections.digest());
        let (delta, record, full_len, adopt) = measure_fold(size);
        let ms = |d: Duration| d.as_secs_f64() * 1e3;
        println!(
            "{:9} {:5} {:6} | {:7.0} | {:8.2} {:9.2} {:9.3} | {:7} ({:5}) | {:18.2} | {:27.4} | {:13.0} | {:11.2}",
            size.endpoints,
            size.teams,
            size.models,
            text.len() as f64 / 1e3,
            ms(parse),
            ms(verify),
            ms(digest),
            record.len(),
            min_encoded_len(&record),
            ms(delta),
            100.0 * delta.as_secs_f64() * CHANGES_PER_DAY / SECONDS_PER_DAY,
            full_len as f64 / 1e3,
            ms(adopt),
        );
    }
}
