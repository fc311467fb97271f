//! What tests of races share: each stops the one worker of its process, or makes a server vanish.
use super::{tag, wait, Harness, Viewer};
use serde_json::{json, Value};
use std::net::TcpStream;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A gate holds the one worker of this process, so these go one by one.
pub(crate) fn alone() -> MutexGuard<'static, ()> {
    static WORKER: Mutex<()> = Mutex::new(());
    WORKER.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Lets connects take long, so that the kernel's retry (after 1 s) still counts.
pub(crate) fn long_connect_timeout(config: &mut Value) {
    config["settings"]["limits"]["connect-timeout"] = json!(2_000_000_000u64);
}

/// The node connects to a server that has vanished, for a set-up.
pub(crate) struct ConnectInProgress {
    pub(crate) viewer: Viewer,
    /// Connections that fill the server's queue; kept for as long as it is to stay vanished.
    pub(crate) backlog: Vec<TcpStream>,
}

/// Makes the first server vanish and starts a set-up, for which the node then connects to it.
pub(crate) fn connect_to_vanished(harness: &Harness, class: &str) -> ConnectInProgress {
    let backlog = harness.servers[0].vanish();
    let mut viewer = harness.viewer();
    viewer.start(tag(1), class, 15_000);
    wait("it is being connected to", || {
        harness.node.counts().links == 1
    });
    ConnectInProgress { viewer, backlog }
}

/// Two servers, the second of which drains.
pub(crate) fn start_with_one_draining() -> Harness {
    let harness = Harness::start_with(2, long_connect_timeout);
    harness
        .directory
        .update(|t| (t.serial, t.servers[1].priority) = (2, 1));
    harness.directory.wait_for_queries(3);
    harness
}
