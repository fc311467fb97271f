//! Service that returns after a power loss, at the core: who is held, who goes first, and what a key of a former life means.
mod common;
use common::*;
use crankpaddle_front::keys::RequestOutcome;
use crankpaddle_front::*;

struct Rig {
    core: Core,
    now: u64,
    out: Vec<Output>,
    calls: u64,
}

/// A core whose former life ended like this; servers are known once it is told so.
fn rig(ended: PreviousShutdown, fleet: u32) -> Rig {
    let now = 1000 * SECOND;
    let terms = CoreConfig {
        max_wait: vec![5 * SECOND, 4 * SECOND],
        answer_margin: 100 * MS,
        resume_window: 3 * SECOND,
        recovered_resume_window: 10 * SECOND,
        max_pending: 20,
        max_pending_per_player: 5,
        key_retention: 60 * SECOND,
        max_retained_keys: 100,
    };
    let steps = crankpaddle_recovery::StageTimeouts {
        reconciliation_timeout: 3 * SECOND,
        paid_quiet_period: SECOND,
        paid_only_timeout: 10 * SECOND,
        warm_up_duration: 10 * SECOND,
    };
    let mut core = Core::new(settings(), terms, 7, Time(now));
    let mut returning = StagedRecovery::new(steps, now);
    returning.state_read(now, ended);
    core.begin_recovery(
        returning,
        ended != PreviousShutdown::Unknown,
        ConservativeBound::new(fleet),
    );
    Rig {
        core,
        now,
        out: vec![],
        calls: 0,
    }
}

impl Rig {
    fn tell(&mut self, input: Input) -> Vec<Output> {
        self.core.handle(Time(self.now), input, &mut self.out);
        self.core.check().unwrap();
        std::mem::take(&mut self.out)
    }

    fn pass(&mut self, time: u64) -> Vec<Output> {
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

    fn open(&mut self, key: &str, class: u8) -> (Call, Vec<Output>) {
        self.calls += 1;
        let call = Call {
            player: PlayerId(self.calls),
            number: 1,
        };
        let open = OpenRequest {
            key: key.into(),
            class,
            cell_count: 3,
            max_rung: 1,
            max_wait: u64::MAX,
            ..OpenRequest::default()
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
        let listing = |n: u32| Endpoint {
            server: ServerId(n),
            cell: n as u16,
            lifecycle: Lifecycle::Ready,
            weight: 1.0,
            ..Endpoint::default()
        };
        self.tell(Input::EndpointList(
            EndpointListKind::Full,
            (0..6).map(listing).collect(),
        ));
    }

    /// All servers told, and what was found is known.
    fn settled(&mut self) -> Vec<Output> {
        self.tell(Input::EndpointsKnown);
        let mut all = self.tell(Input::ReconciliationCompleted);
        assert!(
            all.iter()
                .any(|e| matches!(e, Output::StageReached(RecoveryStage::PaidOnly, _))),
            "{all:?}"
        );
        self.listed();
        all.extend(self.tell(Input::ServiceResumed));
        all
    }
}

fn answer(effects: &[Output], to: Call) -> Option<&Answer> {
    effects.iter().find_map(|e| {
        if let Output::Answer(call, answer) = e {
            (*call == to).then_some(answer)
        } else {
            None
        }
    })
}

fn set_ups(effects: &[Output]) -> usize {
    effects
        .iter()
        .filter(|e| matches!(e, Output::StartSetUp { .. }))
        .count()
}

#[test]
fn all_wait_while_what_was_begun_is_settled_and_paid_go_first() {
    let mut rig = rig(PreviousShutdown::PowerLost, 0);
    let (paid, effects) = rig.open("a", PAID);
    assert!(effects.is_empty(), "{effects:?}");
    let (free, _) = rig.open("b", FREE);
    assert_eq!((rig.core.queued_for_recovery(), rig.core.waiting()), (2, 2));
    rig.pass(500 * MS);
    let effects = rig.settled();
    assert_eq!(set_ups(&effects), 1, "the paid one");
    assert!(answer(&effects, paid).is_none());
    let Some(Answer::Rejected(RejectReason::Recovering, advice)) = answer(&effects, free) else {
        panic!("{effects:?}")
    };
    assert!(
        *advice > 0 && *advice <= SECOND,
        "no longer than players follow"
    );
    // A second without one turned away: all are served.
    rig.pass(SECOND);
    assert_eq!(rig.core.stage(), RecoveryStage::AllClasses);
    assert_eq!(set_ups(&rig.open("c", FREE).1), 1);
}

#[test]
fn who_was_held_is_not_taken_for_a_queue_that_stands() {
    let mut rig = rig(PreviousShutdown::Killed, 0);
    for n in 0..10 {
        rig.open(&format!("k{n}"), PAID);
    }
    rig.pass(2 * SECOND);
    assert_eq!(set_ups(&rig.settled()), 10);
}

#[test]
fn each_who_waits_is_answered_before_it_gives_up_whatever_is_silent() {
    let mut rig = rig(PreviousShutdown::PowerLost, 0);
    rig.tell(Input::KeyUnresolved {
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
        Some(Answer::Rejected(RejectReason::Recovering, _))
    ));
    // Danger: a refusal says that nothing ran.
    assert_eq!(
        answer(&effects, begun),
        Some(&Answer::Failed(FailureReason::NoAnswer))
    );
    assert!(matches!(answer(&effects, free), Some(Answer::Rejected(..))));
    assert_eq!(rig.core.queued_for_recovery(), 0);
    // Nobody is known who could tell: who comes later is told at once to come back.
    let (late, effects) = rig.open("late", FREE);
    assert!(matches!(
        answer(&effects, late),
        Some(Answer::Rejected(RejectReason::Recovering, _))
    ));
}

#[test]
fn where_the_disk_was_lost_no_paid_request_is_told_that_nothing_ran() {
    let mut rig = rig(PreviousShutdown::Unknown, 0);
    let (paid, _) = rig.open("a", PAID);
    let effects = rig.pass(5 * SECOND);
    assert_eq!(
        answer(&effects, paid),
        Some(&Answer::Failed(FailureReason::NoAnswer))
    );
}

#[test]
fn keys_of_former_lives_mean_what_servers_said_of_them() {
    let mut rig = rig(PreviousShutdown::PowerLost, 0);
    for key in ["spent", "failed", "never"] {
        rig.tell(Input::KeyUnresolved {
            tenant: 0,
            key: key.into(),
        });
    }
    let calls: Vec<Call> = ["spent", "failed", "never"]
        .map(|key| rig.open(key, PAID).0)
        .into();
    let said = [
        ("spent", Some(RequestOutcome::Played)),
        ("failed", Some(RequestOutcome::Failed)),
        ("never", None),
    ];
    for (key, past) in said {
        rig.tell(Input::KeyResolved {
            tenant: 0,
            key: key.into(),
            class: PAID,
            past,
        });
    }
    let effects = rig.settled();
    assert_eq!(
        answer(&effects, calls[0]),
        Some(&Answer::Failed(FailureReason::KeySpent))
    );
    assert_eq!(
        answer(&effects, calls[1]),
        Some(&Answer::Failed(FailureReason::NoAnswer))
    );
    assert_eq!(set_ups(&effects), 1, "what never ran is set up");
}

#[test]
fn a_class_that_is_configured_no_more_counts_as_paid() {
    let mut rig = rig(PreviousShutdown::PowerLost, 0);
    rig.tell(Input::KeyResolved {
        tenant: 0,
        key: "k".into(),
        class: u8::MAX,
        past: Some(RequestOutcome::Played),
    });
    rig.settled();
    let (call, effects) = rig.open("k", PAID);
    assert_eq!(
        answer(&effects, call),
        Some(&Answer::Failed(FailureReason::KeySpent))
    );
}

#[test]
fn a_session_that_a_server_kept_is_there_for_its_viewer_and_ends_without_him() {
    for comes in [true, false] {
        let mut rig = rig(PreviousShutdown::PowerLost, 0);
        rig.settled();
        let open = OpenRequest {
            key: "kept".into(),
            class: PAID,
            cell_count: 3,
            max_rung: 1,
            ..OpenRequest::default()
        };
        let effects = rig.tell(Input::SessionFound {
            token: 5,
            open: open.clone(),
            server: ServerId(2),
        });
        let [Output::FoundSessionHandled {
            token: 5,
            attempt: Some(attempt),
            server: ServerId(2),
        }] = effects[..]
        else {
            panic!("{effects:?}")
        };
        assert_eq!(rig.core.playing(), 1);
        let again = rig.tell(Input::SessionFound {
            token: 6,
            open,
            server: ServerId(3),
        });
        assert!(
            matches!(
                again[..],
                [Output::FoundSessionHandled { attempt: None, .. }]
            ),
            "one session a key: {again:?}"
        );
        rig.pass(9 * SECOND);
        if comes {
            let (call, effects) = rig.open("kept", PAID);
            assert!(
                matches!(answer(&effects, call), Some(Answer::Established { attempt: a, .. }) if *a == attempt),
                "{effects:?}"
            );
            assert_eq!(set_ups(&effects), 0);
        }
        let effects = rig.pass(5 * SECOND);
        let ended = effects.contains(&Output::TearDown(attempt, ServerId(2)));
        assert_eq!((ended, rig.core.playing()), (!comes, usize::from(comes)));
    }
}

#[test]
fn a_smaller_fleet_is_not_believed_until_servers_had_time_to_warm() {
    let mut rig = rig(PreviousShutdown::PowerLost, 40);
    assert_eq!(rig.core.replica_count(), 40);
    rig.tell(Input::FleetSizeChanged(11));
    rig.settled();
    rig.pass(5 * SECOND);
    assert_eq!(
        (rig.core.stage(), rig.core.replica_count()),
        (RecoveryStage::AllClasses, 40)
    );
    rig.tell(Input::FleetSizeChanged(50));
    assert_eq!(
        rig.core.replica_count(),
        50,
        "a larger one is believed at once"
    );
    rig.tell(Input::FleetSizeChanged(11));
    rig.pass(20 * SECOND);
    assert_eq!(
        (rig.core.stage(), rig.core.replica_count()),
        (RecoveryStage::Normal, 11)
    );
}

#[test]
fn after_an_end_in_order_nothing_waits() {
    let mut rig = rig(PreviousShutdown::Clean, 40);
    rig.listed();
    assert_eq!(
        (rig.core.stage(), rig.core.replica_count()),
        (RecoveryStage::Normal, 2)
    );
    assert_eq!(set_ups(&rig.open("a", FREE).1), 1);
}

#[test]
fn who_waits_is_bounded_and_who_leaves_is_owed_nothing() {
    let mut rig = rig(PreviousShutdown::PowerLost, 0);
    let calls: Vec<(Call, Vec<Output>)> =
        (0..25).map(|n| rig.open(&format!("k{n}"), PAID)).collect();
    let refused = calls.iter().filter(|(call, e)| {
        matches!(
            answer(e, *call),
            Some(Answer::Rejected(RejectReason::TooManyPending, _))
        )
    });
    assert_eq!((refused.count(), rig.core.queued_for_recovery()), (5, 20));
    rig.tell(Input::PlayerDisconnected(calls[0].0.player));
    rig.tell(Input::Leave(calls[1].0.player));
    assert_eq!(rig.core.queued_for_recovery(), 18);
    let effects = rig.tell(Input::Stop);
    assert!(answer(&effects, calls[0].0).is_none() && answer(&effects, calls[2].0).is_some());
}

#[test]
fn what_a_slow_disk_held_back_has_not_left_and_is_no_failure() {
    for kept_back in [true, false] {
        let mut rig = rig(PreviousShutdown::Clean, 0);
        rig.listed();
        let (call, effects) = rig.open("a", PAID);
        let sent = |e: &Output| {
            if let Output::StartSetUp { attempt, .. } = e {
                Some(*attempt)
            } else {
                None
            }
        };
        let mut attempt = effects.iter().find_map(sent).unwrap();
        let mut said = Vec::new();
        while rig.core.waiting() > 0 {
            rig.tell(Input::SendDeferred(attempt, kept_back));
            let effects = rig.pass(100 * MS);
            attempt = effects.iter().find_map(sent).unwrap_or(attempt);
            said.extend(effects);
        }
        let refused = matches!(answer(&said, call), Some(Answer::Rejected(..)));
        let failed = matches!(answer(&said, call), Some(Answer::Failed(..)));
        assert_eq!((refused, failed), (kept_back, !kept_back), "{said:?}");
    }
}
