//! Quotations of what others state, for lines of the log.

/// Longest quotation in characters.
pub const MAX_QUOTED_CHARS: usize = 128;

/// Returns the first `max_chars` characters of a text.
pub fn start_of(text: &str, max_chars: usize) -> &str {
    let end = text.char_indices().nth(max_chars);
    &text[..end.map_or(text.len(), |(at, _)| at)]
}
