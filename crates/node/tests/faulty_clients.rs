//! Faulty clients: malformed input, duplicate ids, and clients that send nothing.
mod support;
use serde_json::json;
use std::time::Instant;
use support::*;

#[test]
fn a_second_set_up_under_one_id_is_closed_and_the_first_goes_on() {
    let harness = Harness::start(1);
    let (mut honest, mut bad) = (harness.viewer(), harness.viewer());
    honest.start(tag(1), PAID, 15_000);
    let (server, connection, _) = harness.next_set_up();
    let mut other = start_message(tag(1), FREE, "15000", "");
    other["blob"] = json!("another description");
    bad.send_json(&other);
    assert!(
        bad.ends_without_message(),
        "an answer could be mistaken for the answer to the first set-up"
    );
    // Another client cannot cancel the set-up either.
    let mut stranger = harness.viewer();
    stranger.finish(tag(1), 16);
    assert_eq!(stranger.next_message()["verb"], "FINISHED");
    server.send(connection, &ok_response(tag(1), "mine"));
    assert_eq!(honest.next_message()["blob"], "mine");
    assert!(
        server
            .take_events()
            .iter()
            .all(|event| !matches!(event, ServerEvent::Received(..))),
        "only one set-up reaches the server"
    );
}

#[test]
fn clients_that_send_no_message_are_closed_and_reach_no_server() {
    let harness = Harness::start(1);
    let mut long = start_message(tag(1), FREE, "900", "");
    long["blob"] = json!("y".repeat(20_000));
    let bad: [(&str, Vec<u8>); 8] = [
        ("noise", vec![0xff; 100]),
        ("a line without end", vec![b'{'; 40_000]),
        (
            "a message that is too long",
            format!("{long}\n").into_bytes(),
        ),
        ("text that is not JSON", b"hello\n".to_vec()),
        ("no id", b"{\"verb\":\"START\",\"opts\":{}}\n".to_vec()),
        (
            "an invalid id",
            b"{\"verb\":\"START\",\"tag\":\"12\",\"opts\":{}}\n".to_vec(),
        ),
        (
            "RTSP",
            b"OPTIONS rtsp://media/ping RTSP/1.0\r\n\r\n".to_vec(),
        ),
        (
            "deeply nested JSON",
            [vec![b'['; 10_000], vec![b'\n']].concat(),
        ),
    ];
    for (description, bytes) in bad {
        let mut client = harness.viewer();
        client.try_send(&bytes);
        assert!(client.ends_without_message(), "{description}");
    }
    assert!(
        harness.servers[0].take_events().is_empty(),
        "the server was connected to"
    );
    harness.wait_until_idle();
}

#[test]
fn set_ups_that_cannot_be_read_are_rejected_and_reach_no_server() {
    let harness = Harness::start(1);
    for (description, request) in [
        ("an unknown class", start_message(tag(2), "gold", "900", "")),
        ("a negative wait", start_message(tag(2), FREE, "-900", "")),
        (
            "a wait that is too long",
            start_message(tag(2), FREE, "99999999", ""),
        ),
        (
            "a wait that is not a number",
            start_message(tag(2), FREE, "soon", ""),
        ),
        (
            "a cell that does not exist",
            json!({"verb": "START", "tag": tag(2).as_str(), "blob": "x", "opts": {
            "class": FREE, "left": "900", "key": "7f3a9c21e0b4d655",
            "extras": "home:9;copies:1;top:1;viewer:00000000b4d65521"}}),
        ),
        (
            "a rung that does not exist",
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
        client.send_json(&request);
        let end = client.next_message();
        assert_eq!(
            (&end["verb"], &end["rc"]),
            (&json!("FINISH"), &json!(100)),
            "{description}"
        );
    }
    assert!(
        harness.servers[0].take_events().is_empty(),
        "the server was connected to"
    );
    harness.wait_until_idle();
}

#[test]
fn a_client_that_sends_nothing_or_half_a_message_is_closed_and_one_with_a_session_stays() {
    let harness = Harness::start(1);
    let mut holder = harness.viewer();
    harness.establish(&mut holder, tag(1), FREE);
    let before = Instant::now();
    let (mut silent, mut half) = (harness.viewer(), harness.viewer());
    half.send(b"{\"verb\":\"START\",");
    assert!(silent.ends_without_message() && half.ends_without_message());
    assert!(
        before.elapsed().as_millis() < 3000,
        "closed within 3 s: {:?}",
        before.elapsed()
    );
    assert_eq!(holder.echo()["verb"], "ECHOED");
}

/// Guards against readers that overflow their stack: each kept its slot, so that after 112 lines the node accepted no viewer any
/// more, or the process ended.
#[test]
fn hundreds_of_lines_with_nested_json_do_not_keep_viewers_out() {
    const DEPTH: usize = 120;
    let harness = Harness::start(1);
    let nested = "{\"a\":".repeat(DEPTH) + "1" + &"}".repeat(DEPTH);
    let line = |verb: &str, opts: &str, rc: &str| {
        let id = tag(1);
        format!(
            "{{\"verb\":\"{verb}\",\"tag\":\"{id}\",\"blob\":\"x\",\"opts\":{opts},\"rc\":{rc}}}\n"
        )
    };
    let in_opts = format!("{{\"class\":{nested}}}");
    let lines = [
        line("START", &in_opts, "0"),
        line("FINISH", "{}", &nested),
        line("ECHO", "{}", &nested) + "noise\n",
    ];
    for text in lines.iter().cycle().take(300) {
        let mut client = harness.viewer();
        client.try_send(text.as_bytes());
        while !client.ends_without_message() {}
    }
    wait("no connection of the faulty clients is left", || {
        harness.node.counts().viewers == 0
    });
    let mut viewer = harness.viewer();
    harness.establish(&mut viewer, tag(2), FREE);
}

/// Guards against clients that stop amid a message and hold all connections until their messages have timed out: usual requests
/// then wait in the kernel for seconds (review, case 5). Only as many are closed as others need.
#[test]
fn clients_that_stop_amid_a_message_keep_nobody_waiting() {
    // With 64 descriptors the node has 16 connections for viewers.
    const ALL_CONNECTIONS: usize = 16;
    const USUAL_CLIENTS: u64 = 5;
    let harness = Harness::start_with(1, |c| c["limits"]["sockets"] = json!(64));
    let mut stopped: Vec<TestViewer> = (0..ALL_CONNECTIONS).map(|_| harness.viewer()).collect();
    for viewer in &mut stopped {
        viewer.try_send(br#"{"verb":"START","tag":"00000000000000aa","opts":{"class":"#);
    }
    for number in 0..USUAL_CLIENTS {
        let mut usual = harness.viewer();
        harness.establish(&mut usual, tag(number), FREE);
    }
    let open = stopped.iter().filter(|viewer| viewer.is_open()).count();
    assert!(
        open > 0,
        "usual clients were served before the others' messages timed out"
    );
}
