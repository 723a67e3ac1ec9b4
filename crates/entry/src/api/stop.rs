//! Stop sequences, before which an answer ends.
//!
//! A sequence can begin in one token and end in a later one. Text that may be the beginning of a
//! sequence is therefore held back until later tokens decide.

/// Passes on the text of an answer up to the first stop sequence.
#[derive(Debug, Default)]
pub struct Filter {
    stops: Vec<String>,
    held: String,
    done: bool,
}

impl Filter {
    /// Creates a filter for the stop sequences `stops`.
    pub fn new(stops: Vec<String>) -> Self {
        Self {
            stops,
            ..Self::default()
        }
    }

    /// Returns whether a stop sequence was found.
    pub fn done(&self) -> bool {
        self.done
    }

    /// Adds the text of a token and returns the text that can be sent to the caller now.
    pub fn push(&mut self, text: &str) -> String {
        if self.stops.is_empty() {
            return text.to_owned();
        }
        if self.done {
            return String::new();
        }
        self.held.push_str(text);
        if let Some(at) = self.first_stop() {
            self.done = true;
            self.held.truncate(at);
            return std::mem::take(&mut self.held);
        }
        let keep = self.partial_match_len();
        let rest = self.held.split_off(self.held.len() - keep);
        std::mem::replace(&mut self.held, rest)
    }

    /// Returns the text that is held back, at the end of the answer.
    pub fn finish(&mut self) -> String {
        std::mem::take(&mut self.held)
    }

    /// Returns the start of the sequence that ends first; of several that end together, of the
    /// longest one. Selecting the sequence that starts first instead would make the answer depend
    /// on the boundaries of tokens: with the sequences `abc` and `b`, the text `abc` completes `b`
    /// before `c` arrives.
    fn first_stop(&self) -> Option<usize> {
        let stops = self.stops.iter();
        let matches = stops.filter_map(|s| self.held.find(s.as_str()).map(|at| (at + s.len(), at)));
        matches.min().map(|(_, at)| at)
    }

    /// Returns the length in bytes of the longest end of the held text that begins a stop sequence.
    fn partial_match_len(&self) -> usize {
        let stops = self.stops.iter();
        stops.map(|s| overlap(&self.held, s)).max().unwrap_or(0)
    }
}

/// Returns the length in bytes of the longest proper prefix of `stop` that is a suffix of `text`.
fn overlap(text: &str, stop: &str) -> usize {
    let longest = text.len().min(stop.len() - 1);
    (1..=longest)
        .rev()
        .find(|&n| stop.is_char_boundary(n) && text.ends_with(&stop[..n]))
        .unwrap_or(0)
}
