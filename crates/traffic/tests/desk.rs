//! The desk as a front drives it: events of sessions in, gates, orders and reports out.
use crankpaddle_traffic::account::Purpose;
use crankpaddle_traffic::budget::{Place, Shared};
use crankpaddle_traffic::crossing::{Leave, Limit};
use crankpaddle_traffic::desk::{Attempt, Class, Desk, Terms};
use crankpaddle_traffic::report::{together, Names, Report};
use std::collections::{BTreeMap, BTreeSet};

const SECOND: u64 = 1_000_000_000;
const START: u64 = 1_000_000 * SECOND;
const PAID: u8 = 0;
const PREVIEW: u8 = 1;

fn names() -> Names {
    let of = |names: &[&str]| names.iter().map(|n| (*n).to_owned()).collect();
    Names {
        zones: of(&["north", "south"]),
        classes: of(&["paid", "preview"]),
        tenants: vec![],
        groups: of(&["", "sport"]),
    }
}

fn terms(rate_kb: f64) -> Terms {
    let shared = Shared {
        rate_kb,
        burst: 2e6,
        volume: f64::INFINITY,
        period: 0,
        repay: 20 * SECOND,
    };
    Terms {
        place: Place {
            index: 0,
            siblings: 1,
        },
        zone: 0,
        classes: vec![
            Class {
                paid: true,
                kb: vec![50.0, 100.0],
            },
            Class {
                paid: false,
                kb: vec![40.0, 80.0],
            },
        ],
        limits: vec![Limit {
            from: 1,
            class: None,
            shared,
        }],
        note_delay: SECOND / 2,
    }
}

/// Servers 1 and 2 at home, 11 and 12 in the other hall.
fn desk(rate_kb: f64) -> Desk {
    let mut desk = Desk::new(terms(rate_kb));
    for server in [1, 2, 11, 12] {
        desk.listed(server, u8::from(server > 10), true);
    }
    desk
}

fn attempt(id: u64, server: u32, class: u8) -> Attempt {
    Attempt {
        id,
        number: 0,
        server,
        class,
        tenant: 0,
        group: 0,
        rung: 1,
    }
}

fn play(desk: &mut Desk, id: u64, server: u32, class: u8, now: u64) {
    desk.attempt(attempt(id, server, class));
    desk.started(id, now);
}

fn settle(desk: &mut Desk, now: u64) {
    while !desk.settle(now, 3) {}
}

fn report(desk: &mut Desk, now: u64) -> Report {
    Report::of(desk, 7, 0, &names(), now)
}

#[test]
fn only_what_comes_from_another_zone_is_held_to_its_budget() {
    let mut d = desk(100.0);
    (0..50).for_each(|n| play(&mut d, n, 1, PREVIEW, START));
    assert_eq!(d.changes(START), []);
    (100..110).for_each(|n| play(&mut d, n, 11, PREVIEW, START));
    assert_eq!(
        d.changes(START),
        [(1, PAID, Leave::Last), (1, PREVIEW, Leave::Never)]
    );
    let told = report(&mut d, START).budgets.remove(0);
    assert_eq!(
        (told.paid_kb, told.other_kb, told.from.as_str()),
        (0.0, 800.0, "south")
    );
    (100..110).for_each(|n| d.ended(n, false, START + SECOND));
    (2..200).for_each(|s| drop(d.tick(START + s * SECOND)));
    assert_eq!(
        d.changes(START + 200 * SECOND).len(),
        2,
        "both are free again"
    );
}

#[test]
fn overdrafts_are_told_with_their_cause() {
    let mut d = desk(1.0);
    play(&mut d, 1, 11, PAID, START);
    play(&mut d, 2, 11, PAID, START);
    let full = report(&mut d, START).budgets.remove(0);
    assert!(
        full.overdraft_hall_full_bytes > 0 && full.overdraft_hall_lost_bytes == 0,
        "{full:?}"
    );
    d.lost(1);
    d.lost(2);
    play(&mut d, 3, 11, PAID, START);
    let lost = report(&mut d, START).budgets.remove(0);
    assert!(lost.overdraft_hall_lost_bytes > 0, "{lost:?}");
    assert_eq!(
        lost.overdraft_hall_full_bytes,
        full.overdraft_hall_full_bytes
    );
    // A server that speaks again is up again, whatever the list says meanwhile.
    d.heard(1, START);
    play(&mut d, 4, 11, PAID, START);
    assert!(
        report(&mut d, START).budgets[0].overdraft_hall_full_bytes > full.overdraft_hall_full_bytes
    );
}

#[test]
fn every_attempt_is_counted_once_under_what_it_came_to() {
    let mut d = desk(1e6);
    play(&mut d, 1, 1, PREVIEW, START);
    d.attempt(Attempt {
        number: 1,
        group: 1,
        ..attempt(2, 11, PREVIEW)
    });
    d.started(2, START);
    d.attempt(attempt(3, 12, PREVIEW)); // Comes to nothing, but its server had begun to send.
    d.ended(3, false, START + SECOND);
    d.last_word(3, 555, START + SECOND);
    d.last_word(3, 555, START + SECOND); // Said twice.
    for id in [1, 2] {
        d.ended(id, false, START + 10 * SECOND);
        d.last_word(id, 1000 * id, START + 10 * SECOND);
    }
    settle(&mut d, START + 60 * SECOND);
    let told = report(&mut d, START + 60 * SECOND);
    let all: Vec<(&str, &str, u64)> = told
        .flows
        .iter()
        .map(|f| (f.purpose.as_str(), f.group.as_str(), f.bytes))
        .collect();
    assert_eq!(
        all,
        [
            ("playing", "", 1000),
            ("nothing", "", 555),
            ("again", "sport", 2000)
        ]
    );
    assert_eq!(told.too_late, 1, "the second last word");
}

#[test]
fn a_session_of_a_lost_server_flowed_until_that_was_last_heard() {
    let mut d = desk(1e6);
    play(&mut d, 1, 11, PREVIEW, START);
    play(&mut d, 2, 12, PREVIEW, START);
    for s in 1..=5 {
        d.counted(1, 80_000 * s, START + s * SECOND + SECOND / 2);
        d.heard(11, START + s * SECOND + SECOND / 2);
    }
    d.lived(12, START + 3 * SECOND); // Its process ended then, and its connection with it.
    d.ended(1, true, START + 9 * SECOND); // Silent since 5.5 s.
    d.ended(2, true, START + 9 * SECOND);
    settle(&mut d, START + 60 * SECOND);
    let flow = report(&mut d, START + 60 * SECOND).flows.remove(0);
    assert_eq!(
        (flow.measured_bytes, flow.estimated_bytes),
        (400_000, 40_000 + 3 * 80_000)
    );
}

#[test]
fn reports_are_asked_for_only_while_more_is_wanted_and_then_of_every_server_there() {
    let mut d = Desk::new(Terms {
        place: Place {
            index: 0,
            siblings: 4,
        },
        ..terms(400.0)
    });
    for server in [1, 11, 12] {
        d.listed(server, u8::from(server > 10), true);
    }
    assert!(d.listens(START).is_empty());
    (100..104).for_each(|n| play(&mut d, n, 11, PREVIEW, START));
    d.asked(PREVIEW, START);
    assert_eq!(d.listens(START), BTreeSet::from([1]));
    assert!(d.is_in(12, &d.listens(START)) && !d.is_in(1, &d.listens(START)));
    let mut parts = Vec::new();
    for s in 1..=6u64 {
        let now = START + s * SECOND;
        d.asked(PREVIEW, now);
        d.reported(11, BTreeMap::from([(PREVIEW, 320.0)]), now);
        if s > 2 {
            d.reported(12, BTreeMap::new(), now); // Until it reports too, nothing is known of all.
        }
        d.tick(now);
        parts.push(report(&mut d, now).budgets[0].part);
    }
    assert!(
        parts[..2].iter().all(|p| *p == 0.25) && parts[5] > 0.25,
        "{parts:?}"
    );
    d.lost(12);
    assert!(!d.is_in(12, &BTreeSet::from([1])));
    // A server that a whole list no longer names is not waited for.
    d.listed(13, 1, true);
    assert!(d.is_in(13, &BTreeSet::from([1])));
    d.listed_only(&BTreeSet::from([1, 11, 12]));
    assert!(!d.is_in(13, &BTreeSet::from([1])) && d.is_in(11, &BTreeSet::from([1])));
}

#[test]
fn an_account_survives_a_restart_and_names_that_are_gone_lose_no_byte() {
    let mut d = desk(1e6);
    play(&mut d, 1, 11, PREVIEW, START);
    play(&mut d, 2, 1, PAID, START);
    settle(&mut d, START + 60 * SECOND);
    let told = report(&mut d, START + 60 * SECOND);
    let text = serde_json::to_string(&told).unwrap();
    let read: Report = serde_json::from_str(&text).unwrap();
    assert_eq!(read, told);
    let mut next = desk(1e6);
    assert!(next.restore(&read.kept(&names())));
    let after = report(&mut next, START + 61 * SECOND);
    let plain = |r: &Report| -> Vec<(String, u64, Vec<_>)> {
        r.flows
            .iter()
            .map(|f| (f.class.clone(), f.bytes, f.hours.clone()))
            .collect()
    };
    assert_eq!(plain(&after), plain(&told));
    let renamed = Names {
        classes: vec!["paid".into(), "teaser".into()],
        ..names()
    };
    let mut next = desk(1e6);
    next.restore(&read.kept(&renamed));
    let total = |r: &Report| r.flows.iter().map(|f| f.bytes).sum::<u64>();
    assert_eq!(total(&report(&mut next, START)), total(&told));
}

#[test]
fn a_front_that_is_told_of_twice_counts_once() {
    let mut d = desk(1e6);
    play(&mut d, 1, 11, PREVIEW, START);
    settle(&mut d, START + 30 * SECOND);
    let earlier = report(&mut d, START + 30 * SECOND);
    settle(&mut d, START + 60 * SECOND);
    let later = report(&mut d, START + 60 * SECOND);
    let other = Report {
        front: 8,
        ..later.clone()
    };
    let both = together([later.clone(), earlier.clone(), other]);
    assert_eq!(both.flows[0].bytes, 2 * later.flows[0].bytes);
    assert_eq!(together([earlier, later.clone()]).flows, later.flows);
    assert_eq!(
        both.flows[0].hours[0].bytes,
        2 * later.flows[0].hours[0].bytes
    );
    assert_eq!(both.budgets[0].part, 2.0);
    // A front whose clock is no later than what is known adds nothing.
    assert_eq!(together([later.clone(), later.clone()]).flows, later.flows);
}

#[test]
fn other_terms_keep_the_account_and_the_debt() {
    let mut d = desk(100.0);
    (100..110).for_each(|n| play(&mut d, n, 11, PREVIEW, START));
    assert_eq!(d.changes(START).len(), 2);
    settle(&mut d, START + 20 * SECOND);
    let before = report(&mut d, START + 20 * SECOND);
    d.change(terms(1000.0));
    let after = report(&mut d, START + 20 * SECOND);
    assert_eq!(after.flows, before.flows);
    assert_eq!(
        (after.budgets[0].rate_kb, after.budgets[0].other_kb),
        (1000.0, 800.0)
    );
    d.change(Terms {
        limits: vec![],
        ..terms(1000.0)
    });
    assert_eq!(
        d.changes(START + 20 * SECOND).len(),
        2,
        "what had no budget any more is free"
    );
    assert_eq!(report(&mut d, START + 20 * SECOND).flows, before.flows);
    assert_eq!(
        d.account().total(|f| f.purpose == Purpose::Playing),
        before.flows[0].bytes
    );
}
