//! Writes lines in batches from a thread of its own.

use crate::event::Event;
use crate::{Journal, Line, Message, unix_millis};
use std::io::Write;
use std::sync::mpsc::{Receiver, TryRecvError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Time in which lines are gathered before they are written: one write for many lines costs a
/// small instance less, and a reader is not late by it.
const BATCH_INTERVAL: Duration = Duration::from_millis(200);
/// Lines of one write.
const MAX_BATCH_LINES: usize = 512;

/// How often the end of the thread is looked for.
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The thread that writes.
#[derive(Debug)]
pub struct Writer {
    journal: Journal,
    thread: JoinHandle<()>,
}

impl Writer {
    /// Writes what was told and ends; gives up after `most`, so that an output which takes nothing
    /// does not keep the process.
    pub fn finish(self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        let mut end_sent = false;
        while !self.thread.is_finished() && Instant::now() < deadline {
            end_sent = end_sent || self.journal.end();
            std::thread::sleep(FINISH_POLL_INTERVAL);
        }
    }
}

/// Starts the thread; it ends at [`Writer::finish`], or when all journals are dropped.
pub fn start<W: Write + Send + 'static>(
    journal: &Journal,
    lines: Receiver<Message>,
    mut out: W,
) -> std::io::Result<Writer> {
    let dropped = journal.dropped.clone();
    let builder = std::thread::Builder::new().name("journal".to_owned());
    let thread = builder.spawn(move || {
        let mut buffer = Vec::new();
        loop {
            let ended = collect_batch(&lines, &mut buffer);
            let lost = dropped.swap(0, std::sync::atomic::Ordering::Relaxed);
            if lost > 0 {
                let event = Event::Overflow { lost };
                let time = unix_millis();
                append_line(&Line { time, event }, &mut buffer);
            }
            // Nobody can be told that standard output is gone; requests go on without it.
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

/// Waits for a line, gathers those that follow; whether they have ended.
fn collect_batch(lines: &Receiver<Message>, buffer: &mut Vec<u8>) -> bool {
    match lines.recv() {
        Ok(Message::Line(line)) => append_line(&line, buffer),
        Ok(Message::End) | Err(_) => return true,
    }
    std::thread::sleep(BATCH_INTERVAL);
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
    // An event is made of texts and numbers, which can always be written as JSON.
    if serde_json::to_writer(&mut *buffer, line).is_ok() {
        buffer.push(b'\n');
    }
}
