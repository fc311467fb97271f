//! Scenario: HTTP requests, the fleet's members, the limit of connections, and the shutdown of a front.
use crate::start_harness;
use crate::support::{wait_until, Harness, FREE, PAID};
use crate::transcript::{open_params, reason, RecordedPlayer, Transcript};
use crankpaddle_membership::{Membership, MembershipConfig, MembershipOutput};
use crankpaddle_session_api::SessionApiVersion;
use crankpaddle_time::Time;
use serde_json::json;
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

pub(crate) fn run(version: SessionApiVersion, transcript: &Transcript) {
    let key = write_key(version);
    report_no_members(&key, transcript);
    let seed = start_member();
    let peers = format!(
        "peers {{ name: \"a\" listen: \"127.0.0.1:0\" seed: \"{seed}\" key_file: {key:?} probe_every: \"100ms\" }}\nlog {{"
    );
    let harness = start_harness(&[("log {", &peers)]);
    let address = harness.daemon.address();
    transcript.get_until("the other member", address, "/members", |status, body| {
        assert_eq!(status, 200);
        body.contains("rtt_us") && body.contains("connected")
    });
    fetch_descriptions(transcript, address);
    send_requests(transcript, address);
    wait_for_connections_to_end(transcript, address);
    drop(harness);
    // The limit of three connections needs a front of its own. A connection counts until the front has noticed its end,
    // so the requests above would exceed the limit.
    let limited = start_harness(&[("connections: 8000", "connections: 3"), ("log {", &peers)]);
    wait_for_connections_to_end(transcript, limited.daemon.address());
    fill_connections_and_stop(version, &limited, transcript);
}

/// Waits until the connection that requests the count is the only open one.
fn wait_for_connections_to_end(transcript: &Transcript, address: SocketAddr) {
    transcript.get_until("connections to end", address, "/health", |status, body| {
        status == 200 && body.contains("\"connections\":1")
    });
}

fn write_key(version: SessionApiVersion) -> PathBuf {
    let key = std::env::temp_dir().join(format!(
        "crankpaddle-described-{}-{version:?}",
        std::process::id()
    ));
    std::fs::write(&key, "00112233445566778899aabbccddeeff").unwrap();
    key
}

fn report_no_members(key: &Path, transcript: &Transcript) {
    let alone =
        format!("peers {{ name: \"b\" listen: \"127.0.0.1:0\" key_file: {key:?} }}\nlog {{");
    let alone = start_harness(&[("log {", &alone)]);
    assert_eq!(transcript.get(alone.daemon.address(), "/members"), 200);
}

/// Starts a simulated member of the fleet, which runs until the test process ends; returns its address.
fn start_member() -> SocketAddr {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket
        .set_read_timeout(Some(Duration::from_millis(5)))
        .unwrap();
    let address = socket.local_addr().unwrap();
    let config = MembershipConfig {
        name: "played".into(),
        address: address.to_string(),
        epoch: 1,
        incarnation: 1,
        key: 0x0011_2233_4455_6677_8899_aabb_ccdd_eeff_u128.to_be_bytes(),
        probe_interval: Duration::from_nanos(100_000_000),
        probe_timeout: Duration::from_nanos(40_000_000),
        ..MembershipConfig::default()
    };
    std::thread::spawn(move || run_member(config, &socket));
    address
}

fn run_member(config: MembershipConfig, socket: &UdpSocket) {
    let mut membership = Membership::new(config, 1, Time(0));
    let started_at = Instant::now();
    let now = || Time(started_at.elapsed().as_nanos() as u64);
    loop {
        let mut outputs = Vec::new();
        let mut buffer = [0u8; 2048];
        if let Ok((length, from)) = socket.recv_from(&mut buffer) {
            membership.receive(now(), &from.to_string(), &buffer[..length], &mut outputs);
        }
        membership.expire(now(), &mut outputs);
        for output in outputs {
            if let MembershipOutput::Send { address, bytes, .. } = output {
                let _ = socket.send_to(&bytes, address); // The protocol tolerates lost datagrams.
            }
        }
    }
}

fn fetch_descriptions(transcript: &Transcript, address: SocketAddr) {
    for path in [
        "/api",
        "/api/openapi.json",
        "/api/session.v1.asyncapi.json",
        "/api/session.v2.asyncapi.json",
    ] {
        assert_eq!(transcript.get(address, path), 200);
    }
}

fn send_requests(transcript: &Transcript, address: SocketAddr) {
    let long = format!(
        "GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n",
        "y".repeat(20_000)
    );
    let upgrade =
        "GET /session HTTP/1.1\r\nhost: a\r\nupgrade: websocket\r\nconnection: upgrade\r\n";
    for (request, status) in [
        (
            "GET /health HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
            200,
        ),
        (
            "GET /nothing HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
            404,
        ),
        (
            "DELETE /health HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
            405,
        ),
        (
            "DELETE /api/openapi.json HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
            405,
        ),
        ("nonsense\r\n\r\n", 400),
        (
            "POST /health HTTP/1.1\r\nhost: a\r\ncontent-length: 9999999\r\n\r\n",
            413,
        ),
        (&long, 431),
        (
            "GET /session HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
            426,
        ),
        (
            &format!("{upgrade}sec-websocket-version: 13\r\nsec-websocket-key: no\r\n\r\n"),
            400,
        ),
    ] {
        assert_eq!(transcript.http(address, request), status, "{request}");
    }
}

fn fill_connections_and_stop(
    version: SessionApiVersion,
    harness: &Harness,
    transcript: &Transcript,
) {
    let address = harness.daemon.address();
    let connect = || RecordedPlayer::connect(address, version, transcript);
    let mut player = connect();
    let opened = player.open("to-the-end-1", FREE, "clip-00");
    assert!(opened["result"].is_object(), "{opened}");
    let others = [connect(), connect()];
    assert_eq!(transcript.get(address, "/session"), 503);
    drop(others);
    // One request is kept pending, so that the front is still draining while the player is notified of the shutdown.
    harness.set_faults_on_all(|faults| faults.hangs = true);
    player.send_call("session.open", open_params("kept-waiting", PAID, "clip-01"));
    wait_until("its attempt to arrive at a server", || {
        harness.set_ups_and_bills("kept-waiting").0 == 1
    });
    harness.daemon.drain();
    wait_until("the front to drain", || {
        transcript.get(address, "/health") == 503
    });
    let rejected = player.open("too-late-now", FREE, "clip-02");
    assert_eq!(reason(&rejected), "stopping");
    let ended = player.notification("session.end");
    assert_eq!(
        (&ended["reason"], ended["retry_after_ms"].is_u64()),
        (&json!("stopping"), true)
    );
}
