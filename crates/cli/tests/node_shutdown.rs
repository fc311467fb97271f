//! A front node as a process, among clients that do not stop sending when it is to stop.
mod node_harness;
#[path = "../../node/tests/support/mod.rs"]
mod platform;
mod sending_clients;
mod support;

use node_harness::{file, start_node, write_config};
use platform::{
    accepted, configuration, is_request, listed_servers, session_of, Directory, DirectoryState,
    Server, ServerEvent, Viewer,
};
use rustix::process::Signal;
use sending_clients::SendingClients;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use support::RunningProgram;

/// The longest deadline that counts for the kill after SIGTERM, and what is added to it.
const KILL_AFTER: Duration = Duration::from_millis(3_700);

/// A node with one server, which accepts every set-up.
struct Platform {
    node: RunningProgram,
    _directory: Directory,
    server: JoinHandle<Server>,
    stop: Arc<AtomicBool>,
}

impl Platform {
    fn start(name: &str) -> Platform {
        let servers = [Server::start(1)];
        let directory = Directory::start(DirectoryState {
            serial: 1,
            servers: listed_servers(&servers),
            fault: None,
        });
        let mut config = configuration(&servers, &directory);
        config["limits"]["sockets"] = 512.into();
        let path = file(name);
        write_config(&path, &config);
        let [server] = servers;
        let stop = Arc::new(AtomicBool::new(false));
        let until = stop.clone();
        Platform {
            node: start_node(&path),
            _directory: directory,
            server: std::thread::spawn(move || accept_set_ups(server, &until)),
            stop,
        }
    }

    fn address(&self) -> std::net::SocketAddr {
        self.node.address.parse().expect("an address")
    }

    /// The server, which accepts nothing more.
    fn stop_server(self) -> (RunningProgram, Server) {
        self.stop.store(true, Ordering::Relaxed);
        let server = self.server.join().expect("the server's thread ends");
        (self.node, server)
    }
}

fn accept_set_ups(server: Server, until: &AtomicBool) -> Server {
    while !until.load(Ordering::Relaxed) {
        let events = server.take_events();
        if events.is_empty() {
            std::thread::sleep(Duration::from_millis(1));
        }
        for event in events {
            let ServerEvent::Received(connection, message) = event else {
                continue;
            };
            if is_request(&message, "SETUP") {
                let answer = accepted(session_of(&message), "described");
                server.try_send(connection, &answer);
            }
        }
    }
    server
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    platform::wait(what, &mut holds);
}

/// Guards against set-ups that are read, or accepted by the machine, and never answered because the process ends by itself while
/// its clients still send.
#[test]
fn clients_that_send_until_the_process_has_ended_lose_no_set_up() {
    let mut platform = Platform::start("drain-senders.json");
    let clients = SendingClients::start(40, Duration::from_millis(10), platform.address());
    wait_until("the clients send", || clients.sent() > 1_000);
    platform.node.signal(Signal::TERM);
    let outcomes = clients.outcomes(Duration::from_secs(10));
    assert_eq!(outcomes.lost, [], "{} were answered", outcomes.answered);
    assert_eq!(platform.node.wait_for_exit().code(), Some(0));
    platform.stop_server();
}

/// Guards against set-ups that SIGKILL finds unanswered because clients still send, while a session keeps the node from ending.
#[test]
fn clients_that_send_until_the_kill_lose_no_set_up_while_a_session_plays() {
    let mut platform = Platform::start("kill-senders.json");
    let mut viewer = Viewer::connect(platform.address());
    viewer.start(platform::tag(u64::MAX), "preview", 15_000);
    assert_eq!(viewer.next_message()["verb"], "STARTED");
    let clients = SendingClients::start(20, Duration::from_millis(20), platform.address());
    wait_until("the clients send", || clients.sent() > 500);
    let since = Instant::now();
    platform.node.signal(Signal::TERM);
    std::thread::sleep(KILL_AFTER.saturating_sub(since.elapsed())); // The platform's rule is one of time.
    platform.node.signal(Signal::KILL);
    let outcomes = clients.outcomes(Duration::from_secs(10));
    assert_eq!(outcomes.lost, [], "{} were answered", outcomes.answered);
    platform.node.wait_for_exit();
    platform.stop_server();
}
