//! Where two events cross: each bad order is made to happen, by a gate that holds the node's worker or by a peer that withholds
//! what it owes. The table is in `docs/front-node.md`.
mod rig;
use crankpaddle::Event;
use rig::*;
use rustix::net::sockopt::set_socket_recv_buffer_size;
use serde_json::{json, Value};
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A gate holds the one worker of this process, so these go one by one.
fn alone() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::new(());
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

fn asked(event: &Event) -> bool {
    matches!(event, Event::Ask(_))
}

/// A long time for connects, so that the kernel's second try (after 1 s) still counts.
fn patient(config: &mut Value) {
    config["settings"]["limits"]["connect-timeout"] = json!(2_000_000_000u64);
}

fn until(since: Instant, time: Duration) {
    std::thread::sleep(time.saturating_sub(since.elapsed())); // The rule itself is one of time.
}

// ---- a viewer that goes ----

/// A viewer goes while the module decides on its set-up: nothing may leave for it.
fn goes_before_the_first_attempt(goes: impl FnOnce(Viewer) -> Option<Viewer>) {
    let _alone = alone();
    let (gate, tap) = Gate::at(asked);
    let rig = Rig::start_tapped(1, |_| {}, Some(tap));
    let mut viewer = rig.viewer();
    gate.arm();
    viewer.start(tag(1), PAID, 15_000);
    gate.reached();
    let stays = goes(viewer);
    gate.open();
    rig.idle();
    drop(stays);
    wait("its connection is gone", || rig.node.counts().viewers == 0);
    assert!(!rig.servers[0].heard_set_up(), "a set-up left for a viewer who had gone");
}

#[test]
fn who_closes_before_the_first_attempt_has_none() {
    goes_before_the_first_attempt(|viewer| {
        drop(viewer);
        None
    });
}

#[test]
fn who_breaks_off_before_the_first_attempt_has_none() {
    goes_before_the_first_attempt(|viewer| {
        viewer.reset();
        None
    });
}

#[test]
fn who_cancels_before_the_first_attempt_has_none() {
    goes_before_the_first_attempt(|mut viewer| {
        viewer.finish(tag(1), 16);
        Some(viewer)
    });
}

#[test]
fn who_closes_between_two_attempts_has_no_second() {
    let _alone = alone();
    let (gate, tap) = Gate::at(|event| matches!(event, Event::Ended { .. }));
    let rig = Rig::start_tapped(2, |_| {}, Some(tap));
    let mut viewer = rig.viewer();
    viewer.start(tag(1), FREE, 15_000);
    let (server, conn, _) = rig.set_up();
    gate.arm();
    server.send(conn, &response(500, 1, tag(1), "", ""));
    gate.reached();
    drop(viewer);
    gate.open();
    rig.idle();
    assert!(rig.servers.iter().all(|s| !s.heard_set_up()), "a second attempt for a viewer who had gone");
}

#[test]
fn who_closes_while_a_connect_is_under_way_has_no_attempt() {
    let _alone = alone();
    let rig = Rig::start_with(1, patient);
    let full = rig.servers[0].vanish();
    let mut viewer = rig.viewer();
    viewer.start(tag(1), FREE, 15_000);
    wait("it is being connected to", || rig.node.counts().links == 1);
    drop(viewer);
    rig.idle();
    rig.servers[0].is_back();
    let mut other = rig.viewer();
    let (server, _) = rig.session(&mut other, tag(2), FREE); // Which is the first that it hears.
    assert!(!server.heard_set_up());
    drop(full);
}

/// A server that takes hardly a byte until it reads.
fn deaf_server() -> TcpListener {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    set_socket_recv_buffer_size(&listener, 1024).expect("an option");
    listener
}

#[test]
fn a_set_up_before_a_server_that_does_not_read_never_arrives_when_its_viewer_has_gone() {
    let _alone = alone();
    let deaf = deaf_server();
    let rig = Rig::start(1);
    let address = deaf.local_addr().unwrap();
    rig.directory.tell(|t| (t.serial, t.lines[0].address) = (2, address));
    rig.directory.wait_asked(3);
    let mut viewer = rig.viewer();
    let mut long = set_up(tag(1), FREE, "15000", "");
    long["blob"] = json!("y".repeat(14_000));
    viewer.say(&long);
    deaf.set_nonblocking(true).unwrap();
    let mut accepted = None;
    wait("the node connects", || {
        accepted = deaf.accept().ok();
        accepted.is_some()
    });
    let (mut stream, _) = accepted.expect("just accepted");
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    wait("some of it is there", || matches!(stream.peek(&mut [0u8; 1]), Ok(1)));
    drop(viewer);
    rig.idle();
    let (mut all, mut piece) = (Vec::new(), [0u8; 4096]);
    while let Ok(got @ 1..) = stream.read(&mut piece) {
        all.extend_from_slice(&piece[..got]);
    }
    let mut messages = Vec::new();
    let _ = crankpaddle_node_protocol::rtsp::Decoder::default().feed(&all, &mut messages);
    assert!(messages.is_empty(), "after its viewer had gone it arrived whole: {} bytes", all.len());
}

// ---- the end of the process ----

/// The node has heard that it is to end: it refuses new set-ups.
fn drains(rig: &Rig, viewer: &mut Viewer) -> Instant {
    let since = Instant::now();
    rig.node.drain();
    for n in 1000.. {
        viewer.start(tag(n), FREE, 15_000);
        if viewer.line()["rc"] == 42 {
            break;
        }
    }
    since
}

fn ends(rig: &Rig) -> std::sync::mpsc::Receiver<()> {
    let (tell, ended) = std::sync::mpsc::channel();
    let node = rig.node.clone();
    std::thread::spawn(move || {
        node.wait();
        let _ = tell.send(()); // The test may be over.
    });
    ended
}

#[test]
fn what_lies_unread_when_the_time_of_a_drain_is_over_is_answered_on_old_and_on_new_connections() {
    let _alone = alone();
    let (gate, tap) = Gate::at(|event| matches!(event, Event::Roster(..)));
    let rig = Rig::start_tapped(1, |_| {}, Some(tap));
    let (mut old, mut idle) = (rig.viewer(), rig.viewer());
    assert_eq!(idle.echo()["verb"], "ECHOED");
    let since = drains(&rig, &mut old);
    let ended = ends(&rig);
    gate.arm();
    rig.directory.tell(|t| (t.serial, t.lines[0].priority) = (2, 1));
    gate.reached();
    idle.start(tag(1), FREE, 15_000);
    let mut new = rig.viewer();
    new.start(tag(2), PAID, 15_000);
    until(since, Duration::from_millis(1100));
    gate.open();
    assert_eq!(idle.line()["rc"], 42);
    assert_eq!(new.line()["rc"], 42);
    ended.recv_timeout(LONG).expect("it ends");
}

#[test]
fn a_drain_waits_for_what_is_unanswered_and_a_second_one_changes_nothing() {
    let _alone = alone();
    let rig = Rig::start(1);
    let (mut waits, mut late, mut other) = (rig.viewer(), rig.viewer(), rig.viewer());
    waits.start(tag(1), PAID, 15_000);
    let (server, conn, _) = rig.set_up();
    let since = drains(&rig, &mut other);
    let ended = ends(&rig);
    until(since, Duration::from_millis(600));
    late.start(tag(2), FREE, 15_000);
    assert_eq!(late.line()["rc"], 42, "what comes up to 0.6 s after it has its answer");
    rig.node.drain();
    until(since, Duration::from_millis(1500));
    assert!(ended.try_recv().is_err(), "a set-up is unanswered");
    server.send(conn, &stands(tag(1), "described"));
    assert_eq!(waits.line()["verb"], "STARTED");
    server.send(conn, &crankpaddle_node_protocol::rtsp::release(tag(1), 16));
    assert_eq!(waits.line()["rc"], 16);
    let done = Instant::now();
    ended.recv_timeout(LONG).expect("it ends");
    assert!(done.elapsed() < Duration::from_secs(1), "late by {:?}", done.elapsed());
}

#[test]
fn a_drain_amid_a_connect_and_a_change_of_the_list_loses_nothing() {
    let _alone = alone();
    let rig = Rig::start_with(2, patient);
    rig.directory.tell(|t| (t.serial, t.lines[1].priority) = (2, 1));
    rig.directory.wait_asked(3);
    let full = rig.servers[0].vanish();
    let (mut viewer, mut other) = (rig.viewer(), rig.viewer());
    viewer.start(tag(1), FREE, 15_000);
    wait("it is being connected to", || rig.node.counts().links == 1);
    drains(&rig, &mut other);
    rig.directory.tell(|t| {
        (t.serial, t.lines[0].priority, t.lines[1].priority) = (3, 1, 0);
    });
    let (server, conn, _) = rig.set_up();
    assert_eq!(server.name, rig.servers[1].name, "the other one drains now");
    server.send(conn, &stands(tag(1), "described"));
    assert_eq!(viewer.line()["verb"], "STARTED");
    drop(full);
}

#[test]
fn who_sends_without_a_pause_does_not_keep_a_node_that_is_to_end() {
    let _alone = alone();
    let rig = Rig::start(1);
    let (mut flood, mut other) = (rig.viewer(), rig.viewer());
    let since = drains(&rig, &mut other);
    let ended = ends(&rig);
    let idle = format!("{}\n", json!({"verb": "NOTICE", "tag": tag(9).as_str(), "opts": {}})).repeat(50);
    while ended.try_recv().is_err() {
        assert!(since.elapsed() < Duration::from_secs(8), "kept by a flood for {:?}", since.elapsed());
        flood.try_send(idle.as_bytes());
    }
}

// ---- the list ----

#[test]
fn a_set_up_that_waits_for_a_connect_to_a_server_that_drains_goes_elsewhere() {
    let _alone = alone();
    let rig = Rig::start_with(2, patient);
    rig.directory.tell(|t| (t.serial, t.lines[1].priority) = (2, 1));
    rig.directory.wait_asked(3);
    let full = rig.servers[0].vanish();
    let mut viewer = rig.viewer();
    viewer.start(tag(1), PAID, 15_000);
    wait("it is being connected to", || rig.node.counts().links == 1);
    rig.directory.tell(|t| {
        (t.serial, t.lines[0].priority, t.lines[1].priority) = (3, 1, 0);
    });
    let (server, conn, _) = rig.set_up();
    assert_eq!(server.name, rig.servers[1].name, "it had left for neither");
    server.send(conn, &stands(tag(1), "described"));
    assert_eq!(viewer.line()["verb"], "STARTED");
    rig.servers[0].is_back();
    rig.servers[0].opened();
    assert!(!rig.servers[0].heard_set_up());
    drop(full);
}

#[test]
fn a_connect_to_a_server_that_has_gone_brings_nothing_to_who_has_its_address() {
    let _alone = alone();
    let rig = Rig::start_with(1, patient);
    let full = rig.servers[0].vanish();
    let mut viewer = rig.viewer();
    viewer.start(tag(1), FREE, 15_000);
    wait("it is being connected to", || rig.node.counts().links == 1);
    let address = rig.servers[0].address;
    // Whoever has the address now takes nothing new.
    rig.directory.tell(|t| {
        t.serial = 2;
        (t.lines[0].name, t.lines[0].priority) = ("s-00000099".into(), 1);
    });
    rig.directory.wait_asked(3);
    rig.servers[0].leaves();
    drop(full);
    let free = std::iter::from_fn(|| {
        std::thread::yield_now();
        Some(TcpListener::bind(address).is_ok())
    });
    assert!(free.take(1_000_000).any(|free| free), "the port is free again");
    let next = Server::start_at(0x99, address);
    assert_eq!(viewer.line()["rc"], 34, "nothing else is there, and nothing has left");
    wait("the connect has come about, or not", || rig.node.counts().links == 0);
    assert!(!next.heard_set_up(), "another server's set-up");
}

#[test]
fn a_server_at_another_address_is_asked_there_and_not_on_what_is_open_to_the_former() {
    let _alone = alone();
    let rig = Rig::start(1);
    let mut viewer = rig.viewer();
    let (former, conn) = rig.session(&mut viewer, tag(1), FREE);
    former.send(conn, &crankpaddle_node_protocol::rtsp::release(tag(1), 16));
    assert_eq!(viewer.line()["rc"], 16);
    let moved = Server::start(1);
    rig.directory.tell(|t| (t.serial, t.lines[0].address) = (2, moved.address));
    rig.directory.wait_asked(3);
    viewer.start(tag(2), PAID, 15_000);
    let (conn, message) = moved.said("SETUP");
    assert_eq!(message.session, Some(tag(2)));
    moved.send(conn, &stands(tag(2), "described"));
    assert_eq!(viewer.line()["verb"], "STARTED");
    assert!(!former.heard_set_up());
}

#[test]
fn sessions_of_a_servers_former_life_are_over_and_those_of_its_new_one_go_on() {
    let _alone = alone();
    let rig = Rig::start(1);
    let mut viewer = rig.viewer();
    rig.session(&mut viewer, tag(1), FREE);
    let began = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64 + 2;
    wait("a later time", || {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64 > began + 1
    });
    rig.session(&mut viewer, tag(2), FREE);
    rig.directory.tell(|t| (t.serial, t.lines[0].started_ms) = (2, began));
    let end = viewer.line();
    assert_eq!((&end["tag"], &end["rc"]), (&json!(tag(1).as_str()), &json!(41)));
    assert_eq!(viewer.echo()["verb"], "ECHOED", "the list was late: the other one is of the new life");
    assert_eq!(rig.node.counts().playing, 1);
}

#[test]
fn a_directory_that_answers_later_than_it_is_asked_again_is_heard() {
    let _alone = alone();
    let rig = Rig::start(2);
    rig.directory.tell(|t| {
        (t.serial, t.spoilt) = (2, Some(Spoilt::Behind(2)));
        t.lines.remove(0);
    });
    rig.directory.wait_asked(6);
    let mut viewer = rig.viewer();
    for n in 0..20 {
        assert_eq!(rig.session(&mut viewer, tag(n), FREE).0.name, rig.servers[1].name);
    }
}

#[test]
fn crowds_that_hold_all_descriptors_while_the_directory_is_silent_stop_neither_list_nor_reload_nor_viewer() {
    let _alone = alone();
    let rig = Rig::start(2);
    rig.directory.tell(|t| t.spoilt = Some(Spoilt::Silence));
    rig.directory.wait_asked(2);
    let mut crowd: Vec<TcpStream> = Vec::new();
    let more = |crowd: &mut Vec<TcpStream>, n| {
        crowd.extend((0..n).filter_map(|_| TcpStream::connect(rig.node.address()).ok()))
    };
    more(&mut crowd, 300);
    rig.directory.tell(|t| (t.serial, t.spoilt, t.lines[0].priority) = (2, None, 1));
    rig.directory.wait_asked(3);
    more(&mut crowd, 100);
    let mut viewer = rig.viewer();
    for n in 0..5 {
        assert_eq!(rig.session(&mut viewer, tag(n), FREE).0.name, rig.servers[1].name);
    }
    let lines = lines(&rig.servers);
    let other = Directory::start(Told { serial: 3, lines: lines[..1].to_vec(), spoilt: None });
    let mut config = rig.config.clone();
    config["nameserver"] = json!(other.address.to_string());
    more(&mut crowd, 100);
    rig.node.reload(&parsed(&config)).expect("only the nameserver differs");
    other.wait_asked(3);
    let mut viewer = rig.viewer();
    for n in 10..15 {
        assert_eq!(rig.session(&mut viewer, tag(n), FREE).0.name, rig.servers[0].name);
    }
}

// ---- what belongs to another deployment ----

fn parsed(config: &Value) -> crankpaddle_node_protocol::config::Config {
    crankpaddle_node_protocol::config::Config::parse(config.to_string().as_bytes()).expect("sound")
}

/// Another customer's node: nothing is called as here, and there are tenants.
fn elsewhere() -> Rig {
    Rig::start_with(2, |config| {
        config["name"] = json!("m7");
        let settings = &mut config["settings"];
        (settings["azs"], settings["kinds"]) = (json!(["north-bank"]), json!(["two-core"]));
        (settings["services"][0]["name"], settings["services"][1]["name"]) =
            (json!("rehearsal"), json!("premiere"));
        settings["parties"] = json!([{"name": "weir-house", "quota-per-s": 5.0}]);
        for instance in config["known"]["results"][0]["fleet"]["instances"].as_array_mut().unwrap() {
            (instance["zone"], instance["machineType"]) = (json!("north-bank"), json!("two-core"));
        }
    })
}

#[test]
fn a_file_of_another_node_or_with_other_settings_changes_nothing() {
    use crankpaddle_node_protocol::config::Mismatch;
    let _alone = alone();
    let (here, there) = (Rig::start(1), elsewhere());
    let other = Directory::start(Told { serial: 9, lines: Vec::new(), spoilt: None });
    let with = |change: &dyn Fn(&mut Value)| {
        let mut config = here.config.clone();
        config["nameserver"] = json!(other.address.to_string());
        change(&mut config);
        here.node.reload(&parsed(&config)).expect_err("it is not this node's")
    };
    let mut foreign = there.config.clone();
    foreign["nameserver"] = json!(other.address.to_string());
    assert_eq!(here.node.reload(&parsed(&foreign)), Err(Mismatch::Name));
    assert_eq!(with(&|c| c["name"] = json!("n2")), Mismatch::Name);
    assert_eq!(with(&|c| c["listen"] = json!("127.0.0.1:9")), Mismatch::Listen);
    assert_eq!(with(&|c| c["settings"]["services"][0]["worth"] = json!(2.0)), Mismatch::Settings);
    assert_eq!(with(&|c| c["settings"] = there.config["settings"].clone()), Mismatch::Settings);
    here.directory.wait_asked(3);
    assert_eq!(other.asked(), 0, "the directory in force is asked on");
    let mut viewer = here.viewer();
    here.session(&mut viewer, tag(1), FREE);
}

#[test]
fn a_list_of_another_deployment_is_refused_whole_and_strangers_in_ours_take_no_part() {
    let _alone = alone();
    let (here, there) = (Rig::start(2), elsewhere());
    let foreign = |change: &dyn Fn(&mut Line)| {
        let mut lines = lines(&there.servers);
        for (line, name) in lines.iter_mut().zip(["s-000000a1", "s-000000a2"]) {
            line.name = name.into(); // Ids differ from one deployment to the next.
            change(line);
        }
        lines
    };
    let strangers: [&dyn Fn(&mut Line); 3] =
        [&|line| line.zone = "north-bank".into(), &|line| line.kind = "two-core".into(), &|line| {
            (line.zone, line.kind) = ("north-bank".into(), "two-core".into())
        }];
    let mut n = 0;
    for (serial, change) in (2..).zip(strangers) {
        // Nothing but strangers, then our second one among them.
        for (serial, ours) in [(2 * serial, 0), (2 * serial + 1, 1)] {
            here.directory.tell(|t| {
                (t.serial, t.lines) = (serial, foreign(change));
                let own = lines(&here.servers);
                t.lines.extend_from_slice(&own[2 - ours..]);
            });
            here.directory.wait_asked(3);
            let mut viewer = here.viewer();
            for _ in 0..10 {
                n += 1;
                let (server, conn) = here.session(&mut viewer, tag(n), FREE);
                server.send(conn, &crankpaddle_node_protocol::rtsp::release(tag(n), 16));
                assert_eq!(viewer.line()["rc"], 16);
            }
        }
    }
    assert!(
        there.servers.iter().all(|s| s.rest().is_empty()),
        "nothing of this node came to the other's servers"
    );
}

#[test]
fn a_set_up_of_another_deployment_is_refused_with_no_word_to_any_server() {
    let _alone = alone();
    let (here, there) = (Rig::start(1), elsewhere());
    let refused = |rig: &Rig, class: &str, tenant: Option<&str>| {
        let mut viewer = rig.viewer();
        let mut asked = set_up(tag(1), class, "900", "");
        tenant.into_iter().for_each(|tenant| asked["opts"]["tenant"] = json!(tenant));
        viewer.say(&asked);
        assert_eq!(viewer.line()["rc"], 100, "{class} {tenant:?}");
    };
    refused(&here, "rehearsal", None);
    refused(&here, FREE, Some("weir-house"));
    refused(&there, FREE, Some("weir-house"));
    refused(&there, "rehearsal", Some("lock-street"));
    refused(&there, "rehearsal", None);
    assert!(here.servers.iter().chain(&there.servers).all(|s| s.rest().is_empty()));
    let mut viewer = there.viewer();
    let mut own = set_up(tag(2), "rehearsal", "15000", "");
    own["opts"]["tenant"] = json!("weir-house");
    viewer.say(&own);
    let (server, conn, _) = there.set_up();
    server.send(conn, &stands(tag(2), "described"));
    assert_eq!(viewer.line()["verb"], "STARTED");
}
