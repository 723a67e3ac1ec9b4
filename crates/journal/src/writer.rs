//! Writes lines in batches from a thread of its own.

use crate::event::Event;
use crate::{Journal, Line, millis};
use std::io::Write;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Time in which lines are gathered before they are written: one write for many lines costs a
/// small instance less, and a reader is not late by it.
const GATHER: Duration = Duration::from_millis(200);
/// Lines of one write.
const BATCH: usize = 512;

/// Starts the thread; it ends when all journals of the queue are dropped.
pub fn start<W: Write + Send + 'static>(
    journal: &Journal,
    lines: Receiver<Line>,
    mut out: W,
) -> std::io::Result<JoinHandle<()>> {
    let dropped = journal.dropped.clone();
    let builder = std::thread::Builder::new().name("journal".to_owned());
    builder.spawn(move || {
        let mut text = Vec::new();
        loop {
            let ended = gather(&lines, &mut text);
            let lost = dropped.swap(0, std::sync::atomic::Ordering::Relaxed);
            if lost > 0 {
                let event = Event::Overflow { lost };
                let time = millis();
                push(&Line { time, event }, &mut text);
            }
            // Nobody can be told that standard output is gone; requests go on without it.
            let _ = out.write_all(&text).and_then(|()| out.flush());
            text.clear();
            if ended {
                return;
            }
        }
    })
}

/// Waits for a line, gathers those that follow; whether the queue has ended.
fn gather(lines: &Receiver<Line>, text: &mut Vec<u8>) -> bool {
    match lines.recv() {
        Ok(line) => push(&line, text),
        Err(_) => return true,
    }
    std::thread::sleep(GATHER);
    for _ in 0..BATCH {
        match lines.recv_timeout(Duration::ZERO) {
            Ok(line) => push(&line, text),
            Err(RecvTimeoutError::Timeout) => return false,
            Err(RecvTimeoutError::Disconnected) => return true,
        }
    }
    false
}

fn push(line: &Line, text: &mut Vec<u8>) {
    // An event is made of texts and numbers, which can always be written as JSON.
    if serde_json::to_writer(&mut *text, line).is_ok() {
        text.push(b'\n');
    }
}
