//! Faulty servers: malformed and unexpected responses, broken links, and silence.
mod support;
use serde_json::json;
use std::time::Instant;
use support::*;

#[test]
fn every_malformed_response_fails_the_attempt_as_possibly_run() {
    let malformed: [(&str, Vec<u8>); 7] = [
        ("random bytes", b"\x00\xff\x13garbage\r\n\r\n".to_vec()),
        ("no content length", b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000001\r\n\r\nx".to_vec()),
        ("a content length of 3 GB", b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000001\r\nContent-Length: 3000000000\r\n\r\nxxxx".to_vec()),
        ("a line without end", vec![b'R'; 20_000]),
        ("an invalid status", b"RTSP/1.0 2xx OK\r\nContent-Length: 0\r\n\r\n".to_vec()),
        ("another protocol", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_vec()),
        ("a body that is not text", b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000001\r\nContent-Length: 2\r\n\r\n\xff\xfe".to_vec()),
    ];
    for (description, bytes) in malformed {
        let harness = Harness::start(2);
        let (mut free, mut paid) = (harness.viewer(), harness.viewer());
        free.start(tag(1), FREE, 15_000);
        let (first, connection, _) = harness.next_set_up();
        first.try_send(connection, &bytes);
        let (second, connection, message) = harness.next_set_up();
        assert_ne!(first.name, second.name, "{description}");
        assert_eq!(message.session, Some(tag(1)));
        second.send(connection, &ok_response(tag(1), "good"));
        assert_eq!(free.next_message()["blob"], "good", "{description}");
        paid.start(tag(2), PAID, 15_000);
        let (server, connection, _) = harness.next_set_up();
        // If the response names the first session, its id is changed to the second one.
        let first_id = tag(1).as_str().as_bytes().to_vec();
        let position = bytes
            .windows(16)
            .position(|window| window == first_id.as_slice());
        let mut bytes = bytes;
        position
            .into_iter()
            .for_each(|position| bytes[position + 15] = b'2');
        server.try_send(connection, &bytes);
        assert_eq!(
            paid.next_message()["rc"],
            41,
            "{description}: the set-up may have run"
        );
    }
}

#[test]
fn a_malformed_response_affects_no_other_set_up_at_the_server() {
    let harness = Harness::start(1);
    let mut viewer = harness.viewer();
    viewer.start(tag(1), PAID, 15_000);
    let (server, first, _) = harness.next_set_up();
    viewer.start(tag(2), PAID, 15_000);
    let (_, second, _) = harness.next_set_up();
    assert_ne!(
        first, second,
        "each set-up has a connection of its own while there are enough"
    );
    server.send(first, b"\x01\x02\x03");
    assert_eq!(
        (&viewer.next_message()["rc"], harness.node.counts().waiting),
        (&json!(41), 1)
    );
    server.send(second, &ok_response(tag(2), "x"));
    assert_eq!(viewer.next_message()["verb"], "STARTED");
}

#[test]
fn duplicate_responses_and_those_under_unknown_ids_are_dropped() {
    let harness = Harness::start(1);
    let mut viewer = harness.viewer();
    viewer.start(tag(1), PAID, 15_000);
    let (server, connection, _) = harness.next_set_up();
    server.send(connection, &ok_response(tag(77), "not asked for"));
    let not_text =
        b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 00000000000000aa\r\nContent-Length: 3\r\n\r\n\xff\x00\xfe";
    server.send(connection, not_text); // The body of a response under an unknown id is not checked.
    server.send(connection, &response(200, 9, tag(1), "", "another number"));
    server.send(connection, &ok_response(tag(1), "mine"));
    server.send(connection, &ok_response(tag(1), "a copy"));
    assert_eq!(viewer.next_message()["blob"], "mine");
    assert_eq!(viewer.echo()["verb"], "ECHOED", "only one answer is sent");
    let (later, later_connection) = harness.establish(&mut viewer, tag(2), FREE);
    assert_eq!(
        (later.name.as_str(), later_connection),
        (server.name.as_str(), connection),
        "the connection is still used"
    );
    server.send(connection, &response(500, 1, tag(1), "", ""));
    assert_eq!(
        viewer.echo()["verb"],
        "ECHOED",
        "an unexpected rejection does not end an established session"
    );
    assert_eq!(harness.node.counts().playing, 2);
}

#[test]
fn an_idle_connection_that_was_reset_is_not_written_to() {
    let harness = Harness::start(1);
    let mut viewer = harness.viewer();
    let (server, connection) = harness.establish(&mut viewer, tag(1), FREE);
    server.send(
        connection,
        &crankpaddle_node_protocol::rtsp::release(tag(1), 16),
    );
    assert_eq!(viewer.next_message()["rc"], 16);
    harness.wait_until_idle();
    server.close(connection);
    wait("the node notices the end of the link", || {
        harness.node.counts().links == 0
    });
    viewer.start(tag(2), PAID, 15_000);
    let (_, fresh, _) = harness.next_set_up();
    assert_ne!(fresh, connection);
    server.send(fresh, &ok_response(tag(2), "x"));
    assert_eq!(viewer.next_message()["verb"], "STARTED");
}

#[test]
fn a_link_on_which_a_set_up_timed_out_in_silence_is_not_used_again() {
    let harness = Harness::start(1);
    let mut viewer = harness.viewer();
    viewer.start(tag(1), PAID, 400);
    let (server, silent, _) = harness.next_set_up();
    assert_eq!(viewer.next_message()["rc"], 41, "the set-up may have run");
    // The policy ejects the server for a second. Set-ups are rejected at once during that time.
    let mut n = 10;
    let later = loop {
        n += 1;
        viewer.start(tag(n), FREE, 15_000);
        // If the set-up is rejected, the rejection is sent before the answer to the second echo.
        let answers = [viewer.echo(), viewer.echo()];
        if answers.iter().all(|line| line["verb"] == "ECHOED") {
            break server.wait_for_request("SETUP").0;
        }
        assert_eq!(viewer.next_message()["verb"], "ECHOED");
    };
    assert_ne!(
        later, silent,
        "the server may no longer receive anything on the silent link"
    );
    server.send(later, &ok_response(tag(n), "x"));
    assert_eq!(viewer.next_message()["verb"], "STARTED");
}

#[test]
fn sessions_of_a_failed_machine_are_released_and_its_links_are_not_used() {
    // Servers send updates each second here.
    let harness = Harness::start_with(1, |c| c["settings"] = fleet_settings(1_000_000_000));
    let mut viewer = harness.viewer();
    let (server, _) = harness.establish(&mut viewer, tag(1), FREE);
    let before = Instant::now();
    let backlog = server.simulate_machine_failure();
    let end = viewer.next_message();
    assert_eq!(
        (&end["verb"], &end["tag"], &end["rc"]),
        (&json!("FINISH"), &json!(tag(1).as_str()), &json!(41))
    );
    assert!(
        before.elapsed().as_secs() < 8,
        "released in time: {:?}",
        before.elapsed()
    );
    assert!(!backlog.is_empty());
    viewer.start(tag(2), PAID, 15_000);
    assert_eq!(
        viewer.next_message()["rc"],
        34,
        "no set-up is sent to the failed machine, so none can have run"
    );
}
