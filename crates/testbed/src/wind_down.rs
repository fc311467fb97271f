//! The end of a run: players leave, and fronts end the sessions that nobody watches any more.
use crate::player::PlayerPool;
use crate::server::Fleet;
use crankpaddle_net::clock;
use crankpaddle_time::nanoseconds;
use std::time::Duration;

const SECOND: u64 = 1_000_000_000;
/// Time beyond the resume window until which a front must have ended sessions without a viewer.
const SESSION_END_GRACE: u64 = 5 * SECOND;
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until no player is there; the fault where some are left at the deadline.
pub(crate) fn wait_for_players(players: &PlayerPool, deadline: u64) -> Option<String> {
    while players.there() > 0 && clock::now().as_nanos() < deadline {
        std::thread::sleep(CHECK_INTERVAL);
    }
    let left = players.there();
    (left > 0).then(|| format!("{left} players never left"))
}

/// Waits until the servers have no streams: a front ends sessions of absent players after the resume window. The fault
/// where some are left.
pub(crate) fn wait_for_streams(fleet: &Fleet) -> Option<String> {
    let deadline =
        clock::now().as_nanos() + nanoseconds(fleet.config.terms.resume_window) + SESSION_END_GRACE;
    while fleet.streams() > 0 && clock::now().as_nanos() < deadline {
        std::thread::sleep(CHECK_INTERVAL);
    }
    let left = fleet.streams();
    (left > 0).then(|| format!("{left} streams left at servers though nobody watches"))
}
