//! The front node as its platform starts it: configuration, signals, exit.
#![allow(clippy::too_many_lines)] // What cannot hold yet; the list is in docs/ROADMAP.md.
use procfs::net::TcpState;
use procfs::process::{FDTarget, Process};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

const LONG: Duration = Duration::from_secs(30);

fn program() -> Command {
    let mut program = Command::new(env!("CARGO_BIN_EXE_crankpaddle"));
    program.arg("node").env_remove("NODE_CONFIG");
    program
}

fn file(name: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("crankpaddle-node-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir.join(name)
}

fn config(nameserver: &UdpSocket) -> Value {
    json!({"name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 0.5, "memory_mb": 32, "sockets": 256},
        "nameserver": nameserver.local_addr().unwrap().to_string(),
        "known": {"seq": 0, "results": []},
        "settings": {"index": 0, "siblings": 1, "azs": ["east"], "kinds": ["std"],
            "services": [{"name": "preview", "aim": 800_000_000u64, "deadline": 4_000_000_000u64,
                "semantics": "free", "worth": 1.0}],
            "family-info": {"cells": 1, "cabinets": 1, "class-top": [1], "lowest-rung": [0], "rate-factor": [1.0],
                "fleet-kb": 6000.0, "kb-per-weight": 6000.0, "level-kb": [200.0, 400.0], "rung-worth": [0.3, 1.0],
                "places-by-kind": [20], "uplink-kb": 6000.0},
            "limits": {"attempts-cap": 4, "retry-after": true, "max-retry-after": 1_000_000_000u64},
            "rules": {"cold-share": 0.4, "cold": 1_000_000_000u64, "tip-multiple": 2.5, "fall": 1_000_000_000u64}}})
}

fn directory() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(LONG)).unwrap();
    socket
}

struct Node {
    child: Child,
    address: String,
    log: Receiver<String>,
}

impl Node {
    fn start(config: &PathBuf) -> Node {
        let mut child = program()
            .env("NODE_CONFIG", config)
            .env("CRANKPADDLE_LOG", "info")
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        let address = line
            .trim()
            .strip_prefix("listening ")
            .expect("it says where it listens")
            .to_owned();
        let (tell, log) = channel();
        let err = BufReader::new(child.stderr.take().unwrap());
        std::thread::spawn(move || {
            err.lines()
                .map_while(Result::ok)
                .for_each(|line| drop(tell.send(line)));
        });
        Node {
            child,
            address,
            log,
        }
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_raw(self.child.id() as i32).unwrap(), signal).unwrap();
    }

    fn logs(&self, what: &str) -> String {
        loop {
            let line = self
                .log
                .recv_timeout(LONG)
                .unwrap_or_else(|_| panic!("never logged: {what}"));
            if line.contains(what) {
                return line;
            }
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill(); // It may have ended.
        let _ = self.child.wait();
    }
}

#[test]
fn without_a_sound_configuration_nothing_starts_and_one_line_says_why() {
    let refused = |command: &mut Command| {
        let out = command.output().unwrap();
        let said = String::from_utf8(out.stderr).unwrap();
        assert_eq!(
            (out.status.code(), said.lines().count(), out.stdout.len()),
            (Some(2), 1, 0),
            "{said}"
        );
        said
    };
    assert!(refused(&mut program()).contains("NODE_CONFIG"));
    assert!(refused(program().arg("--config").arg(file("absent.json"))).contains("absent.json"));
    let path = file("broken.json");
    std::fs::write(&path, "{\"name\":").unwrap();
    assert!(refused(program().arg("--config").arg(&path)).contains("broken.json"));
    let mut lacking = config(&directory());
    lacking["settings"]["family-info"]
        .as_object_mut()
        .unwrap()
        .remove("cells");
    std::fs::write(&path, lacking.to_string()).unwrap();
    assert!(refused(program().arg("--config").arg(&path)).contains("cells"));
}

#[test]
fn hup_asks_another_directory_a_bad_file_changes_nothing_and_term_ends_it_with_status_0() {
    let (first, second) = (directory(), directory());
    let path = file("node.json");
    std::fs::write(&path, config(&first).to_string()).unwrap();
    let mut node = Node::start(&path);
    let mut bytes = [0u8; 512];
    first.recv(&mut bytes).expect("the directory is asked");
    std::fs::write(&path, config(&second).to_string()).unwrap();
    node.signal(Signal::HUP);
    node.logs("reloaded");
    second.recv(&mut bytes).expect("the new directory is asked");
    std::fs::write(&path, "{").unwrap();
    node.signal(Signal::HUP);
    assert!(node.logs("not reloaded").contains("node.json"));
    second.set_nonblocking(true).unwrap();
    while second.recv(&mut bytes).is_ok() {}
    second.set_nonblocking(false).unwrap();
    second.recv(&mut bytes).expect("it is asked still");
    // It serves all the while: nothing is known that holds the title, so the set-up is refused at once, with advice.
    let mut viewer = TcpStream::connect(&node.address).unwrap();
    viewer.set_read_timeout(Some(LONG)).unwrap();
    let asked = json!({"verb": "START", "tag": "9b1f03aa5c7e2d41", "blob": "x", "opts": {"class": "preview",
        "left": "1500", "key": "7f3a9c21e0b4d655", "extras": "home:0;copies:1;top:1;viewer:00000000b4d65521"}});
    viewer.write_all(format!("{asked}\n").as_bytes()).unwrap();
    let mut line = String::new();
    BufReader::new(&viewer).read_line(&mut line).unwrap();
    let answer: Value = serde_json::from_str(&line).unwrap();
    assert_eq!(
        (&answer["verb"], &answer["rc"]),
        (&json!("FINISH"), &json!(34))
    );
    assert_eq!(answer["opts"]["wait"], "1000");
    node.signal(Signal::TERM);
    let until = Instant::now() + LONG;
    let status = loop {
        match node.child.try_wait().unwrap() {
            Some(status) => break status,
            None => assert!(Instant::now() < until, "it does not end"),
        }
        std::thread::sleep(Duration::from_millis(10));
    };
    assert_eq!(status.code(), Some(0));
}

/// What the platform's days ask of the process (`docs/front-node.md`): one process, the C library linked dynamically, TCP
/// and UDP over IPv4 at known addresses alone. Fails if anything (another listener, a peer's socket, a helper process)
/// comes to run under `node`.
#[test]
fn the_process_is_one_is_linked_dynamically_and_holds_only_its_listener_its_links_and_the_directorys_socket(
) {
    let (first, second) = (directory(), directory());
    let server = TcpListener::bind("127.0.0.1:0").unwrap();
    let path = file("one-process.json");
    let mut config = config(&first);
    config["known"] = json!({"seq": 1, "results": [{"seq": 1, "fleet": {"generation": 1, "reset": true, "instances": [
        {"instanceId": "s-00c41f7a", "hostPort": server.local_addr().unwrap().to_string(), "zone": "east",
        "machineType": "std", "cell": 0, "lifecycle": "ready", "weight": 1, "startedAtMs": 0}]}}]});
    // Fields of other programs' configurations are not this one's: none of them turns anything on.
    config["peers"] = json!({"name": "n1", "listen": "127.0.0.1:0", "seed": ["127.0.0.1:9"]});
    let store = file("no-store").with_extension("d");
    config["store"] =
        json!({"name": "n1", "dir": store.to_string_lossy(), "key_file": "/dev/null"});
    std::fs::write(&path, config.to_string()).unwrap();
    let node = Node::start(&path);
    let mut viewer = TcpStream::connect(&node.address).unwrap();
    let asked = json!({"verb": "START", "tag": "9b1f03aa5c7e2d41", "blob": "x", "opts": {"class": "preview",
        "left": "1500", "key": "7f3a9c21e0b4d655", "extras": "home:0;copies:1;top:1;viewer:00000000b4d65521"}});
    viewer.write_all(format!("{asked}\n").as_bytes()).unwrap();
    let (_link, _) = server.accept().unwrap(); // The set-up's connection; it is never answered.
    config["nameserver"] = json!(second.local_addr().unwrap().to_string());
    std::fs::write(&path, config.to_string()).unwrap();
    node.signal(Signal::HUP);
    second
        .recv(&mut [0u8; 512])
        .expect("the new directory is asked");

    let pid = node.child.id() as i32;
    let process = Process::new(pid).unwrap();
    let maps: Vec<String> = process
        .maps()
        .unwrap()
        .iter()
        .map(|m| format!("{:?}", m.pathname))
        .collect();
    assert!(
        maps.iter().any(|m| m.contains("libc.so")),
        "the C library is not linked dynamically: {maps:?}"
    );
    let children = procfs::process::all_processes()
        .unwrap()
        .filter_map(|p| p.ok()?.stat().ok());
    let children: Vec<String> = children.filter(|s| s.ppid == pid).map(|s| s.comm).collect();
    assert!(children.is_empty(), "it started {children:?}");

    let mut held = Vec::new();
    for fd in process.fd().unwrap() {
        match fd.unwrap().target {
            FDTarget::Socket(inode) => held.push(inode),
            FDTarget::AnonInode(kind) => assert!(!kind.contains("io_uring"), "{kind}"),
            _ => {}
        }
    }
    let (listen, at): (SocketAddr, SocketAddr) =
        (node.address.parse().unwrap(), server.local_addr().unwrap());
    let (mut listeners, mut links, mut viewers) = (0, 0, 0);
    for socket in process
        .tcp()
        .unwrap()
        .into_iter()
        .filter(|t| held.contains(&t.inode))
    {
        match socket.state {
            TcpState::Listen if socket.local_address == listen => listeners += 1,
            _ if socket.remote_address == at => links += 1,
            _ if socket.local_address == listen => viewers += 1,
            _ => panic!("a TCP socket of no known use: {socket:?}"),
        }
    }
    assert_eq!((listeners, links, viewers), (1, 1, 1));
    let udp: Vec<_> = process
        .udp()
        .unwrap()
        .into_iter()
        .filter(|u| held.contains(&u.inode))
        .collect();
    let asks: Vec<SocketAddr> = udp.iter().map(|u| u.remote_address).collect();
    assert_eq!(
        asks,
        [second.local_addr().unwrap()],
        "one socket, which hears the directory alone"
    );
    let six = process.tcp6().unwrap().into_iter().map(|t| t.inode);
    let six: Vec<u64> = six
        .chain(process.udp6().unwrap().into_iter().map(|u| u.inode))
        .collect();
    assert!(
        !six.iter().any(|inode| held.contains(inode)),
        "a socket over IPv6"
    );
    // Signals come in over a pair of sockets of its own, which has no name that anybody could connect to.
    assert!(!store.exists(), "a folder of its own");
    let named = process
        .unix()
        .unwrap()
        .into_iter()
        .filter(|u| held.contains(&u.inode) && u.path.is_some());
    assert_eq!(named.count(), 0, "a Unix socket with a name");
}

/// A fleet of processes that is killed and started again at once: how long until each passes its first test.
#[test]
fn thirty_processes_that_restart_at_once_are_ready_within_ten_seconds() {
    const NODES: usize = 30;
    let directory = directory();
    let mut paths = Vec::new();
    for i in 0..NODES {
        let path = file(&format!("fleet-{i}.json"));
        let mut config = config(&directory);
        config["name"] = json!(format!("n{i}"));
        std::fs::write(&path, config.to_string()).unwrap();
        paths.push(path);
    }
    let start = |path: &PathBuf| {
        let path = path.clone();
        std::thread::spawn(move || {
            let since = Instant::now();
            let node = Node::start(&path);
            let mut viewer = TcpStream::connect(&node.address).unwrap();
            viewer.set_read_timeout(Some(LONG)).unwrap();
            let test = json!({"verb": "ECHO", "tag": "00000000000000ff", "opts": {}, "rc": 0});
            viewer.write_all(format!("{test}\n").as_bytes()).unwrap();
            let mut line = String::new();
            BufReader::new(&viewer).read_line(&mut line).unwrap();
            assert!(line.contains("ECHOED"), "{line}");
            (since.elapsed(), node)
        })
    };
    let all_at_once = || {
        let started: Vec<_> = paths.iter().map(start).collect();
        started
            .into_iter()
            .map(|ready| ready.join().unwrap())
            .collect::<Vec<(Duration, Node)>>()
    };
    drop(all_at_once()); // Each is killed.
    let mut took: Vec<Duration> = all_at_once().into_iter().map(|(took, _)| took).collect();
    took.sort_unstable();
    println!(
        "ready after: median {:?}, nine in ten {:?}, last {:?}",
        took[NODES / 2],
        took[NODES * 9 / 10 - 1],
        took[NODES - 1]
    );
    assert!(
        took[NODES * 9 / 10 - 1] < Duration::from_secs(10),
        "{took:?}"
    );
}
