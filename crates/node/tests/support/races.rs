//! Helpers for tests of races. Such tests stop the only worker thread of their process, or simulate a server's machine failure.
use super::{tag, wait, Harness, TestViewer};
use serde_json::{json, Value};
use std::net::TcpStream;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Makes tests of one process run one by one, because a gate stops the worker thread that their nodes share.
pub(crate) fn lock_worker() -> MutexGuard<'static, ()> {
    static WORKER: Mutex<()> = Mutex::new(());
    WORKER.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sets the connect timeout to 2 s, so that a connect can still succeed with the kernel's retry after 1 s.
pub(crate) fn long_connect_timeout(config: &mut Value) {
    config["settings"]["limits"]["connect-timeout"] = json!(2_000_000_000u64);
}

/// A set-up for which the node is connecting to a server whose machine has failed.
pub(crate) struct ConnectInProgress {
    pub(crate) viewer: TestViewer,
    /// Connections that fill the server's accept queue. They are kept for as long as connects are to get no response.
    pub(crate) backlog: Vec<TcpStream>,
}

/// Simulates a failure of the first server's machine, and sends a set-up for which the node then connects to that server.
pub(crate) fn connect_to_failed_machine(harness: &Harness, class: &str) -> ConnectInProgress {
    let backlog = harness.servers[0].simulate_machine_failure();
    let mut viewer = harness.viewer();
    viewer.start(tag(1), class, 15_000);
    wait("the node connects to the server", || {
        harness.node.counts().links == 1
    });
    ConnectInProgress { viewer, backlog }
}

/// Starts a node with two servers, the second of which is draining.
pub(crate) fn start_with_one_draining() -> Harness {
    let harness = Harness::start_with(2, long_connect_timeout);
    harness
        .directory
        .update(|state| (state.serial, state.servers[1].priority) = (2, 1));
    harness.directory.wait_for_queries(3);
    harness
}
