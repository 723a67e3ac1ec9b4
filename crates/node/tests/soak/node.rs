//! A node of a soak run.
#![allow(dead_code)]

use crate::process::{self, Process};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Instant;

/// Memory that the settings of a node give it, in binary megabytes.
pub const MEMORY_MB: u64 = 64;

/// What happened to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    Signal(&'static str),
    Restart,
}

/// A node that is restarted after it has exited.
pub struct Node {
    process: Process,
    /// Number of process starts so far; versions must not decrease within one run of the process.
    pub run: u64,
    pub callers: SocketAddr,
    paused: bool,
    events: Vec<(RangeInclusive<Instant>, Event)>,
}

impl Node {
    /// Starts node `number` of those that listen at `ports`, in an availability zone.
    pub fn start(number: usize, zone: &str, store: SocketAddr, ports: &[SocketAddr]) -> Self {
        let own = &ports[number * 2..];
        let seeds: Vec<String> = ports.chunks(2).map(|p| p[1].to_string()).collect();
        let content = format!(
            "[node]\nname = n{number}\nzone = {zone}\nregion = south\ngrace = 2s\n\
             [callers]\nlisten = {}\n[peers]\nlisten = {}\nkey = {}\nseeds = {}\n\
             [store]\naddress = {store}\nheartbeat = 200ms\n\
             [limits]\nmemory = {MEMORY_MB}MB\n",
            own[0],
            own[1],
            "02".repeat(32),
            seeds.join(",")
        );
        Self {
            process: Process::start(process::settings(own[0], &content)),
            run: 1,
            callers: own[0],
            paused: false,
            events: Vec::new(),
        }
    }

    /// Sends a signal.
    pub fn signal(&mut self, name: &'static str) {
        // The signal takes effect at some time during the call, which starts a program.
        let begin = Instant::now();
        // A process that has just exited can't be signalled; it is restarted anyway.
        let _ = self.process.signal(name);
        if name != "-CONT" || self.paused {
            self.events
                .push((begin..=Instant::now(), Event::Signal(name)));
        }
        self.paused = name == "-STOP" || (self.paused && name != "-CONT");
    }

    /// Restarts the process if it has exited.
    pub fn restart_if_exited(&mut self) {
        if self.process.exit_status().is_some() {
            self.process.restart();
            self.run += 1;
            self.paused = false;
            let now = Instant::now();
            self.events.push((now..=now, Event::Restart));
        }
    }

    /// Returns its largest memory so far in binary kilobytes; `None` if it does not run.
    pub fn peak_kb(&self) -> Option<u64> {
        self.process.peak_kb()
    }

    /// Returns whether it received SIGTERM between `from` and `to`.
    pub fn was_terminated(&self, from: Instant, to: Instant) -> bool {
        self.events_between(from, to)
            .any(|event| event == Event::Signal("-TERM"))
    }

    /// Returns whether it was paused, killed or restarted from `from` to `to`.
    pub fn was_interrupted(&self, from: Instant, to: Instant) -> bool {
        self.events_between(from, to)
            .any(|event| event != Event::Signal("-TERM"))
    }

    fn events_between(&self, from: Instant, to: Instant) -> impl Iterator<Item = Event> {
        let events = self.events.iter();
        let within = events.filter(move |(time, _)| *time.start() <= to && from <= *time.end());
        within.map(|(_, event)| *event)
    }
}
