//! A front node's process that gets no processor time while servers answer.
mod node_harness;
#[path = "../../node/tests/support/mod.rs"]
mod platform;
mod support;

use node_harness::{file, start_node, write_config};
use platform::{
    is_request, listed_servers, node_config, ok_response, session_id_of, DirectoryState,
    ServerEvent, TestDirectory, TestServer, TestViewer,
};
use rustix::process::Signal;
use std::time::{Duration, Instant};

const SET_UPS: u64 = 64;
/// How long the viewer waits. The node stands still for less.
const MAX_WAIT_MS: u64 = 15_000;
const STALL: Duration = Duration::from_millis(3000);
/// All answers of one link together are longer than one read of the node.
const DESCRIPTION_BYTES: usize = 4000;

/// Guards against answers that arrived in time, with more bytes than one read takes, and are not used after a stall.
#[test]
fn answers_that_arrived_while_the_process_was_stopped_are_used() {
    let servers = [TestServer::start(1)];
    let directory = TestDirectory::start(DirectoryState {
        serial: 1,
        servers: listed_servers(&servers),
        fault: None,
    });
    let mut config = node_config(&servers, &directory);
    config["limits"]["memory_mb"] = 32.into();
    let path = file("stall.json");
    write_config(&path, &config);
    let node = start_node(&path);
    let mut viewer = TestViewer::connect(node.address.parse().expect("an address"));
    for number in 0..SET_UPS {
        viewer.start(platform::tag(number), "preview", MAX_WAIT_MS);
    }
    let mut set_ups = Vec::new();
    platform::wait("all set-ups reach the server", || {
        for event in servers[0].take_events() {
            if let ServerEvent::Received(connection, message) = event {
                if is_request(&message, "SETUP") {
                    set_ups.push((connection, session_id_of(&message)));
                }
            }
        }
        set_ups.len() as u64 == SET_UPS
    });
    node.signal(Signal::STOP);
    let stopped_at = Instant::now();
    for (connection, session_id) in set_ups {
        let answer = ok_response(session_id, &"d".repeat(DESCRIPTION_BYTES));
        servers[0].send(connection, &answer);
    }
    // The process stands still for this time, whatever the test does.
    std::thread::sleep(STALL.saturating_sub(stopped_at.elapsed()));
    node.signal(Signal::CONT);
    let answers: Vec<_> = (0..SET_UPS).map(|_| viewer.next_message()).collect();
    let unused: Vec<_> = answers
        .iter()
        .filter(|answer| answer["verb"] != "STARTED")
        .collect();
    assert!(unused.is_empty(), "{}: {:?}", unused.len(), unused.first());
}
