//! Set-ups: answers, failures, retries and what overtakes an answer.
use crate::common::{FREE, MS, PAID, SECOND};
use crate::harness::{answers, set_up, Harness};
use crankpaddle_front::*;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{mpsc, Arc};

#[test]
fn a_paid_set_up_without_an_answer_fails_once_before_the_viewer_gives_up() {
    let mut harness = Harness::new();
    let (call, outputs) = harness.open(1, "a", PAID);
    let (attempt, server) = set_up(&outputs).expect("an attempt");
    assert!(answers(&harness.advance(3 * SECOND)).is_empty());
    let late = harness.advance(950 * MS); // 3.95 s of the 4 s that the class waits.
    assert_eq!(
        answers(&late),
        [(call, Answer::Failed(FailureReason::NoAnswer))]
    );
    assert!(
        late.contains(&Output::AbandonAttempt(attempt, server)),
        "the server must drop what it may have set up"
    );
    // A late answer changes nothing, and the key does not set up again.
    assert!(harness.start(attempt).is_empty());
    let (again, outputs) = harness.open(1, "a", PAID);
    assert_eq!(
        answers(&outputs),
        [(again, Answer::Failed(FailureReason::NoAnswer))]
    );
    assert!(set_up(&outputs).is_none());
}

#[test]
fn a_paid_set_up_that_never_ran_is_retried_and_one_that_may_have_run_is_not() {
    let mut harness = Harness::new();
    let (call, outputs) = harness.open(1, "a", PAID);
    let (first, at) = set_up(&outputs).unwrap();
    let next = harness.fail(first, AttemptOutcome::ConnectFailed);
    let (second, other) = set_up(&next).expect("a retry");
    assert!(answers(&next).is_empty() && other != at);
    let end = harness.fail(second, AttemptOutcome::Reset);
    assert_eq!(
        answers(&end),
        [(call, Answer::Failed(FailureReason::ConnectionLost))]
    );
}

#[test]
fn an_answer_handled_after_the_viewer_gave_up_is_a_failure_and_its_attempt_is_abandoned() {
    let mut harness = Harness::new();
    let (call, outputs) = harness.open(1, "a", PAID);
    let (attempt, server) = set_up(&outputs).unwrap();
    // The front was stalled for 5 s: the answer is unread, and the timer has not been handled.
    harness.now = Time(harness.now.0 + 5 * SECOND);
    let outputs = harness.start(attempt);
    assert_eq!(
        answers(&outputs),
        [(call, Answer::Failed(FailureReason::NoAnswer))]
    );
    assert!(outputs.contains(&Output::AbandonAttempt(attempt, server)));
}

/// Fails where the answer waits for the policy: it is then not among the outputs of `handle_input`.
#[test]
fn an_answer_an_end_and_a_withdrawal_are_put_out_before_the_policy_decides() {
    let mut harness = Harness::new();
    let policy_events = Arc::new(AtomicUsize::new(0));
    let count = policy_events.clone();
    harness.core.set_event_observer(Box::new(move |_, _| {
        count.fetch_add(1, Ordering::Relaxed);
    }));
    let (first, outputs) = harness.open(1, "a", FREE);
    let (established, _) = set_up(&outputs).unwrap();
    let (_, outputs) = harness.open(2, "b", FREE);
    let (withdrawn, server) = set_up(&outputs).unwrap();
    let before = policy_events.load(Ordering::Relaxed);
    let answered = answers(&harness.handle_input(Input::SetUpCompleted(
        established,
        SetUpResult::Started(vec![]),
    )));
    assert!(
        matches!(answered[..], [(c, Answer::Established { .. })] if c == first),
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
        harness.handle_input(Input::Leave(PlayerId(2))),
        [Output::AbandonAttempt(withdrawn, server)]
    );
    assert_eq!(
        policy_events.load(Ordering::Relaxed),
        before,
        "the policy got an event first"
    );
    assert!(harness.decide().is_empty());
    assert!(policy_events.load(Ordering::Relaxed) > before);
    assert_eq!((harness.core.waiting(), harness.core.playing()), (0, 0));
}

/// Its attempt has just ended, the policy would start another, and the viewer is gone.
#[test]
fn a_viewer_that_leaves_between_an_end_and_its_decision_gets_no_retry() {
    let mut harness = Harness::new();
    let (_, outputs) = harness.open(1, "a", FREE);
    let (attempt, _) = set_up(&outputs).unwrap();
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
    assert!(harness.handle_input(Input::Leave(PlayerId(1))).is_empty());
    assert!(harness.decide().is_empty());
    assert_eq!(harness.core.waiting(), 0);
    // What the policy would have sent is reported back to it as never sent, or it would count it for ever.
    let events: Vec<String> = events.try_iter().collect();
    assert!(
        events.iter().any(|event| event.starts_with("AttemptEnded")
            && event.contains("NotSent")
            && event.contains("is_final: true")),
        "{events:?}"
    );
    // The same holds where the front stops in between.
    let (call, outputs) = harness.open(2, "b", FREE);
    let (attempt, _) = set_up(&outputs).unwrap();
    harness.handle_input(Input::SetUpCompleted(
        attempt,
        SetUpResult::Ended(AttemptOutcome::Rejected, vec![]),
    ));
    let stopped = answers(&harness.handle_input(Input::Stop));
    assert!(
        matches!(stopped[..], [(c, Answer::Rejected { reason: RejectReason::ShuttingDown, .. })] if c == call),
        "{stopped:?}"
    );
    assert!(harness.decide().is_empty());
}

#[test]
fn an_end_that_overtakes_its_answer_is_not_lost_and_no_session_is_answered_as_established() {
    let mut harness = Harness::new();
    let (call, outputs) = harness.open(1, "a", FREE);
    let (attempt, _) = set_up(&outputs).unwrap();
    assert!(harness
        .handle(Input::SessionEnded(attempt, AttemptOutcome::Reset, vec![]))
        .is_empty());
    let outputs = harness.start(attempt);
    assert_eq!(
        outputs,
        [Output::Answer(
            call,
            Answer::Failed(FailureReason::ConnectionLost)
        )],
        "a session that has ended does not play"
    );
    assert_eq!((harness.core.waiting(), harness.core.playing()), (0, 0));
}

#[test]
fn an_update_that_overtakes_its_answer_counts() {
    let mut harness = Harness::new();
    let (_, outputs) = harness.open(1, "a", FREE);
    let (first, full) = set_up(&outputs).expect("an attempt");
    harness.handle(Input::SessionUpdated(first, SessionUpdate::LinkDemand(1.6)));
    harness.start(first);
    for n in 0..20 {
        let (_, outputs) = harness.open(1, &format!("b{n}"), FREE);
        let (attempt, server) = set_up(&outputs).expect("another server has capacity");
        assert_ne!(server, full, "its link is known to be overloaded");
        harness.fail(attempt, AttemptOutcome::Rejected);
    }
}
