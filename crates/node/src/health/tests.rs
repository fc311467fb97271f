use super::*;
const SECOND: u64 = 1_000_000_000;

#[test]
fn a_silent_server_is_connected_to_and_lost_after_two_connects_without_response() {
    let mut health = Health::new(10 * SECOND, 3 * SECOND);
    assert!(
        !health.wants_connect(13 * SECOND, true),
        "between two updates silence is usual"
    );
    assert!(health.wants_connect(14 * SECOND, true));
    assert!(
        !health.connect_completed(14 * SECOND, Err(ConnectFailure::NoResponse)),
        "one lost connect is no proof"
    );
    assert!(health.wants_connect(14 * SECOND, true));
    assert!(health.connect_completed(14 * SECOND + 1, Err(ConnectFailure::NoResponse)));
}

#[test]
fn a_server_that_accepts_is_alive_and_one_that_refuses_is_lost() {
    let mut health = Health::new(0, 0);
    assert!(health.wants_connect(5 * SECOND, true));
    assert!(!health.connect_completed(5 * SECOND, Err(ConnectFailure::NoResponse)));
    assert!(!health.connect_completed(5 * SECOND, Ok(())));
    assert!(!health.wants_connect(6 * SECOND, true));
    assert!(
        !health.connect_completed(6 * SECOND, Err(ConnectFailure::NoResponse)),
        "misses count in a row only"
    );
    assert!(health.connect_completed(7 * SECOND, Err(ConnectFailure::Refused)));
    assert!(
        !health.wants_connect(7 * SECOND, false),
        "a refused connect is not retried at once"
    );
    assert!(health.wants_connect(8 * SECOND, false));
}
