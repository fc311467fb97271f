//! Test support: a front in this process with simulated servers and a list service, and players on blocking sockets.
#![allow(dead_code, unused_imports)] // Each test binary uses only some of this module.
mod backend;
mod harness;
mod player;

pub(crate) use backend::{fleet_text, front_text, start_fleet, start_list_service, Backend};
use crankpaddle_daemon::WorkInProgress;
pub(crate) use harness::Harness;
pub(crate) use player::TestPlayer;
use std::time::{Duration, Instant};

/// The paid class of the fleet's configuration.
pub(crate) const PAID: &str = "licensed-view";
/// The free class of the fleet's configuration.
pub(crate) const FREE: &str = "preview";
/// Longest wait for anything in these tests. It is never reached unless something is broken.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// The work in progress of an idle front.
pub(crate) const IDLE: WorkInProgress = WorkInProgress {
    waiting: 0,
    playing: 0,
};

/// Polls a condition until it holds; fails after [`TEST_TIMEOUT`]. `awaited` describes the condition in the failure.
pub(crate) fn wait_until(awaited: &str, mut is_met: impl FnMut() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !is_met() {
        assert!(Instant::now() < deadline, "timed out waiting for {awaited}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
