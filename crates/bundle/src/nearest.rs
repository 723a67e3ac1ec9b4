//! Search for the known name most similar to an unknown one, for suggestions in findings.

/// Minimum Jaro-Winkler similarity at which a name is suggested.
const MIN_SIMILARITY: f64 = 0.8;

/// Returns the name in `known` that is most similar to `name`, if its similarity is at least
/// [`MIN_SIMILARITY`].
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
