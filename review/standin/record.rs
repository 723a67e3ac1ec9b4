//! Record of what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<(File, Vec<(f64, String)>)>>,
}

impl Record {
    pub fn create(file: &Path) -> Self {
        let file = File::create(file).expect("record");
        Self {
            start: Instant::now(),
            lines: Arc::new(Mutex::new((file, Vec::new()))),
        }
    }

    pub fn line(&self, text: &str) {
        let mut lines = self.lines.lock().unwrap();
        let time = self.start.elapsed().as_secs_f64();
        let _ = writeln!(lines.0, "{time:.4} {text}");
        lines.1.push((time, text.to_owned()));
    }

    /// Returns whether a line begins with this text.
    pub fn holds(&self, beginning: &str) -> bool {
        self.lines
            .lock()
            .unwrap()
            .1
            .iter()
            .any(|(_, line)| line.starts_with(beginning))
    }

    /// Returns the lines that begin with this text, each with its time in seconds.
    pub fn times(&self, beginning: &str) -> Vec<(f64, String)> {
        let lines = self.lines.lock().unwrap();
        lines
            .1
            .iter()
            .filter(|(_, line)| line.starts_with(beginning))
            .cloned()
            .collect()
    }
}
