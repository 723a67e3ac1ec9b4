//! Stop sequences: cuts an answer where one begins.
//!
//! A sequence can begin in one token and end in a later one, so text that could still be the
//! beginning of a sequence is held back until the next token decides.

/// Text of an answer, as far as it may be given to the caller.
#[derive(Debug, Default)]
pub struct Filter {
    stops: Vec<String>,
    held: String,
    done: bool,
}

impl Filter {
    /// A cutter for `stops`.
    pub fn new(stops: Vec<String>) -> Self {
        Self {
            stops,
            ..Self::default()
        }
    }

    /// Whether a stop sequence was met.
    pub fn done(&self) -> bool {
        self.done
    }

    /// Takes a token's text; returns what may be given now.
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

    /// Returns what was held back, at the end of the answer.
    pub fn finish(&mut self) -> String {
        std::mem::take(&mut self.held)
    }

    /// Where the sequence begins that is complete first; of those complete together, the longest.
    /// Taking the one that begins first instead would make the answer depend on where tokens end:
    /// with the sequences `abc` and `b`, the text `abc` has met `b` before `c` comes.
    fn first_stop(&self) -> Option<usize> {
        let stops = self.stops.iter();
        let matches = stops.filter_map(|s| self.held.find(s.as_str()).map(|at| (at + s.len(), at)));
        matches.min().map(|(_, at)| at)
    }

    /// Bytes at the end of the held text that begin some stop sequence.
    fn partial_match_len(&self) -> usize {
        let stops = self.stops.iter();
        stops.map(|s| overlap(&self.held, s)).max().unwrap_or(0)
    }
}

/// Length of the longest proper prefix of `stop` that ends `text`.
fn overlap(text: &str, stop: &str) -> usize {
    let longest = text.len().min(stop.len() - 1);
    (1..=longest)
        .rev()
        .find(|&n| stop.is_char_boundary(n) && text.ends_with(&stop[..n]))
        .unwrap_or(0)
}
