//! Tests for the start and the shutdown of a front, and for a start without the list service.
use crate::support::{self, front_text, wait_until, Harness, FREE, PAID};
use crankpaddle_session_api::client::ClientEvent;
use tungstenite::protocol::frame::coding::CloseCode;
use tungstenite::Message;

#[test]
fn without_the_list_service_a_front_starts_from_the_list_on_disk() {
    let text = support::fleet_text(&[]);
    let (config, fleet, recorder) = support::start_fleet(&text);
    let dir = std::env::temp_dir().join(format!("crankpaddle-cache-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let cache = dir.join("list.json");
    let cache_name = cache.to_string_lossy().into_owned();
    let start = |list: &std::net::SocketAddr| {
        let config = crankpaddle_config::parse(&front_text(&text, list, &cache_name)).unwrap();
        crankpaddle_daemon::Daemon::start(config).unwrap()
    };
    let list = support::start_list_service(&config, &fleet, &recorder);
    let first = start(&list.address);
    wait_until("the list on disk", || {
        std::fs::read_to_string(&cache).is_ok_and(|text| text.matches("address").count() == 12)
    });
    first.drain();
    first.wait();
    let unused_address = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let second = start(&unused_address);
    let (_, event) =
        support::TestPlayer::connect(second.address()).open_and_wait("from-the-disk", FREE);
    assert!(matches!(event, ClientEvent::Plays { .. }), "{event:?}");
    // A front also starts with a malformed list on disk, but it knows no servers.
    std::fs::write(&cache, "{").unwrap();
    let third = start(&unused_address);
    let (_, event) =
        support::TestPlayer::connect(third.address()).open_and_wait("without-list", FREE);
    assert!(matches!(event, ClientEvent::Refused { .. }), "{event:?}");
    std::fs::remove_dir_all(&dir).unwrap();
}

#[test]
fn a_draining_front_rejects_new_requests_answers_pending_ones_and_stops() {
    let harness = Harness::new(&[]);
    let mut playing = harness.connect_player();
    let (_, event) = playing.open_and_wait("plays-on", FREE);
    assert!(matches!(event, ClientEvent::Plays { .. }));
    harness.set_faults_on_all(|faults| faults.hangs = true);
    let mut waiting = harness.connect_player();
    let call = waiting.call_open("under-way", PAID);
    wait_until("the set-up to arrive", || {
        harness.set_ups_and_bills("under-way").0 == 1
    });
    harness.daemon.drain();
    let mut late = harness.connect_player();
    let (_, event) = late.open_and_wait("too-late", FREE);
    assert!(
        matches!(&event, ClientEvent::Refused { reason, .. } if reason == "stopping"),
        "{event:?}"
    );
    let health = harness.exchange(b"GET /health HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    assert!(
        health.starts_with("HTTP/1.1 503 ") && health.contains("draining"),
        "{health}"
    );
    harness.set_faults_on_all(|faults| faults.hangs = false);
    assert!(
        matches!(waiting.receive(), ClientEvent::Plays { id, .. } if id == call),
        "a pending request must be answered"
    );
    for player in [&mut playing, &mut waiting] {
        let event = player.receive();
        assert!(
            matches!(&event, ClientEvent::End { reason, .. } if reason == "stopping"),
            "{event:?}"
        );
        assert!(
            matches!(player.socket.read(), Ok(Message::Close(Some(frame))) if frame.code == CloseCode::Away)
        );
    }
    harness.daemon.wait();
    wait_until("the servers to end their streams", || {
        harness.fleet.streams() == 0
    });
}
