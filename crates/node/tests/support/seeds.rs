//! Seeds of a soak.

/// Returns the seeds that the environment variable gives as `from..to`, or else the default ones.
pub fn given(variable: &str, default: &[u64]) -> Vec<u64> {
    let given = std::env::var(variable).ok();
    let range = given.as_deref().and_then(|g| g.split_once(".."));
    let range = range.and_then(|(from, to)| Some((from.parse().ok()?, to.parse().ok()?)));
    range.map_or(default.to_vec(), |(from, to): (u64, u64)| {
        (from..to).collect()
    })
}
