//! Tests for cross-zone traffic over sockets: budgets that keep previews in their zone, and traffic reports that agree
//! with the servers' records and survive a restart.
mod support;
use crankpaddle_cross_zone_traffic::report::TrafficReport;
use crankpaddle_daemon::Daemon;
use crankpaddle_session_api::client::ClientEvent;
use crankpaddle_testbed::crossing::cross_zone_traffic;
use crankpaddle_testbed::list_service::{entry, EndpointState};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use support::{wait_until, Harness, FREE, IDLE, PAID, TEST_TIMEOUT};

/// A configuration change that adds a budget so small that one session exceeds it.
const SMALL_BUDGET: (&str, &str) = (
    "log {",
    "budget { from: \"south\" to: \"north\" rate: \"1kB/s\" burst: \"1B\" repay: \"1s\" }\nlog {",
);

fn fetch_report(address: SocketAddr) -> TrafficReport {
    crankpaddle_traffic_report::fetch(&address, TEST_TIMEOUT).unwrap()
}

/// Fetches the first bytes of a session's media and disconnects.
fn fetch_some_media(media_url: &str) {
    let (address, path) = media_url
        .trim_start_matches("http://")
        .split_once('/')
        .unwrap();
    let mut stream = std::net::TcpStream::connect(address).unwrap();
    write!(stream, "GET /{path} HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    let mut received = 0;
    let mut buffer = [0u8; 4096];
    while received < 1000 {
        // A response header is shorter, so some of it is media.
        let count = stream.read(&mut buffer).unwrap();
        assert!(count > 0, "the media ended after {received} bytes");
        received += count;
    }
}

/// A path for a saved traffic report that no other test uses.
fn saved_report_path() -> PathBuf {
    static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
    let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!(
        "crankpaddle-traffic-{}-{number}.json",
        std::process::id()
    ))
}

/// Opens sessions of a class one after the other; returns the servers of those that were established.
fn open_sessions(harness: &Harness, class: &str, key_prefix: &str, count: usize) -> Vec<u32> {
    let mut player = harness.connect_player();
    let mut servers = Vec::new();
    for number in 0..count {
        let call = player.call_open_title(&format!("{key_prefix}-{number:04}"), class, "clip-00");
        loop {
            match player.receive() {
                ClientEvent::Plays { id, media, .. } if id == call => {
                    let address = media
                        .trim_start_matches("http://")
                        .split('/')
                        .next()
                        .unwrap()
                        .to_owned();
                    let server = harness
                        .fleet
                        .servers
                        .iter()
                        .find(|server| server.address.to_string() == address)
                        .unwrap();
                    servers.push(server.id);
                    break;
                }
                ClientEvent::Refused { id, .. } if id == call => break,
                ClientEvent::Rung { .. } | ClientEvent::End { .. } => {}
                other => panic!("{other:?}"),
            }
        }
    }
    player.socket.close(None).unwrap();
    servers
}

#[test]
fn beyond_the_budget_previews_stay_in_their_zone_and_paid_sessions_cross() {
    let harness = Harness::new(&[SMALL_BUDGET]);
    // Servers with odd numbers are in the south. One session of any class that crosses zones exhausts the budget.
    let is_in_south = |id: &u32| id % 2 == 1;
    let first = open_sessions(&harness, FREE, "before", 12);
    assert!(
        first.iter().filter(|id| is_in_south(id)).count() <= 1,
        "{first:?}"
    );
    wait_until("the budget to be reported", || {
        fetch_report(harness.daemon.address()).budgets.len() == 1
    });
    // All servers of the northern zone, in which the front is, crash: previews are rejected, paid sessions cross zones.
    for id in (0..12).filter(|id| !is_in_south(id)) {
        harness.fleet.crash(id);
        let address = harness.fleet.servers[id as usize].address;
        harness
            .list
            .change(entry(&harness.config, id, address, EndpointState::Gone, 0));
    }
    wait_until("all sessions to end", || {
        harness.daemon.work_in_progress() == IDLE
    });
    wait_until("the front to notice that its zone is down", || {
        open_sessions(
            &harness,
            PAID,
            &format!("probing-{}", harness.count_seen(|_| true)),
            1,
        );
        fetch_report(harness.daemon.address()).budgets[0].overdraft_zone_down_bytes > 0
    });
    let paid = open_sessions(&harness, PAID, "paid", 6);
    assert!(paid.len() == 6 && paid.iter().all(is_in_south), "{paid:?}");
    let previews = open_sessions(&harness, FREE, "held", 6);
    assert!(previews.is_empty(), "{previews:?}");
    assert_eq!(harness.verdict().breaches, []);
}

#[test]
fn without_a_budget_previews_cross_zones() {
    let harness = Harness::new(&[]);
    let servers = open_sessions(&harness, FREE, "free", 12);
    assert!(servers.iter().any(|id| id % 2 == 1), "{servers:?}");
    assert!(fetch_report(harness.daemon.address()).budgets.is_empty());
}

#[test]
fn a_fronts_traffic_report_equals_the_servers_records_to_the_byte() {
    let harness = Harness::new(&[]);
    open_sessions(&harness, FREE, "one", 4);
    open_sessions(&harness, PAID, "two", 4);
    // The first bytes of the media are fetched, then the connection is closed within a segment.
    let mut player = harness.connect_player();
    let (_, event) = player.open_and_wait("fetched-1", FREE);
    let ClientEvent::Plays { media, session, .. } = event else {
        panic!("{event:?}")
    };
    fetch_some_media(&media);
    player.close_session(&session);
    wait_until("all sessions to be settled", || {
        harness.daemon.work_in_progress() == IDLE
            && fetch_report(harness.daemon.address()).unsettled_sessions == 0
    });
    let recorded = cross_zone_traffic(&harness.recorder.all(), &harness.config);
    let reported = fetch_report(harness.daemon.address());
    assert!(recorded.bytes.values().sum::<u64>() > 0);
    for (crossing, bytes) in &recorded.bytes {
        let (from, to, class) = (&crossing.from, &crossing.to, &crossing.class);
        let is_same_flow = |flow: &&crankpaddle_cross_zone_traffic::report::FlowReport| {
            (&flow.from, &flow.to, &flow.class) == (from, to, class)
        };
        let sum: u64 = reported
            .flows
            .iter()
            .filter(is_same_flow)
            .map(|flow| flow.bytes)
            .sum();
        assert_eq!(sum, *bytes, "{from} {to} {class}");
    }
}

#[test]
fn a_saved_traffic_report_survives_a_restart_and_a_malformed_one_prevents_the_start() {
    let path = saved_report_path();
    let with_traffic_file = format!("front {{\n  traffic_file: {:?}", path.to_str().unwrap());
    let harness = Harness::new(&[]);
    let start = || {
        let text = support::front_text(&support::fleet_text(&[]), &harness.list.address, "")
            .replacen("front {", &with_traffic_file, 1);
        Daemon::start(crankpaddle_config::parse(&text).unwrap())
    };
    let total_bytes =
        |report: &TrafficReport| report.flows.iter().map(|flow| flow.bytes).sum::<u64>();
    let first = start().unwrap();
    let mut player = support::TestPlayer::connect(first.address());
    let mut attempts = 0;
    let media = loop {
        attempts += 1;
        if let (_, ClientEvent::Plays { media, .. }) =
            player.open_and_wait(&format!("kept-{attempts:04}"), FREE)
        {
            break media;
        }
        assert!(attempts < 10_000, "the endpoint list never arrived");
    };
    fetch_some_media(&media);
    player.socket.close(None).unwrap();
    wait_until("its bytes to be reported", || {
        total_bytes(&fetch_report(first.address())) > 0
            && fetch_report(first.address()).unsettled_sessions == 0
    });
    let before = fetch_report(first.address());
    first.drain();
    first.wait();
    let second = start().unwrap();
    let after = fetch_report(second.address());
    assert_eq!(total_bytes(&after), total_bytes(&before));
    second.drain();
    second.wait();
    std::fs::write(&path, "{\"front\":").unwrap();
    let error = start().map(|_| ()).unwrap_err().to_string();
    assert!(error.contains("not a valid traffic report"), "{error}");
    std::fs::remove_file(&path).unwrap();
}
