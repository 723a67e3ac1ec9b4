//! The known name nearest to an unknown one, for findings.

/// Least similarity (Jaro-Winkler) at which a name is worth proposing.
const MIN_SIMILARITY: f64 = 0.8;

/// The one of `known` that is most like `name`, if any is like it at all.
pub fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let name = name.get(..crate::section::MAX_NAME_LEN).unwrap_or(name);
    if name.len() > crate::section::MAX_NAME_LEN {
        return None;
    }
    let scored = known.map(|k| (strsim::jaro_winkler(name, k), k));
    scored
        .filter(|(score, _)| *score >= MIN_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, k)| k)
}
