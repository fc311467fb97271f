//! The judge is judged: for each rule a recorded breach that it must find, and beside it the like that is none.
use crankpaddle_testbed::invariant_checker::{judge, ClassRule, RetryBudget, Rules, Verdict};
use crankpaddle_testbed::record::{PlayerReply, Record, Reply, Seen};
use crankpaddle_time::Time;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn rules() -> Rules {
    let class = |name: &str, paid, floor, seats| ClassRule {
        name: name.into(),
        paid,
        floor,
        seats,
    };
    Rules {
        classes: vec![class("paid", true, 1, 2), class("free", false, 0, 0)],
        drain_grace: SECOND,
        slow_start_duration: 10 * SECOND,
        slow_start_min_factor: 0.5,
        overload_multiple: 2.0,
        overload_window: SECOND,
        retry: Some(RetryBudget {
            floor: 1.0,
            ratio: 0.0,
            window: 10 * SECOND,
        }),
        tolerance: Duration::from_millis(50),
    }
}

fn time(ms: u64) -> Time {
    Time::ZERO + 1000 * SECOND + Duration::from_millis(ms)
}

fn at(ms: u64, seen: Seen) -> Record {
    Record { at: time(ms), seen }
}

fn asked(ms: u64, call: u64, bill: &str, class: u8) -> Record {
    let gives_up = time(ms + 4000);
    at(
        ms,
        Seen::OpenSent {
            call,
            front: 0,
            bill: bill.into(),
            class,
            deadline: gives_up,
        },
    )
}

fn told(ms: u64, call: u64, told: PlayerReply) -> Record {
    at(ms, Seen::CallAnswered { call, reply: told })
}

fn sent(ms: u64, name: &str, bill: &str, class: &str, server: u32) -> Record {
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

fn stalled(ms: u64, stands: bool) -> Record {
    at(
        ms,
        Seen::Stalled {
            front: 0,
            stopped: stands,
        },
    )
}

fn broken(records: &[Record]) -> Vec<u8> {
    let mut sorted = records.to_vec();
    sorted.sort_by_key(|r| r.at);
    let mut found: Vec<u8> = judge(&rules(), &sorted)
        .breaches
        .iter()
        .map(|b| b.rule)
        .collect();
    found.dedup();
    found
}

/// A call that is asked, sent, billed and plays.
fn good() -> Vec<Record> {
    vec![
        asked(0, 1, "b1", 0),
        sent(5, "n1", "b1", "paid", 1),
        billed(20, "n1", "b1"),
        replied(25, "n1", Reply::Plays),
        told(30, 1, PlayerReply::Plays),
    ]
}

fn with(more: &[Record]) -> Vec<u8> {
    broken(&[good(), more.to_vec()].concat())
}

#[test]
fn a_day_without_fault_keeps_all() {
    let verdict = judge(&rules(), &good());
    let want = Verdict {
        sessions: 1,
        answered_once: 1,
        played: 1,
        ..Verdict::default()
    };
    assert_eq!((verdict.passed_rule_count(), verdict), (6, want));
}

#[test]
fn lost_late_and_doubled_answers_are_found() {
    assert_eq!(with(&[asked(0, 2, "b2", 1)]), [1], "never answered");
    assert_eq!(
        with(&[asked(0, 2, "b2", 1), at(99, Seen::Disconnected { call: 2 })]),
        [0u8; 0],
        "the player left"
    );
    assert_eq!(
        with(&[told(40, 1, PlayerReply::Plays)]),
        [1],
        "answered twice"
    );
    assert_eq!(
        with(&[told(40, 9, PlayerReply::Failed)]),
        [1],
        "an answer to nothing"
    );
    assert_eq!(
        with(&[asked(0, 2, "b2", 1), told(4040, 2, PlayerReply::Failed)]),
        [0u8; 0],
        "within the blur"
    );
    let late = [asked(0, 2, "b2", 1), told(4060, 2, PlayerReply::Failed)];
    assert_eq!(with(&late), [1], "late");
    let stood = [
        late.to_vec(),
        vec![stalled(1000, true), stalled(4050, false)],
    ]
    .concat();
    assert_eq!(with(&stood), [0u8; 0], "late, but the front stood still");
    let died = |ms, front| at(ms, Seen::Died { front });
    assert_eq!(
        with(&[asked(100, 2, "b2", 1), died(200, 0)]),
        [0u8; 0],
        "its front was killed"
    );
    assert_eq!(
        with(&[asked(100, 2, "b2", 1), died(60, 0)]),
        [0u8; 0],
        "killed just before it was heard of"
    );
    assert_eq!(
        with(&[asked(100, 2, "b2", 1), died(200, 1)]),
        [1],
        "another front was killed"
    );
    assert_eq!(
        with(&[asked(100, 2, "b2", 1), died(20, 0)]),
        [1],
        "asked of its successor"
    );
    assert_eq!(
        with(&[asked(100, 2, "b2", 1), died(4200, 0)]),
        [1],
        "killed when it was late already"
    );
}

#[test]
fn second_bills_and_second_sends_are_found() {
    let verdict = judge(&rules(), &[good(), vec![billed(50, "n1", "b1")]].concat());
    assert_eq!((verdict.billed_twice, verdict.passed_rule_count()), (1, 5));
    assert_eq!(
        with(&[
            sent(50, "n2", "b1", "paid", 2),
            replied(60, "n2", Reply::Full)
        ]),
        [2],
        "it had run"
    );
    let full = [
        asked(0, 2, "b2", 0),
        sent(1, "n2", "b2", "paid", 1),
        replied(2, "n2", Reply::Full),
    ];
    let again = [
        sent(3, "n3", "b2", "paid", 2),
        replied(9, "n3", Reply::Plays),
        told(10, 2, PlayerReply::Plays),
    ];
    assert_eq!(
        with(&[&full[..], &again[..]].concat()),
        [0u8; 0],
        "it never ran"
    );
    for reply in [Reply::Error, Reply::Reset, Reply::Left] {
        let ran = [
            asked(0, 2, "b2", 0),
            sent(1, "n2", "b2", "paid", 1),
            replied(2, "n2", reply),
        ];
        assert_eq!(
            with(&[&ran[..], &again[..]].concat()),
            [2],
            "{reply:?} may have run"
        );
        assert_eq!(
            with(&[&ran[..], &[told(9, 2, PlayerReply::Refused)]].concat()),
            [2],
            "refused after {reply:?}"
        );
        assert_eq!(
            with(&[&ran[..], &[told(9, 2, PlayerReply::Failed)]].concat()),
            [0u8; 0]
        );
    }
    assert_eq!(
        with(&[sent(50, "n1", "b9", "free", 2)]),
        [2],
        "one name, two sessions"
    );
}

#[test]
fn two_attempts_out_together_are_found() {
    let two = |closed: u64, reply| {
        let first = [
            asked(0, 2, "b2", 1),
            sent(1, "n2", "b2", "free", 1),
            sent(500, "n3", "b2", "free", 2),
        ];
        let ends = [
            replied(closed, "n2", reply),
            replied(700, "n3", Reply::Plays),
            told(701, 2, PlayerReply::Plays),
        ];
        broken(&[&first[..], &ends[..]].concat())
    };
    assert_eq!(two(499, Reply::Left), [0u8; 0]);
    assert_eq!(
        two(540, Reply::Left),
        [0u8; 0],
        "closed before, read within the blur"
    );
    assert_eq!(
        two(540, Reply::Reset),
        [0u8; 0],
        "broken before, noted within the blur"
    );
    assert_eq!(two(600, Reply::Reset), [2]);
    assert_eq!(two(600, Reply::Left), [2]);
    assert_eq!(two(510, Reply::Plays), [2]);
    let never = [
        asked(0, 2, "b2", 1),
        sent(1, "n2", "b2", "free", 1),
        sent(500, "n3", "b2", "free", 2),
    ];
    assert_eq!(
        broken(&[&never[..], &[told(501, 2, PlayerReply::Plays)]].concat()),
        [2],
        "the first never ended"
    );
}

#[test]
fn work_sent_to_a_drained_server_is_found() {
    let one = |ms| {
        [
            asked(0, 2, "b2", 1),
            sent(ms, "n2", "b2", "free", 7),
            replied(ms + 1, "n2", Reply::Plays),
            told(ms + 2, 2, PlayerReply::Plays),
        ]
        .to_vec()
    };
    let drained = |ms, more: &[Record]| broken(&[one(ms), more.to_vec()].concat());
    assert_eq!(
        drained(2000, &[listed(960, 7, false)]),
        [0u8; 0],
        "within the grace"
    );
    assert_eq!(drained(2000, &[listed(900, 7, false)]), [3]);
    assert_eq!(
        drained(2000, &[listed(900, 8, false)]),
        [0u8; 0],
        "another server"
    );
    assert_eq!(
        drained(3000, &[listed(100, 7, false), listed(2000, 7, true)]),
        [0u8; 0],
        "ready again"
    );
    assert_eq!(
        drained(3000, &[listed(100, 7, false), listed(500, 7, false)]),
        [3],
        "told twice, first counts"
    );
    let stood = [
        listed(900, 7, false),
        stalled(800, true),
        stalled(1500, false),
    ];
    assert_eq!(drained(2000, &stood), [0u8; 0], "not heard while it stood");
}

#[test]
fn a_cold_server_pushed_over_is_found() {
    // 20 places over 10 s, half warm at first, doubled: 2 a second and one for chance.
    let start = at(
        0,
        Seen::Started {
            server: 3,
            places: 20.0,
        },
    );
    let burst = |count: u64, from: u64, step: u64| {
        let mut all = vec![start.clone()];
        for n in 0..count {
            let (name, bill, ms) = (format!("c{n}"), format!("d{n}"), from + n * step);
            all.extend([
                asked(ms, 100 + n, &bill, 1),
                sent(ms, &name, &bill, "free", 3),
            ]);
            all.extend([
                replied(ms + 1, &name, Reply::Plays),
                told(ms + 2, 100 + n, PlayerReply::Plays),
            ]);
        }
        all
    };
    let known = [listed(50, 3, true)];
    assert_eq!(
        broken(&[burst(3, 100, 10), known.to_vec()].concat()),
        [0u8; 0]
    );
    assert_eq!(broken(&[burst(4, 100, 10), known.to_vec()].concat()), [4]);
    assert_eq!(
        broken(&burst(4, 100, 10)),
        [0u8; 0],
        "the front was never told"
    );
    assert_eq!(
        broken(&[burst(40, 100, 500), known.to_vec()].concat()),
        [0u8; 0],
        "at the pace"
    );
    assert_eq!(
        broken(&[burst(9, 20_000, 10), known.to_vec()].concat()),
        [0u8; 0],
        "warm"
    );
    assert_eq!(broken(&[at(0, Seen::Fell { server: 3 })]), [4]);
}

#[test]
fn floors_and_seats_are_found_broken() {
    assert_eq!(
        with(&[at(
            50,
            Seen::Rung {
                name: "n1".into(),
                rung: 0
            }
        )]),
        [5]
    );
    assert_eq!(
        with(&[at(
            50,
            Seen::Rung {
                name: "n1".into(),
                rung: 1
            }
        )]),
        [0u8; 0]
    );
    let more = |n: u64, ms: u64| {
        let (name, bill) = (format!("s{n}"), format!("sb{n}"));
        [
            asked(ms, 10 + n, &bill, 0),
            sent(ms, &name, &bill, "paid", 1),
            replied(ms + 1, &name, Reply::Plays),
            told(ms + 2, 10 + n, PlayerReply::Plays),
        ]
        .to_vec()
    };
    assert_eq!(with(&more(1, 100)), [0u8; 0], "two seats");
    assert_eq!(
        with(&[more(1, 100), more(2, 200)].concat()),
        [5],
        "three sessions"
    );
    let ended = at(
        150,
        Seen::Ended {
            name: "n1".into(),
            bytes: 0,
        },
    );
    assert_eq!(
        with(&[more(1, 100), vec![ended], more(2, 200)].concat()),
        [0u8; 0],
        "one was free again"
    );
}

#[test]
fn attempts_beyond_the_budget_are_found() {
    let tries = |count: u64| {
        let mut all = vec![asked(0, 5, "r", 1)];
        for n in 0..count {
            let name = format!("t{n}");
            all.extend([
                sent(10 + 20 * n, &name, "r", "free", 1),
                replied(20 + 20 * n, &name, Reply::Error),
            ]);
        }
        all.push(told(900, 5, PlayerReply::Failed));
        broken(&all)
    };
    assert_eq!(tries(2), [0u8; 0], "one further attempt");
    assert_eq!(tries(3), [6]);
    // The same viewer asks again: that attempt is a first one.
    let again = [
        asked(0, 5, "r", 1),
        sent(1, "t1", "r", "free", 1),
        replied(2, "t1", Reply::Error),
        told(3, 5, PlayerReply::Failed),
    ];
    let second = [
        asked(4, 6, "r", 1),
        sent(5, "t2", "r", "free", 1),
        replied(6, "t2", Reply::Error),
        told(7, 6, PlayerReply::Failed),
    ];
    let third = [
        asked(8, 7, "r", 1),
        sent(9, "t3", "r", "free", 1),
        replied(10, "t3", Reply::Error),
        told(11, 7, PlayerReply::Failed),
    ];
    assert_eq!(broken(&[again, second, third].concat()), [0u8; 0]);
}
