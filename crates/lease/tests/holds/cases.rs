//! Scenarios of single faults with one or two lease tables.

use bytes::Bytes;
use lease::group_lease::{Action, Candidacy, Event, Group, Settings, Table};
use lease::{Now, Owner, Page, Record};
use std::time::Duration;

const GROUP: Group = 5;

fn secs(seconds: f64) -> Now {
    Duration::from_secs_f64(seconds)
}

#[derive(Default)]
struct Log {
    records: Vec<Bytes>,
}

struct Node {
    table: Table,
    next: u64,
    appends: Vec<(u64, Bytes)>,
    actions: Vec<Action>,
}

impl Node {
    fn new(node: u64, log: &Log, now: Now) -> Self {
        let owner = Owner {
            node,
            incarnation: 1,
        };
        let table = Table::new(owner, node, Settings::default());
        let mut node = Self {
            table,
            next: 0,
            appends: Vec::new(),
            actions: Vec::new(),
        };
        node.deliver(
            now,
            Event::Candidacies(vec![Candidacy {
                group: GROUP,
                rank: 0,
            }]),
        );
        node.read(now, log);
        node.read(now, log);
        node
    }

    fn deliver(&mut self, now: Now, event: Event) {
        let mut actions = Vec::new();
        self.table.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Append { batch, body } => self.appends.push((batch, body)),
                Action::Read { from, .. } => self.next = from,
                other => self.actions.push(other),
            }
        }
    }

    fn read(&mut self, now: Now, log: &Log) {
        let bodies = log.records.iter().skip(self.next as usize).cloned();
        let records: Vec<_> = (self.next..)
            .zip(bodies)
            .map(|(offset, body)| Record { offset, body })
            .collect();
        let next = self.next + records.len() as u64;
        self.deliver(
            now,
            Event::Page(Page {
                first: 0,
                next,
                records,
            }),
        );
    }

    fn append(&mut self, now: Now, log: &mut Log) {
        for (batch, body) in std::mem::take(&mut self.appends) {
            log.records.push(body);
            self.deliver(now, Event::Appended(batch));
        }
    }

    /// Lets the node handle a tick, append and read back.
    fn step(&mut self, now: Now, log: &mut Log) {
        self.deliver(now, Event::Tick);
        self.append(now, log);
        self.read(now, log);
    }
}

/// Two nodes try to acquire a group at once. Only the record with the lower offset is valid. The
/// other node must not get a permit before the takeover delay has passed.
#[test]
fn of_two_records_the_first_is_valid() {
    let mut log = Log::default();
    let (mut a, mut b) = (Node::new(1, &log, secs(0.0)), Node::new(2, &log, secs(0.0)));
    a.append(secs(0.1), &mut log);
    b.append(secs(0.1), &mut log);
    a.read(secs(0.2), &log);
    b.read(secs(0.2), &log);
    assert_eq!(a.actions, [Action::Gained(GROUP, 0)]);
    assert_eq!(b.actions, []);
    assert_eq!(a.table.permit(secs(0.3), GROUP), Some(0));
    assert_eq!(b.table.permit(secs(0.3), GROUP), None);
    assert_eq!(b.table.counters().beaten, 1);
}

/// The holder is paused for a minute without noticing. Its lease expires by its own clock, so it
/// must not get a permit even before it has read anything. Meanwhile node 2 takes over with a
/// higher fencing number.
#[test]
fn a_paused_holder_gets_no_permit_after_expiry() {
    let mut log = Log::default();
    let mut a = Node::new(1, &log, secs(0.0));
    a.step(secs(0.1), &mut log);
    let mut b = Node::new(2, &log, secs(0.2));
    b.step(secs(15.0), &mut log);
    assert_eq!(b.table.permit(secs(15.0), GROUP), None);
    b.step(secs(21.0), &mut log);
    assert_eq!(b.table.permit(secs(21.1), GROUP), Some(1));
    assert_eq!(a.table.permit(secs(60.0), GROUP), None);
    a.deliver(secs(60.0), Event::Tick);
    assert_eq!(a.actions, [Action::Gained(GROUP, 0), Action::Lost(GROUP)]);
}

/// The answer to an append is lost. The lease holds once the record is read back, and its term
/// starts when the record was sent.
#[test]
fn a_lost_answer_is_settled_by_reading_back() {
    let mut log = Log::default();
    let mut a = Node::new(1, &log, secs(0.0));
    let (batch, body) = a.appends.remove(0);
    log.records.push(body);
    a.deliver(secs(3.0), Event::AppendUnsure(batch));
    assert_eq!(a.table.permit(secs(3.0), GROUP), None);
    a.read(secs(4.0), &log);
    assert_eq!(a.table.permit(secs(4.1), GROUP), Some(0));
    assert_eq!(a.table.permit(secs(15.0), GROUP), None);
}

/// The log is unavailable for longer than a term. The holder can't renew its lease and must stop
/// when it expires. Once the log is available, it acquires the group again with a new fencing
/// number.
#[test]
fn a_holder_that_cannot_renew_stops() {
    let mut log = Log::default();
    let mut a = Node::new(1, &log, secs(0.0));
    a.step(secs(0.1), &mut log);
    a.deliver(secs(6.0), Event::Tick);
    let (batch, _) = a.appends.remove(0);
    a.deliver(secs(7.0), Event::AppendFailed(batch));
    assert_eq!(a.table.permit(secs(14.0), GROUP), Some(0));
    assert_eq!(a.table.permit(secs(15.0), GROUP), None);
    a.appends.clear();
    a.deliver(secs(40.0), Event::Tick);
    let (batch, _) = a.appends.remove(0);
    a.deliver(secs(41.0), Event::AppendFailed(batch));
    a.step(secs(45.0), &mut log);
    assert_eq!(a.table.permit(secs(45.1), GROUP), Some(1));
}

#[test]
fn renewals_keep_the_number_and_leaving_frees_the_group_early() {
    let mut log = Log::default();
    let mut a = Node::new(1, &log, secs(0.0));
    for n in 0..10 {
        a.step(secs(5.1 * f64::from(n)), &mut log);
    }
    assert_eq!(a.table.permit(secs(46.0), GROUP), Some(0));
    let mut b = Node::new(2, &log, secs(46.0));
    a.deliver(secs(47.0), Event::Candidacies(Vec::new()));
    assert_eq!(a.table.permit(secs(47.0), GROUP), None);
    b.step(secs(52.0), &mut log);
    assert_eq!(b.table.permit(secs(52.0), GROUP), None);
    a.step(secs(52.6), &mut log);
    b.read(secs(52.7), &log);
    b.step(secs(52.8), &mut log);
    assert!(b.table.permit(secs(52.9), GROUP) > Some(0));
}

/// A holder stops a roll whose replicas fail. The next holder learns this from the lease.
#[test]
fn a_stopped_roll_is_known_to_the_successor() {
    let mut log = Log::default();
    let mut a = Node::new(1, &log, secs(0.0));
    a.step(secs(0.1), &mut log);
    a.deliver(secs(1.0), Event::RollStopped(GROUP, 17));
    a.step(secs(1.1), &mut log);
    let b = Node::new(2, &log, secs(2.0));
    assert_eq!(b.table.stopped_bundle(GROUP), 17);
}
