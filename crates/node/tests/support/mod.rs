//! Test support: a node on loopback, with servers, a directory and viewers that are controlled by the test.
//!
//! These implement the platform's protocol, and block on threads of their own. All waits are bounded by [`TEST_TIMEOUT`].
#![allow(dead_code, unused_imports)] // No test file uses all of it.
mod directory;
mod fault_proxy;
mod gate;
mod harness;
mod messages;
mod races;
mod server;
mod viewer;

pub(crate) use directory::{
    listed_servers, DirectoryFault, DirectoryState, ListedServer, TestDirectory,
};
pub(crate) use fault_proxy::{FaultProxy, Withheld};
pub(crate) use gate::Gate;
pub(crate) use harness::{
    fleet_settings, node_config, parse_config, rare_updates, Harness, FREE, PAID,
};
pub(crate) use messages::{
    ok_response, response, session_id_of, session_update, start_message, tag,
};
pub(crate) use races::{
    connect_to_failed_machine, lock_worker, long_connect_timeout, start_with_one_draining,
    ConnectInProgress,
};
pub(crate) use server::{is_request, receive_messages, ServerEvent, TestServer};
pub(crate) use viewer::TestViewer;

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The longest that a test waits for an event. It is long, so that tests also pass on a busy machine.
pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Polls a condition until it holds; panics after [`TEST_TIMEOUT`].
pub(crate) fn wait(description: &str, mut condition: impl FnMut() -> bool) {
    wait_with_description(|| description.to_owned(), &mut condition);
}

/// Like [`wait`], with a description that is made when the wait has failed.
fn wait_with_description(description: impl Fn() -> String, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < deadline,
            "timed out waiting until {}",
            description()
        );
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// The time of the system's clock in milliseconds, as the directory states when a server was started.
pub(crate) fn unix_milliseconds() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.expect("the clock is set").as_millis() as u64
}
