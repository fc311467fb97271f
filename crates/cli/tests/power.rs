//! Power lost at each step between a paid set-up's intent and its answer, and what the next incarnation makes of it. A front is a
//! process that is killed; its disk, its boot and its servers are changed while it is down. Judged from the servers' own inventory.
mod support;

use crankpaddle_config::Config;
use crankpaddle_server_protocol::sessions::bill;
use crankpaddle_session_api::client::{self, ClientEvent};
use crankpaddle_session_api::methods::Open;
use crankpaddle_testbed::list_service::{entry, EndpointState, ListService};
use crankpaddle_testbed::process::Process;
use crankpaddle_testbed::record::{Recorder, Seen};
use crankpaddle_testbed::script::{fleet_config, front_block, FLEET};
use crankpaddle_testbed::server::{Fleet, Layout};
use std::fs;
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::{KEY, TIMEOUT};
use tempfile::TempDir;
use tungstenite::client::IntoClientRequest;
use tungstenite::{Message, WebSocket};

const PAID: &str = "licensed-view";
const FREE: &str = "preview";
const SERVERS: u32 = 12;

/// Interval at which a condition is polled; the recorder notifies nobody.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Time after which a player retries a rejected request.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "waited in vain for {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// How often servers were sent a key's set-up, and how often they billed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct KeyCounts {
    sent: usize,
    billed: usize,
}

const ONCE: KeyCounts = KeyCounts { sent: 1, billed: 1 };

/// Servers, a list service, and a front whose disk alone outlives its incarnations.
struct PowerLossHarness {
    dir: TempDir,
    fleet: Arc<Fleet>,
    list: Arc<ListService>,
    recorder: Recorder,
    config: Arc<Config>,
    boots: u32,
}

impl PowerLossHarness {
    fn new() -> PowerLossHarness {
        crankpaddle_net::start(Some(2));
        let dir = tempfile::tempdir().unwrap();
        fs::write(dir.path().join("key"), KEY).unwrap();
        let config = Arc::new(fleet_config(FLEET).unwrap());
        let recorder = Recorder::default();
        // A set-up takes long enough for power to be lost while it is in progress.
        let layout = Layout {
            count: SERVERS as usize,
            cores: 3,
            work: 300_000_000,
            uneven: 0.0,
            segment: 200_000_000,
            seed: 3,
        };
        let fleet = Fleet::start(config.clone(), &layout, recorder.clone()).unwrap();
        let entries = fleet
            .servers
            .iter()
            .map(|server| entry(&config, server.id, server.address, EndpointState::Ready, 0))
            .collect();
        let list = ListService::start(entries, 1_000_000, recorder.clone()).unwrap();
        let mut harness = PowerLossHarness {
            dir,
            fleet,
            list,
            recorder,
            config,
            boots: 0,
        };
        harness.next_boot();
        harness
    }

    /// Changes the host's boot id, as a restart of the host does.
    fn next_boot(&mut self) {
        self.boots += 1;
        fs::write(self.dir.path().join("boot"), format!("boot {}", self.boots)).unwrap();
    }

    fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    /// Starts the front on its disk.
    fn start_front(&self) -> Process {
        let dir = self.path("store");
        let key = self.path("key");
        let boot = self.path("boot");
        let store = format!(
            "store {{ name: \"north-1\" dir: {dir:?} key_file: {key:?} boot_file: {boot:?} settle: \"2s\" calm: \"50ms\" }}\n"
        );
        let cache = self.path("list");
        let block = front_block(
            0,
            1,
            "north",
            &self.list.address.to_string(),
            &cache.to_string_lossy(),
        );
        let exe = Path::new(env!("CARGO_BIN_EXE_crankpaddle"));
        Process::start(exe, self.dir.path(), "front", &(block + &store + FLEET)).unwrap()
    }

    fn recorded(&self, matches: impl Fn(&Seen) -> bool) -> usize {
        self.recorder
            .all()
            .iter()
            .filter(|record| matches(&record.seen))
            .count()
    }

    fn counts_of(&self, key: &str) -> KeyCounts {
        let label = bill(key);
        KeyCounts {
            sent: self.recorded(|seen| matches!(seen, Seen::SetUp { bill, .. } if *bill == label)),
            billed: self
                .recorded(|seen| matches!(seen, Seen::Billed { bill, .. } if *bill == label)),
        }
    }

    /// Whether servers run set-ups without answering.
    fn set_hanging(&self, hangs: bool) {
        for id in 0..SERVERS {
            self.fleet.set_mode(id, |mode| mode.hangs = hangs);
        }
    }

    /// Whether servers are unreachable.
    fn set_vanished(&self, vanished: bool) {
        for id in 0..SERVERS {
            self.fleet.set_mode(id, |mode| mode.vanished = vanished);
        }
    }

    /// A free session is established only once every server has reported its inventory.
    fn wait_until_serving(&self, front: &Process, key: &str) {
        established(&Player::connect(front).open_until_admitted(key, FREE));
    }
}

struct Player {
    socket: WebSocket<TcpStream>,
    calls: u64,
}

impl Player {
    fn connect(front: &Process) -> Player {
        let stream = TcpStream::connect(front.address).unwrap();
        stream.set_read_timeout(Some(TIMEOUT)).unwrap();
        let request = format!("ws://{}/session", front.address)
            .into_client_request()
            .unwrap();
        let (socket, _) = tungstenite::client::client(request, stream).unwrap();
        Player { socket, calls: 0 }
    }

    fn open(&mut self, key: &str, class: &str) {
        self.calls += 1;
        let open = Open {
            key: key.into(),
            title: "clip-03".into(),
            class: class.into(),
            ..Open::default()
        };
        self.socket
            .send(Message::text(client::open(self.calls, &open)))
            .unwrap();
    }

    fn close(&mut self, session: &str) {
        self.calls += 1;
        let close = client::close(self.calls, session);
        self.socket.send(Message::text(close)).unwrap();
        assert!(matches!(self.receive(), ClientEvent::Closed { .. }));
    }

    /// The next event but a change of rung.
    fn receive(&mut self) -> ClientEvent {
        loop {
            let Message::Text(text) = self.socket.read().unwrap() else {
                continue;
            };
            match client::read(&text).unwrap().remove(0) {
                ClientEvent::Rung { .. } => {}
                event => return event,
            }
        }
    }

    /// Retries while the front sheds load; returns the first other answer.
    fn open_until_admitted(&mut self, key: &str, class: &str) -> ClientEvent {
        let deadline = Instant::now() + TIMEOUT;
        loop {
            self.open(key, class);
            match self.receive() {
                ClientEvent::Refused { reason, .. }
                    if reason == "overload" || reason == "no_room" =>
                {
                    assert!(Instant::now() < deadline, "{key}: {reason}");
                    std::thread::sleep(RETRY_INTERVAL);
                }
                event => return event,
            }
        }
    }
}

/// What the viewer of an established session was sent.
struct Established<'a> {
    session: &'a str,
    media: &'a str,
}

fn established(event: &ClientEvent) -> Established<'_> {
    match event {
        ClientEvent::Plays { session, media, .. } => Established { session, media },
        other => panic!("{other:?}"),
    }
}

fn failure_reason(event: &ClientEvent) -> &str {
    match event {
        ClientEvent::Failed { reason, .. } => reason,
        other => panic!("{other:?}"),
    }
}

fn assert_established_or_failed(event: &ClientEvent) {
    assert!(
        matches!(
            event,
            ClientEvent::Plays { .. } | ClientEvent::Failed { .. }
        ),
        "{event:?}"
    );
}

/// The step of a paid set-up at which power is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Nothing was sent to a server.
    NotSent,
    /// A server received it and has not answered.
    InProgress,
    /// A server ran it, and the answer did not arrive.
    RanUnanswered,
    /// Its viewer was sent the session.
    Established,
    /// Its viewer closed the session, and it ended at its server.
    Closed,
}

const STEPS: [Step; 5] = [
    Step::NotSent,
    Step::InProgress,
    Step::RanUnanswered,
    Step::Established,
    Step::Closed,
];

/// Brings a key's set-up to a step; returns the media address that its viewer was sent and still has.
fn advance_to(
    step: Step,
    harness: &PowerLossHarness,
    front: &Process,
    key: &str,
) -> Option<String> {
    let mut player = Player::connect(front);
    match step {
        Step::NotSent => None,
        Step::InProgress => {
            player.open(key, PAID);
            wait_until("the set-up", || harness.counts_of(key).sent == 1);
            None
        }
        Step::RanUnanswered => {
            harness.set_hanging(true);
            player.open(key, PAID);
            wait_until("the bill", || harness.counts_of(key).billed == 1);
            None
        }
        Step::Established => {
            let event = player.open_until_admitted(key, PAID);
            Some(established(&event).media.to_owned())
        }
        Step::Closed => {
            open_and_close(harness, &mut player, key);
            None
        }
    }
}

fn open_and_close(harness: &PowerLossHarness, player: &mut Player, key: &str) {
    let event = player.open_until_admitted(key, PAID);
    let Established { session, media } = established(&event);
    player.close(session);
    let at_server = media.split('/').nth(4).unwrap();
    wait_until("its end", || {
        harness.recorded(|seen| matches!(seen, Seen::Ended { name, .. } if name == at_server)) == 1
    });
}

/// Checks what the next incarnation answers to a key whose set-up was interrupted at this step, with its disk intact.
fn check_answer(
    step: Step,
    harness: &PowerLossHarness,
    key: &str,
    event: &ClientEvent,
    media: Option<&str>,
) {
    let counts = harness.counts_of(key);
    let mut expected = ONCE;
    match step {
        Step::NotSent => {
            established(event);
        }
        // The server drops the set-up with its front's connection, so that it is sent again; or it ran to its end first.
        Step::InProgress => match event {
            ClientEvent::Plays { .. } => expected = KeyCounts { sent: 2, billed: 1 },
            other => {
                failure_reason(other);
            }
        },
        // The server ends the session when its front is lost, or has not noticed the loss yet.
        Step::RanUnanswered => assert_established_or_failed(event),
        Step::Established => assert_eq!(
            Some(established(event).media),
            media,
            "the session that its server kept"
        ),
        // The record of the end may be lost; the record that it ran is not.
        Step::Closed => assert!(
            ["key_spent", "no_answer"].contains(&failure_reason(event)),
            "{event:?}"
        ),
    }
    assert_eq!(counts, expected, "{step:?}");
}

/// Power lost twice more during recovery: it can't complete while servers are unreachable.
fn lose_power_during_recovery(harness: &PowerLossHarness, key: &str) {
    harness.set_vanished(true);
    for _ in 0..2 {
        let recovering = harness.start_front();
        let mut player = Player::connect(&recovering);
        player.open(key, PAID);
        player.open("while-it-recovers", FREE);
        recovering.kill().unwrap();
    }
    harness.set_vanished(false);
}

#[test]
fn power_lost_at_each_step_and_during_recovery_bills_nothing_twice() {
    let mut harness = PowerLossHarness::new();
    let front = harness.start_front();
    drop(Player::connect(&front));
    front.kill().unwrap();
    for (index, step) in STEPS.into_iter().enumerate() {
        let key = format!("step-{index:04}");
        let front = harness.start_front();
        harness.wait_until_serving(&front, &format!("free-{index:04}"));
        let media = advance_to(step, &harness, &front, &key);
        front.kill().unwrap();
        harness.set_hanging(false);
        harness.next_boot();
        lose_power_during_recovery(&harness, &key);
        let front = harness.start_front();
        let event = Player::connect(&front).open_until_admitted(&key, PAID);
        check_answer(step, &harness, &key, &event, media.as_deref());
        front.kill().unwrap();
    }
}

/// What happens to a disk while the power is off.
#[derive(Clone, Copy, Debug)]
enum DiskFault {
    /// It is replaced by an empty one.
    Empty,
    /// It is restored from an earlier copy.
    Outdated,
    /// The end of its file is missing.
    Truncated,
    /// A part of its file is overwritten.
    Corrupted,
}

const DISK_FAULTS: [DiskFault; 4] = [
    DiskFault::Empty,
    DiskFault::Outdated,
    DiskFault::Truncated,
    DiskFault::Corrupted,
];

fn apply_disk_fault(harness: &PowerLossHarness, fault: DiskFault) {
    let store = harness.path("store");
    let file = store.join("front.redb");
    match fault {
        DiskFault::Empty => fs::remove_dir_all(&store).unwrap(),
        DiskFault::Outdated => {
            fs::remove_dir_all(&store).unwrap();
            fs::rename(harness.path("old"), &store).unwrap();
        }
        DiskFault::Truncated => {
            let bytes = fs::read(&file).unwrap();
            fs::write(&file, &bytes[..bytes.len() / 3]).unwrap();
        }
        DiskFault::Corrupted => {
            let mut bytes = fs::read(&file).unwrap();
            bytes[20..600].fill(0x41);
            fs::write(&file, bytes).unwrap();
        }
    }
}

/// Copies the store, for [`DiskFault::Outdated`].
fn copy_store(harness: &PowerLossHarness) {
    let old = harness.path("old");
    fs::create_dir_all(&old).unwrap();
    for entry in fs::read_dir(harness.path("store")).unwrap() {
        let entry = entry.unwrap();
        fs::copy(entry.path(), old.join(entry.file_name())).unwrap();
    }
}

#[test]
fn a_disk_that_is_empty_outdated_truncated_or_corrupted_bills_nothing_twice() {
    let mut harness = PowerLossHarness::new();
    for (index, fault) in DISK_FAULTS.into_iter().enumerate() {
        let established_key = format!("told-{index:04}");
        let unanswered_key = format!("ran-{index:04}");
        let new_key = format!("new-{index:04}");
        let front = harness.start_front();
        harness.wait_until_serving(&front, &format!("free-{index:04}"));
        front.kill().unwrap();
        copy_store(&harness);
        let front = harness.start_front();
        let media = advance_to(Step::Established, &harness, &front, &established_key);
        advance_to(Step::RanUnanswered, &harness, &front, &unanswered_key);
        front.kill().unwrap();
        harness.set_hanging(false);
        harness.next_boot();
        apply_disk_fault(&harness, fault);

        let front = harness.start_front();
        let mut player = Player::connect(&front);
        let event = player.open_until_admitted(&established_key, PAID);
        assert_eq!(
            Some(established(&event).media),
            media.as_deref(),
            "{fault:?}"
        );
        let event = player.open_until_admitted(&unanswered_key, PAID);
        assert_established_or_failed(&event);
        assert_eq!(harness.counts_of(&established_key), ONCE, "{fault:?}");
        assert_eq!(harness.counts_of(&unanswered_key), ONCE, "{fault:?}");
        // A new key is served and billed.
        established(&player.open_until_admitted(&new_key, PAID));
        assert_eq!(harness.counts_of(&new_key), ONCE);
        front.kill().unwrap();
        let _ = fs::remove_dir_all(harness.path("old")); // It may have become the store.
    }
}

#[test]
fn a_server_that_lost_its_inventory_or_sessions_proves_nothing_and_a_shutdown_leaves_nothing_pending(
) {
    let mut harness = PowerLossHarness::new();
    let front = harness.start_front();
    let mut free_viewer = Player::connect(&front);
    established(&free_viewer.open_until_admitted("free-0001", FREE));
    advance_to(Step::Established, &harness, &front, "gone-0001");
    advance_to(Step::RanUnanswered, &harness, &front, "lost-0001");
    front.kill().unwrap();
    harness.set_hanging(false);
    harness.next_boot();
    for id in 0..SERVERS {
        harness.fleet.crash(id);
        harness.fleet.restart(id).unwrap();
        harness.fleet.lose_inventory(id);
    }

    let mut front = harness.start_front();
    let mut player = Player::connect(&front);
    // The server's inventory begins after the set-up, so it does not prove that the set-up did not run.
    failure_reason(&player.open_until_admitted("lost-0001", PAID));
    let event = player.open_until_admitted("gone-0001", PAID);
    assert_eq!(failure_reason(&event), "key_spent");
    assert_eq!(harness.counts_of("lost-0001"), ONCE);
    assert_eq!(harness.counts_of("gone-0001"), ONCE);
    established(&player.open_until_admitted("new-0001", PAID));
    drop(player);
    let faults =
        crankpaddle_testbed::process::end_all(std::iter::once(&mut front), TIMEOUT).unwrap();
    assert_eq!(faults, Vec::<String>::new());

    // After a graceful shutdown the next incarnation serves at once, and still has the key.
    let front = harness.start_front();
    let mut player = Player::connect(&front);
    let event = player.open_until_admitted("new-0001", PAID);
    assert_eq!(failure_reason(&event), "key_spent");
    assert_eq!(harness.counts_of("new-0001"), ONCE);
    assert_eq!(harness.config.classes, [PAID, FREE]);
}

/// Starts a second front on a folder; returns the error that it exits with.
fn start_error(harness: &PowerLossHarness, folder: &Path) -> String {
    let key = harness.path("key");
    let store =
        format!("store {{ name: \"north-1\" dir: {folder:?} key_file: {key:?} settle: \"2s\" }}\n");
    let block = front_block(0, 1, "north", "127.0.0.1:9", "");
    let exe = Path::new(env!("CARGO_BIN_EXE_crankpaddle"));
    let config = block + &store + FLEET;
    Process::start(exe, harness.dir.path(), "second", &config)
        .unwrap_err()
        .to_string()
}

#[test]
fn a_folder_in_use_by_another_front_or_of_a_later_release_is_an_error_with_advice() {
    let harness = PowerLossHarness::new();
    let front = harness.start_front();
    let store = harness.path("store");

    let locked = start_error(&harness, &store);
    front.kill().unwrap();
    fs::write(store.join("VERSION"), "7\n").unwrap();
    let later_release = start_error(&harness, &store);

    assert!(locked.contains("store::locked"), "{locked}");
    assert!(locked.contains("do: give each front"), "{locked}");
    assert!(later_release.contains("store::future"), "{later_release}");
    assert!(later_release.contains("version 7"), "{later_release}");
}
