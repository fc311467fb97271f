//! Front processes that form a membership are killed, stopped, shut down and restarted. The test observes them over a socket
//! as a further member of the fleet.
mod support;

use crankpaddle_membership::{
    MemberChange, MemberState, Membership, MembershipConfig, MembershipOutput,
};
use crankpaddle_time::Time;
use procfs::process::{FDTarget, Process};
use rustix::process::Signal;
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::time::{Duration, Instant};
use support::{
    folder, front_command, isolated_config, program, run, text, RunningProgram, EXAMPLE_CONFIG, KEY,
};

/// Timeout of each wait for a change of membership.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval between two health checks of a peer.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

fn start_front(dir: &Path, name: &str, peers: &str) -> RunningProgram {
    let path = dir.join(format!("{name}.textproto"));
    std::fs::write(&path, format!("{}{peers}", isolated_config())).unwrap();
    RunningProgram::start(&mut front_command(&path))
}

/// Returns the inodes of a front's open sockets. A descriptor that is closed meanwhile is skipped, which happens because the
/// front keeps trying to connect to its list service.
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

/// The member that the test runs.
struct Observer {
    membership: Membership,
    socket: UdpSocket,
    started_at: Instant,
    changes: Vec<ObservedChange>,
}

/// A change of membership, and when it was observed.
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

    /// Time on the membership's clock, which starts with the observer.
    fn now(&self) -> Time {
        Time(self.started_at.elapsed().as_nanos() as u64)
    }

    /// Receives at most one datagram, and handles expired timers.
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
            self.execute(output);
        }
    }

    fn execute(&mut self, output: MembershipOutput) {
        match output {
            MembershipOutput::Send { address, bytes, .. } => {
                let _ = self.socket.send_to(&bytes, address); // An error is ignored, because the front may have ended.
            }
            MembershipOutput::MemberChanged(change) => self.changes.push(ObservedChange {
                at: Instant::now(),
                change,
            }),
            MembershipOutput::LocalHealthChanged(_) => {}
        }
    }

    /// Runs the membership until a condition holds, and returns how long it took.
    fn run_until(&mut self, what: &str, holds: impl Fn(&Observer) -> bool) -> Duration {
        let since = Instant::now();
        while !holds(self) {
            assert!(
                since.elapsed() < CHANGE_TIMEOUT,
                "timed out: {what}; {:?}",
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

    /// Checks that none of these members was declared failed since then.
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

fn peers_section(name: &str, key: &Path, seed: SocketAddr) -> String {
    format!(
        "peers {{ name: {name:?} listen: \"127.0.0.1:0\" seed: \"{seed}\" key_file: {key:?} probe_every: \"100ms\" }}\n"
    )
}

/// Four fronts, and the observer as their seed.
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
            Box::new(move |name: &str| start_front(&dir, name, &peers_section(name, &key, seed)));
        let fronts = NAMES.iter().map(|name| start(name)).collect();
        observer.run_until("all fronts are alive", |observer| {
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
        let took = self.observer.run_until("a is declared failed", |observer| {
            observer.sees("a", MemberState::Dead)
        });
        eprintln!(
            "a killed front is declared failed after {took:?}, {} probe intervals",
            took.as_millis() / PROBE_INTERVAL.as_millis()
        );
        self.observer
            .assert_none_declared_failed(&["b", "c", "d"], since);
    }

    /// Restarts `a`. A front with the same name and without any state is recognized as a new incarnation.
    fn restart_a(&mut self) {
        let since = Instant::now();
        self.fronts[0] = (self.start)("a");
        self.observer
            .run_until("the restart of a is observed", |observer| {
                observer.sees("a", MemberState::Alive) && observer.saw_restart("a", since)
            });
    }

    /// Stops `b` until the others declare it failed. Then `b` must recover without declaring any other front failed.
    fn stop_and_continue_b(&mut self) {
        let since = Instant::now();
        let b = &self.fronts[1];
        b.signal(Signal::STOP);
        self.observer.run_until("b is declared failed", |observer| {
            observer.sees("b", MemberState::Dead)
        });
        drop(b.logged());
        b.signal(Signal::CONT);
        let took = self.observer.run_until("b is alive again", |observer| {
            observer.sees("b", MemberState::Alive)
        });
        eprintln!("a stopped front is alive again {took:?} after it continues");
        let recovered_at = Instant::now();
        self.observer.run_until("20 probe intervals pass", |_| {
            recovered_at.elapsed() > 20 * PROBE_INTERVAL
        });
        // Only failures that it detected itself count. It may log those that others reported later.
        let detected_failures: Vec<String> = b
            .logged()
            .into_iter()
            .filter(|line| line.contains("Dead") && line.contains("\"by\":\"b\""))
            .collect();
        assert!(
            detected_failures.is_empty(),
            "b declared others failed after it was stopped: {detected_failures:?}"
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
        self.observer.run_until("c has left the fleet", |observer| {
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
    let peers = peers_section("member", &key, "127.0.0.1:9".parse().unwrap());

    let without_peers = start_front(&dir, "alone", "");
    let with_peers = start_front(&dir, "member", &peers);

    assert_eq!(udp_socket_count(&without_peers), 0);
    assert_eq!(udp_socket_count(&with_peers), 1);
}

#[test]
fn the_check_reports_each_problem_of_a_peers_section() {
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
        assert!(
            problems.contains(what),
            "{what} is not reported: {problems}"
        );
    }
    assert_eq!(valid.status.code(), Some(0));
}
