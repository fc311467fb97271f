//! Waits at the end of a run until players have left and fronts have ended the sessions without a viewer.
use crate::player::PlayerPool;
use crate::server::SimulatedFleet;
use crankpaddle_net::clock;
use crankpaddle_time::Time;
use std::time::Duration;

/// A front must end sessions without a viewer within the resume window plus this grace.
const SESSION_END_GRACE: Duration = Duration::from_secs(5);
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until no player is present. Returns a description of the fault where players are left at the deadline.
pub(crate) fn wait_for_players(players: &PlayerPool, deadline: Time) -> Option<String> {
    while players.present_count() > 0 && clock::now() < deadline {
        std::thread::sleep(CHECK_INTERVAL);
    }
    let left = players.present_count();
    (left > 0).then(|| format!("{left} players never left"))
}

/// Waits until the servers have no streams: a front ends sessions of absent players after the resume window. Returns a
/// description of the fault where streams are left.
pub(crate) fn wait_for_streams(fleet: &SimulatedFleet) -> Option<String> {
    let deadline = clock::now() + fleet.config.terms.resume_window + SESSION_END_GRACE;
    while fleet.streams() > 0 && clock::now() < deadline {
        std::thread::sleep(CHECK_INTERVAL);
    }
    let left = fleet.streams();
    (left > 0).then(|| format!("{left} streams left at servers though nobody watches"))
}
