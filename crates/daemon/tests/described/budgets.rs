//! A budget that keeps previews in their zone, and its report.
use crate::start_harness;
use crate::support::{wait_until, Harness, FREE, PAID};
use crate::transcript::{reason, RecordedPlayer, Transcript};
use crankpaddle_session_api::Version;
use crankpaddle_testbed::list_service::{entry, EndpointState};
use std::io::Write;
use std::net::TcpStream;

pub(crate) fn play(version: Version, transcript: &Transcript) {
    let budget = "budget { from: \"south\" to: \"north\" rate: \"1kB/s\" burst: \"1B\" repay: \"1s\" }\n\
        budget { from: \"south\" to: \"north\" class: \"licensed-view\" rate: \"0kB/s\" burst: \"1B\" }\nlog {";
    let harness = start_harness(&[("log {", budget)]);
    let address = harness.daemon.address();
    let mut player = RecordedPlayer::connect(address, version, transcript);
    remove_own_zone(&harness);
    let expected = match version {
        Version::V2 => "held_at_home",
        Version::V1 => "no_room",
    };
    wait_until("previews to be held at home", || {
        let key = format!("held-{:04}", player.calls);
        reason(&player.open(&key, FREE, "clip-00")) == expected
    });
    let answer = player.open("paid-crosses", PAID, "clip-00");
    let media = answer["result"]["media"]
        .as_str()
        .expect("paid service crosses");
    let _stream = fetch_media(media);
    assert_eq!(transcript.get(address, "/members"), 404, "it has no peers");
    assert_eq!(transcript.get(address, "/fleet"), 404, "it has no store");
    transcript.get_until(
        "its bytes to be reported",
        address,
        "/traffic",
        |_, body| body.contains("\"hours\":[{"),
    );
}

/// The servers of the front's zone crash, and the list says so.
fn remove_own_zone(harness: &Harness) {
    for id in (0..12).filter(|id| id % 2 == 0) {
        harness.fleet.crash(id);
        let address = harness.fleet.servers[id as usize].address;
        let removed = entry(&harness.config, id, address, EndpointState::Gone, 0);
        harness.list.change(removed);
    }
}

/// Requests media; they come as long as the connection is open.
fn fetch_media(media: &str) -> TcpStream {
    let (server, path) = media.trim_start_matches("http://").split_once('/').unwrap();
    let mut stream = TcpStream::connect(server).unwrap();
    write!(stream, "GET /{path} HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    stream
}
