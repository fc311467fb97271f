//! Adoption of sessions that play already when a viewer tells the node of them.
mod support;
use serde_json::json;
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
    let end = viewer.next_message();
    assert_eq!(
        (&end["verb"], &end["tag"], &end["rc"]),
        (&json!("FINISH"), &json!(tag(1).as_str()), &json!(41))
    );
}
