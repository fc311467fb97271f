//! A front in this process, with stand-in servers and list service, and players made by hand on blocking sockets.
#![allow(dead_code, unused_imports)] // Each test binary uses a part of it.
mod backend;
mod harness;
mod player;

pub(crate) use backend::{fleet_text, front_text, start_fleet, start_list_service, Backend};
use crankpaddle_daemon::WorkInProgress;
pub(crate) use harness::Harness;
pub(crate) use player::Player;
use std::time::{Duration, Instant};

/// The paid class of the fleet's configuration.
pub(crate) const PAID: &str = "licensed-view";
/// Its free class.
pub(crate) const FREE: &str = "preview";
/// Nothing here takes longer unless something is broken.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// The counts of a front without any work.
pub(crate) const IDLE: WorkInProgress = WorkInProgress {
    waiting: 0,
    playing: 0,
};

/// Waits until a condition holds, polling it; fails after [`TEST_TIMEOUT`].
pub(crate) fn wait_until(what: &str, mut is_met: impl FnMut() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !is_met() {
        assert!(Instant::now() < deadline, "waited in vain for {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
