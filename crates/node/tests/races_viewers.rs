//! Races with viewers that leave. Each test forces an order of events that is prone to errors, with a gate that stops the
//! node's worker thread or with a peer that delays its messages. The races are listed in `docs/front-node.md`.
mod support;
use crankpaddle::Event;
use rustix::net::sockopt::set_socket_recv_buffer_size;
use serde_json::json;
use std::io::Read;
use std::net::TcpListener;
use std::time::Duration;
use support::*;

/// A set-up must not be sent this long or longer after its viewer has cancelled.
const CANCEL_PERIOD: Duration = Duration::from_millis(100);

fn is_session_request(event: &Event) -> bool {
    matches!(event, Event::SessionRequested(_))
}

/// Makes a viewer leave while the policy decides on its set-up, and asserts that the set-up is not sent.
fn leave_before_the_first_attempt(leave: impl FnOnce(TestViewer) -> Option<TestViewer>) {
    let _worker = lock_worker();
    let (gate, observer) = Gate::at(is_session_request);
    let harness = Harness::start_observed(1, |_| {}, Some(observer));
    let mut viewer = harness.viewer();
    gate.arm();
    viewer.start(tag(1), PAID, 15_000);
    gate.wait_until_reached();
    let remaining = leave(viewer);
    gate.open();
    harness.wait_until_idle();
    drop(remaining);
    wait("the viewer's connection is closed", || {
        harness.node.counts().viewers == 0
    });
    assert!(
        !harness.servers[0].has_received_set_up(),
        "a set-up was sent for a viewer that had left"
    );
}

#[test]
fn a_viewer_that_closes_before_the_first_attempt_has_none() {
    leave_before_the_first_attempt(|viewer| {
        drop(viewer);
        None
    });
}

#[test]
fn a_viewer_that_resets_before_the_first_attempt_has_none() {
    leave_before_the_first_attempt(|viewer| {
        viewer.reset();
        None
    });
}

#[test]
fn a_viewer_that_cancels_before_the_first_attempt_has_none() {
    leave_before_the_first_attempt(|mut viewer| {
        viewer.finish(tag(1), 16);
        Some(viewer)
    });
}

#[test]
fn a_viewer_that_closes_between_two_attempts_has_no_second() {
    let _worker = lock_worker();
    let (gate, observer) = Gate::at(|event| matches!(event, Event::AttemptEnded { .. }));
    let harness = Harness::start_observed(2, |_| {}, Some(observer));
    let mut viewer = harness.viewer();
    viewer.start(tag(1), FREE, 15_000);
    let (server, connection, _) = harness.next_set_up();
    gate.arm();
    server.send(connection, &response(500, 1, tag(1), "", ""));
    gate.wait_until_reached();
    drop(viewer);
    gate.open();
    harness.wait_until_idle();
    assert!(
        harness.servers.iter().all(|s| !s.has_received_set_up()),
        "a second attempt was sent for a viewer that had left"
    );
}

#[test]
fn a_viewer_that_closes_during_a_connect_has_no_attempt() {
    let _worker = lock_worker();
    let harness = Harness::start_with(1, long_connect_timeout);
    let ConnectInProgress { viewer, backlog } = connect_to_failed_machine(&harness, FREE);
    drop(viewer);
    harness.wait_until_idle();
    harness.servers[0].resume_accepting();
    let mut other = harness.viewer();
    let (server, _) = harness.establish(&mut other, tag(2), FREE); // This is the first set-up that the server receives.
    assert!(!server.has_received_set_up());
    drop(backlog);
}

/// The listener of a server with a small receive buffer. The server does not read.
fn non_reading_server() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    set_socket_recv_buffer_size(&listener, 1024).expect("the option can be set");
    listener
}

#[test]
fn a_set_up_to_a_server_that_does_not_read_never_arrives_when_its_viewer_has_gone() {
    let _worker = lock_worker();
    let server = non_reading_server();
    let harness = Harness::start(1);
    let address = server.local_addr().unwrap();
    harness
        .directory
        .update(|state| (state.serial, state.servers[0].address) = (2, address));
    harness.directory.wait_for_queries(3);
    let mut viewer = harness.viewer();
    let mut long = start_message(tag(1), FREE, "15000", "");
    long["blob"] = json!("y".repeat(14_000));
    viewer.send_json(&long);
    server.set_nonblocking(true).unwrap();
    let mut accepted = None;
    wait("the node connects", || {
        accepted = server.accept().ok();
        accepted.is_some()
    });
    let (mut stream, _) = accepted.expect("just accepted");
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    wait("a part of the set-up has arrived", || {
        matches!(stream.peek(&mut [0u8; 1]), Ok(1))
    });
    drop(viewer);
    harness.wait_until_idle();
    let (mut all, mut buffer) = (Vec::new(), [0u8; 4096]);
    while let Ok(length @ 1..) = stream.read(&mut buffer) {
        all.extend_from_slice(&buffer[..length]);
    }
    let mut messages = Vec::new();
    let _ = crankpaddle_node_protocol::rtsp::Decoder::default().feed(&all, &mut messages);
    assert!(
        messages.is_empty(),
        "the set-up arrived completely after its viewer had left: {} bytes",
        all.len()
    );
}

/// Guards against a set-up that is sent although its cancel has been unread for more than a tenth of a second. This happened
/// while the node was busy with other decisions.
#[test]
fn a_cancel_that_is_unread_while_the_node_is_busy_withdraws_its_set_up() {
    let _worker = lock_worker();
    let (gate, observer) = Gate::at(is_session_request);
    let harness = Harness::start_observed(1, |_| {}, Some(observer));
    let (mut cancelling, mut other) = (harness.viewer(), harness.viewer());
    harness.establish(&mut other, tag(3), FREE); // With an open link, no connect delays the set-up.
    gate.arm();
    cancelling.start(tag(1), FREE, 15_000);
    gate.wait_until_reached();
    // The set-up is deferred because its connection has unread input, and the node is busy again when it could be sent.
    cancelling.send_json(&json!({"verb": "ECHO", "tag": tag(9).as_str(), "opts": {}, "rc": 0}));
    other.start(tag(2), PAID, 15_000);
    gate.arm();
    gate.open();
    gate.wait_until_reached();
    cancelling.finish(tag(1), 16);
    std::thread::sleep(CANCEL_PERIOD); // The rule under test is about time.
    gate.open();
    assert_eq!(cancelling.next_message()["verb"], "ECHOED");
    assert_eq!(cancelling.next_message()["verb"], "FINISHED");
    let (_, set_up) = harness.servers[0].wait_for_request("SETUP");
    assert_eq!(set_up.session, Some(tag(2)), "the cancelled one was sent");
    assert!(
        !harness.servers[0].has_received_set_up(),
        "the cancelled one was sent"
    );
}
