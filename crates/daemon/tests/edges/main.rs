//! What comes to the listener that is no well-behaved player: malformed frames, JSON and HTTP, oversize, half-open
//! sockets, players that never read, and more than the front may take.
#![allow(clippy::too_many_lines)] // What cannot hold yet; the list is in docs/ROADMAP.md.
mod support;
use crankpaddle_session_api::client::{self, ClientEvent};
use crankpaddle_testbed::record::Seen;
use std::io::{Read, Write};
use std::time::{Duration, Instant};
use support::{front, wait, Rig, FREE, LONG, PAID};
use tungstenite::protocol::frame::coding::CloseCode;
use tungstenite::Message;

/// The code that the front closes a WebSocket with after these bytes.
fn closed_with(rig: &Rig, bytes: &[u8]) -> CloseCode {
    let mut player = rig.player();
    player.socket.get_mut().write_all(bytes).unwrap();
    loop {
        match player.socket.read() {
            Ok(Message::Close(Some(frame))) => return frame.code,
            Ok(_) => {}
            Err(e) => panic!("no close frame: {e}"),
        }
    }
}

/// A client's frame, masked with zeros.
fn frame(first: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = vec![first];
    match payload.len() {
        n @ 0..126 => bytes.push(0x80 | n as u8),
        n @ 126..65536 => bytes.extend([0x80 | 126, (n >> 8) as u8, n as u8]),
        n => bytes.extend([&[0x80 | 127][..], &(n as u64).to_be_bytes()].concat()),
    }
    bytes.extend([0; 4]);
    bytes.extend(payload);
    bytes
}

#[test]
fn malformed_frames_close_the_connection_with_their_code_and_harm_no_other() {
    let rig = Rig::new(&[]);
    let mut other = rig.player();
    for (what, bytes, code) in [
        ("unmasked", vec![0x81, 2, b'{', b'}'], CloseCode::Protocol),
        ("reserved bits", frame(0xf1, b"{}"), CloseCode::Protocol),
        ("reserved opcode", frame(0x83, b"{}"), CloseCode::Protocol),
        (
            "a continuation of nothing",
            frame(0x80, b"{}"),
            CloseCode::Protocol,
        ),
        ("a fragmented ping", frame(0x09, b""), CloseCode::Protocol),
        (
            "a ping that is too long",
            frame(0x89, &[0; 126]),
            CloseCode::Protocol,
        ),
        (
            "a text that is no UTF-8",
            frame(0x81, &[0xff, 0xfe]),
            CloseCode::Invalid,
        ),
        ("binary", frame(0x82, b"{}"), CloseCode::Unsupported),
        ("oversize", frame(0x81, &[b' '; 70_000]), CloseCode::Size),
        (
            "oversize in pieces",
            [frame(0x01, &[b' '; 60_000]), frame(0x80, &[b' '; 60_000])].concat(),
            CloseCode::Size,
        ),
    ] {
        assert_eq!(closed_with(&rig, &bytes), code, "{what}");
    }
    let (_, said) = other.open_and_wait("unharmed-by-it", FREE);
    assert!(matches!(said, ClientEvent::Plays { .. }), "{said:?}");
}

#[test]
fn fragments_pings_and_closes_are_as_the_protocol_has_them() {
    let rig = Rig::new(&[]);
    let mut player = rig.player();
    let text = br#"{"jsonrpc":"2.0","id":7,"method":"session.close","params":{"session":"s-0"}}"#;
    let (a, b) = text.split_at(20);
    let mixed = [
        frame(0x01, a),
        frame(0x89, b"are you there"),
        frame(0x80, b),
    ]
    .concat();
    // A byte at a time: no piece of it is whole.
    for byte in mixed {
        player.socket.get_mut().write_all(&[byte]).unwrap();
    }
    assert_eq!(
        player.socket.read().unwrap(),
        Message::Pong("are you there".into())
    );
    assert_eq!(player.hear(), ClientEvent::Unknown { id: 7 });
    player.socket.close(None).unwrap();
    assert!(matches!(
        player.socket.read(),
        Ok(Message::Close(_)) | Err(tungstenite::Error::ConnectionClosed)
    ));
}

#[test]
fn malformed_calls_are_answered_with_the_standard_codes() {
    let rig = Rig::new(&[]);
    let mut player = rig.player();
    for (text, code) in [
        ("{", -32700),
        ("[]", -32600),
        ("5", -32600),
        (r#"{"jsonrpc":"2.0","id":1,"method":"session.fly"}"#, -32601),
        (
            r#"{"jsonrpc":"2.0","id":1,"method":"session.open","params":{"key":"12345678"}}"#,
            -32602,
        ),
        (
            r#"{"jsonrpc":"2.0","id":1,"method":"session.open","params":{"key":"12345678","title":"none","class":"preview"}}"#,
            -32602,
        ),
        (
            r#"{"jsonrpc":"2.0","id":1,"method":"session.open","params":{"key":"12345678","title":"clip-01","class":"x"}}"#,
            -32602,
        ),
        (
            r#"{"jsonrpc":"2.0","id":1,"method":"session.open","params":{"key":"12345678","title":"clip-01","class":"preview","tenant":"x"}}"#,
            -32602,
        ),
    ] {
        player.say(text);
        assert!(
            matches!(player.hear(), ClientEvent::Error { code: c, .. } if c == code),
            "{text}"
        );
    }
    // Notifications are never answered, whatever is wrong with them, and set nothing up.
    player.say(r#"{"jsonrpc":"2.0","method":"session.fly"}"#);
    player.say(r#"{"jsonrpc":"2.0","method":"session.open","params":{"key":"unanswered","title":"clip-01","class":"preview"}}"#);
    player
        .say(r#"{"jsonrpc":"2.0","id":3,"method":"session.resume","params":{"key":"unanswered"}}"#);
    assert_eq!(player.hear(), ClientEvent::Unknown { id: 3 });
    assert_eq!(rig.of_key("unanswered"), (0, 0));
}

#[test]
fn a_batch_of_a_thousand_requests_gets_a_thousand_answers_in_one() {
    let rig = Rig::new(&[
        ("message: \"64KiB\"", "message: \"1MiB\""),
        ("unread: \"64KiB\"", "unread: \"4MiB\""),
        (
            "open_requests_per_connection: 64",
            "open_requests_per_connection: 1000",
        ),
    ]);
    let mut player = rig.player();
    let open = |n: u32| {
        format!(
            r#"{{"jsonrpc":"2.0","id":{n},"method":"session.open","params":{{"key":"batch-{n:04}","title":"clip-{:02}","class":"preview"}}}}"#,
            n % 24
        )
    };
    let calls: Vec<String> = (0..1000).map(open).collect();
    player.say(format!("[{}]", calls.join(",")));
    let Message::Text(text) = player.socket.read().unwrap() else {
        panic!()
    };
    let mut ids: Vec<u64> = client::read(&text)
        .unwrap()
        .iter()
        .map(|said| match said {
            ClientEvent::Plays { id, .. }
            | ClientEvent::Refused { id, .. }
            | ClientEvent::Failed { id, .. } => *id,
            other => panic!("{other:?}"),
        })
        .collect();
    ids.sort_unstable();
    assert_eq!(ids, (0..1000).collect::<Vec<u64>>());
    drop(player);
    wait("all to end", || {
        rig.daemon.counts() == (0, 0) && rig.fleet.streams() == 0
    });
    assert_eq!(rig.verdict().breaches, []);
}

#[test]
fn a_notice_of_a_session_never_overtakes_the_batch_that_answers_it() {
    let rig = Rig::new(&[]);
    // clip-05 lies in cells 1 to 3 and comes to play at once; clip-18, in cells 6 to 8, is asked for in vain.
    (6..9).for_each(|id| rig.fleet.set_mode(id, |m| m.hangs = true));
    let mut player = rig.player();
    let open = |id: u32, title: &str| {
        format!(
            r#"{{"jsonrpc":"2.0","id":{id},"method":"session.open","params":{{"key":"ordered-{id}","title":"{title}","class":"{PAID}"}}}}"#
        )
    };
    player.say(format!("[{},{}]", open(1, "clip-05"), open(2, "clip-18")));
    wait("the first to be set up", || {
        rig.fleet.streams() > 0 && rig.of_key("ordered-1").1 == 1
    });
    // Its server is lost while the batch still waits for the other answer.
    wait("the front to know", || rig.daemon.counts() == (1, 1));
    (1..4).for_each(|id| rig.fleet.crash(id));
    // The other may have been given up by then, on a slow machine; the order is the same.
    wait("the front to see it", || rig.daemon.counts().1 == 0);
    let Message::Text(first) = player.socket.read().unwrap() else {
        panic!()
    };
    let answers = client::read(&first).unwrap();
    assert_eq!(answers.len(), 2, "the batch comes first: {first}");
    let session = answers.iter().find_map(|said| match said {
        ClientEvent::Plays { id: 1, session, .. } => Some(session.clone()),
        _ => None,
    });
    let ended = player.hear();
    assert!(
        matches!(&ended, ClientEvent::End { session: s, .. } if Some(s) == session.as_ref()),
        "{ended:?}"
    );
}

#[test]
fn a_connection_may_only_wait_for_so_much_at_once() {
    let rig = Rig::new(&[(
        "open_requests_per_connection: 64",
        "open_requests_per_connection: 3",
    )]);
    rig.modes(|m| m.hangs = true);
    let mut player = rig.player();
    let titles = ["clip-00", "clip-01", "clip-02", "clip-04", "clip-05"];
    let calls: Vec<u64> = titles
        .iter()
        .map(|t| player.open_for(&format!("at-once-{t}"), PAID, t))
        .collect();
    for call in &calls[3..] {
        let said = player.hear();
        let ClientEvent::Refused {
            id,
            reason,
            retry_after_ms,
        } = &said
        else {
            panic!("{said:?}")
        };
        assert_eq!((id, reason.as_str()), (call, "too_many_open"));
        assert!(retry_after_ms.is_some());
    }
    let failed = (0..3)
        .map(|_| player.hear())
        .filter(|s| matches!(s, ClientEvent::Failed { .. }))
        .count();
    assert_eq!(failed, 3, "the others are answered in their time");
}

#[test]
fn http_is_answered_as_http() {
    let rig = Rig::new(&[]);
    let get = |path: &str, more: &str| {
        format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{more}\r\n")
    };
    let upgrade = "upgrade: websocket\r\nconnection: upgrade\r\n";
    let key = "sec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n";
    for (request, status, said) in [
        (get("/health", ""), "200", "\"state\":\"ready\""),
        (get("/nothing", ""), "404", "application/problem+json"),
        (get("/traffic", ""), "200", "application/json"),
        (get("/session", ""), "426", "upgrade: websocket"),
        ("DELETE /health HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n".into(), "405", "allow: GET"),
        ("nonsense\r\n\r\n".into(), "400", "application/problem+json"),
        ("GET / HTTP/1.1\r\n\r\n".into(), "400", "one Host field"),
        (format!("GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "y".repeat(20_000)), "431", "problem"),
        (
            "POST /health HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n"
                .into(),
            "400",
            "contradict",
        ),
        ("POST /health HTTP/1.1\r\nhost: a\r\ncontent-length: 9999999\r\n\r\n".into(), "413", "problem"),
        (
            get("/session", &format!("{upgrade}{key}sec-websocket-version: 12\r\n")),
            "426",
            "sec-websocket-version: 13",
        ),
        (
            get("/session", &format!("{upgrade}sec-websocket-key: abc\r\nsec-websocket-version: 13\r\n")),
            "400",
            "16 bytes",
        ),
        (get("/else", &format!("{upgrade}{key}sec-websocket-version: 13\r\n")), "404", "/session"),
        (
            get(
                "/session",
                &format!("{upgrade}{key}sec-websocket-version: 13\r\nsec-websocket-protocol: chat\r\n"),
            ),
            "400",
            "subprotocol",
        ),
    ] {
        let request = if request.contains("sec-websocket") {
            request.replace("connection: close\r\n", "")
        } else {
            request
        };
        let answer = rig.exchange(request.as_bytes());
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{request}\n{answer}");
        assert!(answer.contains(said), "{request}\n{answer}");
    }
    // The example of RFC 6455, 1.3, without a subprotocol, and two requests on one connection before it.
    let mut stream = rig.raw();
    let health = "GET /health HTTP/1.1\r\nhost: a\r\n\r\n";
    let shake = format!(
        "GET /session HTTP/1.1\r\nhost: a\r\n{upgrade}{key}sec-websocket-version: 13\r\n\r\n"
    );
    stream
        .write_all(format!("{health}{health}{shake}").as_bytes())
        .unwrap();
    let (mut seen, mut piece) = (String::new(), [0; 4096]);
    while !seen.contains("s3pPLMBiTxaQ9kYGzzhZRbK+xOo=") {
        let n = stream.read(&mut piece).unwrap();
        assert!(n > 0, "{seen}");
        seen.push_str(&String::from_utf8_lossy(&piece[..n]));
    }
    assert_eq!(
        (
            seen.matches("200 OK").count(),
            seen.contains("sec-websocket-protocol")
        ),
        (2, false)
    );
}

#[test]
fn half_open_and_half_said_connections_are_closed_after_their_time() {
    let rig = Rig::new(&[
        ("handshake: \"5s\"", "handshake: \"300ms\""),
        ("idle: \"30s\"", "idle: \"400ms\""),
    ]);
    for said in ["", "GET /session HT"] {
        let mut stream = rig.raw();
        stream.write_all(said.as_bytes()).unwrap();
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest); // Closed or reset: it is over either way.
    }
    // A player that is silent is pinged; one that does not answer that is closed.
    let mut silent = rig.player();
    let mut bytes = [0; 2];
    silent.socket.get_mut().read_exact(&mut bytes).unwrap();
    assert_eq!(bytes, [0x89, 0], "a ping");
    let mut rest = Vec::new();
    let _ = silent.socket.get_mut().read_to_end(&mut rest);
    // One that answers pings stays.
    let mut lively = rig.player();
    let until = Instant::now() + Duration::from_millis(2500);
    while Instant::now() < until {
        assert!(matches!(lively.socket.read(), Ok(Message::Ping(_))));
        lively.socket.flush().unwrap();
    }
    let (_, said) = lively.open_and_wait("still-there", FREE);
    assert!(matches!(said, ClientEvent::Plays { .. }));
}

#[test]
fn a_player_that_never_reads_is_cut_and_the_others_are_served() {
    let rig = Rig::new(&[("unread: \"64KiB\"", "unread: \"16KiB\"")]);
    let mut deaf = rig.player();
    // Each call is answered by an error that repeats its long method; nothing of it is ever read.
    let text = format!(
        r#"{{"jsonrpc":"2.0","id":1,"method":"{}"}}"#,
        "x".repeat(30_000)
    );
    let until = Instant::now() + LONG;
    while deaf.socket.send(Message::text(text.clone())).is_ok() {
        assert!(Instant::now() < until, "it is never cut");
    }
    let mut other = rig.player();
    let (_, said) = other.open_and_wait("heard-all", FREE);
    assert!(matches!(said, ClientEvent::Plays { .. }), "{said:?}");
}

#[test]
fn more_connections_than_allowed_are_told_so() {
    let rig = Rig::new(&[("connections: 8000", "connections: 5")]);
    wait("the probe's connection to end", || {
        rig.exchange(b"GET /health HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
            .contains("\"connections\":1")
    });
    let held: Vec<_> = (0..5).map(|_| rig.player()).collect();
    let answer = rig.exchange(b"");
    assert!(
        answer.starts_with("HTTP/1.1 503 ") && answer.contains("retry_after_ms"),
        "{answer}"
    );
    drop(held);
    wait("room", || {
        rig.exchange(b"GET /health HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
            .contains("200 OK")
    });
}

#[test]
fn without_the_list_service_a_front_starts_from_the_list_on_disk() {
    let text = support::text(&[]);
    let (config, fleet, recorder) = support::fleet(&text);
    let dir = std::env::temp_dir().join(format!("crankpaddle-cache-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let cache = dir.join("list.json");
    let cache_name = cache.to_string_lossy().into_owned();
    let start = |list: &std::net::SocketAddr| {
        let config = crankpaddle_config::parse(&front(&text, list, &cache_name)).unwrap();
        crankpaddle_daemon::Daemon::start(config).unwrap()
    };
    let list = support::list(&config, &fleet, &recorder);
    let first = start(&list.address);
    wait("the list on disk", || {
        std::fs::read_to_string(&cache).is_ok_and(|t| t.matches("address").count() == 12)
    });
    first.drain();
    first.wait();
    let gone = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let second = start(&gone);
    let (_, said) = support::Player::connect(second.address()).open_and_wait("from-the-disk", FREE);
    assert!(matches!(said, ClientEvent::Plays { .. }), "{said:?}");
    // A copy that is broken keeps no front from starting.
    std::fs::write(&cache, "{").unwrap();
    let third = start(&gone);
    let (_, said) = support::Player::connect(third.address()).open_and_wait("without-list", FREE);
    assert!(matches!(said, ClientEvent::Refused { .. }), "{said:?}");
    std::fs::remove_dir_all(&dir).unwrap();
}

#[test]
fn a_front_that_drains_takes_nothing_new_answers_what_is_under_way_and_ends() {
    let rig = Rig::new(&[]);
    let mut playing = rig.player();
    let (_, said) = playing.open_and_wait("plays-on", FREE);
    assert!(matches!(said, ClientEvent::Plays { .. }));
    rig.modes(|m| m.hangs = true);
    let mut waiting = rig.player();
    let call = waiting.open("under-way", PAID);
    wait("the set-up to arrive", || rig.of_key("under-way").0 == 1);
    rig.daemon.drain();
    let mut late = rig.player();
    let (_, said) = late.open_and_wait("too-late", FREE);
    assert!(
        matches!(&said, ClientEvent::Refused { reason, .. } if reason == "stopping"),
        "{said:?}"
    );
    let health = rig.exchange(b"GET /health HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    assert!(
        health.starts_with("HTTP/1.1 503 ") && health.contains("draining"),
        "{health}"
    );
    rig.modes(|m| m.hangs = false);
    assert!(
        matches!(waiting.hear(), ClientEvent::Plays { id, .. } if id == call),
        "what was under way is answered"
    );
    for player in [&mut playing, &mut waiting] {
        let said = player.hear();
        assert!(
            matches!(&said, ClientEvent::End { reason, .. } if reason == "stopping"),
            "{said:?}"
        );
        assert!(
            matches!(player.socket.read(), Ok(Message::Close(Some(f))) if f.code == CloseCode::Away)
        );
    }
    rig.daemon.wait();
    wait("the servers to be told", || rig.fleet.streams() == 0);
}

/// Danger: with the list service gone nobody tells of a start, and a front that held nothing at a server would meet it as a warm one.
#[test]
fn while_nobody_tells_of_starts_each_server_is_listened_to_and_one_that_starts_is_cold() {
    let rig = Rig::new(&[]);
    rig.list.set_gone(true);
    wait("each server to be listened to", || {
        rig.fleet.servers.iter().all(|s| s.listeners() > 0)
    });
    for id in 0..12 {
        rig.fleet.crash(id);
        rig.fleet.restart(id).unwrap();
    }
    wait("each to be listened to again", || {
        rig.fleet.servers.iter().all(|s| s.listeners() > 0)
    });
    let mut player = rig.player();
    // Either it plays, which takes a server's work, or no turn is there, which shows that starts are known.
    player.open_and_wait("first-alone", FREE);
    let (calls, mut answers) = (40, 0);
    for n in 0..calls {
        player.open(&format!("burst-{n:04}"), FREE);
    }
    while answers < calls {
        answers += usize::from(matches!(
            player.hear(),
            ClientEvent::Plays { .. } | ClientEvent::Refused { .. } | ClientEvent::Failed { .. }
        ));
    }
    // Each has its turn in time.
    wait("a turn", || {
        let mut player = rig.player();
        let key = format!("later-{}", rig.seen(|_| true));
        matches!(
            player.open_and_wait(&key, FREE).1,
            ClientEvent::Plays { .. }
        )
    });
    assert_eq!(rig.seen(|s| matches!(s, Seen::Fell { .. })), 0);
    assert_eq!(rig.verdict().breaches, []);
}
