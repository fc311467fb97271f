//! Tests for the limits of connections: their number, their pending requests, their silence and their unread bytes.
use crate::support::{wait_until, Harness, TestPlayer, FREE, PAID, TEST_TIMEOUT};
use crankpaddle_session_api::client::ClientEvent;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use tungstenite::Message;

#[test]
fn pending_requests_of_a_connection_are_limited() {
    let harness = Harness::new(&[(
        "open_requests_per_connection: 64",
        "open_requests_per_connection: 3",
    )]);
    harness.set_faults_on_all(|faults| faults.hangs = true);
    let mut player = harness.connect_player();
    let titles = ["clip-00", "clip-01", "clip-02", "clip-04", "clip-05"];
    let calls: Vec<u64> = titles
        .iter()
        .map(|title| player.call_open_title(&format!("at-once-{title}"), PAID, title))
        .collect();
    for call in &calls[3..] {
        let event = player.receive();
        let ClientEvent::Refused {
            id,
            reason,
            retry_after_ms,
        } = &event
        else {
            panic!("{event:?}")
        };
        assert_eq!((id, reason.as_str()), (call, "too_many_open"));
        assert!(retry_after_ms.is_some());
    }
    let failed = (0..3)
        .map(|_| player.receive())
        .filter(|event| matches!(event, ClientEvent::Failed { .. }))
        .count();
    assert_eq!(failed, 3, "requests within the limit must be answered");
}

#[test]
fn silent_connections_and_incomplete_requests_are_closed_after_their_timeouts() {
    let harness = Harness::new(&[
        ("handshake: \"5s\"", "handshake: \"300ms\""),
        ("idle: \"30s\"", "idle: \"400ms\""),
    ]);
    for request in ["", "GET /session HT"] {
        let mut stream = harness.connect();
        stream.write_all(request.as_bytes()).unwrap();
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest); // A close and a reset both end the connection.
    }
    // A silent player is pinged, and closed if it does not answer.
    let mut silent = harness.connect_player();
    let mut bytes = [0; 2];
    silent.socket.get_mut().read_exact(&mut bytes).unwrap();
    assert_eq!(bytes, [0x89, 0], "a ping was expected");
    let mut rest = Vec::new();
    let _ = silent.socket.get_mut().read_to_end(&mut rest);
    // A player that answers pings stays connected.
    let mut responsive = harness.connect_player();
    let until = Instant::now() + Duration::from_millis(2500);
    while Instant::now() < until {
        assert!(matches!(responsive.socket.read(), Ok(Message::Ping(_))));
        responsive.socket.flush().unwrap();
    }
    let (_, event) = responsive.open_and_wait("still-there", FREE);
    assert!(matches!(event, ClientEvent::Plays { .. }));
}

#[test]
fn a_player_that_never_reads_is_disconnected_and_the_others_are_served() {
    let harness = Harness::new(&[("unread: \"64KiB\"", "unread: \"16KiB\"")]);
    let mut non_reading = harness.connect_player();
    // Each call is answered with an error that repeats the long method name; the player reads none of the answers.
    let text = format!(
        r#"{{"jsonrpc":"2.0","id":1,"method":"{}"}}"#,
        "x".repeat(30_000)
    );
    let until = Instant::now() + TEST_TIMEOUT;
    while non_reading.socket.send(Message::text(text.clone())).is_ok() {
        assert!(Instant::now() < until, "it was never disconnected");
    }
    let mut other = harness.connect_player();
    let (_, event) = other.open_and_wait("heard-all", FREE);
    assert!(matches!(event, ClientEvent::Plays { .. }), "{event:?}");
}

#[test]
fn connections_beyond_the_limit_are_rejected() {
    let harness = Harness::new(&[("connections: 8000", "connections: 5")]);
    wait_until("all other connections to end", || {
        harness
            .exchange(b"GET /health HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
            .contains("\"connections\":1")
    });
    let held: Vec<_> = (0..5).map(|_| harness.connect_player()).collect();
    let response = harness.exchange(b"");
    assert!(
        response.starts_with("HTTP/1.1 503 ") && response.contains("retry_after_ms"),
        "{response}"
    );
    drop(held);
    wait_until("a connection to be accepted again", || {
        harness
            .exchange(b"GET /health HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
            .contains("200 OK")
    });
}

/// Opens sessions at full speed and never reads, again as soon as it is disconnected, until `is_over` is set.
fn flood(address: SocketAddr, number: usize, is_over: &AtomicBool) {
    for connection in 0.. {
        let mut player = TestPlayer::connect(address);
        for call in 0.. {
            if is_over.load(Ordering::Relaxed) {
                return;
            }
            let key = format!("flood-{number}-{connection}-{call}");
            if !player.try_call_open(&key, FREE) {
                break;
            }
        }
    }
}

/// Guards against players that open sessions at full speed and never read: the event loop never waited, so the sockets that its
/// worker thread polls were not read until the flood was over, and handshakes there took 5 to 8 s.
#[test]
fn players_that_flood_keep_no_other_player_from_being_served() {
    const FLOODING_PLAYERS: usize = 12;
    const USUAL_PLAYERS: usize = 8;
    let harness = Harness::new(&[]);
    let address = harness.daemon.address();
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        for number in 0..FLOODING_PLAYERS {
            let is_over = &is_over;
            scope.spawn(move || flood(address, number, is_over));
        }
        let usual = scope.spawn(|| {
            for number in 0..USUAL_PLAYERS {
                let mut player = TestPlayer::connect(address);
                player.open_and_wait(&format!("usual-{number}"), FREE);
            }
        });
        let served = usual.join();
        is_over.store(true, Ordering::Relaxed);
        served.expect("each is answered during the flood");
    });
}
