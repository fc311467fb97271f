//! A front in this process, with stand-in servers and list service, and players made by hand on blocking sockets.
#![allow(dead_code)]
use crankpaddle_config::Config;
use crankpaddle_daemon::Daemon;
use crankpaddle_session_api::client::{self, ClientEvent};
use crankpaddle_session_api::methods::Open;
use crankpaddle_testbed::fault_mode::Mode;
use crankpaddle_testbed::invariant_checker::{judge, Rules, Verdict};
use crankpaddle_testbed::list_service::{entry, EndpointState, ListService};
use crankpaddle_testbed::record::{Record, Recorder, Seen};
use crankpaddle_testbed::script::{front_block, FLEET};
use crankpaddle_testbed::server::{Fleet, Layout};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tungstenite::client::IntoClientRequest;
use tungstenite::{Message, WebSocket};

pub(crate) const PAID: &str = "licensed-view";
pub(crate) const FREE: &str = "preview";
/// Nothing here takes longer unless something is broken.
pub(crate) const LONG: Duration = Duration::from_secs(20);

/// The fleet's text with short times, and each change made in it.
pub(crate) fn text(changes: &[(&str, &str)]) -> String {
    let quick = [
        (
            "aim: \"800ms\"\n  give_up: \"4s\"",
            "aim: \"400ms\"\n  give_up: \"1500ms\"",
        ),
        (
            "aim: \"1s\"\n  give_up: \"5s\"",
            "aim: \"400ms\"\n  give_up: \"2s\"",
        ),
        // Wide, so that a busy machine that runs the tests is not taken for a late front.
        ("answer_margin: \"100ms\"", "answer_margin: \"500ms\""),
        ("resume: \"3s\"", "resume: \"700ms\""),
        ("silence: \"2s\"", "silence: \"1s\""),
    ];
    quick
        .iter()
        .chain(changes)
        .fold(FLEET.to_owned(), |text, (from, to)| {
            assert!(text.contains(from), "{from}");
            text.replacen(from, to, 1)
        })
}

pub(crate) struct Rig {
    pub config: Arc<Config>,
    pub fleet: Arc<Fleet>,
    pub list: Arc<ListService>,
    pub daemon: Daemon,
    pub recorder: Recorder,
}

pub(crate) fn fleet(text: &str) -> (Arc<Config>, Arc<Fleet>, Recorder) {
    crankpaddle_net::start(Some(2));
    let config = Arc::new(
        crankpaddle_config::parse(&front(text, &"127.0.0.1:1".parse().unwrap(), "")).unwrap(),
    );
    let recorder = Recorder::default();
    let layout = Layout {
        count: 12,
        cores: 3,
        work: 20_000_000,
        uneven: 0.0,
        segment: 200_000_000,
        seed: 3,
    };
    let fleet = Fleet::start(config.clone(), &layout, recorder.clone()).unwrap();
    (config, fleet, recorder)
}

pub(crate) fn front(text: &str, list: &SocketAddr, cache: &str) -> String {
    format!(
        "{}{text}",
        front_block(0, 1, "north", &list.to_string(), cache)
    )
    .replacen("front {", "front {\n  seed: 5", 1)
}

pub(crate) fn list(config: &Config, fleet: &Fleet, recorder: &Recorder) -> Arc<ListService> {
    let entries = fleet
        .servers
        .iter()
        .map(|s| entry(config, s.id, s.address, EndpointState::Ready, 0))
        .collect();
    ListService::start(entries, 1_000_000, recorder.clone()).unwrap()
}

/// Servers and a list service, before any front.
pub(crate) struct Stage {
    pub config: Arc<Config>,
    pub fleet: Arc<Fleet>,
    pub list: Arc<ListService>,
    pub recorder: Recorder,
    text: String,
}

impl Stage {
    pub(crate) fn new(changes: &[(&str, &str)]) -> Stage {
        let text = text(changes);
        let (config, fleet, recorder) = fleet(&text);
        let list = list(&config, &fleet, &recorder);
        Stage {
            config,
            fleet,
            list,
            recorder,
            text,
        }
    }

    pub(crate) fn front(&self) -> Config {
        crankpaddle_config::parse(&front(&self.text, &self.list.address, "")).unwrap()
    }

    pub(crate) fn start(&self) -> Daemon {
        Daemon::start(self.front()).unwrap()
    }
}

impl Rig {
    pub(crate) fn new(changes: &[(&str, &str)]) -> Rig {
        Rig::with_tenant(changes, "")
    }

    /// Where the changes name tenants, one of them must be given.
    pub(crate) fn with_tenant(changes: &[(&str, &str)], tenant: &str) -> Rig {
        Rig::on(Stage::new(changes), tenant, |_| {})
    }

    /// A front before servers of its own, to which something is done first.
    pub(crate) fn on(stage: Stage, tenant: &str, before: impl FnOnce(&Stage)) -> Rig {
        before(&stage);
        let daemon = stage.start();
        Rig::of(stage, daemon, tenant)
    }

    pub(crate) fn of(stage: Stage, daemon: Daemon, tenant: &str) -> Rig {
        let Stage {
            config,
            fleet,
            list,
            recorder,
            ..
        } = stage;
        let rig = Rig {
            config,
            fleet,
            list,
            daemon,
            recorder,
        };
        rig.listed(tenant);
        rig
    }

    /// Waits until the front has a list: only then a request can be placed.
    pub(crate) fn listed(&self, tenant: &str) {
        wait("the list to be told", || {
            self.seen(|s| matches!(s, Seen::Listed { .. })) > 0
        });
        // Told is not yet heard: the front is asked until it places something.
        let mut player = self.player();
        player.tenant = (!tenant.is_empty()).then(|| tenant.to_owned());
        let (mut n, until) = (0, Instant::now() + LONG);
        loop {
            n += 1;
            let (_, said) = player.open_and_wait(&format!("probe-{n:04}"), FREE);
            if let ClientEvent::Plays { session, .. } = said {
                player.close_session(&session);
                break;
            }
            assert!(Instant::now() < until, "{said:?}");
        }
        wait("the probe to end", || self.fleet.streams() == 0);
    }

    pub(crate) fn modes(&self, change: impl Fn(&mut Mode)) {
        (0..12).for_each(|id| self.fleet.set_mode(id, &change));
    }

    pub(crate) fn seen(&self, which: impl Fn(&Seen) -> bool) -> usize {
        self.recorder
            .all()
            .iter()
            .filter(|r| which(&r.seen))
            .count()
    }

    /// Set-ups and bills of the session with this key.
    pub(crate) fn of_key(&self, key: &str) -> (usize, usize) {
        let label = crankpaddle_server_protocol::sessions::bill(key);
        let sent = self.seen(|s| matches!(s, Seen::SetUp { bill, .. } if *bill == label));
        (
            sent,
            self.seen(|s| matches!(s, Seen::Billed { bill, .. } if *bill == label)),
        )
    }

    /// The judge's verdict on what the servers saw; the players here are not recorded.
    pub(crate) fn verdict(&self) -> Verdict {
        let records: Vec<Record> = self.recorder.all();
        judge(
            &Rules::of(&self.config, 1_000_000_000, 150_000_000),
            &records,
        )
    }

    pub(crate) fn player(&self) -> Player {
        Player::connect(self.daemon.address())
    }

    pub(crate) fn raw(&self) -> TcpStream {
        let stream = TcpStream::connect(self.daemon.address()).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream
    }

    /// Sends bytes and reads all until the front closes.
    pub(crate) fn exchange(&self, bytes: &[u8]) -> String {
        let mut stream = self.raw();
        stream.write_all(bytes).unwrap();
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer); // A reset after the answer is an end too.
        String::from_utf8_lossy(&answer).into_owned()
    }
}

/// Waits for something that must come, looking again and again.
pub(crate) fn wait(what: &str, mut come: impl FnMut() -> bool) {
    let until = Instant::now() + LONG;
    while !come() {
        assert!(Instant::now() < until, "waited in vain for {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

pub(crate) struct Player {
    pub socket: WebSocket<TcpStream>,
    calls: u64,
    pub tenant: Option<String>,
}

impl Player {
    pub(crate) fn connect(address: SocketAddr) -> Player {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        let mut request = format!("ws://{address}/session")
            .into_client_request()
            .unwrap();
        request.headers_mut().insert(
            "sec-websocket-protocol",
            "session.v1.jsonrpc".parse().unwrap(),
        );
        let (socket, answer) = tungstenite::client::client(request, stream).unwrap();
        assert_eq!(
            answer.headers()["sec-websocket-protocol"],
            "session.v1.jsonrpc"
        );
        Player {
            socket,
            calls: 0,
            tenant: None,
        }
    }

    pub(crate) fn say(&mut self, text: impl Into<String>) {
        self.socket.send(Message::text(text.into())).unwrap();
    }

    pub(crate) fn open_for(&mut self, key: &str, class: &str, title: &str) -> u64 {
        self.calls += 1;
        let (key, title, class) = (key.into(), title.into(), class.into());
        let open = Open {
            key,
            title,
            class,
            tenant: self.tenant.clone(),
            ..Open::default()
        };
        self.say(client::open(self.calls, &open));
        self.calls
    }

    pub(crate) fn open(&mut self, key: &str, class: &str) -> u64 {
        self.open_for(key, class, "clip-03")
    }

    pub(crate) fn hear(&mut self) -> ClientEvent {
        loop {
            match self.socket.read().unwrap() {
                Message::Text(text) => return client::read(&text).unwrap().remove(0),
                Message::Close(_) => panic!("closed"),
                _ => {}
            }
        }
    }

    pub(crate) fn open_and_wait(&mut self, key: &str, class: &str) -> (u64, ClientEvent) {
        let call = self.open(key, class);
        (call, self.hear())
    }

    pub(crate) fn close_session(&mut self, session: &str) -> ClientEvent {
        self.calls += 1;
        let text = client::close(self.calls, session);
        self.say(text);
        loop {
            match self.hear() {
                ClientEvent::Rung { .. } => {}
                said => return said,
            }
        }
    }

    /// Whether nothing more comes within a time; only to look for what must not be.
    pub(crate) fn is_silent(&mut self, time: Duration) -> bool {
        self.socket.get_ref().set_read_timeout(Some(time)).unwrap();
        let quiet = matches!(self.socket.read(), Err(tungstenite::Error::Io(e)) if e.kind() == ErrorKind::WouldBlock);
        self.socket.get_ref().set_read_timeout(Some(LONG)).unwrap();
        quiet
    }
}
