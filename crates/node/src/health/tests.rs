use super::*;

/// A time this many seconds after the origin of the clock.
fn at(seconds: u64) -> Time {
    Time(seconds * 1_000_000_000)
}

#[test]
fn a_silent_server_is_connected_to_and_lost_after_two_connects_without_response() {
    let mut health = ServerHealth::new(at(10), Some(Duration::from_secs(3)));
    assert!(
        !health.should_connect(at(13), true),
        "silence between two updates is normal"
    );
    assert!(health.should_connect(at(14), true));
    assert!(
        !health.connect_completed(at(14), Err(ConnectFailure::NoResponse)),
        "one connect without a response does not prove a failure"
    );
    assert!(health.should_connect(at(14), true));
    assert!(health.connect_completed(
        at(14) + Duration::from_nanos(1),
        Err(ConnectFailure::NoResponse)
    ));
}

#[test]
fn a_server_that_accepts_is_alive_and_one_that_refuses_is_lost() {
    let mut health = ServerHealth::new(at(0), None);
    assert!(health.should_connect(at(5), true));
    assert!(!health.connect_completed(at(5), Err(ConnectFailure::NoResponse)));
    assert!(!health.connect_completed(at(5), Ok(())));
    assert!(!health.should_connect(at(6), true));
    assert!(
        !health.connect_completed(at(6), Err(ConnectFailure::NoResponse)),
        "only consecutive connects without a response count"
    );
    assert!(health.connect_completed(at(7), Err(ConnectFailure::Refused)));
    assert!(
        !health.should_connect(at(7), false),
        "a refused connect is not retried at once"
    );
    assert!(health.should_connect(at(8), false));
}

/// Guards against a server that is taken for lost although its open connections bring messages.
#[test]
fn a_server_is_lost_when_a_probe_has_no_response_and_not_before() {
    let mut health = ServerHealth::new(at(10), None);
    assert!(!health.has_missed_probe(at(100)), "none was sent");
    assert!(health.begin_probe(at(11)) && !health.begin_probe(at(12)));
    assert!(!health.has_missed_probe(at(11) + PROBE_TIMEOUT));
    assert!(health.has_missed_probe(at(13)));
    health.record_received(at(12));
    assert!(!health.has_missed_probe(at(100)));
    assert!(health.begin_probe(at(101)), "it may be probed again");
}
