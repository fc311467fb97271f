//! Set-ups: answers, failures, retries, and messages that overtake an answer.
use crate::common::{FREE, MILLISECOND, PAID, SECOND};
use crate::harness::{answers, first_set_up, Harness};
use crankpaddle_front::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Arc};

#[test]
fn a_paid_set_up_without_an_answer_fails_once_before_the_viewer_gives_up() {
    let mut harness = Harness::new();
    let (call, outputs) = harness.open(1, "a", PAID);
    let (attempt, server) = first_set_up(&outputs).expect("an attempt");
    assert!(answers(&harness.advance(3 * SECOND)).is_empty());
    let late = harness.advance(950 * MILLISECOND); // 3.95 s of the 4 s that viewers of the class wait.
    assert_eq!(
        answers(&late),
        [(call, Answer::Failed(FailureReason::NoAnswer))]
    );
    assert!(
        late.contains(&Output::AbandonAttempt(attempt, server)),
        "the server must drop what it may have set up"
    );
    // A late answer has no effect, and the key does not lead to a second set-up.
    assert!(harness.establish(attempt).is_empty());
    let (again, outputs) = harness.open(1, "a", PAID);
    assert_eq!(
        answers(&outputs),
        [(again, Answer::Failed(FailureReason::NoAnswer))]
    );
    assert!(first_set_up(&outputs).is_none());
}

#[test]
fn a_paid_set_up_that_never_ran_is_retried_and_one_that_may_have_run_is_not() {
    let mut harness = Harness::new();
    let (call, outputs) = harness.open(1, "a", PAID);
    let (first, first_server) = first_set_up(&outputs).unwrap();
    let next = harness.fail_set_up(first, AttemptOutcome::ConnectFailed);
    let (second, second_server) = first_set_up(&next).expect("a retry");
    assert!(answers(&next).is_empty() && second_server != first_server);
    let end = harness.fail_set_up(second, AttemptOutcome::Reset);
    assert_eq!(
        answers(&end),
        [(call, Answer::Failed(FailureReason::ConnectionLost))]
    );
}

#[test]
fn an_answer_handled_after_the_viewer_gave_up_is_a_failure_and_its_attempt_is_abandoned() {
    let mut harness = Harness::new();
    let (call, outputs) = harness.open(1, "a", PAID);
    let (attempt, server) = first_set_up(&outputs).unwrap();
    // The front was stalled for 5 s, so it handles the answer before the timer that has expired in between.
    harness.now = Time(harness.now.0 + 5 * SECOND);
    let outputs = harness.establish(attempt);
    assert_eq!(
        answers(&outputs),
        [(call, Answer::Failed(FailureReason::NoAnswer))]
    );
    assert!(outputs.contains(&Output::AbandonAttempt(attempt, server)));
}

/// Guards against outputs that are delayed until the policy has decided. They would be missing from the outputs of
/// `handle_input`.
#[test]
fn answers_ends_and_withdrawals_are_returned_before_the_policy_decides() {
    let mut harness = Harness::new();
    let policy_events = Arc::new(AtomicUsize::new(0));
    let count = policy_events.clone();
    harness.core.set_event_observer(Box::new(move |_, _| {
        count.fetch_add(1, Ordering::Relaxed);
    }));
    let (first, outputs) = harness.open(1, "a", FREE);
    let (established, _) = first_set_up(&outputs).unwrap();
    let (_, outputs) = harness.open(2, "b", FREE);
    let (withdrawn, server) = first_set_up(&outputs).unwrap();
    let before = policy_events.load(Ordering::Relaxed);
    let answered = answers(&harness.handle_input(Input::SetUpCompleted(
        established,
        SetUpResult::Started(vec![]),
    )));
    assert!(
        matches!(answered[..], [(call, Answer::Established { .. })] if call == first),
        "{answered:?}"
    );
    let end = harness.handle_input(Input::SessionEnded(
        established,
        AttemptOutcome::Completed,
        vec![],
    ));
    assert!(matches!(
        end[..],
        [Output::Notify(
            PlayerId(1),
            _,
            Notification::SessionEnded {
                reason: SessionEndReason::Finished,
                ..
            }
        )]
    ));
    assert_eq!(
        harness.handle_input(Input::PlayerLeft(PlayerId(2))),
        [Output::AbandonAttempt(withdrawn, server)]
    );
    assert_eq!(
        policy_events.load(Ordering::Relaxed),
        before,
        "the policy handled an event before it was to decide"
    );
    assert!(harness.decide().is_empty());
    assert!(policy_events.load(Ordering::Relaxed) > before);
    assert_eq!(
        (
            harness.core.waiting_requests(),
            harness.core.playing_sessions()
        ),
        (0, 0)
    );
}

/// Guards against a retry for a viewer that is gone. The attempt has ended, the policy has not decided on a retry yet,
/// and in between the viewer leaves.
#[test]
fn a_viewer_that_leaves_between_an_end_and_its_decision_gets_no_retry() {
    let mut harness = Harness::new();
    let (_, outputs) = harness.open(1, "a", FREE);
    let (attempt, _) = first_set_up(&outputs).unwrap();
    let (sender, events) = mpsc::channel();
    harness.core.set_event_observer(Box::new(move |_, event| {
        drop(sender.send(format!("{event:?}")));
    }));
    assert!(harness
        .handle_input(Input::SetUpCompleted(
            attempt,
            SetUpResult::Ended(AttemptOutcome::Rejected, vec![])
        ))
        .is_empty());
    assert!(harness
        .handle_input(Input::PlayerLeft(PlayerId(1)))
        .is_empty());
    assert!(harness.decide().is_empty());
    assert_eq!(harness.core.waiting_requests(), 0);
    // The retry of the policy is reported to it as not sent. Otherwise the policy would count it as outstanding
    // forever.
    let events: Vec<String> = events.try_iter().collect();
    assert!(
        events.iter().any(|event| event.starts_with("AttemptEnded")
            && event.contains("NotSent")
            && event.contains("is_final: true")),
        "{events:?}"
    );
    // The same applies if the front stops in between.
    let (call, outputs) = harness.open(2, "b", FREE);
    let (attempt, _) = first_set_up(&outputs).unwrap();
    harness.handle_input(Input::SetUpCompleted(
        attempt,
        SetUpResult::Ended(AttemptOutcome::Rejected, vec![]),
    ));
    let stopped = answers(&harness.handle_input(Input::Stop));
    let [(answered, Answer::Rejected { reason, .. })] = stopped[..] else {
        panic!("{stopped:?}")
    };
    assert_eq!((answered, reason), (call, RejectReason::ShuttingDown));
    assert!(harness.decide().is_empty());
}

#[test]
fn a_session_end_that_overtakes_the_set_up_answer_is_not_lost_and_the_request_fails() {
    let mut harness = Harness::new();
    let (call, outputs) = harness.open(1, "a", FREE);
    let (attempt, _) = first_set_up(&outputs).unwrap();
    assert!(harness
        .handle(Input::SessionEnded(attempt, AttemptOutcome::Reset, vec![]))
        .is_empty());
    let outputs = harness.establish(attempt);
    assert_eq!(
        outputs,
        [Output::Answer(
            call,
            Answer::Failed(FailureReason::ConnectionLost)
        )],
        "a session that has ended does not play"
    );
    assert_eq!(
        (
            harness.core.waiting_requests(),
            harness.core.playing_sessions()
        ),
        (0, 0)
    );
}

#[test]
fn a_session_update_that_overtakes_the_set_up_answer_is_not_lost() {
    let mut harness = Harness::new();
    let (_, outputs) = harness.open(1, "a", FREE);
    let (first, loaded_server) = first_set_up(&outputs).expect("an attempt");
    harness.handle(Input::SessionUpdated(first, SessionUpdate::LinkDemand(1.6)));
    harness.establish(first);
    for number in 0..20 {
        let (_, outputs) = harness.open(1, &format!("b{number}"), FREE);
        let (attempt, server) = first_set_up(&outputs).expect("another server has capacity");
        assert_ne!(server, loaded_server, "its link is known to be overloaded");
        harness.fail_set_up(attempt, AttemptOutcome::Rejected);
    }
}
