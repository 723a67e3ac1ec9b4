//! Tests of the event log: lines are well-formed, the queue is bounded, and recording never blocks.

use journal::event::Event;
use journal::{Journal, Message};
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// An output that blocks every write until `release` is signalled or dropped.
struct BlockedOutput {
    release: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.release.recv();
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn order(number: u64) -> Event {
    Event::Order {
        run: "e1@1".to_owned(),
        held: "0-0".to_owned(),
        layers: "0-8".to_owned(),
        after: Some(number),
        outcome: "Taken".to_owned(),
    }
}

// The reader of standard output stops reading. Recording must not block; events beyond the queue's
// capacity are counted, and the count is written once there is free capacity.
#[test]
fn a_blocked_output_does_not_block_recording_and_losses_are_counted() {
    let (release, blocked): (Sender<()>, _) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let (journal, lines) = Journal::new(8);
    let out = BlockedOutput {
        release: blocked,
        written: written.clone(),
    };
    (0..100).for_each(|n| journal.record(order(n)));
    let writer = journal::writer::start(&journal, lines, out).unwrap();
    drop(release);
    writer.finish(Duration::from_secs(30));
    let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
    let events: Vec<serde_json::Value> = text
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    let orders = events.iter().filter(|e| e["event"] == "order").count();
    let lost: u64 = events.iter().filter_map(|e| e["lost"].as_u64()).sum();
    assert_eq!((orders, lost), (8, 92), "{text}");
}

#[test]
fn a_line_has_the_time_the_kind_and_the_fields() {
    let (journal, lines) = Journal::new(8);
    journal.record(order(7));
    let Message::Line(line) = lines.recv().unwrap() else {
        panic!("no line");
    };
    let line = serde_json::to_value(line).unwrap();
    assert_eq!(line["event"], "order");
    assert_eq!(line["after"], 7);
    assert!(line["time"].as_u64().is_some_and(|t| t > 0));
}

// The output blocks for good while the process shuts down. `finish` must return nevertheless.
#[test]
fn a_blocked_output_does_not_keep_the_process_from_ending() {
    let (_release, blocked): (Sender<()>, _) = channel();
    let (journal, lines) = Journal::new(8);
    let out = BlockedOutput {
        release: blocked,
        written: Arc::default(),
    };
    let writer = journal::writer::start(&journal, lines, out).unwrap();
    (0..100).for_each(|n| journal.record(order(n)));
    writer.finish(Duration::from_millis(50));
}

// Guards against lines of requests that end with the process, lost because the writer waits for further ones after
// each batch.
#[test]
fn all_lines_are_written_within_the_time_for_the_end() {
    const LINES: usize = 4000;
    let written = Arc::new(Mutex::new(Vec::new()));
    let (release, blocked): (Sender<()>, _) = channel();
    drop(release);
    let (journal, lines) = Journal::new(journal::QUEUE_CAPACITY);
    let out = BlockedOutput {
        release: blocked,
        written: written.clone(),
    };
    let writer = journal::writer::start(&journal, lines, out).unwrap();
    (0..LINES as u64).for_each(|n| journal.record(order(n)));
    writer.finish(Duration::from_millis(300));
    let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
    assert_eq!(text.lines().count(), LINES);
}
