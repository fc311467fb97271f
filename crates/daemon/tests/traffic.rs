//! Cross-zone traffic over sockets: budgets that keep previews in their zone, and accounts that agree with the servers and
//! survive a restart.
mod support;
use crankpaddle_cross_zone_traffic::report::TrafficReport;
use crankpaddle_daemon::Daemon;
use crankpaddle_session_api::client::ClientEvent;
use crankpaddle_testbed::crossing::crossed;
use crankpaddle_testbed::list_service::{entry, EndpointState};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use support::{wait_until, Harness, FREE, IDLE, PAID, TEST_TIMEOUT};

/// A budget that one session exceeds.
const TIGHT: (&str, &str) = (
    "log {",
    "budget { from: \"south\" to: \"north\" rate: \"1kB/s\" burst: \"1B\" repay: \"1s\" }\nlog {",
);

fn report(address: SocketAddr) -> TrafficReport {
    crankpaddle_traffic_report::fetch(&address, TEST_TIMEOUT).unwrap()
}

/// Fetches some media, and disconnects.
fn fetch_some(media: &str) {
    let (address, path) = media.trim_start_matches("http://").split_once('/').unwrap();
    let mut stream = std::net::TcpStream::connect(address).unwrap();
    write!(stream, "GET /{path} HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    let mut read = 0;
    let mut buffer = [0u8; 4096];
    while read < 1000 {
        // More than a head is media.
        let count = stream.read(&mut buffer).unwrap();
        assert!(count > 0, "it broke off after {read} bytes");
        read += count;
    }
}

fn account_path() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!(
        "crankpaddle-traffic-{}-{number}.json",
        std::process::id()
    ))
}

/// Opens sessions of a class one by one; returns the servers that they were established at.
fn open_sessions(harness: &Harness, class: &str, name: &str, count: usize) -> Vec<u32> {
    let mut player = harness.connect_player();
    let mut all = Vec::new();
    for number in 0..count {
        let call = player.call_open_title(&format!("{name}-{number:04}"), class, "clip-00");
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
                    all.push(server.id);
                    break;
                }
                ClientEvent::Refused { id, .. } if id == call => break,
                ClientEvent::Rung { .. } | ClientEvent::End { .. } => {}
                other => panic!("{other:?}"),
            }
        }
    }
    player.socket.close(None).unwrap();
    all
}

#[test]
fn previews_stay_in_their_zone_beyond_the_budget_and_paid_sessions_cross() {
    let harness = Harness::new(&[TIGHT]);
    // Uneven servers are in the south. One session that crosses uses the budget up, whichever class it has.
    let south = |id: &u32| id % 2 == 1;
    let first = open_sessions(&harness, FREE, "before", 12);
    assert!(
        first.iter().filter(|id| south(id)).count() <= 1,
        "{first:?}"
    );
    wait_until("the budget to be reported", || {
        report(harness.daemon.address()).budgets.len() == 1
    });
    // The northern zone is lost for this title's viewers: previews are rejected, paid sessions cross.
    for id in (0..12).filter(|id| !south(id)) {
        harness.fleet.crash(id);
        let address = harness.fleet.servers[id as usize].address;
        harness
            .list
            .change(entry(&harness.config, id, address, EndpointState::Gone, 0));
    }
    wait_until("the sessions to be over", || {
        harness.daemon.work_in_progress() == IDLE
    });
    wait_until("the front to see that its zone is lost", || {
        open_sessions(
            &harness,
            PAID,
            &format!("probing-{}", harness.count_seen(|_| true)),
            1,
        );
        report(harness.daemon.address()).budgets[0].overdraft_zone_down_bytes > 0
    });
    let paid = open_sessions(&harness, PAID, "paid", 6);
    assert!(paid.len() == 6 && paid.iter().all(south), "{paid:?}");
    let previews = open_sessions(&harness, FREE, "held", 6);
    assert!(previews.is_empty(), "{previews:?}");
    assert_eq!(harness.verdict().breaches, []);
}

#[test]
fn without_a_budget_previews_cross_zones() {
    let harness = Harness::new(&[]);
    let all = open_sessions(&harness, FREE, "free", 12);
    assert!(all.iter().any(|id| id % 2 == 1), "{all:?}");
    assert!(report(harness.daemon.address()).budgets.is_empty());
}

#[test]
fn a_fronts_traffic_report_equals_the_servers_logs_to_the_byte() {
    let harness = Harness::new(&[]);
    open_sessions(&harness, FREE, "one", 4);
    open_sessions(&harness, PAID, "two", 4);
    // Some media is fetched, and cut off within a segment.
    let mut player = harness.connect_player();
    let (_, event) = player.open_and_wait("fetched-1", FREE);
    let ClientEvent::Plays { media, session, .. } = event else {
        panic!("{event:?}")
    };
    fetch_some(&media);
    player.close_session(&session);
    wait_until("all to be settled", || {
        harness.daemon.work_in_progress() == IDLE
            && report(harness.daemon.address()).unsettled_sessions == 0
    });
    let logged = crossed(&harness.recorder.all(), &harness.config);
    let reported = report(harness.daemon.address());
    assert!(logged.bytes.values().sum::<u64>() > 0);
    for (crossing, bytes) in &logged.bytes {
        let (from, to, class) = (&crossing.from, &crossing.to, &crossing.class);
        let is_same = |flow: &&crankpaddle_cross_zone_traffic::report::FlowReport| {
            (&flow.from, &flow.to, &flow.class) == (from, to, class)
        };
        let sum: u64 = reported
            .flows
            .iter()
            .filter(is_same)
            .map(|flow| flow.bytes)
            .sum();
        assert_eq!(sum, *bytes, "{from} {to} {class}");
    }
}

#[test]
fn an_account_survives_a_restart_and_a_malformed_one_stops_the_start() {
    let path = account_path();
    let named = format!("front {{\n  traffic_file: {:?}", path.to_str().unwrap());
    let harness = Harness::new(&[]);
    let start = || {
        let text = support::front_text(&support::fleet_text(&[]), &harness.list.address, "")
            .replacen("front {", &named, 1);
        Daemon::start(crankpaddle_config::parse(&text).unwrap())
    };
    let total = |report: &TrafficReport| report.flows.iter().map(|flow| flow.bytes).sum::<u64>();
    let first = start().unwrap();
    let mut player = support::Player::connect(first.address());
    let mut attempts = 0;
    let media = loop {
        attempts += 1;
        if let (_, ClientEvent::Plays { media, .. }) =
            player.open_and_wait(&format!("kept-{attempts:04}"), FREE)
        {
            break media;
        }
        assert!(attempts < 10_000, "the list never came");
    };
    fetch_some(&media);
    player.socket.close(None).unwrap();
    wait_until("its bytes to be reported", || {
        total(&report(first.address())) > 0 && report(first.address()).unsettled_sessions == 0
    });
    let before = report(first.address());
    first.drain();
    first.wait();
    let second = start().unwrap();
    let after = report(second.address());
    assert_eq!(total(&after), total(&before));
    second.drain();
    second.wait();
    std::fs::write(&path, "{\"front\":").unwrap();
    let error = start().map(|_| ()).unwrap_err().to_string();
    assert!(error.contains("not a valid traffic report"), "{error}");
    std::fs::remove_file(&path).unwrap();
}
