//! Adoption of sessions that play already when a viewer tells the node of them.
mod support;
use serde_json::json;
use std::time::Instant;
use support::*;

#[test]
fn sessions_that_play_already_are_adopted_once_and_released() {
    let harness = Harness::start(1);
    let mut viewer = harness.viewer();
    let adoption = |n| {
        start_message(
            tag(n),
            PAID,
            "-1",
            &format!(";at:{}", harness.servers[0].name),
        )
    };
    viewer.send_json(&adoption(1));
    viewer.send_json(&adoption(1));
    viewer.send_json(&start_message(tag(3), PAID, "-1", ";at:s-ffffffff"));
    assert_eq!(
        viewer.echo()["verb"],
        "ECHOED",
        "an adoption is not answered"
    );
    assert_eq!(
        harness.node.counts().playing,
        1,
        "a repeated adoption and one at an unknown server add no session"
    );
    let (server, connection) = harness.establish(&mut viewer, tag(2), FREE);
    viewer.send_json(&adoption(2));
    assert_eq!(viewer.echo()["verb"], "ECHOED");
    assert_eq!(
        harness.node.counts().playing,
        2,
        "an adoption of an established session adds none"
    );
    server.send(connection, &session_update(tag(1), "at_rung", 1.0));
    server.send(
        connection,
        &crankpaddle_node_protocol::rtsp::release(tag(1), 16),
    );
    let end = viewer.next_message();
    assert_eq!(
        (&end["verb"], &end["tag"]),
        (&json!("FINISH"), &json!(tag(1).as_str()))
    );
}

#[test]
fn a_server_with_adopted_sessions_is_connected_to_and_its_failure_releases_them() {
    let harness = Harness::start(1);
    let mut viewer = harness.viewer();
    harness.establish(&mut viewer, tag(9), FREE);
    let server = TestServer::start(7);
    let mut listed = listed_servers(&harness.servers);
    listed.extend(listed_servers(std::slice::from_ref(&server)));
    harness
        .directory
        .update(|state| (state.serial, state.servers) = (2, listed));
    harness.directory.wait_for_queries(3);
    viewer.send_json(&start_message(
        tag(1),
        PAID,
        "-1",
        &format!(";at:{}", server.name),
    ));
    server.wait_for_connection(); // The node connects to receive the server's updates and releases.
    server.kill();
    viewer.expect_finish(tag(1), 41);
}

/// The set-up by which a viewer hands a session at this server over.
fn hand_over(number: u64, server_name: &str) -> serde_json::Value {
    start_message(tag(number), PAID, "-1", &format!(";at:{server_name}"))
}

/// Guards against a session that is never released because its server had left the list when the session was handed over.
#[test]
fn a_session_whose_server_was_removed_before_the_hand_over_is_released() {
    let harness = Harness::start(2);
    harness.directory.update(|state| {
        state.serial = 2;
        state.servers.remove(0);
    });
    harness.directory.wait_for_queries(3);
    let mut viewer = harness.viewer();
    viewer.send_json(&hand_over(1, &harness.servers[0].name));
    viewer.expect_finish(tag(1), 41);
    viewer.send_json(&hand_over(2, &harness.servers[1].name));
    assert_eq!(viewer.echo()["verb"], "ECHOED", "the other one plays");
    assert_eq!(harness.node.counts().playing, 1);
}

/// Guards against a session that is never released because its server died and was started anew, before the hand-over or after it
/// but told later.
#[test]
fn a_session_whose_server_was_started_anew_is_released() {
    let harness = Harness::start(2);
    let mut viewer = harness.viewer();
    viewer.send_json(&hand_over(1, &harness.servers[0].name));
    assert_eq!(viewer.echo()["verb"], "ECHOED");
    harness.directory.update(|state| {
        state.serial = 2;
        state.servers[0].started_ms = unix_milliseconds();
    });
    viewer.expect_finish(tag(1), 41);
    viewer.send_json(&hand_over(2, &harness.servers[0].name));
    viewer.expect_finish(tag(2), 41);
}

/// Guards against a session at a server that no list names: it is over in the time that the protocol allows, but adopted if the
/// list is only late, and over at once if its viewer ends it.
#[test]
fn a_session_whose_server_is_not_listed_waits_for_the_list() {
    let harness = Harness::start(1);
    let mut viewer = harness.viewer();
    let late = TestServer::start(7);
    let since = Instant::now();
    viewer.send_json(&hand_over(1, &late.name));
    viewer.send_json(&hand_over(2, "s-000000ff"));
    viewer.send_json(&hand_over(3, "s-000000ff"));
    viewer.send_json(&hand_over(2, "s-000000ff"));
    viewer.finish(tag(3), 16);
    assert_eq!(viewer.next_message()["verb"], "FINISHED");
    let mut listed = listed_servers(&harness.servers);
    listed.extend(listed_servers(std::slice::from_ref(&late)));
    harness
        .directory
        .update(|state| (state.serial, state.servers) = (2, listed));
    late.wait_for_connection();
    assert_eq!(harness.node.counts().playing, 1);
    viewer.expect_finish(tag(2), 41);
    assert!(since.elapsed().as_secs() < 8, "{:?}", since.elapsed());
    assert_eq!(viewer.echo()["verb"], "ECHOED", "each is released once");
}

/// Guards against a client that claims sessions without end, under ever new ids: 3 such clients took 400 MB in 6 s.
#[test]
fn sessions_are_adopted_in_bounded_memory() {
    // With 1 MB of memory the node adopts up to 128 sessions.
    const ADOPTED: u64 = 128;
    const CLAIMED: u64 = 2000;
    let harness = Harness::start_with(1, |c| c["limits"]["memory_mb"] = json!(1));
    let mut viewer = harness.viewer();
    let server = &harness.servers[0].name;
    for number in 0..ADOPTED {
        viewer.send_json(&hand_over(number, server));
    }
    assert_eq!(viewer.echo()["verb"], "ECHOED");
    for number in ADOPTED..CLAIMED {
        viewer.send_json(&hand_over(number, server));
        viewer.expect_finish(tag(number), 41);
    }
    assert_eq!(harness.node.counts().playing, ADOPTED as usize);
}
