//! Bad clients, bad servers and a bad directory, over sockets.
mod support;
use serde_json::json;
use std::time::Instant;
use support::*;

#[test]
fn what_a_spoilt_answer_looks_like_makes_no_difference() {
    let malformed: [(&str, Vec<u8>); 7] = [
        ("noise", b"\x00\xff\x13garbage\r\n\r\n".to_vec()),
        ("no length", b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000001\r\n\r\nx".to_vec()),
        ("3 GB", b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000001\r\nContent-Length: 3000000000\r\n\r\nxxxx".to_vec()),
        ("a line without end", vec![b'R'; 20_000]),
        ("a wrong status", b"RTSP/1.0 2xx OK\r\nContent-Length: 0\r\n\r\n".to_vec()),
        ("another protocol", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_vec()),
        ("no text", b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 0000000000000001\r\nContent-Length: 2\r\n\r\n\xff\xfe".to_vec()),
    ];
    for (what, bytes) in malformed {
        let harness = Harness::start(2);
        let (mut free, mut paid) = (harness.viewer(), harness.viewer());
        free.start(tag(1), FREE, 15_000);
        let (first, conn, _) = harness.next_set_up();
        first.try_send(conn, &bytes);
        let (second, conn, message) = harness.next_set_up();
        assert_ne!(first.name, second.name, "{what}");
        assert_eq!(message.session, Some(tag(1)));
        second.send(conn, &accepted(tag(1), "good"));
        assert_eq!(free.next_message()["blob"], "good", "{what}");
        paid.start(tag(2), PAID, 15_000);
        let (server, conn, _) = harness.next_set_up();
        let one = tag(1).as_str().as_bytes().to_vec();
        let at = bytes.windows(16).position(|w| w == one.as_slice());
        let mut bytes = bytes;
        at.into_iter().for_each(|at| bytes[at + 15] = b'2');
        server.try_send(conn, &bytes);
        assert_eq!(paid.next_message()["rc"], 41, "{what}: it may have run");
    }
}

#[test]
fn a_spoilt_answer_spoils_no_other_set_up_at_the_server() {
    let harness = Harness::start(1);
    let mut viewer = harness.viewer();
    viewer.start(tag(1), PAID, 15_000);
    let (server, first, _) = harness.next_set_up();
    viewer.start(tag(2), PAID, 15_000);
    let (_, second, _) = harness.next_set_up();
    assert_ne!(
        first, second,
        "each has a connection of its own while there are enough"
    );
    server.send(first, b"\x01\x02\x03");
    assert_eq!(
        (&viewer.next_message()["rc"], harness.node.counts().waiting),
        (&json!(41), 1)
    );
    server.send(second, &accepted(tag(2), "x"));
    assert_eq!(viewer.next_message()["verb"], "STARTED");
}

#[test]
fn second_copies_and_answers_under_unknown_ids_do_no_harm() {
    let harness = Harness::start(1);
    let mut viewer = harness.viewer();
    viewer.start(tag(1), PAID, 15_000);
    let (server, conn, _) = harness.next_set_up();
    server.send(conn, &accepted(tag(77), "not asked for"));
    let noise =
        b"RTSP/1.0 200 OK\r\nCSeq: 1\r\nSession: 00000000000000aa\r\nContent-Length: 3\r\n\r\n\xff\x00\xfe";
    server.send(conn, noise); // Nor does it matter what such an answer says.
    server.send(conn, &response(200, 9, tag(1), "", "another number"));
    server.send(conn, &accepted(tag(1), "mine"));
    server.send(conn, &accepted(tag(1), "a copy"));
    assert_eq!(viewer.next_message()["blob"], "mine");
    assert_eq!(viewer.echo()["verb"], "ECHOED", "one answer");
    let (again, conn_again) = harness.establish(&mut viewer, tag(2), FREE);
    assert_eq!(
        (again.name.as_str(), conn_again),
        (server.name.as_str(), conn),
        "the connection is still good"
    );
    server.send(conn, &response(500, 1, tag(1), "", ""));
    assert_eq!(
        viewer.echo()["verb"],
        "ECHOED",
        "what stands does not fall by a stray refusal"
    );
    assert_eq!(harness.node.counts().playing, 2);
}

#[test]
fn an_idle_connection_that_was_reset_is_not_written_to() {
    let harness = Harness::start(1);
    let mut viewer = harness.viewer();
    let (server, conn) = harness.establish(&mut viewer, tag(1), FREE);
    server.send(conn, &crankpaddle_node_protocol::rtsp::release(tag(1), 16));
    assert_eq!(viewer.next_message()["rc"], 16);
    harness.wait_until_idle();
    server.close(conn);
    wait("its reader notices", || harness.node.counts().links == 0);
    viewer.start(tag(2), PAID, 15_000);
    let (_, fresh, _) = harness.next_set_up();
    assert_ne!(fresh, conn);
    server.send(fresh, &accepted(tag(2), "x"));
    assert_eq!(viewer.next_message()["verb"], "STARTED");
}

#[test]
fn two_set_ups_under_one_id_are_one_session_and_the_honest_one_is_unharmed() {
    let harness = Harness::start(1);
    let (mut honest, mut bad) = (harness.viewer(), harness.viewer());
    honest.start(tag(1), PAID, 15_000);
    let (server, conn, _) = harness.next_set_up();
    let mut other = set_up(tag(1), FREE, "15000", "");
    other["blob"] = json!("another description");
    bad.send_json(&other);
    assert!(
        bad.is_closed(),
        "closed without a word that could be taken for the honest one's answer"
    );
    // Nor may a stranger give up what it does not wait for.
    let mut stranger = harness.viewer();
    stranger.finish(tag(1), 16);
    assert_eq!(stranger.next_message()["verb"], "FINISHED");
    server.send(conn, &accepted(tag(1), "mine"));
    assert_eq!(honest.next_message()["blob"], "mine");
    assert!(
        server
            .take_events()
            .iter()
            .all(|h| !matches!(h, ServerEvent::Received(..))),
        "one set-up reached the server"
    );
}

#[test]
fn clients_that_send_no_message_are_closed_and_reach_no_server() {
    let harness = Harness::start(1);
    let mut long = set_up(tag(1), FREE, "900", "");
    long["blob"] = json!("y".repeat(20_000));
    let bad: [(&str, Vec<u8>); 8] = [
        ("noise", vec![0xff; 100]),
        ("an endless line", vec![b'{'; 40_000]),
        ("too long a message", format!("{long}\n").into_bytes()),
        ("no JSON", b"hello\n".to_vec()),
        ("no id", b"{\"verb\":\"START\",\"opts\":{}}\n".to_vec()),
        (
            "an id that is none",
            b"{\"verb\":\"START\",\"tag\":\"12\",\"opts\":{}}\n".to_vec(),
        ),
        (
            "RTSP",
            b"OPTIONS rtsp://media/ping RTSP/1.0\r\n\r\n".to_vec(),
        ),
        (
            "nested without end",
            [vec![b'['; 10_000], vec![b'\n']].concat(),
        ),
    ];
    for (what, bytes) in bad {
        let mut client = harness.viewer();
        client.try_send(&bytes);
        assert!(client.is_closed(), "{what}");
    }
    assert!(
        harness.servers[0].take_events().is_empty(),
        "no server heard of them"
    );
    harness.wait_until_idle();
}

#[test]
fn set_ups_that_cannot_be_read_are_rejected_and_reach_no_server() {
    let harness = Harness::start(1);
    for (what, asked) in [
        ("no such class", set_up(tag(2), "gold", "900", "")),
        ("a negative time", set_up(tag(2), FREE, "-900", "")),
        ("an endless time", set_up(tag(2), FREE, "99999999", "")),
        ("a figure that is none", set_up(tag(2), FREE, "soon", "")),
        (
            "a cell that is not there",
            json!({"verb": "START", "tag": tag(2).as_str(), "blob": "x", "opts": {
            "class": FREE, "left": "900", "key": "7f3a9c21e0b4d655",
            "extras": "home:9;copies:1;top:1;viewer:00000000b4d65521"}}),
        ),
        (
            "a rung that is not there",
            json!({"verb": "START", "tag": tag(2).as_str(), "blob": "x", "opts": {
            "class": FREE, "left": "900", "key": "7f3a9c21e0b4d655",
            "extras": "home:0;copies:1;top:2;viewer:00000000b4d65521"}}),
        ),
        (
            "no description",
            json!({"verb": "START", "tag": tag(2).as_str(), "opts": {"class": FREE, "left": "900",
            "key": "7f3a9c21e0b4d655", "extras": "home:0;copies:1;top:1;viewer:00000000b4d65521"}}),
        ),
    ] {
        let mut client = harness.viewer();
        client.send_json(&asked);
        let end = client.next_message();
        assert_eq!(
            (&end["verb"], &end["rc"]),
            (&json!("FINISH"), &json!(100)),
            "{what}"
        );
    }
    assert!(
        harness.servers[0].take_events().is_empty(),
        "no server heard of them"
    );
    harness.wait_until_idle();
}

#[test]
fn who_says_nothing_or_half_a_message_is_closed_and_who_had_a_session_stays() {
    let harness = Harness::start(1);
    let mut holder = harness.viewer();
    harness.establish(&mut holder, tag(1), FREE);
    let before = Instant::now();
    let (mut silent, mut half) = (harness.viewer(), harness.viewer());
    half.send(b"{\"verb\":\"START\",");
    assert!(silent.is_closed() && half.is_closed());
    assert!(
        before.elapsed().as_millis() < 3000,
        "owed within 3 s: {:?}",
        before.elapsed()
    );
    assert_eq!(holder.echo()["verb"], "ECHOED");
}

#[test]
fn a_server_that_left_the_list_gets_nothing_new_and_one_that_drains_neither() {
    let harness = Harness::start(3);
    let mut viewer = harness.viewer();
    harness.directory.update(|t| {
        t.serial = 2;
        t.servers.remove(0);
        t.servers[0].priority = 1;
    });
    harness.directory.wait_for_queries(3);
    for n in 0..20 {
        let (server, _) = harness.establish(&mut viewer, tag(n), FREE);
        assert_eq!(server.name, harness.servers[2].name);
    }
}

#[test]
fn answers_of_the_directory_that_say_nothing_change_nothing() {
    let harness = Harness::start(2);
    for spoilt in [
        DirectoryFault::Failure,
        DirectoryFault::Truncated,
        DirectoryFault::OtherId,
        DirectoryFault::Silence,
    ] {
        harness.directory.update(|t| {
            (t.serial, t.fault) = (9, Some(spoilt));
            t.servers.truncate(1);
        });
        harness.directory.wait_for_queries(3);
    }
    harness
        .directory
        .update(|t| (t.serial, t.fault) = (0, None));
    harness.directory.wait_for_queries(3);
    let mut viewer = harness.viewer();
    let mut asked = std::collections::BTreeSet::new();
    for n in 0..40 {
        asked.insert(harness.establish(&mut viewer, tag(n), FREE).0.name.clone());
    }
    assert_eq!(
        asked.len(),
        2,
        "an older list and spoilt ones are not followed"
    );
    let before = harness.directory.query_count();
    harness
        .directory
        .update(|t| t.fault = Some(DirectoryFault::Silence));
    let since = Instant::now();
    harness.directory.wait_for_queries(5);
    let rate = (harness.directory.query_count() - before) as f64 / since.elapsed().as_secs_f64();
    assert!(
        rate < 20.0,
        "a silent directory is not flooded: {rate} a second"
    );
}

#[test]
fn another_nameserver_is_asked_at_once_and_no_session_falls() {
    let harness = Harness::start(2);
    let mut viewer = harness.viewer();
    harness.establish(&mut viewer, tag(1), FREE);
    harness
        .directory
        .update(|t| t.fault = Some(DirectoryFault::Silence));
    let told = DirectoryState {
        serial: 2,
        servers: listed_servers(&harness.servers[..1]),
        fault: None,
    };
    let other = Directory::start(told);
    let mut config = harness.config.clone();
    config["nameserver"] = json!(other.address.to_string());
    let parsed = crankpaddle_node_protocol::config::Config::parse(config.to_string().as_bytes())
        .expect("sound");
    harness
        .node
        .reload(&parsed)
        .expect("only the nameserver differs");
    other.wait_for_queries(2);
    for n in 10..20 {
        assert_eq!(
            harness.establish(&mut viewer, tag(n), FREE).0.name,
            harness.servers[0].name
        );
    }
}

#[test]
fn a_new_server_at_a_departed_ones_address_inherits_nothing() {
    let harness = Harness::start(1);
    let mut viewer = harness.viewer();
    let (old, conn) = harness.establish(&mut viewer, tag(1), FREE);
    old.kill();
    let end = viewer.next_message();
    assert_eq!(
        (&end["tag"], &end["rc"]),
        (&json!(tag(1).as_str()), &json!(41))
    );
    let new = std::iter::from_fn(|| {
        std::thread::yield_now();
        std::net::TcpListener::bind(old.address).ok()
    })
    .next()
    .expect("the port is free again");
    drop(new);
    let new = Server::start_at(99, old.address);
    harness
        .directory
        .update(|t| (t.serial, t.servers) = (2, listed_servers(std::slice::from_ref(&new))));
    harness.directory.wait_for_queries(3);
    viewer.start(tag(2), PAID, 15_000);
    let (fresh, message) = new.wait_for_request("SETUP");
    assert_eq!(
        message.session,
        Some(tag(2)),
        "it is not blamed for the other's death"
    );
    new.send(fresh, &accepted(tag(2), "x"));
    assert_eq!(viewer.next_message()["verb"], "STARTED");
    let _ = conn;
}

#[test]
fn a_connection_that_let_a_set_up_time_out_in_silence_is_not_used_again() {
    let harness = Harness::start(1);
    let mut viewer = harness.viewer();
    viewer.start(tag(1), PAID, 400);
    let (server, silent, _) = harness.next_set_up();
    assert_eq!(viewer.next_message()["rc"], 41, "it may have run");
    // The module leaves the server alone for a second; until then it refuses at once.
    let mut n = 10;
    let again = loop {
        n += 1;
        viewer.start(tag(n), FREE, 15_000);
        // A test that is asked when the one before was answered is answered behind a refusal, if there is one.
        let said = [viewer.echo(), viewer.echo()];
        if said.iter().all(|line| line["verb"] == "ECHOED") {
            break server.wait_for_request("SETUP").0;
        }
        assert_eq!(viewer.next_message()["verb"], "ECHOED");
    };
    assert_ne!(
        again, silent,
        "for all one knows the machine behind it is gone"
    );
    server.send(again, &accepted(tag(n), "x"));
    assert_eq!(viewer.next_message()["verb"], "STARTED");
}

#[test]
fn sessions_of_a_machine_that_vanished_are_released_and_its_links_not_trusted() {
    // Servers tell of their links each second here.
    let harness = Harness::start_with(1, |c| c["settings"] = settings(1_000_000_000));
    let mut viewer = harness.viewer();
    let (server, _) = harness.establish(&mut viewer, tag(1), FREE);
    let before = Instant::now();
    let full = server.vanish();
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
    assert!(!full.is_empty());
    viewer.start(tag(2), PAID, 15_000);
    assert_eq!(
        viewer.next_message()["rc"],
        34,
        "nothing is sent there, so nothing can have run"
    );
}
