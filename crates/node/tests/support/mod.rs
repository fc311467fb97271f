//! A node on loopback with stand-ins of its platform: servers, a directory and viewers that do what a test makes them do.
//! They are written from the platform's protocol and block on threads of their own; nothing waits without a bound.
#![allow(dead_code, unused_imports)] // Each test file uses its part.
mod directory;
mod fault_proxy;
mod gate;
mod harness;
mod messages;
mod races;
mod server;
mod viewer;

pub(crate) use directory::{
    listed_servers, Directory, DirectoryFault, DirectoryState, ListedServer,
};
pub(crate) use fault_proxy::{FaultProxy, Withheld};
pub(crate) use gate::Gate;
pub(crate) use harness::{configuration, parsed, settings, Harness, FREE, PAID};
pub(crate) use messages::{accepted, response, session_of, session_update, set_up, tag};
pub(crate) use races::{
    alone, connect_to_vanished, long_connect_timeout, start_with_one_draining, ConnectInProgress,
};
pub(crate) use server::{is_request, receive_messages, Server, ServerEvent};
pub(crate) use viewer::Viewer;

use std::time::{Duration, Instant};

/// The longest that any test waits for an event, also on a busy machine.
pub(crate) const LONG: Duration = Duration::from_secs(20);

/// Polls a condition until it holds; panics after [`LONG`].
pub(crate) fn wait(what: &str, mut holds: impl FnMut() -> bool) {
    wait_or(|| what.to_owned(), &mut holds);
}

fn wait_or(what: impl Fn() -> String, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + LONG;
    while !holds() {
        assert!(Instant::now() < until, "waited in vain: {}", what());
        std::thread::sleep(Duration::from_millis(2));
    }
}
