//! Writes queued lines in batches on a separate thread.

use crate::event::Event;
use crate::{Journal, Line, Message, unix_millis};
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, TryRecvError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Time over which lines are collected into one write. One write for many lines saves CPU time on a
/// small instance, and the delay is short enough for readers of the log.
const BATCH_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of lines in one write.
const MAX_BATCH_LINES: usize = 512;

/// How often [`Writer::finish`] checks whether the thread has ended.
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Handle of the writer thread.
#[derive(Debug)]
pub struct Writer {
    journal: Journal,
    thread: JoinHandle<()>,
}

impl Writer {
    /// Writes the queued lines and ends the thread. Returns after `timeout` in any case, so that a
    /// blocked output does not keep the process from ending.
    pub fn finish(self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        self.journal.ending.store(true, Ordering::Relaxed);
        let mut end_sent = false;
        while !self.thread.is_finished() && Instant::now() < deadline {
            end_sent = end_sent || self.journal.end();
            std::thread::sleep(FINISH_POLL_INTERVAL);
        }
    }
}

/// Starts the thread. It ends on [`Writer::finish`], or when all journals are dropped.
pub fn start<W: Write + Send + 'static>(
    journal: &Journal,
    lines: Receiver<Message>,
    mut out: W,
) -> std::io::Result<Writer> {
    let (dropped, ending) = (journal.dropped.clone(), journal.ending.clone());
    let builder = std::thread::Builder::new().name("journal".to_owned());
    let thread = builder.spawn(move || {
        let mut buffer = Vec::new();
        loop {
            let ended = collect_batch(&lines, &ending, &mut buffer);
            let lost = dropped.swap(0, Ordering::Relaxed);
            if lost > 0 {
                let event = Event::Overflow { lost };
                let time = unix_millis();
                append_line(&Line { time, event }, &mut buffer);
            }
            // A failure of standard output can't be reported anywhere; requests are served without
            // the log.
            let _ = out.write_all(&buffer).and_then(|()| out.flush());
            buffer.clear();
            if ended {
                return;
            }
        }
    })?;
    let journal = journal.clone();
    Ok(Writer { journal, thread })
}

/// Waits for a line and appends it and the lines that follow within [`BATCH_INTERVAL`] to `buffer`.
/// Returns whether the log has ended.
fn collect_batch(lines: &Receiver<Message>, ending: &AtomicBool, buffer: &mut Vec<u8>) -> bool {
    match lines.recv() {
        Ok(Message::Line(line)) => append_line(&line, buffer),
        Ok(Message::End) | Err(_) => return true,
    }
    if !ending.load(Ordering::Relaxed) {
        std::thread::sleep(BATCH_INTERVAL);
    }
    for _ in 0..MAX_BATCH_LINES {
        match lines.try_recv() {
            Ok(Message::Line(line)) => append_line(&line, buffer),
            Ok(Message::End) | Err(TryRecvError::Disconnected) => return true,
            Err(TryRecvError::Empty) => return false,
        }
    }
    false
}

fn append_line(line: &Line, buffer: &mut Vec<u8>) {
    // Events consist of strings and numbers, which always serialize to JSON.
    if serde_json::to_writer(&mut *buffer, line).is_ok() {
        buffer.push(b'\n');
    }
}
