//! Scenario: a budget keeps previews in their zone, and the traffic report shows it.
use crate::start_harness;
use crate::support::{wait_until, Harness, FREE, PAID};
use crate::transcript::{reason, RecordedPlayer, Transcript};
use crankpaddle_session_api::SessionApiVersion;
use crankpaddle_testbed::list_service::{entry, EndpointState};
use std::io::Write;
use std::net::TcpStream;

pub(crate) fn run(version: SessionApiVersion, transcript: &Transcript) {
    let budget = "budget { from: \"south\" to: \"north\" rate: \"1kB/s\" burst: \"1B\" repay: \"1s\" }\n\
        budget { from: \"south\" to: \"north\" class: \"licensed-view\" rate: \"0kB/s\" burst: \"1B\" }\nlog {";
    let harness = start_harness(&[("log {", budget)]);
    let address = harness.daemon.address();
    let mut player = RecordedPlayer::connect(address, version, transcript);
    remove_own_zone(&harness);
    let expected_reason = match version {
        SessionApiVersion::V2 => "held_at_home",
        SessionApiVersion::V1 => "no_room",
    };
    wait_until("previews to be rejected because of the budget", || {
        let key = format!("held-{:04}", player.calls);
        reason(&player.open(&key, FREE, "clip-00")) == expected_reason
    });
    let answer = player.open("paid-crosses", PAID, "clip-00");
    let media_url = answer["result"]["media"]
        .as_str()
        .expect("a paid session is established in another zone");
    let _stream = request_media(media_url);
    assert_eq!(
        transcript.get(address, "/members"),
        404,
        "no peers are configured"
    );
    assert_eq!(
        transcript.get(address, "/fleet"),
        404,
        "no store is configured"
    );
    transcript.get_until(
        "its bytes to be reported",
        address,
        "/traffic",
        |_, body| body.contains("\"hours\":[{"),
    );
}

/// Crashes the servers of the front's zone and removes them from the endpoint list.
fn remove_own_zone(harness: &Harness) {
    for id in (0..12).filter(|id| id % 2 == 0) {
        harness.fleet.crash(id);
        let address = harness.fleet.servers[id as usize].address;
        let removed = entry(&harness.config, id, address, EndpointState::Gone, 0);
        harness.list.change(removed);
    }
}

/// Requests a session's media, which the server sends as long as the returned connection is open.
fn request_media(media_url: &str) -> TcpStream {
    let (server, path) = media_url
        .trim_start_matches("http://")
        .split_once('/')
        .unwrap();
    let mut stream = TcpStream::connect(server).unwrap();
    write!(stream, "GET /{path} HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    stream
}
