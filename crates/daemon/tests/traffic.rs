//! Traffic between halls over sockets: budgets that hold previews at home, accounts that agree with the servers, and
//! survive.
mod rig;
use crankpaddle_cross_zone_traffic::report::TrafficReport;
use crankpaddle_daemon::Daemon;
use crankpaddle_session_api::client::ClientEvent;
use crankpaddle_testbed::crossing::crossed;
use crankpaddle_testbed::list_service::{entry, EndpointState};
use rig::{wait, Rig, FREE, LONG, PAID};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

/// A budget of which one session is more than all.
const TIGHT: (&str, &str) = (
    "log {",
    "budget { from: \"south\" to: \"north\" rate: \"1kB/s\" burst: \"1B\" repay: \"1s\" }\nlog {",
);

fn report(address: SocketAddr) -> TrafficReport {
    crankpaddle_traffic_report::fetch(&address, LONG).unwrap()
}

/// Fetches media until some of it has come, and breaks off.
fn fetch_some(media: &str) {
    let (address, path) = media.trim_start_matches("http://").split_once('/').unwrap();
    let mut stream = std::net::TcpStream::connect(address).unwrap();
    write!(stream, "GET /{path} HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    let (mut read, mut piece) = (0, [0u8; 4096]);
    while read < 1000 {
        // More than a head is media.
        let n = stream.read(&mut piece).unwrap();
        assert!(n > 0, "it broke off after {read} bytes");
        read += n;
    }
}

fn file() -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    std::env::temp_dir().join(format!(
        "crankpaddle-traffic-{}-{n}.json",
        std::process::id()
    ))
}

/// Plays sessions of a class one by one; gives the servers that they came to.
fn servers(rig: &Rig, class: &str, name: &str, count: usize) -> Vec<u32> {
    let mut player = rig.player();
    let mut all = Vec::new();
    for n in 0..count {
        let call = player.open_for(&format!("{name}-{n:04}"), class, "clip-00");
        loop {
            match player.hear() {
                ClientEvent::Plays { id, media, .. } if id == call => {
                    let address = media
                        .trim_start_matches("http://")
                        .split('/')
                        .next()
                        .unwrap()
                        .to_owned();
                    let server = rig
                        .fleet
                        .servers
                        .iter()
                        .find(|s| s.address.to_string() == address)
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
fn previews_stay_at_home_beyond_the_budget_and_paid_sessions_go_where_there_is_room() {
    let rig = Rig::new(&[TIGHT]);
    // Uneven servers are in the south. One session that crosses uses the budget up, whichever class it has.
    let south = |id: &u32| id % 2 == 1;
    let first = servers(&rig, FREE, "before", 12);
    assert!(
        first.iter().filter(|id| south(id)).count() <= 1,
        "{first:?}"
    );
    wait("the budget to be told as used up or not needed", || {
        report(rig.daemon.address()).budgets.len() == 1
    });
    // The hall of the north is lost for this title's viewers: previews get nothing, paid service crosses.
    for id in (0..12).filter(|id| !south(id)) {
        rig.fleet.crash(id);
        let address = rig.fleet.servers[id as usize].address;
        rig.list
            .change(entry(&rig.config, id, address, EndpointState::Gone, 0));
    }
    wait("the sessions to be over", || rig.daemon.counts() == (0, 0));
    wait("the front to know that its hall is gone", || {
        servers(&rig, PAID, &format!("probing-{}", rig.seen(|_| true)), 1);
        report(rig.daemon.address()).budgets[0].overdraft_zone_down_bytes > 0
    });
    let paid = servers(&rig, PAID, "paid", 6);
    assert!(paid.len() == 6 && paid.iter().all(south), "{paid:?}");
    let previews = servers(&rig, FREE, "held", 6);
    assert!(previews.is_empty(), "{previews:?}");
    assert_eq!(rig.verdict().breaches, []);
}

#[test]
fn without_a_budget_previews_cross_as_before() {
    let rig = Rig::new(&[]);
    let all = servers(&rig, FREE, "free", 12);
    assert!(all.iter().any(|id| id % 2 == 1), "{all:?}");
    assert!(report(rig.daemon.address()).budgets.is_empty());
}

#[test]
fn what_a_front_reports_is_what_the_servers_logged_to_the_byte() {
    let rig = Rig::new(&[]);
    servers(&rig, FREE, "one", 4);
    servers(&rig, PAID, "two", 4);
    // Some media is fetched, and cut off within a segment.
    let mut player = rig.player();
    let (_, said) = player.open_and_wait("fetched-1", FREE);
    let ClientEvent::Plays { media, session, .. } = said else {
        panic!("{said:?}")
    };
    fetch_some(&media);
    player.close_session(&session);
    wait("all to be settled", || {
        rig.daemon.counts() == (0, 0) && report(rig.daemon.address()).unsettled_sessions == 0
    });
    let logged = crossed(&rig.recorder.all(), &rig.config);
    let told = report(rig.daemon.address());
    assert!(logged.bytes.values().sum::<u64>() > 0);
    for (flow, bytes) in &logged.bytes {
        let (from, to, class) = (&flow.from, &flow.to, &flow.class);
        let of = |f: &&crankpaddle_cross_zone_traffic::report::FlowReport| {
            (&f.from, &f.to, &f.class) == (from, to, class)
        };
        let sum: u64 = told.flows.iter().filter(of).map(|f| f.bytes).sum();
        assert_eq!(sum, *bytes, "{from} {to} {class}");
    }
}

#[test]
fn an_account_is_kept_over_a_restart_and_a_broken_one_is_not_begun_anew() {
    let kept = file();
    let named = format!("front {{\n  traffic_file: {:?}", kept.to_str().unwrap());
    let rig = Rig::new(&[]);
    let start = || {
        let text =
            rig::front(&rig::text(&[]), &rig.list.address, "").replacen("front {", &named, 1);
        Daemon::start(crankpaddle_config::parse(&text).unwrap())
    };
    let total = |r: &TrafficReport| r.flows.iter().map(|f| f.bytes).sum::<u64>();
    let first = start().unwrap();
    let mut player = rig::Player::connect(first.address());
    let mut tries = 0;
    let media = loop {
        tries += 1;
        if let (_, ClientEvent::Plays { media, .. }) =
            player.open_and_wait(&format!("kept-{tries:04}"), FREE)
        {
            break media;
        }
        assert!(tries < 10_000, "the list never came");
    };
    fetch_some(&media);
    player.socket.close(None).unwrap();
    wait("its bytes to be told", || {
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
    std::fs::write(&kept, "{\"front\":").unwrap();
    let said = start().map(|_| ()).unwrap_err().to_string();
    assert!(said.contains("no account of traffic"), "{said}");
    std::fs::remove_file(&kept).unwrap();
}
