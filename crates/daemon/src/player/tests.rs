//! Tests for the idle check of players.
use super::*;

#[test]
fn a_player_is_pinged_before_it_is_closed_also_after_a_stall() {
    let idle = Duration::from_nanos(30);
    assert_eq!(
        idle_action(Time(130), Time(100), None, idle),
        IdleAction::Wait
    );
    assert_eq!(
        idle_action(Time(131), Time(100), None, idle),
        IdleAction::Ping
    );
    assert_eq!(
        idle_action(Time(161), Time(100), Some(Time(131)), idle),
        IdleAction::Wait
    );
    assert_eq!(
        idle_action(Time(162), Time(100), Some(Time(131)), idle),
        IdleAction::Close
    );
    // After a stall of a thousand timeouts without a check, the player is still pinged first and has the full timeout to
    // answer.
    assert_eq!(
        idle_action(Time(30_000), Time(100), None, idle),
        IdleAction::Ping
    );
    assert_eq!(
        idle_action(Time(30_030), Time(100), Some(Time(30_000)), idle),
        IdleAction::Wait
    );
}
