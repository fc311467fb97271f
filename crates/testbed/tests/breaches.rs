//! Tests the invariant checker. For each rule there are records with a breach, which it must find, and very similar records
//! without a breach, which must pass.
use crankpaddle_testbed::invariant_checker::{
    check_invariants, ClassLimits, RetryBudget, Rules, Verdict,
};
use crankpaddle_testbed::record::{PlayerReply, Record, Reply, Seen};
use crankpaddle_time::Time;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn rules() -> Rules {
    let class = |name: &str, paid, lowest_rung, max_sessions_per_title| ClassLimits {
        name: name.into(),
        paid,
        lowest_rung,
        max_sessions_per_title,
    };
    Rules {
        classes: vec![class("paid", true, 1, 2), class("free", false, 0, 0)],
        drain_grace: SECOND,
        slow_start_duration: 10 * SECOND,
        slow_start_min_factor: 0.5,
        overload_multiple: 2.0,
        overload_window: SECOND,
        retry_budget: Some(RetryBudget {
            min_retries: 1.0,
            retries_per_request: 0.0,
            window: 10 * SECOND,
        }),
        tolerance: Duration::from_millis(50),
    }
}

/// The time `ms` milliseconds after the start of the records.
fn time(ms: u64) -> Time {
    Time::ZERO + 1000 * SECOND + Duration::from_millis(ms)
}

fn at(ms: u64, seen: Seen) -> Record {
    Record { at: time(ms), seen }
}

fn open_sent(ms: u64, call: u64, bill: &str, class: u8) -> Record {
    at(
        ms,
        Seen::OpenSent {
            call,
            front: 0,
            bill: bill.into(),
            class,
            deadline: time(ms + 4000),
        },
    )
}

fn answered(ms: u64, call: u64, reply: PlayerReply) -> Record {
    at(ms, Seen::CallAnswered { call, reply })
}

fn set_up(ms: u64, name: &str, bill: &str, class: &str, server: u32) -> Record {
    let (name, front, bill) = (name.into(), "f".into(), bill.into());
    at(
        ms,
        Seen::SetUp {
            name,
            server,
            front,
            bill,
            class: class.into(),
            title: "t".into(),
            rung: 1,
            zone: String::new(),
        },
    )
}

fn replied(ms: u64, name: &str, reply: Reply) -> Record {
    at(
        ms,
        Seen::Replied {
            name: name.into(),
            reply,
        },
    )
}

fn billed(ms: u64, name: &str, bill: &str) -> Record {
    at(
        ms,
        Seen::Billed {
            name: name.into(),
            bill: bill.into(),
        },
    )
}

fn listed(ms: u64, server: u32, ready: bool) -> Record {
    at(
        ms,
        Seen::Listed {
            front: "f".into(),
            server,
            ready,
        },
    )
}

fn stalled(ms: u64, stopped: bool) -> Record {
    at(ms, Seen::Stalled { front: 0, stopped })
}

/// Numbers of the rules that the records break, in the order of the breaches; equal neighbours are reduced to one.
fn broken_rules(records: &[Record]) -> Vec<u8> {
    let mut sorted = records.to_vec();
    sorted.sort_by_key(|record| record.at);
    let mut found: Vec<u8> = check_invariants(&rules(), &sorted)
        .breaches
        .iter()
        .map(|breach| breach.rule)
        .collect();
    found.dedup();
    found
}

/// The records of a call that is set up, billed and answered.
fn complete_call() -> Vec<Record> {
    vec![
        open_sent(0, 1, "b1", 0),
        set_up(5, "n1", "b1", "paid", 1),
        billed(20, "n1", "b1"),
        replied(25, "n1", Reply::Plays),
        answered(30, 1, PlayerReply::Plays),
    ]
}

/// Numbers of the rules that the records of a complete call together with these records break.
fn broken_rules_with(more: &[Record]) -> Vec<u8> {
    broken_rules(&[complete_call(), more.to_vec()].concat())
}

#[test]
fn records_without_a_breach_pass_all_rules() {
    let verdict = check_invariants(&rules(), &complete_call());
    let expected = Verdict {
        sessions: 1,
        answered_once: 1,
        played: 1,
        ..Verdict::default()
    };
    assert_eq!((verdict.passed_rule_count(), verdict), (6, expected));
}

#[test]
fn missing_late_and_duplicate_answers_are_found() {
    assert_eq!(
        broken_rules_with(&[open_sent(0, 2, "b2", 1)]),
        [1],
        "the call is never answered"
    );
    assert_eq!(
        broken_rules_with(&[
            open_sent(0, 2, "b2", 1),
            at(99, Seen::Disconnected { call: 2 })
        ]),
        [0u8; 0],
        "the player disconnected"
    );
    assert_eq!(
        broken_rules_with(&[answered(40, 1, PlayerReply::Plays)]),
        [1],
        "the call is answered twice"
    );
    assert_eq!(
        broken_rules_with(&[answered(40, 9, PlayerReply::Failed)]),
        [1],
        "the answered call was never made"
    );
    assert_eq!(
        broken_rules_with(&[
            open_sent(0, 2, "b2", 1),
            answered(4040, 2, PlayerReply::Failed)
        ]),
        [0u8; 0],
        "the answer is late, but within the tolerance"
    );
    let late = [
        open_sent(0, 2, "b2", 1),
        answered(4060, 2, PlayerReply::Failed),
    ];
    assert_eq!(broken_rules_with(&late), [1], "the answer is late");
    let stopped = [
        late.to_vec(),
        vec![stalled(1000, true), stalled(4050, false)],
    ]
    .concat();
    assert_eq!(
        broken_rules_with(&stopped),
        [0u8; 0],
        "the answer is late, but the front was stopped"
    );
}

#[test]
fn only_the_death_of_the_called_front_excuses_a_missing_answer() {
    let died = |ms, front| at(ms, Seen::Died { front });
    assert_eq!(
        broken_rules_with(&[open_sent(100, 2, "b2", 1), died(200, 0)]),
        [0u8; 0],
        "the called front was killed"
    );
    assert_eq!(
        broken_rules_with(&[open_sent(100, 2, "b2", 1), died(60, 0)]),
        [0u8; 0],
        "the front was killed just before the call was recorded"
    );
    assert_eq!(
        broken_rules_with(&[open_sent(100, 2, "b2", 1), died(200, 1)]),
        [1],
        "another front was killed"
    );
    assert_eq!(
        broken_rules_with(&[open_sent(100, 2, "b2", 1), died(20, 0)]),
        [1],
        "the call was sent to the next incarnation of the front"
    );
    assert_eq!(
        broken_rules_with(&[open_sent(100, 2, "b2", 1), died(4200, 0)]),
        [1],
        "the front was killed after the answer was due"
    );
}

#[test]
fn second_bills_and_second_set_ups_are_found() {
    let verdict = check_invariants(
        &rules(),
        &[complete_call(), vec![billed(50, "n1", "b1")]].concat(),
    );
    assert_eq!((verdict.billed_twice, verdict.passed_rule_count()), (1, 5));
    assert_eq!(
        broken_rules_with(&[
            set_up(50, "n2", "b1", "paid", 2),
            replied(60, "n2", Reply::Full)
        ]),
        [2],
        "the first set-up ran"
    );
    let full = [
        open_sent(0, 2, "b2", 0),
        set_up(1, "n2", "b2", "paid", 1),
        replied(2, "n2", Reply::Full),
    ];
    let again = [
        set_up(3, "n3", "b2", "paid", 2),
        replied(9, "n3", Reply::Plays),
        answered(10, 2, PlayerReply::Plays),
    ];
    assert_eq!(
        broken_rules_with(&[&full[..], &again[..]].concat()),
        [0u8; 0],
        "the first set-up never ran"
    );
    for reply in [Reply::Error, Reply::Reset, Reply::Left] {
        let ran = [
            open_sent(0, 2, "b2", 0),
            set_up(1, "n2", "b2", "paid", 1),
            replied(2, "n2", reply),
        ];
        assert_eq!(
            broken_rules_with(&[&ran[..], &again[..]].concat()),
            [2],
            "a set-up that ended with {reply:?} may have run"
        );
        assert_eq!(
            broken_rules_with(&[&ran[..], &[answered(9, 2, PlayerReply::Refused)]].concat()),
            [2],
            "the call was rejected although its set-up ended with {reply:?}"
        );
        assert_eq!(
            broken_rules_with(&[&ran[..], &[answered(9, 2, PlayerReply::Failed)]].concat()),
            [0u8; 0]
        );
    }
    assert_eq!(
        broken_rules_with(&[set_up(50, "n1", "b9", "free", 2)]),
        [2],
        "two sessions have the same name"
    );
}

#[test]
fn two_attempts_in_flight_together_are_found() {
    let broken_rules_of_overlap = |first_ended: u64, reply| {
        let first = [
            open_sent(0, 2, "b2", 1),
            set_up(1, "n2", "b2", "free", 1),
            set_up(500, "n3", "b2", "free", 2),
        ];
        let ends = [
            replied(first_ended, "n2", reply),
            replied(700, "n3", Reply::Plays),
            answered(701, 2, PlayerReply::Plays),
        ];
        broken_rules(&[&first[..], &ends[..]].concat())
    };
    assert_eq!(broken_rules_of_overlap(499, Reply::Left), [0u8; 0]);
    assert_eq!(
        broken_rules_of_overlap(540, Reply::Left),
        [0u8; 0],
        "the front closed the connection before; the server read that within the tolerance"
    );
    assert_eq!(
        broken_rules_of_overlap(540, Reply::Reset),
        [0u8; 0],
        "the server reset the connection before; it was recorded within the tolerance"
    );
    assert_eq!(broken_rules_of_overlap(600, Reply::Reset), [2]);
    assert_eq!(broken_rules_of_overlap(600, Reply::Left), [2]);
    assert_eq!(broken_rules_of_overlap(510, Reply::Plays), [2]);
    let without_end = [
        open_sent(0, 2, "b2", 1),
        set_up(1, "n2", "b2", "free", 1),
        set_up(500, "n3", "b2", "free", 2),
    ];
    assert_eq!(
        broken_rules(&[&without_end[..], &[answered(501, 2, PlayerReply::Plays)]].concat()),
        [2],
        "the first attempt never ended"
    );
}

#[test]
fn set_ups_sent_to_a_draining_server_are_found() {
    let call_at = |ms| {
        [
            open_sent(0, 2, "b2", 1),
            set_up(ms, "n2", "b2", "free", 7),
            replied(ms + 1, "n2", Reply::Plays),
            answered(ms + 2, 2, PlayerReply::Plays),
        ]
        .to_vec()
    };
    let broken_rules_of_drain =
        |ms, more: &[Record]| broken_rules(&[call_at(ms), more.to_vec()].concat());
    assert_eq!(
        broken_rules_of_drain(2000, &[listed(960, 7, false)]),
        [0u8; 0],
        "the set-up is within the grace"
    );
    assert_eq!(broken_rules_of_drain(2000, &[listed(900, 7, false)]), [3]);
    assert_eq!(
        broken_rules_of_drain(2000, &[listed(900, 8, false)]),
        [0u8; 0],
        "another server drains"
    );
    assert_eq!(
        broken_rules_of_drain(3000, &[listed(100, 7, false), listed(2000, 7, true)]),
        [0u8; 0],
        "the server is ready again"
    );
    assert_eq!(
        broken_rules_of_drain(3000, &[listed(100, 7, false), listed(500, 7, false)]),
        [3],
        "the grace starts with the first of two notifications"
    );
    let stopped = [
        listed(900, 7, false),
        stalled(800, true),
        stalled(1500, false),
    ];
    assert_eq!(
        broken_rules_of_drain(2000, &stopped),
        [0u8; 0],
        "the front could not read the notification while it was stopped"
    );
}

/// The full rate of the server is 20 streams in 10 s, so 2 a second. Its slow start begins with half of that, and the overload
/// multiple is 2. The server therefore accepts 2 set-ups a second and one more.
#[test]
fn a_server_overloaded_in_its_slow_start_is_found() {
    let start = at(
        0,
        Seen::Started {
            server: 3,
            places: 20.0,
        },
    );
    let burst = |count: u64, first_ms: u64, interval_ms: u64| {
        let mut all = vec![start.clone()];
        for n in 0..count {
            let (name, bill, ms) = (format!("c{n}"), format!("d{n}"), first_ms + n * interval_ms);
            all.extend([
                open_sent(ms, 100 + n, &bill, 1),
                set_up(ms, &name, &bill, "free", 3),
            ]);
            all.extend([
                replied(ms + 1, &name, Reply::Plays),
                answered(ms + 2, 100 + n, PlayerReply::Plays),
            ]);
        }
        all
    };
    let notified = [listed(50, 3, true)];
    assert_eq!(
        broken_rules(&[burst(3, 100, 10), notified.to_vec()].concat()),
        [0u8; 0]
    );
    assert_eq!(
        broken_rules(&[burst(4, 100, 10), notified.to_vec()].concat()),
        [4]
    );
    assert_eq!(
        broken_rules(&burst(4, 100, 10)),
        [0u8; 0],
        "the front was never notified"
    );
    assert_eq!(
        broken_rules(&[burst(40, 100, 500), notified.to_vec()].concat()),
        [0u8; 0],
        "the set-ups arrive at the allowed rate"
    );
    assert_eq!(
        broken_rules(&[burst(9, 20_000, 10), notified.to_vec()].concat()),
        [0u8; 0],
        "the slow start is over"
    );
    assert_eq!(broken_rules(&[at(0, Seen::Fell { server: 3 })]), [4]);
}

#[test]
fn rungs_below_the_lowest_and_too_many_sessions_of_a_title_are_found() {
    assert_eq!(
        broken_rules_with(&[at(
            50,
            Seen::Rung {
                name: "n1".into(),
                rung: 0
            }
        )]),
        [5]
    );
    assert_eq!(
        broken_rules_with(&[at(
            50,
            Seen::Rung {
                name: "n1".into(),
                rung: 1
            }
        )]),
        [0u8; 0]
    );
    let session = |n: u64, ms: u64| {
        let (name, bill) = (format!("s{n}"), format!("sb{n}"));
        [
            open_sent(ms, 10 + n, &bill, 0),
            set_up(ms, &name, &bill, "paid", 1),
            replied(ms + 1, &name, Reply::Plays),
            answered(ms + 2, 10 + n, PlayerReply::Plays),
        ]
        .to_vec()
    };
    assert_eq!(
        broken_rules_with(&session(1, 100)),
        [0u8; 0],
        "the number of sessions is the maximum"
    );
    assert_eq!(
        broken_rules_with(&[session(1, 100), session(2, 200)].concat()),
        [5],
        "there is one session too many"
    );
    let ended = at(
        150,
        Seen::Ended {
            name: "n1".into(),
            bytes: 0,
        },
    );
    assert_eq!(
        broken_rules_with(&[session(1, 100), vec![ended], session(2, 200)].concat()),
        [0u8; 0],
        "one session has ended before"
    );
}

#[test]
fn retries_beyond_the_budget_are_found() {
    let broken_rules_of_attempts = |count: u64| {
        let mut all = vec![open_sent(0, 5, "r", 1)];
        for n in 0..count {
            let name = format!("t{n}");
            all.extend([
                set_up(10 + 20 * n, &name, "r", "free", 1),
                replied(20 + 20 * n, &name, Reply::Error),
            ]);
        }
        all.push(answered(900, 5, PlayerReply::Failed));
        broken_rules(&all)
    };
    assert_eq!(
        broken_rules_of_attempts(2),
        [0u8; 0],
        "one retry is allowed"
    );
    assert_eq!(broken_rules_of_attempts(3), [6]);
    // Further requests under the same billing reference: the first attempt of each is not a retry.
    let again = [
        open_sent(0, 5, "r", 1),
        set_up(1, "t1", "r", "free", 1),
        replied(2, "t1", Reply::Error),
        answered(3, 5, PlayerReply::Failed),
    ];
    let second = [
        open_sent(4, 6, "r", 1),
        set_up(5, "t2", "r", "free", 1),
        replied(6, "t2", Reply::Error),
        answered(7, 6, PlayerReply::Failed),
    ];
    let third = [
        open_sent(8, 7, "r", 1),
        set_up(9, "t3", "r", "free", 1),
        replied(10, "t3", Reply::Error),
        answered(11, 7, PlayerReply::Failed),
    ];
    assert_eq!(broken_rules(&[again, second, third].concat()), [0u8; 0]);
}
