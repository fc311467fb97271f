//! Faulty servers: malformed and unexpected responses, broken links, and silence.
mod support;
use serde_json::json;
use std::net::TcpStream;
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
    viewer.expect_finish(tag(1), 41);
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

/// Guards against a response whose `Content-Length` is too short: the viewer was answered that the session is established, with a
/// description that was cut off at the stated length.
#[test]
fn a_description_that_is_cut_off_by_its_length_is_never_passed_on() {
    const DESCRIPTION: &str = "c=IN IP4 127.4.7.9\r\no=s-1\r\nm=video 31000 RTP/AVP 0 8 101\r\n";
    for (missing, first_piece_short_by) in [
        (1, 0),
        (9, 0),
        (30, 0),
        (31, 0),
        (9, 12),
        (30, 40),
        (30, 100),
    ] {
        let harness = Harness::start(2);
        let (mut free, mut paid) = (harness.viewer(), harness.viewer());
        let description =
            format!("{missing} bytes, cut {first_piece_short_by} bytes before the end");
        free.start(tag(1), FREE, 15_000);
        let (first, connection, _) = harness.next_set_up();
        let response = |session| short_response(session, DESCRIPTION, missing);
        send_in_two_pieces(first, connection, &response(tag(1)), first_piece_short_by);
        let (second, connection, message) = harness.next_set_up();
        assert_ne!(first.name, second.name, "{description}");
        assert_eq!(message.session, Some(tag(1)), "{description}");
        second.send(connection, &ok_response(tag(1), DESCRIPTION));
        assert_eq!(free.next_message()["blob"], DESCRIPTION, "{description}");
        paid.start(tag(2), PAID, 15_000);
        let (server, connection, _) = harness.next_set_up();
        send_in_two_pieces(server, connection, &response(tag(2)), first_piece_short_by);
        let failure = paid.next_message();
        assert_eq!(failure["rc"], 41, "{description}: the set-up may have run");
        let (_, release) = server.wait_for_request("TEARDOWN");
        assert_eq!(release.session, Some(tag(2)), "nobody watches it");
    }
}

/// Guards against a response whose `Content-Length` is too long: its description ended with the first bytes of the next message of
/// the connection, which is about another session.
#[test]
fn a_description_with_bytes_of_the_next_message_is_never_passed_on() {
    let harness = Harness::start(1);
    let mut viewer = harness.viewer();
    let (server, connection) = harness.establish(&mut viewer, tag(1), FREE);
    viewer.start(tag(2), PAID, 15_000);
    let (_, second, _) = harness.next_set_up();
    assert_eq!(second, connection, "both sessions are on one connection");
    let response = ok_response(tag(2), "one line\r\n");
    let text = String::from_utf8(response).expect("text");
    let too_long = text.replace("Content-Length: 10", "Content-Length: 19");
    server.send(connection, too_long.as_bytes());
    server.send(connection, &session_update(tag(1), "at_rung", 1.0));
    assert_eq!(viewer.next_message()["rc"], 41);
}

/// Guards against a length of 0 with a description behind it: the viewer got an empty description.
#[test]
fn a_response_without_a_description_establishes_no_session() {
    for behind in ["", "described\r\n"] {
        let harness = Harness::start(1);
        let mut viewer = harness.viewer();
        viewer.start(tag(1), PAID, 15_000);
        let (server, connection, _) = harness.next_set_up();
        server.send(connection, &short_response(tag(1), behind, behind.len()));
        assert_eq!(viewer.next_message()["rc"], 41, "{behind:?}");
    }
}

/// Guards against a hold that never ends: a description may lack a line break at its end and be whole, whether its server goes on
/// sending, ends the connection, or does neither.
#[test]
fn a_whole_description_without_a_line_break_is_passed_on() {
    let harness = Harness::start(1);
    let mut viewer = harness.viewer();
    for (number, what_follows) in [(1, "nothing"), (2, "a message"), (3, "the end")] {
        viewer.start(tag(number), PAID, 15_000);
        let (server, connection, _) = harness.next_set_up();
        server.send(connection, &ok_response(tag(number), "one line"));
        match what_follows {
            "a message" => server.send(connection, &session_update(tag(number), "at_rung", 1.0)),
            "the end" => server.close(connection),
            _ => {}
        }
        let answer = viewer.next_message();
        assert_eq!(
            answer["blob"], "one line",
            "{what_follows} follows: {answer}"
        );
    }
}

/// A response whose stated length is short by `missing` bytes.
fn short_response(session: crankpaddle_node_protocol::Tag, body: &str, missing: usize) -> Vec<u8> {
    let length = body.len() - missing;
    format!("RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: {session}\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// Sends bytes in two pieces, the first of which lacks `short_by` bytes.
fn send_in_two_pieces(server: &TestServer, connection: usize, bytes: &[u8], short_by: usize) {
    let (first, second) = bytes.split_at(bytes.len() - short_by);
    server.send(connection, first);
    server.try_send(connection, second);
}

/// A session at a server that brings no new connection up, for which two set-ups wait.
struct UnacceptingServer {
    harness: Harness,
    viewer: TestViewer,
    /// The viewer of the set-ups, which are withdrawn when it leaves.
    _waiting: TestViewer,
    /// Connections that fill the server's accept queue.
    backlog: Vec<TcpStream>,
}

/// Starts a node that may probe servers.
fn session_at_a_server_that_accepts_no_connection() -> UnacceptingServer {
    let harness = Harness::start_with(1, |c| {
        rare_updates(c);
        c["settings"]["limits"]["probing"] = json!(true);
    });
    let mut viewer = harness.viewer();
    harness.establish(&mut viewer, tag(1), FREE);
    let backlog = harness.servers[0].simulate_machine_failure();
    let mut waiting = harness.viewer();
    for number in 2..=4 {
        waiting.start(tag(number), FREE, 15_000);
    }
    UnacceptingServer {
        harness,
        viewer,
        _waiting: waiting,
        backlog,
    }
}

/// Guards against sessions that are declared over while they play, because two new connections to their server came up late: its
/// open connections were served all the time (review, case 4).
#[test]
fn a_server_that_is_slow_to_accept_connections_keeps_its_sessions() {
    let mut case = session_at_a_server_that_accepts_no_connection();
    let server = &case.harness.servers[0];
    let (link, probe) = server.wait_for_request("OPTIONS");
    let session = probe.session.expect("a session");
    server.send(link, &response(200, 3, session, "", ""));
    drop(case.backlog);
    server.resume_accepting();
    server.send(link, &crankpaddle_node_protocol::rtsp::release(tag(1), 16));
    case.viewer.expect_finish(tag(1), 16); // It played until its server released it.
}

/// Guards against sessions that stay at a machine that has failed, if a probe that has no response has no consequence.
#[test]
fn sessions_of_a_server_that_does_not_respond_to_a_probe_are_released() {
    let mut case = session_at_a_server_that_accepts_no_connection();
    let since = Instant::now();
    case.viewer.expect_finish(tag(1), 41);
    assert!(since.elapsed().as_secs() < 8, "{:?}", since.elapsed());
}
