//! The graceful shutdown of a front node's process while its clients continue to send set-ups.
mod node_harness;
#[path = "../../node/tests/support/mod.rs"]
mod platform;
mod sending_clients;
mod support;

use node_harness::{file, start_node, write_config};
use platform::{
    is_request, listed_servers, node_config, ok_response, session_id_of, DirectoryState,
    ServerEvent, TestDirectory, TestServer, TestViewer,
};
use rustix::process::Signal;
use sending_clients::SendingClients;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use support::RunningProgram;

/// Time from SIGTERM to SIGKILL: the longest deadline that the platform takes into account, plus its grace period.
const KILL_AFTER: Duration = Duration::from_millis(3_700);

/// A node with one server, which accepts every set-up.
struct Platform {
    node: RunningProgram,
    _directory: TestDirectory,
    server: JoinHandle<TestServer>,
    stop: Arc<AtomicBool>,
}

impl Platform {
    fn start(name: &str) -> Platform {
        let servers = [TestServer::start(1)];
        let directory = TestDirectory::start(DirectoryState {
            serial: 1,
            servers: listed_servers(&servers),
            fault: None,
        });
        let mut config = node_config(&servers, &directory);
        config["limits"]["sockets"] = 512.into();
        let path = file(name);
        write_config(&path, &config);
        let [server] = servers;
        let stop = Arc::new(AtomicBool::new(false));
        let stop_server = stop.clone();
        Platform {
            node: start_node(&path),
            _directory: directory,
            server: std::thread::spawn(move || accept_set_ups(server, &stop_server)),
            stop,
        }
    }

    fn address(&self) -> std::net::SocketAddr {
        self.node.address.parse().expect("an address")
    }

    /// Stops the server, so that it accepts no further set-ups. Returns the node and the server.
    fn stop_server(self) -> (RunningProgram, TestServer) {
        self.stop.store(true, Ordering::Relaxed);
        let server = self.server.join().expect("the server's thread ends");
        (self.node, server)
    }
}

/// Accepts every set-up until it is stopped; returns the server.
fn accept_set_ups(server: TestServer, stop: &AtomicBool) -> TestServer {
    while !stop.load(Ordering::Relaxed) {
        let events = server.take_events();
        if events.is_empty() {
            std::thread::sleep(Duration::from_millis(1));
        }
        for event in events {
            let ServerEvent::Received(connection, message) = event else {
                continue;
            };
            if is_request(&message, "SETUP") {
                let answer = ok_response(session_id_of(&message), "described");
                server.try_send(connection, &answer);
            }
        }
    }
    server
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    platform::wait(what, &mut holds);
}

/// Guards against unanswered set-ups at a graceful shutdown: a set-up that the node has read, or that is still in the kernel's
/// buffer, is lost if the process ends while its clients still send.
#[test]
fn a_graceful_shutdown_loses_no_set_up_of_clients_that_keep_sending() {
    let mut platform = Platform::start("drain-senders.json");
    let clients = SendingClients::start(40, Duration::from_millis(10), platform.address());
    wait_until("the clients send", || clients.sent() > 1_000);
    platform.node.signal(Signal::TERM);
    let outcomes = clients.outcomes(Duration::from_secs(10));
    assert_eq!(
        outcomes.lost,
        [],
        "{} set-ups were answered",
        outcomes.answered
    );
    assert_eq!(platform.node.wait_for_exit().code(), Some(0));
    platform.stop_server();
}

/// Guards against set-ups that are still unanswered at SIGKILL. An active session keeps the node from ending by itself, and
/// clients send until the kill.
#[test]
fn a_kill_after_the_grace_period_loses_no_set_up_while_a_session_is_active() {
    let mut platform = Platform::start("kill-senders.json");
    let mut viewer = TestViewer::connect(platform.address());
    viewer.start(platform::tag(u64::MAX), "preview", 15_000);
    assert_eq!(viewer.next_message()["verb"], "STARTED");
    let clients = SendingClients::start(20, Duration::from_millis(20), platform.address());
    wait_until("the clients send", || clients.sent() > 500);
    let terminated_at = Instant::now();
    platform.node.signal(Signal::TERM);
    // The platform kills after a fixed time, whatever the node does.
    std::thread::sleep(KILL_AFTER.saturating_sub(terminated_at.elapsed()));
    platform.node.signal(Signal::KILL);
    let outcomes = clients.outcomes(Duration::from_secs(10));
    assert_eq!(
        outcomes.lost,
        [],
        "{} set-ups were answered",
        outcomes.answered
    );
    platform.node.wait_for_exit();
    platform.stop_server();
}
