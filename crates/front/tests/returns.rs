//! Service that returns after a power loss, at the core: who is held, who goes first, and what a key of a former life means.
mod common;
use common::*;
use crankpaddle_front::keys::Past;
use crankpaddle_front::*;

struct Rig {
    core: Core,
    now: u64,
    out: Vec<Effect>,
    calls: u64,
}

/// A core whose former life ended like this; servers are known once it is told so.
fn rig(ended: Ended, fleet: u32) -> Rig {
    let now = 1000 * SECOND;
    let terms = Terms {
        give_up: vec![5 * SECOND, 4 * SECOND],
        answer_margin: 100 * MS,
        resume: 3 * SECOND,
        back: 10 * SECOND,
        open: 20,
        open_per_player: 5,
        keep_keys: 60 * SECOND,
        keys_kept: 100,
    };
    let steps = crankpaddle_recovery::Terms {
        settle: 3 * SECOND,
        calm: SECOND,
        paid_first: 10 * SECOND,
        warm: 10 * SECOND,
    };
    let mut core = Core::new(settings(), terms, 7, Time(now));
    let mut returning = Returning::new(steps, now);
    returning.read(now, ended);
    core.returns(returning, ended != Ended::Unknown, Careful::new(fleet));
    Rig {
        core,
        now,
        out: vec![],
        calls: 0,
    }
}

impl Rig {
    fn tell(&mut self, input: Input) -> Vec<Effect> {
        self.core.handle(Time(self.now), input, &mut self.out);
        self.core.check().unwrap();
        std::mem::take(&mut self.out)
    }

    fn pass(&mut self, time: u64) -> Vec<Effect> {
        let until = self.now + time;
        let mut all = Vec::new();
        while let Some(next) = self.core.next_expiry().filter(|t| t.0 <= until) {
            self.now = next.0.max(self.now);
            self.core.expire(Time(self.now), &mut self.out);
            self.core.check().unwrap();
            all.append(&mut self.out);
        }
        self.now = until;
        all
    }

    fn open(&mut self, key: &str, class: u8) -> (Call, Vec<Effect>) {
        self.calls += 1;
        let call = Call {
            player: PlayerId(self.calls),
            number: 1,
        };
        let open = Open {
            key: key.into(),
            class,
            copies: 3,
            top: 1,
            give_up: u64::MAX,
            ..Open::default()
        };
        let received = Time(self.now);
        (
            call,
            self.tell(Input::Open {
                call,
                open,
                received,
            }),
        )
    }

    fn listed(&mut self) {
        let listing = |n: u32| Listing {
            server: ServerId(n),
            cell: n as u16,
            phase: Phase::Ready,
            weight: 1.0,
            ..Listing::default()
        };
        self.tell(Input::Roster(
            RosterKind::Full,
            (0..6).map(listing).collect(),
        ));
    }

    /// All servers told, and what was found is known.
    fn settled(&mut self) -> Vec<Effect> {
        self.tell(Input::ServersKnown);
        let mut all = self.tell(Input::Settled);
        assert!(
            all.iter()
                .any(|e| matches!(e, Effect::Stage(Stage::Paid, _))),
            "{all:?}"
        );
        self.listed();
        all.extend(self.tell(Input::Serve));
        all
    }
}

fn answer(effects: &[Effect], to: Call) -> Option<&Answer> {
    effects.iter().find_map(|e| {
        if let Effect::Answer(call, answer) = e {
            (*call == to).then_some(answer)
        } else {
            None
        }
    })
}

fn set_ups(effects: &[Effect]) -> usize {
    effects
        .iter()
        .filter(|e| matches!(e, Effect::SetUp { .. }))
        .count()
}

#[test]
fn all_wait_while_what_was_begun_is_settled_and_paid_go_first() {
    let mut rig = rig(Ended::PowerLost, 0);
    let (paid, effects) = rig.open("a", PAID);
    assert!(effects.is_empty(), "{effects:?}");
    let (free, _) = rig.open("b", FREE);
    assert_eq!((rig.core.held(), rig.core.waiting()), (2, 2));
    rig.pass(500 * MS);
    let effects = rig.settled();
    assert_eq!(set_ups(&effects), 1, "the paid one");
    assert!(answer(&effects, paid).is_none());
    let Some(Answer::Refused(Refusal::Returning, advice)) = answer(&effects, free) else {
        panic!("{effects:?}")
    };
    assert!(
        *advice > 0 && *advice <= SECOND,
        "no longer than players follow"
    );
    // A second without one turned away: all are served.
    rig.pass(SECOND);
    assert_eq!(rig.core.stage(), Stage::All);
    assert_eq!(set_ups(&rig.open("c", FREE).1), 1);
}

#[test]
fn who_was_held_is_not_taken_for_a_queue_that_stands() {
    let mut rig = rig(Ended::Killed, 0);
    for n in 0..10 {
        rig.open(&format!("k{n}"), PAID);
    }
    rig.pass(2 * SECOND);
    assert_eq!(set_ups(&rig.settled()), 10);
}

#[test]
fn each_who_waits_is_answered_before_it_gives_up_whatever_is_silent() {
    let mut rig = rig(Ended::PowerLost, 0);
    rig.tell(Input::Unsettled {
        tenant: 0,
        key: "begun".into(),
    });
    let (new, _) = rig.open("new", PAID);
    let (begun, _) = rig.open("begun", PAID);
    let (free, _) = rig.open("free", FREE);
    let effects = rig.pass(3900 * MS - 1);
    assert!(effects.is_empty(), "{effects:?}");
    let effects = rig.pass(2 * SECOND);
    assert!(matches!(
        answer(&effects, new),
        Some(Answer::Refused(Refusal::Returning, _))
    ));
    // Danger: a refusal says that nothing ran.
    assert_eq!(
        answer(&effects, begun),
        Some(&Answer::Failed(Failure::NoAnswer))
    );
    assert!(matches!(answer(&effects, free), Some(Answer::Refused(..))));
    assert_eq!(rig.core.held(), 0);
    // Nobody is known who could tell: who comes later is told at once to come back.
    let (late, effects) = rig.open("late", FREE);
    assert!(matches!(
        answer(&effects, late),
        Some(Answer::Refused(Refusal::Returning, _))
    ));
}

#[test]
fn where_the_disk_was_lost_no_paid_request_is_told_that_nothing_ran() {
    let mut rig = rig(Ended::Unknown, 0);
    let (paid, _) = rig.open("a", PAID);
    let effects = rig.pass(5 * SECOND);
    assert_eq!(
        answer(&effects, paid),
        Some(&Answer::Failed(Failure::NoAnswer))
    );
}

#[test]
fn keys_of_former_lives_mean_what_servers_said_of_them() {
    let mut rig = rig(Ended::PowerLost, 0);
    for key in ["spent", "failed", "never"] {
        rig.tell(Input::Unsettled {
            tenant: 0,
            key: key.into(),
        });
    }
    let calls: Vec<Call> = ["spent", "failed", "never"]
        .map(|key| rig.open(key, PAID).0)
        .into();
    let said = [
        ("spent", Some(Past::Played)),
        ("failed", Some(Past::Failed)),
        ("never", None),
    ];
    for (key, past) in said {
        rig.tell(Input::Recovered {
            tenant: 0,
            key: key.into(),
            class: PAID,
            past,
        });
    }
    let effects = rig.settled();
    assert_eq!(
        answer(&effects, calls[0]),
        Some(&Answer::Failed(Failure::KeySpent))
    );
    assert_eq!(
        answer(&effects, calls[1]),
        Some(&Answer::Failed(Failure::NoAnswer))
    );
    assert_eq!(set_ups(&effects), 1, "what never ran is set up");
}

#[test]
fn a_class_that_is_configured_no_more_counts_as_paid() {
    let mut rig = rig(Ended::PowerLost, 0);
    rig.tell(Input::Recovered {
        tenant: 0,
        key: "k".into(),
        class: u8::MAX,
        past: Some(Past::Played),
    });
    rig.settled();
    let (call, effects) = rig.open("k", PAID);
    assert_eq!(
        answer(&effects, call),
        Some(&Answer::Failed(Failure::KeySpent))
    );
}

#[test]
fn a_session_that_a_server_kept_is_there_for_its_viewer_and_ends_without_him() {
    for comes in [true, false] {
        let mut rig = rig(Ended::PowerLost, 0);
        rig.settled();
        let open = Open {
            key: "kept".into(),
            class: PAID,
            copies: 3,
            top: 1,
            ..Open::default()
        };
        let effects = rig.tell(Input::Found {
            token: 5,
            open: open.clone(),
            server: ServerId(2),
        });
        let [Effect::Found {
            token: 5,
            attempt: Some(attempt),
            server: ServerId(2),
        }] = effects[..]
        else {
            panic!("{effects:?}")
        };
        assert_eq!(rig.core.playing(), 1);
        let again = rig.tell(Input::Found {
            token: 6,
            open,
            server: ServerId(3),
        });
        assert!(
            matches!(again[..], [Effect::Found { attempt: None, .. }]),
            "one session a key: {again:?}"
        );
        rig.pass(9 * SECOND);
        if comes {
            let (call, effects) = rig.open("kept", PAID);
            assert!(
                matches!(answer(&effects, call), Some(Answer::Plays { attempt: a, .. }) if *a == attempt),
                "{effects:?}"
            );
            assert_eq!(set_ups(&effects), 0);
        }
        let effects = rig.pass(5 * SECOND);
        let ended = effects.contains(&Effect::TearDown(attempt, ServerId(2)));
        assert_eq!((ended, rig.core.playing()), (!comes, usize::from(comes)));
    }
}

#[test]
fn a_smaller_fleet_is_not_believed_until_servers_had_time_to_warm() {
    let mut rig = rig(Ended::PowerLost, 40);
    assert_eq!(rig.core.siblings(), 40);
    rig.tell(Input::Members(11));
    rig.settled();
    rig.pass(5 * SECOND);
    assert_eq!((rig.core.stage(), rig.core.siblings()), (Stage::All, 40));
    rig.tell(Input::Members(50));
    assert_eq!(rig.core.siblings(), 50, "a larger one is believed at once");
    rig.tell(Input::Members(11));
    rig.pass(20 * SECOND);
    assert_eq!((rig.core.stage(), rig.core.siblings()), (Stage::Normal, 11));
}

#[test]
fn after_an_end_in_order_nothing_waits() {
    let mut rig = rig(Ended::InOrder, 40);
    rig.listed();
    assert_eq!((rig.core.stage(), rig.core.siblings()), (Stage::Normal, 2));
    assert_eq!(set_ups(&rig.open("a", FREE).1), 1);
}

#[test]
fn who_waits_is_bounded_and_who_leaves_is_owed_nothing() {
    let mut rig = rig(Ended::PowerLost, 0);
    let calls: Vec<(Call, Vec<Effect>)> =
        (0..25).map(|n| rig.open(&format!("k{n}"), PAID)).collect();
    let refused = calls.iter().filter(|(call, e)| {
        matches!(
            answer(e, *call),
            Some(Answer::Refused(Refusal::TooManyOpen, _))
        )
    });
    assert_eq!((refused.count(), rig.core.held()), (5, 20));
    rig.tell(Input::PlayerGone(calls[0].0.player));
    rig.tell(Input::Leave(calls[1].0.player));
    assert_eq!(rig.core.held(), 18);
    let effects = rig.tell(Input::Stop);
    assert!(answer(&effects, calls[0].0).is_none() && answer(&effects, calls[2].0).is_some());
}

#[test]
fn what_a_slow_disk_held_back_has_not_left_and_is_no_failure() {
    for kept_back in [true, false] {
        let mut rig = rig(Ended::InOrder, 0);
        rig.listed();
        let (call, effects) = rig.open("a", PAID);
        let sent = |e: &Effect| {
            if let Effect::SetUp { attempt, .. } = e {
                Some(*attempt)
            } else {
                None
            }
        };
        let mut attempt = effects.iter().find_map(sent).unwrap();
        let mut said = Vec::new();
        while rig.core.waiting() > 0 {
            rig.tell(Input::KeptBack(attempt, kept_back));
            let effects = rig.pass(100 * MS);
            attempt = effects.iter().find_map(sent).unwrap_or(attempt);
            said.extend(effects);
        }
        let refused = matches!(answer(&said, call), Some(Answer::Refused(..)));
        let failed = matches!(answer(&said, call), Some(Answer::Failed(..)));
        assert_eq!((refused, failed), (kept_back, !kept_back), "{said:?}");
    }
}
