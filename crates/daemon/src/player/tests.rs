//! What a player's silence calls for.
use super::*;

#[test]
fn a_player_is_pinged_before_it_is_closed_also_after_a_stall() {
    let idle = 30;
    assert_eq!(idle_action(130, 100, 0, idle), IdleAction::Wait);
    assert_eq!(idle_action(131, 100, 0, idle), IdleAction::Ping);
    assert_eq!(idle_action(161, 100, 131, idle), IdleAction::Wait);
    assert_eq!(idle_action(162, 100, 131, idle), IdleAction::Close);
    // No check for a thousand times the timeout: it is pinged all the same, and has its time to answer.
    assert_eq!(idle_action(30_000, 100, 0, idle), IdleAction::Ping);
    assert_eq!(idle_action(30_030, 100, 30_000, idle), IdleAction::Wait);
}
