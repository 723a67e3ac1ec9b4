//! Writes lines in batches from a thread of its own.

use crate::event::Event;
use crate::{Journal, Line, Message, millis};
use std::io::Write;
use std::sync::mpsc::{Receiver, TryRecvError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Time in which lines are gathered before they are written: one write for many lines costs a
/// small instance less, and a reader is not late by it.
const GATHER: Duration = Duration::from_millis(200);
/// Lines of one write.
const BATCH: usize = 512;

/// How often the end of the thread is looked for.
const LOOK: Duration = Duration::from_millis(10);

/// The thread that writes.
#[derive(Debug)]
pub struct Writer {
    journal: Journal,
    thread: JoinHandle<()>,
}

impl Writer {
    /// Writes what was told and ends; gives up after `most`, so that an output which takes nothing
    /// does not keep the process.
    pub fn finish(self, most: Duration) {
        let last = Instant::now() + most;
        let mut told = false;
        while !self.thread.is_finished() && Instant::now() < last {
            told = told || self.journal.end();
            std::thread::sleep(LOOK);
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
    })?;
    let journal = journal.clone();
    Ok(Writer { journal, thread })
}

/// Waits for a line, gathers those that follow; whether they have ended.
fn gather(lines: &Receiver<Message>, text: &mut Vec<u8>) -> bool {
    match lines.recv() {
        Ok(Message::Line(line)) => push(&line, text),
        Ok(Message::End) | Err(_) => return true,
    }
    std::thread::sleep(GATHER);
    for _ in 0..BATCH {
        match lines.try_recv() {
            Ok(Message::Line(line)) => push(&line, text),
            Ok(Message::End) | Err(TryRecvError::Disconnected) => return true,
            Err(TryRecvError::Empty) => return false,
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
