//! Text of claims, leases and rolls in the dump.

use bundle::Bundle;
use lease::claim::event::Request;
use lease::claim::{self, Key, Refusal};
use lease::group_lease::{self, Candidacy};
use lease::roll::{Health, Phase, Rate, Roll, View};
use lease::{Owner, Page, Record};
use std::time::Duration;

const START: Duration = Duration::from_secs(1_764_700_000);
const SECOND: Duration = Duration::from_secs(1);

fn owner() -> Owner {
    Owner {
        node: 0xa1,
        incarnation: 0xbeef,
    }
}

fn empty() -> Page {
    Page::default()
}

/// Returns a table with one claim in flight.
fn claims() -> claim::Table {
    let settings = claim::Settings {
        shards: 1,
        started_at: START,
        ..claim::Settings::default()
    };
    let mut table = claim::Table::new(owner(), 1, settings);
    let mut actions = Vec::new();
    table.handle(SECOND, claim::Event::HomeShards(vec![0]), &mut actions);
    table.handle(SECOND, claim::Event::Page(0, empty()), &mut actions);
    let form = Key::parse("desk", "1764700000-a").unwrap();
    let ask = Request {
        id: 1,
        key: form,
        fingerprint: 1,
        deadline: SECOND * 9,
    };
    table.handle(SECOND, claim::Event::Received(ask), &mut actions);
    table
}

#[test]
fn claims_are_displayed() {
    let wanted = "\
claims of a1/beef: asks 1 claims 1 lost 0 runs 0 joined 0 pointed 0 refused 0 (log 0 expired 0) \
released 0 tickets 0 appends 1 unsure 0 failed 0 records 0 bad 0 skewed 0 stepped 0 gaps 0 broken 0
own keys 1 waiting 1 answers 0 bytes
shard 0 home next 0 keys 0 floor 1764696401 queue 0 pending 0 failures 0
";
    assert_eq!(claims().to_string(), wanted);
}

#[test]
fn a_shift_of_the_wall_clock_is_counted_and_corrected() {
    let mut table = claims();
    let mut actions = Vec::new();
    table.handle(
        SECOND * 2,
        claim::Event::Clock(START + SECOND * 3),
        &mut actions,
    );
    assert_eq!(table.counters().stepped, 0);
    table.handle(
        SECOND * 2,
        claim::Event::Clock(START + SECOND * 60),
        &mut actions,
    );
    assert_eq!(table.counters().stepped, 1);
    let form = Key::parse("desk", "1764700050-b").unwrap();
    let ask = Request {
        id: 2,
        key: form,
        fingerprint: 1,
        deadline: SECOND * 9,
    };
    table.handle(SECOND * 2, claim::Event::Received(ask), &mut actions);
    assert_eq!(table.counters().refused, 0);
}

#[test]
fn leases_are_displayed() {
    let mut table = group_lease::Table::new(owner(), 1, group_lease::Settings::default());
    let mut actions = Vec::new();
    let want = vec![Candidacy {
        group: 0x5,
        rank: 0,
    }];
    table.handle(SECOND, group_lease::Event::Candidacies(want), &mut actions);
    table.handle(SECOND, group_lease::Event::Page(empty()), &mut actions);
    let body = actions.iter().find_map(|action| match action {
        group_lease::Action::Append { body, .. } => Some(body.clone()),
        _ => None,
    });
    let records = vec![Record {
        offset: 0,
        body: body.unwrap(),
    }];
    let page = Page {
        first: 0,
        next: 1,
        records,
    };
    table.handle(SECOND, group_lease::Event::Page(page), &mut actions);
    let wanted = "\
leases of a1/beef: gained 1 lost 0 beaten 0 appends 1 unsure 0 failed 0 bad 0 gaps 0 broken 0
group 5 holder a1/beef held fence 0 until 16s
";
    assert_eq!(table.to_string(), wanted);
}

#[test]
fn a_roll_is_displayed() {
    let bundle = Bundle {
        number: 3,
        ..Bundle::default()
    };
    let mut roll = Roll::new(lease::roll::Settings::default());
    let rate = Rate {
        per_minute: 1,
        at_once: 1,
    };
    let health: [Health; 0] = [];
    let view = View {
        bundle: &bundle,
        zones: &[],
        reports: &[],
        health: &health,
        rate,
        stopped: 3,
    };
    roll.step(SECOND, &view, &mut Vec::new());
    let wanted =
        "roll of bundle 3: stopped: new replicas of bundle 3 failed orders 0 failed 0 broken 0\n";
    assert_eq!(roll.to_string(), wanted);
    assert_eq!(
        Phase::Blocked("e1".into()).to_string(),
        "blocked at e1: last ready replica"
    );
}

#[test]
fn refusals_are_displayed_and_have_a_status() {
    assert_eq!(
        Refusal::Unsettled.to_string(),
        "the log service did not settle the claim in time"
    );
    let statuses = [
        Refusal::Unsettled,
        Refusal::Mismatch,
        Refusal::Expired,
        Refusal::Future,
        Refusal::Unissued,
    ];
    assert_eq!(statuses.map(Refusal::status), [503, 422, 409, 400, 400]);
}
