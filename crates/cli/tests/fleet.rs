//! Several processes of the program that know each other: killed, stopped, ended and started anew. Judged by a member of the
//! fleet that the test plays itself, over a socket.
#![allow(clippy::too_many_lines)] // What cannot hold yet; the list is in docs/ROADMAP.md.
use crankpaddle_membership::{MemberChange, MemberState, Membership, MembershipConfig, Output};
use procfs::process::{FDTarget, Process};
use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

const LONG: Duration = Duration::from_secs(60);
const KEY: &str = "00112233445566778899aabbccddeeff";
const PROBE_EVERY: Duration = Duration::from_millis(100);

fn folder(of: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("crankpaddle-fleet-{of}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

struct Front {
    address: String,
    child: Child,
    log: Receiver<String>,
}

impl Front {
    fn start(dir: &Path, name: &str, peers: &str) -> Front {
        let path = dir.join(format!("{name}.textproto"));
        let text = include_str!("../../../deploy/front.textproto")
            .replace("127.0.0.1:7400", "127.0.0.1:0")
            .replace("127.0.0.1:7300", "127.0.0.1:9");
        std::fs::write(&path, format!("{text}{peers}")).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_crankpaddle"))
            .args(["front", "-c"])
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        let (tell, log) = channel();
        let err = BufReader::new(child.stderr.take().unwrap());
        std::thread::spawn(move || {
            err.lines()
                .map_while(Result::ok)
                .for_each(|line| drop(tell.send(line)));
        });
        let address = line.trim().trim_start_matches("listening ").to_owned();
        let front = Front {
            address,
            child,
            log,
        };
        assert!(
            line.starts_with("listening "),
            "{line}{:?}",
            front.log.try_iter().collect::<Vec<_>>()
        );
        front
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_raw(self.child.id() as i32).unwrap(), signal).unwrap();
    }

    fn udp_sockets(&self) -> usize {
        let process = Process::new(self.child.id() as i32).unwrap();
        let held: Vec<u64> = process
            .fd()
            .unwrap()
            .filter_map(|fd| match fd.ok()?.target {
                FDTarget::Socket(inode) => Some(inode),
                _ => None,
            })
            .collect();
        let udp = process.udp().unwrap().into_iter().map(|u| u.inode);
        udp.chain(process.udp6().unwrap().into_iter().map(|u| u.inode))
            .filter(|i| held.contains(i))
            .count()
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let _ = self.child.kill(); // It may have ended.
        let _ = self.child.wait();
    }
}

/// A member that the test plays.
struct Observer {
    peers: Membership,
    socket: UdpSocket,
    began: Instant,
    changes: Vec<(Instant, MemberChange)>,
}

impl Observer {
    fn start() -> Observer {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket
            .set_read_timeout(Some(Duration::from_millis(5)))
            .unwrap();
        let settings = MembershipConfig {
            name: "observer".into(),
            address: socket.local_addr().unwrap().to_string(),
            epoch: 1,
            incarnation: 1,
            key: u128::from_str_radix(KEY, 16).unwrap().to_be_bytes(),
            probe_interval: PROBE_EVERY.as_nanos() as u64,
            probe_timeout: PROBE_EVERY.as_nanos() as u64 * 2 / 5,
            ..MembershipConfig::default()
        };
        let peers = Membership::new(settings, 1, 0);
        Observer {
            peers,
            socket,
            began: Instant::now(),
            changes: Vec::new(),
        }
    }

    fn address(&self) -> SocketAddr {
        self.socket.local_addr().unwrap()
    }

    fn step(&mut self) {
        let (mut out, mut bytes) = (Vec::new(), [0u8; 2048]);
        if let Ok((n, from)) = self.socket.recv_from(&mut bytes) {
            let now = self.began.elapsed().as_nanos() as u64;
            self.peers
                .receive(now, &from.to_string(), &bytes[..n], &mut out);
        }
        self.peers
            .expire(self.began.elapsed().as_nanos() as u64, &mut out);
        for output in out {
            match output {
                Output::Send { address, bytes, .. } => drop(self.socket.send_to(&bytes, address)),
                Output::MemberChanged(change) => self.changes.push((Instant::now(), change)),
                Output::LocalHealthChanged(_) => {}
            }
        }
    }

    /// Goes on until something holds; how long it took.
    fn until(&mut self, what: &str, holds: impl Fn(&Observer) -> bool) -> Duration {
        let begun = Instant::now();
        while !holds(self) {
            assert!(
                begun.elapsed() < LONG,
                "{what}: waited in vain; {:?}",
                self.peers.members()
            );
            self.step();
        }
        begun.elapsed()
    }

    fn sees(&self, name: &str, state: MemberState) -> bool {
        self.peers.state_of(name) == Some(state)
    }

    fn accused(&self, name: &str, since: Instant) -> bool {
        self.changes
            .iter()
            .any(|(at, c)| *at >= since && c.name == name && c.state == MemberState::Dead)
    }
}

fn peers(name: &str, key: &Path, seed: SocketAddr) -> String {
    format!(
        "peers {{ name: {name:?} listen: \"127.0.0.1:0\" seed: \"{seed}\" key_file: {key:?} probe_every: \"100ms\" }}
"
    )
}

#[test]
fn processes_that_are_killed_stopped_ended_and_started_anew_are_known_for_what_they_are() {
    let dir = folder("known");
    let key = dir.join("key");
    std::fs::write(&key, KEY).unwrap();
    let mut observer = Observer::start();
    let seed = observer.address();
    let names = ["a", "b", "c", "d"];
    let start = |name: &str| Front::start(&dir, name, &peers(name, &key, seed));
    let mut fronts: Vec<Front> = names.iter().map(|name| start(name)).collect();
    observer.until("all meet", |o| {
        names.iter().all(|name| o.sees(name, MemberState::Alive))
    });

    // Killed: its death is found, nobody else is accused.
    let since = Instant::now();
    fronts[0].signal(Signal::KILL);
    let took = observer.until("a's death is known", |o| o.sees("a", MemberState::Dead));
    eprintln!(
        "a death is known after {took:?}, {} rounds",
        took.as_millis() / PROBE_EVERY.as_millis()
    );
    assert!(
        !["b", "c", "d"]
            .iter()
            .any(|name| observer.accused(name, since)),
        "{:?}",
        observer.changes
    );

    // The same name again, from nothing: news, at once.
    fronts[0] = start("a");
    let anew = |o: &Observer| {
        o.sees("a", MemberState::Alive)
            && o.changes
                .iter()
                .any(|(at, c)| *at >= since && c.name == "a" && c.restarted)
    };
    observer.until("a's new life is known", anew);

    // Stopped for so long that the others give it up; it comes back by itself and accuses nobody.
    let since = Instant::now();
    fronts[1].signal(Signal::STOP);
    observer.until("b is given up", |o| o.sees("b", MemberState::Dead));
    fronts[1].log.try_iter().for_each(drop);
    fronts[1].signal(Signal::CONT);
    let took = observer.until("b is back", |o| o.sees("b", MemberState::Alive));
    eprintln!("one that stood still is back after {took:?}");
    let quiet = Instant::now();
    observer.until("some rounds pass", |_| quiet.elapsed() > 20 * PROBE_EVERY);
    // What it found itself; what others told it may be written late.
    let own = |line: &String| line.contains("Dead") && line.contains("\"by\":\"b\"");
    let said: Vec<String> = fronts[1].log.try_iter().filter(own).collect();
    assert!(said.is_empty(), "who stood still accused others: {said:?}");
    assert!(
        !["a", "c", "d"]
            .iter()
            .any(|name| observer.accused(name, since)),
        "{:?}",
        observer.changes
    );

    // What operators see.
    let out = Command::new(env!("CARGO_BIN_EXE_crankpaddle"))
        .args(["members", &fronts[0].address])
        .output()
        .unwrap();
    let told = String::from_utf8(out.stdout).unwrap();
    assert!(
        told.starts_with("a (127.0.0.1:")
            && told.contains("): Connected\n")
            && told
                .lines()
                .any(|l| l.starts_with("d ") && l.contains("alive")),
        "{told}"
    );

    // Ended in order: it says so.
    fronts[2].signal(Signal::TERM);
    observer.until("c has left", |o| o.sees("c", MemberState::Left));
    assert!(names
        .iter()
        .filter(|n| **n != "c")
        .all(|name| observer.sees(name, MemberState::Alive)));
}

#[test]
fn without_peers_in_its_configuration_a_front_opens_no_socket_for_them_and_bad_ones_are_told() {
    let dir = folder("none");
    let alone = Front::start(&dir, "alone", "");
    assert_eq!(alone.udp_sockets(), 0);
    let key = dir.join("key");
    std::fs::write(&key, KEY).unwrap();
    let member = Front::start(
        &dir,
        "member",
        &peers("member", &key, "127.0.0.1:9".parse().unwrap()),
    );
    assert_eq!(member.udp_sockets(), 1);

    let check = |peers: &str| {
        let path = dir.join("bad.textproto");
        let text = include_str!("../../../deploy/front.textproto");
        std::fs::write(&path, format!("{text}{peers}")).unwrap();
        let out = Command::new(env!("CARGO_BIN_EXE_crankpaddle"))
            .arg("check")
            .arg(&path)
            .output()
            .unwrap();
        (out.status.code(), String::from_utf8(out.stderr).unwrap())
    };
    let (status, said) = check(
        "peers { name: \"two words\" listen: \"nowhere\" seed: \"x\" probe_every: \"1ms\" }\n",
    );
    assert_eq!(status, Some(2));
    for what in ["name", "listen", "seed", "key_file", "20 ms"] {
        assert!(said.contains(what), "{what} is not told: {said}");
    }
    assert_eq!(check("").0, Some(0));
}
