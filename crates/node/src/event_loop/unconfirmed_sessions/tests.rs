use super::*;

const SESSION: AttemptId = AttemptId(1);
const OTHER: AttemptId = AttemptId(2);

fn at(seconds: u64) -> Time {
    Time::ZERO + Duration::from_secs(seconds)
}

/// The time from `start` to the next connection, in steps of 100 ms.
fn time_to_refresh(sessions: &UnconfirmedSessions, start: Time) -> Option<Duration> {
    let steps = 0..=100;
    let times = steps.map(|step| Duration::from_millis(100) * step);
    times
        .into_iter()
        .find(|time| sessions.is_refresh_due(start + *time))
}

/// Guards against a server that learns late of a reset: the first new connection may come before the release that is lost, so
/// that further ones are needed, each within the time that is left for a release.
#[test]
fn connections_are_opened_until_the_server_has_sent_something_about_the_session() {
    let mut sessions = UnconfirmedSessions::default();
    sessions.add(SESSION, ConnectionEnd::Unannounced, at(10));
    let mut opened_at = at(10);
    for _ in 0..20 {
        let interval = time_to_refresh(&sessions, opened_at).expect("another one is due");
        assert!(interval >= MAX_REFRESH_INTERVAL / 2, "{interval:?}");
        assert!(
            interval <= MAX_REFRESH_INTERVAL + Duration::from_millis(100),
            "{interval:?}"
        );
        opened_at += interval;
        sessions.connection_opened(opened_at);
    }
    sessions.remove(SESSION);
    assert_eq!(time_to_refresh(&sessions, opened_at), None);
}

/// Guards against a connection that is put off each time that another one ends.
#[test]
fn further_losses_do_not_delay_the_next_connection() {
    let mut sessions = UnconfirmedSessions::default();
    for second in 10..15 {
        sessions.add(SESSION, ConnectionEnd::Unannounced, at(second));
        sessions.add(OTHER, ConnectionEnd::Unannounced, at(second));
    }
    assert!(sessions.is_refresh_due(at(15)));
}

#[test]
fn only_sessions_whose_server_may_use_an_ended_connection_are_taken() {
    let mut sessions = UnconfirmedSessions::default();
    sessions.add(SESSION, ConnectionEnd::Announced, at(10));
    sessions.add(OTHER, ConnectionEnd::Unannounced, at(10));
    assert_eq!(sessions.take_unannounced(), [OTHER]);
    assert_eq!(sessions.len(), 0);
}

/// Guards against connections without end after this node itself has closed one.
#[test]
fn one_connection_is_enough_after_a_close_that_the_server_learns_of() {
    let mut sessions = UnconfirmedSessions::default();
    sessions.add(SESSION, ConnectionEnd::Announced, at(10));
    sessions.add(OTHER, ConnectionEnd::Unannounced, at(10));
    sessions.add(OTHER, ConnectionEnd::Announced, at(11));
    sessions.connection_opened(at(9));
    assert_eq!(
        sessions.len(),
        2,
        "the connect was started before the close"
    );
    sessions.connection_opened(at(12));
    assert_eq!(
        sessions.len(),
        1,
        "the server may not know of the end of the other's connection"
    );
}
