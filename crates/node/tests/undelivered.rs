//! Messages that the kernel accepted and that did not reach the viewer or the server because their connection was ending.
mod support;
use crankpaddle::Event;
use crankpaddle_node_protocol::rtsp;
use std::time::Instant;
use support::*;

/// A node with two sessions on separate connections. A test closes the first connection; the second stays open.
struct TwoSessions {
    harness: Harness,
    leaving: TestViewer,
    staying: TestViewer,
    /// The server's connection for the first session.
    link: usize,
}

/// Starts a node with two sessions, and stops its worker thread at a gate for session updates.
fn two_sessions_and_a_stopped_worker() -> (TwoSessions, Gate) {
    let (gate, observer) = Gate::at(|event| matches!(event, Event::SessionUpdated { .. }));
    let harness = Harness::start_observed(1, |_| {}, Some(observer));
    let (mut leaving, mut staying) = (harness.viewer(), harness.viewer());
    let (_, link) = harness.establish(&mut leaving, tag(1), FREE);
    let (server, other_link) = harness.establish(&mut staying, tag(2), FREE);
    gate.arm();
    server.send(other_link, &session_update(tag(2), "link_use", 0.5));
    gate.wait_until_reached();
    let sessions = TwoSessions {
        harness,
        leaving,
        staying,
        link,
    };
    (sessions, gate)
}

fn assert_released(viewer: &mut TestViewer, session: u64) {
    let message = viewer.next_message();
    assert_eq!(
        (&message["verb"], &message["tag"]),
        (&"FINISH".into(), &tag(session).as_str().into())
    );
}

/// Guards against a notification that is written to a connection whose viewer has just closed it, and is never sent again.
#[test]
fn a_release_that_crosses_the_close_of_its_connection_is_sent_on_another() {
    let _worker = lock_worker();
    let (mut sessions, gate) = two_sessions_and_a_stopped_worker();
    sessions.harness.servers[0].send(sessions.link, &rtsp::release(tag(1), 16));
    drop(sessions.leaving);
    gate.open();
    assert_released(&mut sessions.staying, 1);
}

/// Guards against a notification that the viewer's machine has received but the viewer has not read, and that is never sent
/// again.
#[test]
fn a_release_that_its_viewer_closes_without_reading_is_sent_on_another_connection() {
    let _worker = lock_worker();
    let (mut sessions, gate) = two_sessions_and_a_stopped_worker();
    gate.open();
    sessions.harness.servers[0].send(sessions.link, &rtsp::release(tag(1), 16));
    sessions.leaving.close_unread();
    assert_released(&mut sessions.staying, 1);
}

/// Guards against a session that plays for nobody because its viewer closed the connection while the answer was under way.
#[test]
fn a_session_whose_answer_crosses_the_close_of_its_connection_is_released_at_its_server() {
    let _worker = lock_worker();
    let (sessions, gate) = two_sessions_and_a_stopped_worker();
    gate.open();
    let harness = &sessions.harness;
    let mut viewer = harness.viewer();
    viewer.start(tag(3), FREE, 15_000);
    let (server, link, _) = harness.next_set_up();
    gate.arm();
    server.send(sessions.link, &session_update(tag(1), "link_use", 0.5));
    gate.wait_until_reached();
    server.send(link, &ok_response(tag(3), "described"));
    drop(viewer);
    gate.open();
    let (_, release) = server.wait_for_request("TEARDOWN");
    assert_eq!(release.session, Some(tag(3)));
}

/// Guards against a second answer, or none, to a viewer that leaves its session at the server before the answer has reached it
/// (incident 313391).
#[test]
fn a_viewer_that_leaves_at_the_server_before_its_answer_arrives_is_answered_once() {
    let _worker = lock_worker();
    let harness = Harness::start(1);
    let proxy = FaultProxy::start(harness.node.address(), Withheld::Responses);
    let mut viewer = TestViewer::connect(proxy.address);
    viewer.start(tag(1), PAID, 15_000);
    let (server, link, _) = harness.next_set_up();
    proxy.withhold();
    server.send(link, &ok_response(tag(1), "described"));
    proxy.wait_for_withheld();
    server.send(link, &rtsp::release(tag(1), 31));
    harness.wait_until_idle();
    proxy.pass_on();
    let answer = viewer.next_message();
    assert_eq!(
        (&answer["verb"], &answer["blob"]),
        (&"STARTED".into(), &"described".into())
    );
    assert_eq!(viewer.echo()["verb"], "ECHOED", "nothing else was sent");
    assert!(
        !server.has_received_set_up(),
        "the session was set up twice"
    );
}

/// Guards against a notification that is lost because a proxy has received it and fails before passing it on.
#[test]
fn a_release_that_a_failing_proxy_holds_is_sent_on_another_connection() {
    let _worker = lock_worker();
    let harness = Harness::start(1);
    let proxy = FaultProxy::start(harness.node.address(), Withheld::Responses);
    let (mut behind_proxy, mut direct) = (TestViewer::connect(proxy.address), harness.viewer());
    let (server, link) = harness.establish(&mut behind_proxy, tag(1), FREE);
    harness.establish(&mut direct, tag(2), FREE);
    proxy.withhold();
    server.send(link, &rtsp::release(tag(1), 16));
    proxy.wait_for_withheld();
    proxy.reset_connections();
    assert_released(&mut direct, 1);
    proxy.pass_on();
}

/// Sends a session's release through a proxy in front of its server. The proxy loses the release `resets` times, each time by
/// resetting its connections. Waits until the server gets the release.
fn release_through_resets(resets: usize) {
    let _worker = lock_worker();
    let harness = Harness::start(1);
    let proxy = FaultProxy::start(harness.servers[0].address, Withheld::Requests);
    harness
        .directory
        .update(|state| (state.serial, state.servers[0].address) = (2, proxy.address));
    harness.directory.wait_for_queries(3);
    let mut viewer = harness.viewer();
    let (server, _) = harness.establish(&mut viewer, tag(1), FREE);
    proxy.withhold();
    viewer.finish(tag(1), 16);
    for _ in 0..resets {
        proxy.wait_for_withheld();
        proxy.reset_connections();
    }
    proxy.pass_on();
    let (_, release) = server.wait_for_request("TEARDOWN");
    assert_eq!(release.session, Some(tag(1)));
}

/// Guards against a session that plays on at its server for nobody, because the connection that took its release was reset
/// before the server had read it.
#[test]
fn a_release_that_its_server_did_not_read_is_sent_to_it_again() {
    release_through_resets(1);
}

/// Guards against the same fault when further connections on which the release is sent again are reset too.
#[test]
fn a_release_is_sent_again_as_often_as_its_connection_is_lost() {
    release_through_resets(3);
}

/// A node with one server behind a proxy, and two sessions, each on a connection of its own to the server.
struct ProxiedSessions {
    harness: Harness,
    proxy: FaultProxy,
    viewer: TestViewer,
    /// The connection on which each session was set up, by the number of its id less one.
    connections: [usize; 2],
}

fn two_sessions_behind_a_proxy() -> ProxiedSessions {
    let harness = Harness::start_with(1, rare_updates);
    let server = &harness.servers[0];
    let proxy = FaultProxy::start(server.address, Withheld::Responses);
    harness
        .directory
        .update(|state| (state.serial, state.servers[0].address) = (2, proxy.address));
    harness.directory.wait_for_queries(3);
    let mut viewer = harness.viewer();
    let connections = [1, 2].map(|number| {
        viewer.start(tag(number), FREE, 15_000);
        server.wait_for_request("SETUP").0
    });
    assert_ne!(connections[0], connections[1]);
    for (number, connection) in [1, 2].into_iter().zip(connections) {
        server.send(connection, &ok_response(tag(number), "described\r\n"));
        assert_eq!(viewer.next_message()["verb"], "STARTED");
    }
    server.take_events();
    ProxiedSessions {
        harness,
        proxy,
        viewer,
        connections,
    }
}

/// Sends a release on a connection that has ended on its way, and again on the next connection that is opened, as a server does.
/// Checks that the viewer is told in the time that the protocol allows.
fn assert_lost_release_arrives(sessions: &mut ProxiedSessions, number: u64) {
    let server = &sessions.harness.servers[0];
    let release = rtsp::release(tag(number), 16);
    server.take_events();
    let sent_at = Instant::now();
    server.send(sessions.connections[number as usize - 1], &release);
    let next = server.wait_for_connection();
    server.send(next, &release);
    assert_released(&mut sessions.viewer, number);
    assert!(sent_at.elapsed().as_secs() < 8, "{:?}", sent_at.elapsed());
}

/// Guards against a release that is lost with an idle connection: its server had not noticed that the connection was reset, and
/// repeats the release on the next connection only, but the node kept to the connections that it had.
#[test]
fn a_release_on_a_connection_that_its_server_takes_for_open_reaches_the_viewer() {
    let _worker = lock_worker();
    let mut sessions = two_sessions_behind_a_proxy();
    sessions.proxy.end_towards_client(sessions.connections[0]);
    wait("the node notices the end of the link", || {
        sessions.harness.node.counts().links == 1
    });
    assert_lost_release_arrives(&mut sessions, 1);
    let server = &sessions.harness.servers[0];
    server.send(sessions.connections[1], &rtsp::release(tag(2), 16));
    assert_released(&mut sessions.viewer, 2);
}

/// Guards against the same fault where all connections end at once: the node connects again before the server sends its release, so
/// that this connection is not the next one.
#[test]
fn a_release_that_is_lost_after_the_node_has_connected_again_reaches_the_viewer() {
    let _worker = lock_worker();
    let mut sessions = two_sessions_behind_a_proxy();
    for connection in sessions.connections {
        sessions.proxy.end_towards_client(connection);
    }
    sessions.harness.servers[0].wait_for_connection();
    assert_lost_release_arrives(&mut sessions, 1);
    assert_lost_release_arrives(&mut sessions, 2);
}
