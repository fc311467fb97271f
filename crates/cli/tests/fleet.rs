//! Front processes that form a membership: killed, stopped, shut down and restarted. Observed by a member of the fleet that the
//! test runs itself, over a socket.
mod support;

use crankpaddle_membership::{MemberChange, MemberState, Membership, MembershipConfig, Output};
use crankpaddle_time::Time;
use procfs::process::{FDTarget, Process};
use rustix::process::Signal;
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};
use support::{
    folder, front_command, isolated_config, program, run, text, RunningProgram, EXAMPLE_CONFIG, KEY,
};

/// Bound of each wait for a change of membership.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between two health checks of a peer.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

fn start_front(dir: &Path, name: &str, peers: &str) -> RunningProgram {
    let path = dir.join(format!("{name}.textproto"));
    std::fs::write(&path, format!("{}{peers}", isolated_config())).unwrap();
    RunningProgram::start(&mut front_command(&path))
}

/// The inodes of the sockets that a front has open. A descriptor that is closed while they are read is left out: the front
/// keeps trying to connect to its list service.
fn open_sockets(process: &Process) -> Vec<u64> {
    process
        .fd()
        .unwrap()
        .filter_map(|descriptor| match descriptor.ok()?.target {
            FDTarget::Socket(inode) => Some(inode),
            _ => None,
        })
        .collect()
}

fn udp_socket_count(front: &RunningProgram) -> usize {
    let process = front.process();
    let open = open_sockets(&process);
    let udp = process.udp().unwrap();
    let udp6 = process.udp6().unwrap();
    udp.into_iter()
        .chain(udp6)
        .filter(|socket| open.contains(&socket.inode))
        .count()
}

/// A member that the test runs.
struct Observer {
    membership: Membership,
    socket: UdpSocket,
    started_at: Instant,
    changes: Vec<ObservedChange>,
}

struct ObservedChange {
    at: Instant,
    change: MemberChange,
}

impl Observer {
    fn start() -> Observer {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket
            .set_read_timeout(Some(Duration::from_millis(5)))
            .unwrap();
        let config = MembershipConfig {
            name: "observer".into(),
            address: socket.local_addr().unwrap().to_string(),
            epoch: 1,
            incarnation: 1,
            key: u128::from_str_radix(KEY, 16).unwrap().to_be_bytes(),
            probe_interval: PROBE_INTERVAL,
            probe_timeout: PROBE_INTERVAL * 2 / 5,
            ..MembershipConfig::default()
        };
        Observer {
            membership: Membership::new(config, 1, Time(0)),
            socket,
            started_at: Instant::now(),
            changes: Vec::new(),
        }
    }

    fn address(&self) -> SocketAddr {
        self.socket.local_addr().unwrap()
    }

    /// The membership's clock, which begins at the observer's start.
    fn now(&self) -> Time {
        Time(self.started_at.elapsed().as_nanos() as u64)
    }

    /// Receives one datagram at most, and lets timers expire.
    fn step(&mut self) {
        let mut outputs = Vec::new();
        let mut bytes = [0u8; 2048];
        if let Ok((length, from)) = self.socket.recv_from(&mut bytes) {
            let now = self.now();
            self.membership
                .receive(now, &from.to_string(), &bytes[..length], &mut outputs);
        }
        let now = self.now();
        self.membership.expire(now, &mut outputs);
        for output in outputs {
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Send { address, bytes, .. } => {
                let _ = self.socket.send_to(&bytes, address); // The front may have ended.
            }
            Output::MemberChanged(change) => self.changes.push(ObservedChange {
                at: Instant::now(),
                change,
            }),
            Output::LocalHealthChanged(_) => {}
        }
    }

    /// Runs until a condition holds; returns how long it took.
    fn run_until(&mut self, what: &str, holds: impl Fn(&Observer) -> bool) -> Duration {
        let since = Instant::now();
        while !holds(self) {
            assert!(
                since.elapsed() < CHANGE_TIMEOUT,
                "{what}: waited in vain; {:?}",
                self.membership.members()
            );
            self.step();
        }
        since.elapsed()
    }

    fn sees(&self, name: &str, state: MemberState) -> bool {
        self.membership.state_of(name) == Some(state)
    }

    fn sees_all(&self, names: &[&str], state: MemberState) -> bool {
        names.iter().all(|name| self.sees(name, state))
    }

    fn changes_of<'a>(
        &'a self,
        name: &'a str,
        since: Instant,
    ) -> impl Iterator<Item = &'a MemberChange> {
        self.changes
            .iter()
            .filter(move |observed| observed.at >= since && observed.change.name == name)
            .map(|observed| &observed.change)
    }

    fn saw_restart(&self, name: &str, since: Instant) -> bool {
        self.changes_of(name, since).any(|change| change.restarted)
    }

    /// Fails if any of these members was declared failed since then.
    fn assert_none_declared_failed(&self, names: &[&str], since: Instant) {
        for name in names {
            let states: Vec<MemberState> = self
                .changes_of(name, since)
                .map(|change| change.state)
                .collect();
            assert!(!states.contains(&MemberState::Dead), "{name}: {states:?}");
        }
    }
}

fn peers_block(name: &str, key: &Path, seed: SocketAddr) -> String {
    format!(
        "peers {{ name: {name:?} listen: \"127.0.0.1:0\" seed: \"{seed}\" key_file: {key:?} probe_every: \"100ms\" }}\n"
    )
}

/// Four fronts and the observer, who is their seed.
struct TestFleet {
    observer: Observer,
    start: Box<dyn Fn(&str) -> RunningProgram>,
    fronts: Vec<RunningProgram>,
}

const NAMES: [&str; 4] = ["a", "b", "c", "d"];

impl TestFleet {
    fn start() -> TestFleet {
        let dir = folder("fleet-known");
        let key = dir.join("key");
        std::fs::write(&key, KEY).unwrap();
        let mut observer = Observer::start();
        let seed = observer.address();
        let start =
            Box::new(move |name: &str| start_front(&dir, name, &peers_block(name, &key, seed)));
        let fronts = NAMES.iter().map(|name| start(name)).collect();
        observer.run_until("all meet", |observer| {
            observer.sees_all(&NAMES, MemberState::Alive)
        });
        TestFleet {
            observer,
            start,
            fronts,
        }
    }

    fn kill_a(&mut self) {
        let since = Instant::now();
        self.fronts[0].signal(Signal::KILL);
        let took = self.observer.run_until("a's death is known", |observer| {
            observer.sees("a", MemberState::Dead)
        });
        eprintln!(
            "a death is known after {took:?}, {} rounds",
            took.as_millis() / PROBE_INTERVAL.as_millis()
        );
        self.observer
            .assert_none_declared_failed(&["b", "c", "d"], since);
    }

    /// The same name without any state is a new incarnation, known at once.
    fn restart_a(&mut self) {
        let since = Instant::now();
        self.fronts[0] = (self.start)("a");
        self.observer
            .run_until("a's new life is known", |observer| {
                observer.sees("a", MemberState::Alive) && observer.saw_restart("a", since)
            });
    }

    /// Stopped until the others declare it failed; when continued it recovers and declares no other failed.
    fn stop_and_continue_b(&mut self) {
        let since = Instant::now();
        let b = &self.fronts[1];
        b.signal(Signal::STOP);
        self.observer.run_until("b is given up", |observer| {
            observer.sees("b", MemberState::Dead)
        });
        drop(b.logged());
        b.signal(Signal::CONT);
        let took = self.observer.run_until("b is back", |observer| {
            observer.sees("b", MemberState::Alive)
        });
        eprintln!("one that stood still is back after {took:?}");
        let back_at = Instant::now();
        self.observer.run_until("some rounds pass", |_| {
            back_at.elapsed() > 20 * PROBE_INTERVAL
        });
        // Only its own findings count; what others reported may be logged late.
        let accusations: Vec<String> = b
            .logged()
            .into_iter()
            .filter(|line| line.contains("Dead") && line.contains("\"by\":\"b\""))
            .collect();
        assert!(
            accusations.is_empty(),
            "who stood still accused others: {accusations:?}"
        );
        self.observer
            .assert_none_declared_failed(&["a", "c", "d"], since);
    }

    fn check_members_command(&self) {
        let output = run(&["members", &self.fronts[0].address]);
        let table = text(&output.stdout);
        assert!(table.starts_with("a (127.0.0.1:"), "{table}");
        assert!(table.contains("): Connected\n"), "{table}");
        let mut lines = table.lines();
        assert!(
            lines.any(|line| line.starts_with("d ") && line.contains("alive")),
            "{table}"
        );
    }

    fn shut_down_c(&mut self) {
        self.fronts[2].signal(Signal::TERM);
        self.observer.run_until("c has left", |observer| {
            observer.sees("c", MemberState::Left)
        });
        assert!(self.observer.sees_all(&["a", "b", "d"], MemberState::Alive));
    }
}

#[test]
fn members_detect_a_kill_a_restart_a_stop_and_a_graceful_shutdown() {
    let mut fleet = TestFleet::start();
    fleet.kill_a();
    fleet.restart_a();
    fleet.stop_and_continue_b();
    fleet.check_members_command();
    fleet.shut_down_c();
}

#[test]
fn a_front_opens_a_udp_socket_only_when_peers_are_configured() {
    let dir = folder("fleet-none");
    let key = dir.join("key");
    std::fs::write(&key, KEY).unwrap();
    let peers = peers_block("member", &key, "127.0.0.1:9".parse().unwrap());

    let without_peers = start_front(&dir, "alone", "");
    let with_peers = start_front(&dir, "member", &peers);

    assert_eq!(udp_socket_count(&without_peers), 0);
    assert_eq!(udp_socket_count(&with_peers), 1);
}

#[test]
fn the_check_names_each_problem_of_a_peers_block() {
    let path = folder("fleet-check").join("bad.textproto");
    let check = |peers: &str| {
        std::fs::write(&path, format!("{EXAMPLE_CONFIG}{peers}")).unwrap();
        program().arg("check").arg(&path).output().unwrap()
    };

    let invalid = check(
        "peers { name: \"two words\" listen: \"nowhere\" seed: \"x\" probe_every: \"1ms\" }\n",
    );
    let valid = check("");

    let problems = text(&invalid.stderr);
    assert_eq!(invalid.status.code(), Some(2));
    for what in ["name", "listen", "seed", "key_file", "20 ms"] {
        assert!(problems.contains(what), "{what} is not told: {problems}");
    }
    assert_eq!(valid.status.code(), Some(0));
}
