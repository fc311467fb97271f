//! Power lost at each step between a paid set-up's intent and its answer, and what the next life makes of it. A front is a process
//! that is killed; its disk, its boot and its servers are changed while it is away. Judged from the servers' own books.
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
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tempfile::TempDir;
use tungstenite::client::IntoClientRequest;
use tungstenite::{Message, WebSocket};

const LONG: Duration = Duration::from_secs(30);
const PAID: &str = "licensed-view";
const FREE: &str = "preview";
const KEY: &str = "00112233445566778899aabbccddeeff";

fn wait(what: &str, mut come: impl FnMut() -> bool) {
    let until = Instant::now() + LONG;
    while !come() {
        assert!(Instant::now() < until, "waited in vain for {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Servers, a list service, and a front of which only the disk stays.
struct Rig {
    dir: TempDir,
    fleet: Arc<Fleet>,
    list: Arc<ListService>,
    recorder: Recorder,
    config: Arc<Config>,
    boots: u32,
}

impl Rig {
    fn new() -> Rig {
        crankpaddle_net::start(Some(2));
        let dir = tempfile::tempdir().unwrap();
        fs::write(dir.path().join("key"), KEY).unwrap();
        let config = Arc::new(fleet_config(FLEET).unwrap());
        let recorder = Recorder::default();
        // A set-up takes long enough to be met in its midst.
        let layout = Layout {
            count: 12,
            cores: 3,
            work: 300_000_000,
            uneven: 0.0,
            segment: 200_000_000,
            seed: 3,
        };
        let fleet = Fleet::start(config.clone(), &layout, recorder.clone()).unwrap();
        let of = |s: &Arc<crankpaddle_testbed::server::Server>| {
            entry(&config, s.id, s.address, EndpointState::Ready, 0)
        };
        let entries = fleet.servers.iter().map(of).collect();
        let list = ListService::start(entries, 1_000_000, recorder.clone()).unwrap();
        let mut rig = Rig {
            dir,
            fleet,
            list,
            recorder,
            config,
            boots: 0,
        };
        rig.boot();
        rig
    }

    /// The host's next boot.
    fn boot(&mut self) {
        self.boots += 1;
        fs::write(self.dir.path().join("boot"), format!("boot {}", self.boots)).unwrap();
    }

    fn path(&self, name: &str) -> std::path::PathBuf {
        self.dir.path().join(name)
    }

    fn start(&self) -> Process {
        self.start_on("store")
    }

    fn start_on(&self, folder: &str) -> Process {
        let (dir, key, boot) = (self.path(folder), self.path("key"), self.path("boot"));
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

    fn seen(&self, which: impl Fn(&Seen) -> bool) -> usize {
        self.recorder
            .all()
            .iter()
            .filter(|r| which(&r.seen))
            .count()
    }

    /// Set-ups and bills of a key.
    fn of(&self, key: &str) -> (usize, usize) {
        let label = bill(key);
        let sent = self.seen(|s| matches!(s, Seen::SetUp { bill, .. } if *bill == label));
        (
            sent,
            self.seen(|s| matches!(s, Seen::Billed { bill, .. } if *bill == label)),
        )
    }

    fn hang(&self, hangs: bool) {
        (0..12).for_each(|id| self.fleet.set_mode(id, |m| m.hangs = hangs));
    }
}

struct Player {
    socket: WebSocket<TcpStream>,
    calls: u64,
}

impl Player {
    fn of(front: &Process) -> Player {
        let stream = TcpStream::connect(front.address).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
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

    fn hear(&mut self) -> ClientEvent {
        loop {
            if let Message::Text(text) = self.socket.read().unwrap() {
                match client::read(&text).unwrap().remove(0) {
                    ClientEvent::Rung { .. } => {}
                    said => return said,
                }
            }
        }
    }

    /// Comes again until it is not told to come back.
    fn ask(&mut self, key: &str, class: &str) -> ClientEvent {
        let until = Instant::now() + LONG;
        loop {
            self.open(key, class);
            match self.hear() {
                ClientEvent::Refused { reason, .. }
                    if reason == "overload" || reason == "no_room" =>
                {
                    assert!(Instant::now() < until, "{key}: {reason}");
                    std::thread::sleep(Duration::from_millis(50));
                }
                said => return said,
            }
        }
    }
}

fn plays(said: &ClientEvent) -> (&str, &str) {
    match said {
        ClientEvent::Plays { session, media, .. } => (session, media),
        other => panic!("{other:?}"),
    }
}

fn failed(said: &ClientEvent) -> &str {
    match said {
        ClientEvent::Failed { reason, .. } => reason,
        other => panic!("{other:?}"),
    }
}

/// The step at which power goes, for a set-up of this key; what the viewer had been told is given back.
fn until(rig: &Rig, front: &Process, step: &str, key: &str) -> Option<String> {
    let mut player = Player::of(front);
    let sent = || rig.of(key).0 == 1;
    match step {
        "nothing left yet" => None,
        "a server works on it" => {
            player.open(key, PAID);
            wait("the set-up", sent);
            None
        }
        "it ran and nobody was told" => {
            rig.hang(true);
            player.open(key, PAID);
            wait("the bill", || rig.of(key).1 == 1);
            None
        }
        "its viewer was told" => Some(plays(&player.ask(key, PAID)).1.to_owned()),
        "it was closed" => {
            let said = player.ask(key, PAID);
            player.calls += 1;
            let text = client::close(player.calls, plays(&said).0);
            player.socket.send(Message::text(text)).unwrap();
            assert!(matches!(player.hear(), ClientEvent::Closed { .. }));
            let ended = plays(&said).1.split('/').nth(4).unwrap().to_owned();
            wait("its end", || {
                rig.seen(|s| matches!(s, Seen::Ended { name, .. } if *name == ended)) == 1
            });
            None
        }
        _ => unreachable!("{step}"),
    }
}

const STEPS: [&str; 5] = [
    "nothing left yet",
    "a server works on it",
    "it ran and nobody was told",
    "its viewer was told",
    "it was closed",
];

/// What the next life must say of a key that was lost at this step, with its disk as it was.
fn judge(rig: &Rig, step: &str, key: &str, said: &ClientEvent, media: Option<&str>) {
    let (sent, billed) = rig.of(key);
    match step {
        "nothing left yet" => {
            plays(said);
            assert_eq!((sent, billed), (1, 1), "{step}");
        }
        // A server drops what its front left; or it ran to its end first.
        "a server works on it" => match said {
            ClientEvent::Plays { .. } => assert_eq!((sent, billed), (2, 1), "{step}"),
            other => {
                failed(other);
                assert_eq!((sent, billed), (1, 1), "{step}");
            }
        },
        // Its server lets go of it when its front is lost, or had not seen that yet.
        "it ran and nobody was told" => {
            assert!(
                matches!(said, ClientEvent::Plays { .. } | ClientEvent::Failed { .. }),
                "{said:?}"
            );
            assert_eq!((sent, billed), (1, 1), "{step}");
        }
        "its viewer was told" => {
            assert_eq!(
                Some(plays(said).1),
                media,
                "the session that its server kept"
            );
            assert_eq!((sent, billed), (1, 1), "{step}");
        }
        // What is written of an end may be lost; that it ran is not.
        _ => {
            assert!(
                ["key_spent", "no_answer"].contains(&failed(said)),
                "{said:?}"
            );
            assert_eq!((sent, billed), (1, 1), "{step}");
        }
    }
}

#[test]
fn power_lost_at_each_step_and_during_recovery_sells_nothing_twice() {
    let mut rig = Rig::new();
    let front = rig.start();
    drop(Player::of(&front));
    front.kill().unwrap();
    for (n, step) in STEPS.into_iter().enumerate() {
        let key = format!("step-{n:04}");
        let front = rig.start();
        // Nobody is served before servers told; a free session shows that all are.
        plays(&Player::of(&front).ask(&format!("free-{n:04}"), FREE));
        let media = until(&rig, &front, step, &key);
        front.kill().unwrap();
        rig.hang(false);
        // Again during recovery, and again: while servers are silent it can't settle.
        rig.boot();
        (0..12).for_each(|id| rig.fleet.set_mode(id, |m| m.vanished = true));
        for _ in 0..2 {
            let recovering = rig.start();
            let mut player = Player::of(&recovering);
            player.open(&key, PAID);
            player.open("while-it-recovers", FREE);
            recovering.kill().unwrap();
        }
        (0..12).for_each(|id| rig.fleet.set_mode(id, |m| m.vanished = false));
        let front = rig.start();
        let said = Player::of(&front).ask(&key, PAID);
        judge(&rig, step, &key, &said, media.as_deref());
        front.kill().unwrap();
    }
}

/// What happens to a disk while the power is away.
fn spoil(rig: &Rig, how: &str) {
    let (store, old) = (rig.path("store"), rig.path("old"));
    let file = store.join("front.redb");
    match how {
        "empty" => fs::remove_dir_all(&store).unwrap(),
        "of last week" => {
            fs::remove_dir_all(&store).unwrap();
            fs::rename(&old, &store).unwrap();
        }
        "torn" => {
            let whole = fs::read(&file).unwrap();
            fs::write(&file, &whole[..whole.len() / 3]).unwrap();
        }
        "spoilt" => {
            let mut bytes = fs::read(&file).unwrap();
            bytes[20..600].fill(0x41);
            fs::write(&file, bytes).unwrap();
        }
        _ => unreachable!("{how}"),
    }
}

#[test]
fn a_disk_that_is_empty_old_torn_or_spoilt_sells_nothing_twice() {
    let mut rig = Rig::new();
    for (n, how) in ["empty", "of last week", "torn", "spoilt"]
        .into_iter()
        .enumerate()
    {
        let front = rig.start();
        plays(&Player::of(&front).ask(&format!("free-{n:04}"), FREE));
        front.kill().unwrap();
        fs::create_dir_all(rig.path("old")).unwrap();
        for entry in fs::read_dir(rig.path("store")).unwrap().map(Result::unwrap) {
            fs::copy(entry.path(), rig.path("old").join(entry.file_name())).unwrap();
        }
        let (told, ran) = (format!("told-{n:04}"), format!("ran-{n:04}"));
        let front = rig.start();
        let media = until(&rig, &front, "its viewer was told", &told);
        until(&rig, &front, "it ran and nobody was told", &ran);
        front.kill().unwrap();
        rig.hang(false);
        rig.boot();
        spoil(&rig, how);
        let front = rig.start();
        let mut player = Player::of(&front);
        let said = player.ask(&told, PAID);
        assert_eq!(Some(plays(&said).1), media.as_deref(), "{how}");
        let said = player.ask(&ran, PAID);
        assert!(
            matches!(said, ClientEvent::Plays { .. } | ClientEvent::Failed { .. }),
            "{said:?}"
        );
        assert_eq!((rig.of(&told), rig.of(&ran)), ((1, 1), (1, 1)), "{how}");
        // What is new is sold.
        plays(&player.ask(&format!("new-{n:04}"), PAID));
        assert_eq!(rig.of(&format!("new-{n:04}")), (1, 1));
        front.kill().unwrap();
        let _ = fs::remove_dir_all(rig.path("old")); // It may have become the store.
    }
}

#[test]
fn a_server_that_lost_its_book_or_its_sessions_proves_nothing_and_an_end_in_order_leaves_nothing_open(
) {
    let mut rig = Rig::new();
    let front = rig.start();
    let mut player = Player::of(&front);
    plays(&player.ask("free-0001", FREE));
    until(&rig, &front, "its viewer was told", "gone-0001");
    until(&rig, &front, "it ran and nobody was told", "lost-0001");
    front.kill().unwrap();
    rig.hang(false);
    rig.boot();
    for id in 0..12 {
        rig.fleet.crash(id);
        rig.fleet.restart(id).unwrap();
        rig.fleet.lose_inventory(id);
    }
    let front = rig.start();
    let mut player = Player::of(&front);
    // Its book begins after the set-up: for all one knows it ran.
    failed(&player.ask("lost-0001", PAID));
    assert_eq!(failed(&player.ask("gone-0001", PAID)), "key_spent");
    assert_eq!((rig.of("lost-0001"), rig.of("gone-0001")), ((1, 1), (1, 1)));
    plays(&player.ask("new-0001", PAID));
    drop(player);
    let mut front = [front];
    let faults = crankpaddle_testbed::process::end_all(front.iter_mut(), LONG).unwrap();
    assert_eq!(faults, Vec::<String>::new());
    // The next life serves at once, and still knows.
    let front = rig.start();
    let mut player = Player::of(&front);
    assert_eq!(failed(&player.ask("new-0001", PAID)), "key_spent");
    assert_eq!(rig.of("new-0001"), (1, 1));
    assert_eq!(rig.config.classes, [PAID, FREE]);
}

#[test]
fn a_folder_that_is_anothers_or_a_later_releases_is_an_error_with_advice() {
    let rig = Rig::new();
    let front = rig.start();
    let (dir, key) = (rig.path("store"), rig.path("key"));
    let said = |folder: &Path| {
        let store = format!(
            "store {{ name: \"north-1\" dir: {folder:?} key_file: {key:?} settle: \"2s\" }}\n"
        );
        let block = front_block(0, 1, "north", "127.0.0.1:9", "");
        let exe = Path::new(env!("CARGO_BIN_EXE_crankpaddle"));
        Process::start(exe, rig.dir.path(), "second", &(block + &store + FLEET))
            .unwrap_err()
            .to_string()
    };
    let locked = said(&dir);
    assert!(
        locked.contains("store::locked") && locked.contains("do: give each front"),
        "{locked}"
    );
    front.kill().unwrap();
    fs::write(dir.join("VERSION"), "7\n").unwrap();
    let future = said(&dir);
    assert!(
        future.contains("store::future") && future.contains("version 7"),
        "{future}"
    );
}
