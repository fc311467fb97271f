//! Tests for the detection of lost sessions and for the retry of failed event streams.
use super::*;
const SECOND: Duration = Duration::from_secs(1);

fn state_with_two_sessions() -> ServerConnectionState {
    let mut state = ServerConnectionState::default();
    assert!(state.stream_started("one", &[], Time(0)).is_empty());
    state.session_started(AttemptId(1), "a".into(), Time(10));
    state.session_started(AttemptId(2), "b".into(), Time(20));
    state
}

#[test]
fn sessions_that_a_server_does_not_list_are_lost() {
    let mut state = state_with_two_sessions();
    assert_eq!(
        state.stream_started("one", &["b".into()], Time(30)),
        [AttemptId(1)]
    );
    assert!(state
        .stream_started("one", &["a".into(), "b".into()], Time(30))
        .is_empty());
}

#[test]
fn only_a_changed_incarnation_counts_as_another_one() {
    let mut state = ServerConnectionState::default();
    assert!(
        !state.is_other_incarnation("one"),
        "no incarnation was known"
    );
    state.stream_started("one", &[], Time(0));
    assert!(!state.is_other_incarnation("one"));
    assert!(state.is_other_incarnation("two"));
}

#[test]
fn a_restarted_server_loses_all_sessions_of_its_previous_incarnation() {
    let mut state = state_with_two_sessions();
    assert_eq!(
        state.stream_started("two", &["a".into(), "b".into()], Time(30)),
        [AttemptId(1), AttemptId(2)]
    );
}

#[test]
fn sessions_established_after_the_request_are_not_lost() {
    let mut state = state_with_two_sessions();
    assert_eq!(state.stream_started("one", &[], Time(15)), [AttemptId(1)]);
    assert_eq!(state.sessions_before(Time(15)), [AttemptId(1)]);
    state.session_ended(AttemptId(1));
    assert!(state.sessions_before(Time(15)).is_empty());
    assert_eq!(state.sessions_before(Time(99)).len(), 1);
    assert!(state.has_session(AttemptId(2)));
    assert!(!state.has_session(AttemptId(1)));
}

#[test]
fn a_refused_connection_loses_the_server_at_once_and_silence_only_after_its_timeout() {
    let mut tracker = ReachabilityTracker::new(Time(0), 3 * SECOND);
    assert_eq!(
        tracker.stream_failed(Time(0) + SECOND, StreamFailure::StreamClosed),
        RetryDecision {
            is_server_lost: false,
            backoff: Duration::ZERO
        }
    );
    assert!(
        tracker
            .stream_failed(Time(0) + SECOND, StreamFailure::Refused)
            .is_server_lost
    );
    tracker.stream_started(Time(0) + 2 * SECOND);
    assert!(
        !tracker
            .stream_failed(Time(0) + 4 * SECOND, StreamFailure::NoResponse)
            .is_server_lost
    );
    assert!(
        tracker
            .stream_failed(Time(0) + 5 * SECOND, StreamFailure::NoResponse)
            .is_server_lost
    );
}

#[test]
fn backoff_grows_up_to_its_maximum() {
    let mut tracker = ReachabilityTracker::new(Time(0), SECOND);
    let backoffs: Vec<Duration> = (0..40)
        .map(|_| {
            tracker
                .stream_failed(Time(0), StreamFailure::NoResponse)
                .backoff
        })
        .collect();
    assert_eq!(backoffs[0], BACKOFF.initial);
    assert!(backoffs.windows(2).all(|pair| pair[0] <= pair[1]));
    assert_eq!(backoffs[39], BACKOFF.max);
}
