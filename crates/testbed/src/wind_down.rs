//! The end of a run: players leave, and fronts end the sessions that nobody watches any more.
use crate::player::PlayerPool;
use crate::server::Fleet;
use crankpaddle_net::clock;
use crankpaddle_time::Time;
use std::time::Duration;

/// Time beyond the resume window until which a front must have ended sessions without a viewer.
const SESSION_END_GRACE: Duration = Duration::from_secs(5);
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until no player is there; the fault where some are left at the deadline.
pub(crate) fn wait_for_players(players: &PlayerPool, deadline: Time) -> Option<String> {
    while players.present_count() > 0 && clock::now() < deadline {
        std::thread::sleep(CHECK_INTERVAL);
    }
    let left = players.present_count();
    (left > 0).then(|| format!("{left} players never left"))
}

/// Waits until the servers have no streams: a front ends sessions of absent players after the resume window. The fault
/// where some are left.
pub(crate) fn wait_for_streams(fleet: &Fleet) -> Option<String> {
    let deadline = clock::now() + fleet.config.terms.resume_window + SESSION_END_GRACE;
    while fleet.streams() > 0 && clock::now() < deadline {
        std::thread::sleep(CHECK_INTERVAL);
    }
    let left = fleet.streams();
    (left > 0).then(|| format!("{left} streams left at servers though nobody watches"))
}
