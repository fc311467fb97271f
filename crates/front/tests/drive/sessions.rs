//! Playing sessions, the retention of their keys, and what the front learns of its fleet.
use crate::common::{FREE, MS, PAID, SECOND};
use crate::harness::{answers, set_up, Harness};
use crankpaddle_front::*;
use std::sync::mpsc;
use std::time::Duration;

#[test]
fn a_lost_server_ends_its_session_with_a_retry_after_and_its_paid_key_is_spent() {
    let mut harness = Harness::new();
    let (_, outputs) = harness.open(1, "a", PAID);
    let (attempt, _) = set_up(&outputs).unwrap();
    harness.start(attempt);
    let outputs = harness.handle(Input::SessionEnded(attempt, AttemptOutcome::Reset, vec![]));
    let is_lost = |output: &Output| matches!(output, Output::Notify(PlayerId(1), _, Notification::SessionEnded { reason: SessionEndReason::ServerLost, retry_after }) if *retry_after > Some(Duration::ZERO));
    assert!(outputs.iter().any(is_lost));
    let (call, outputs) = harness.open(1, "a", PAID);
    assert_eq!(
        answers(&outputs),
        [(call, Answer::Failed(FailureReason::KeySpent))]
    );
    let (_, outputs) = harness.open(1, "b", PAID);
    assert!(set_up(&outputs).is_some());
}

#[test]
fn a_rate_capped_session_is_demoted_and_may_be_promoted_again() {
    let mut harness = Harness::new();
    let (_, outputs) = harness.open(1, "a", FREE);
    let (attempt, server) = set_up(&outputs).unwrap();
    assert!(
        harness.handle(Input::RateCapped(attempt, true)).is_empty(),
        "a session that does not play yet is not demoted"
    );
    harness.start(attempt);
    let demoted = harness.handle(Input::RateCapped(attempt, true));
    assert!(
        demoted.contains(&Output::SetRung(attempt, server, 0)),
        "{demoted:?}"
    );
    assert!(
        harness
            .advance(90 * SECOND)
            .iter()
            .all(|output| !matches!(output, Output::SetRung(..))),
        "and stays there"
    );
    let mut after = harness.handle(Input::RateCapped(attempt, false));
    after.extend(harness.advance(90 * SECOND));
    assert!(after
        .iter()
        .any(|output| matches!(output, Output::SetRung(a, _, rung) if *a == attempt && *rung > 0)));
}

#[test]
fn a_rejection_states_when_the_cross_zone_policy_is_its_reason() {
    let mut harness = Harness::new();
    let crossing = |class, policy| Input::CrossZonePolicyChanged {
        zone: 0,
        class,
        policy,
    };
    harness.handle(crossing(FREE, CrossZonePolicy::Forbidden));
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
    harness.handle(crossing(FREE, CrossZonePolicy::Allowed));
    assert_eq!(rejection(&mut harness, 3, "c", FREE), None);
    harness.handle(Input::EndpointList(EndpointListKind::Full, vec![]));
    assert_eq!(
        rejection(&mut harness, 4, "d", FREE),
        Some((RejectReason::NoCapacity, true)),
        "no server is left, and the cross-zone policy is not why"
    );
}

#[test]
fn a_session_longer_than_its_key_retention_sets_no_timer_in_the_past() {
    let mut harness = Harness::new();
    let (_, outputs) = harness.open(1, "a", PAID);
    let (attempt, _) = set_up(&outputs).expect("an attempt");
    harness.start(attempt);
    harness.advance(600 * SECOND);
    harness.handle(Input::SessionEnded(
        attempt,
        AttemptOutcome::Completed,
        LoadReport::new(),
    ));
    let next = harness.core.next_expiry().expect("the policy's own timer");
    assert!(next >= harness.now, "{next:?} before {:?}", harness.now);
}

#[test]
fn keys_are_retained_in_bounded_memory() {
    let mut harness = Harness::new();
    for n in 0..300 {
        let (_, outputs) = harness.open(n, &format!("k{n}"), PAID);
        let (attempt, _) = set_up(&outputs).expect("capacity for one at a time");
        harness.start(attempt);
        harness.handle(Input::SessionEnded(
            attempt,
            AttemptOutcome::Completed,
            vec![],
        ));
        harness.advance(100 * MS);
    }
    let (call, outputs) = harness.open(1, "k299", PAID);
    assert_eq!(
        answers(&outputs),
        [(call, Answer::Failed(FailureReason::KeySpent))],
        "the latest keys are retained"
    );
    let (_, outputs) = harness.open(1, "k100", PAID);
    assert!(
        set_up(&outputs).is_some(),
        "only the configured number is retained"
    );
    harness.advance(100 * SECOND);
    let (_, outputs) = harness.open(1, "k299", PAID);
    assert!(
        set_up(&outputs).is_some(),
        "and removed after their retention"
    );
}

#[test]
fn draining_rejects_new_sessions_and_keeps_established_ones_and_stop_ends_all() {
    let mut harness = Harness::new();
    let (_, outputs) = harness.open(1, "a", FREE);
    let (attempt, server) = set_up(&outputs).unwrap();
    harness.handle(Input::Drain);
    let (call, outputs) = harness.open(2, "b", FREE);
    assert!(
        matches!(answers(&outputs)[..], [(c, Answer::Rejected { reason: RejectReason::ShuttingDown, retry_after })] if c == call && retry_after > Some(Duration::ZERO))
    );
    assert_eq!(answers(&harness.start(attempt)).len(), 1);
    let outputs = harness.handle(Input::Stop);
    assert!(outputs.contains(&Output::TearDown(attempt, server)));
    assert_eq!((harness.core.waiting(), harness.core.playing()), (0, 0));
}

#[test]
fn peers_can_increase_the_replica_count_and_never_decrease_it_below_the_configured_one() {
    let mut harness = Harness::new(); // Two are configured.
    let (sender, events) = mpsc::channel();
    harness.core.set_event_observer(Box::new(move |_, event| {
        if let Event::ReplicaCountChanged(count) = event {
            let _ = sender.send(*count);
        }
    }));
    for known in [1, 2, 5, 5, 40, 3, 1, 0] {
        harness.handle(Input::FleetSizeChanged(known));
    }
    assert_eq!(events.try_iter().collect::<Vec<_>>(), [5, 40, 3, 2]);
}
