//! Playing sessions, the retention of their keys, the cross-zone policy, shutdown and the size of the fleet.
use crate::common::{FREE, MILLISECOND, PAID, SECOND};
use crate::harness::{answers, first_set_up, Harness};
use crankpaddle_front::*;
use std::sync::mpsc;
use std::time::Duration;

#[test]
fn a_lost_server_ends_its_session_with_a_retry_after_and_its_paid_key_is_spent() {
    let mut harness = Harness::new();
    let (_, outputs) = harness.open(1, "a", PAID);
    let (attempt, _) = first_set_up(&outputs).unwrap();
    harness.establish(attempt);
    let outputs = harness.handle(Input::SessionEnded(attempt, AttemptOutcome::Reset, vec![]));
    let is_server_lost = |output: &Output| match output {
        Output::Notify(
            PlayerId(1),
            _,
            Notification::SessionEnded {
                reason,
                retry_after,
            },
        ) => *reason == SessionEndReason::ServerLost && *retry_after > Some(Duration::ZERO),
        _ => false,
    };
    assert!(outputs.iter().any(is_server_lost));
    let (call, outputs) = harness.open(1, "a", PAID);
    assert_eq!(
        answers(&outputs),
        [(call, Answer::Failed(FailureReason::KeySpent))]
    );
    let (_, outputs) = harness.open(1, "b", PAID);
    assert!(first_set_up(&outputs).is_some());
}

#[test]
fn a_rate_capped_session_is_demoted_and_may_be_promoted_again() {
    let mut harness = Harness::new();
    let (_, outputs) = harness.open(1, "a", FREE);
    let (attempt, server) = first_set_up(&outputs).unwrap();
    assert!(
        harness
            .handle(Input::RateCapChanged(attempt, RateCap::LowestRung))
            .is_empty(),
        "a session that does not play yet is not demoted"
    );
    harness.establish(attempt);
    let demoted = harness.handle(Input::RateCapChanged(attempt, RateCap::LowestRung));
    assert!(
        demoted.contains(&Output::SetRung(attempt, server, 0)),
        "{demoted:?}"
    );
    assert!(
        harness
            .advance(90 * SECOND)
            .iter()
            .all(|output| !matches!(output, Output::SetRung(..))),
        "the session stays at its lowest rung"
    );
    let mut outputs = harness.handle(Input::RateCapChanged(attempt, RateCap::None));
    outputs.extend(harness.advance(90 * SECOND));
    assert!(outputs
        .iter()
        .any(|output| matches!(output, Output::SetRung(promoted, _, rung) if *promoted == attempt && *rung > 0)));
}

#[test]
fn a_rejection_states_whether_the_cross_zone_policy_is_its_reason() {
    let mut harness = Harness::new();
    let cross_zone_policy = |class, policy| Input::CrossZonePolicyChanged {
        zone: 0,
        class,
        policy,
    };
    harness.handle(cross_zone_policy(FREE, CrossZonePolicy::Forbidden));
    let rejection = |harness: &mut Harness, player, key: &str, class| {
        let (_, outputs) = harness.open(player, key, class);
        answers(&outputs)
            .into_iter()
            .find_map(|(_, answer)| match answer {
                Answer::Rejected {
                    reason,
                    retry_after,
                } => Some((reason, retry_after > Some(Duration::ZERO))),
                _ => None,
            })
    };
    assert_eq!(
        rejection(&mut harness, 1, "a", FREE),
        Some((RejectReason::CrossZoneForbidden, true))
    );
    assert_eq!(
        rejection(&mut harness, 2, "b", PAID),
        None,
        "the other class is served"
    );
    harness.handle(cross_zone_policy(FREE, CrossZonePolicy::Allowed));
    assert_eq!(rejection(&mut harness, 3, "c", FREE), None);
    harness.handle(Input::EndpointList(EndpointListKind::Full, vec![]));
    assert_eq!(
        rejection(&mut harness, 4, "d", FREE),
        Some((RejectReason::NoCapacity, true)),
        "no server is left, so the cross-zone policy is not the reason"
    );
}

#[test]
fn a_session_longer_than_its_key_retention_does_not_set_a_timer_in_the_past() {
    let mut harness = Harness::new();
    let (_, outputs) = harness.open(1, "a", PAID);
    let (attempt, _) = first_set_up(&outputs).expect("an attempt");
    harness.establish(attempt);
    harness.advance(600 * SECOND);
    harness.handle(Input::SessionEnded(
        attempt,
        AttemptOutcome::Completed,
        LoadReport::new(),
    ));
    let next = harness.core.next_expiry().expect("the policy sets a timer");
    assert!(
        next >= harness.now,
        "next timer at {next:?}, before the current time {:?}",
        harness.now
    );
}

#[test]
fn keys_are_retained_in_bounded_memory() {
    let mut harness = Harness::new();
    for number in 0..300 {
        let (_, outputs) = harness.open(number, &format!("k{number}"), PAID);
        let (attempt, _) = first_set_up(&outputs).expect("there is capacity for one session");
        harness.establish(attempt);
        harness.handle(Input::SessionEnded(
            attempt,
            AttemptOutcome::Completed,
            vec![],
        ));
        harness.advance(100 * MILLISECOND);
    }
    let (call, outputs) = harness.open(1, "k299", PAID);
    assert_eq!(
        answers(&outputs),
        [(call, Answer::Failed(FailureReason::KeySpent))],
        "the latest keys are retained"
    );
    let (_, outputs) = harness.open(1, "k100", PAID);
    assert!(
        first_set_up(&outputs).is_some(),
        "only the configured number of keys is retained"
    );
    harness.advance(100 * SECOND);
    let (_, outputs) = harness.open(1, "k299", PAID);
    assert!(
        first_set_up(&outputs).is_some(),
        "keys are removed after their retention"
    );
}

#[test]
fn draining_rejects_new_sessions_and_keeps_others_and_stop_ends_all_sessions() {
    let mut harness = Harness::new();
    let (_, outputs) = harness.open(1, "a", FREE);
    let (attempt, server) = first_set_up(&outputs).unwrap();
    harness.handle(Input::Drain);
    let (call, outputs) = harness.open(2, "b", FREE);
    let [(
        answered,
        Answer::Rejected {
            reason,
            retry_after,
        },
    )] = answers(&outputs)[..]
    else {
        panic!("{outputs:?}")
    };
    assert_eq!((answered, reason), (call, RejectReason::ShuttingDown));
    assert!(retry_after > Some(Duration::ZERO));
    assert_eq!(answers(&harness.establish(attempt)).len(), 1);
    let outputs = harness.handle(Input::Stop);
    assert!(outputs.contains(&Output::TearDown(attempt, server)));
    assert_eq!(
        (
            harness.core.waiting_requests(),
            harness.core.playing_sessions()
        ),
        (0, 0)
    );
}

#[test]
fn peers_can_increase_the_replica_count_but_not_decrease_it_below_the_configured_one() {
    let mut harness = Harness::new(); // The settings configure two fronts.
    let (sender, events) = mpsc::channel();
    harness.core.set_event_observer(Box::new(move |_, event| {
        if let Event::ReplicaCountChanged(count) = event {
            let _ = sender.send(*count);
        }
    }));
    for known_fronts in [1, 2, 5, 5, 40, 3, 1, 0] {
        harness.handle(Input::FleetSizeChanged(known_fronts));
    }
    assert_eq!(events.try_iter().collect::<Vec<_>>(), [5, 40, 3, 2]);
}
