//! A node on loopback with stand-ins of its platform: servers, a directory and viewers that do what a test tells them.
//! They are written from the platform's protocol and block on threads of their own; nothing waits without a bound.
#![allow(dead_code)] // Each test file uses its part.
use crankpaddle::Event;
use crankpaddle_front::EventObserver;
use crankpaddle_node::Node;
use crankpaddle_node_protocol::config::Config;
use crankpaddle_node_protocol::rtsp::{Decoder, Kind, Message};
use crankpaddle_node_protocol::Tag;
use hickory_proto::op::{Message as Dns, MessageType, OpCode, ResponseCode};
use hickory_proto::rr::rdata::{A, SOA, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record};
use serde_json::{json, Value};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::str::FromStr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Nothing that is waited for takes longer, however busy the machine is.
pub(crate) const LONG: Duration = Duration::from_secs(20);

/// What a server heard, on its connection of this number.
#[derive(Debug)]
pub(crate) enum Heard {
    Opened(usize),
    Said(usize, Message),
    Closed(usize),
}

/// A stand-in server.
pub(crate) struct Server {
    pub name: String,
    pub address: SocketAddr,
    conns: Arc<Mutex<Vec<TcpStream>>>,
    heard: Receiver<Heard>,
    held: RefCell<VecDeque<Heard>>, // Heard, and not asked for yet.
    deaf: Arc<AtomicBool>,
    vanished: Arc<AtomicBool>,
    listener: std::thread::Thread,
}

fn listen(address: SocketAddr) -> TcpListener {
    TcpListener::bind(address).expect("a port")
}

impl Server {
    pub(crate) fn start(number: u32) -> Server {
        Server::start_at(number, SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    pub(crate) fn start_at(number: u32, address: SocketAddr) -> Server {
        let listener = listen(address);
        let address = listener.local_addr().expect("bound");
        let (tell, heard) = channel();
        let conns: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let deaf = Arc::new(AtomicBool::new(false));
        let vanished = Arc::new(AtomicBool::new(false));
        let (all, ends, lost) = (conns.clone(), deaf.clone(), vanished.clone());
        let accepts = std::thread::spawn(move || {
            for stream in listener.incoming() {
                if ends.load(Ordering::Acquire) {
                    return; // The listener closes with this.
                }
                while lost.load(Ordering::Acquire) {
                    std::thread::park(); // It stays open, and nobody accepts.
                }
                let Ok(stream) = stream else { return };
                let _ = stream.set_nodelay(true); // Only slower without it.
                let copy = stream.try_clone().expect("a descriptor");
                let number = {
                    let mut all = all.lock().expect("unpoisoned");
                    all.push(copy);
                    all.len() - 1
                };
                if tell.send(Heard::Opened(number)).is_err() {
                    return;
                }
                let tell = tell.clone();
                std::thread::spawn(move || hear(stream, number, &tell));
            }
        });
        let listener = accepts.thread().clone();
        Server {
            name: format!("s-{number:08x}"),
            address,
            conns,
            heard,
            held: RefCell::default(),
            deaf,
            vanished,
            listener,
        }
    }

    /// The first thing heard, and not taken yet, of which `wanted` makes something; the others stay.
    fn look<T>(&self, wanted: impl Fn(&Heard) -> Option<T>) -> Option<T> {
        let mut held = self.held.borrow_mut();
        held.extend(self.heard.try_iter());
        let (at, found) = held
            .iter()
            .enumerate()
            .find_map(|(at, heard)| Some((at, wanted(heard)?)))?;
        held.remove(at);
        Some(found)
    }

    /// What was said first with this method, if anything was.
    pub(crate) fn look_for(&self, method: &str) -> Option<(usize, Message)> {
        self.look(|heard| match heard {
            Heard::Said(conn, message) if matches!(&message.kind, Kind::Request(m, _) if m == method) => {
                Some((*conn, message.clone()))
            }
            _ => None,
        })
    }

    /// Waits until a connection was opened that was not waited for yet; its number.
    pub(crate) fn opened(&self) -> usize {
        let mut found = None;
        wait("the node connects", || {
            found = self.look(|heard| {
                if let Heard::Opened(conn) = heard {
                    Some(*conn)
                } else {
                    None
                }
            });
            found.is_some()
        });
        found.unwrap_or_default()
    }

    /// What was said first with this method, and on which connection.
    pub(crate) fn said(&self, method: &str) -> (usize, Message) {
        let mut found = None;
        wait(method, || {
            found = self.look_for(method);
            found.is_some()
        });
        found.expect("just found")
    }

    /// Everything heard and not taken until now, without waiting.
    pub(crate) fn rest(&self) -> Vec<Heard> {
        let mut held = self.held.borrow_mut();
        held.extend(self.heard.try_iter());
        held.drain(..).collect()
    }

    pub(crate) fn send(&self, conn: usize, bytes: &[u8]) {
        let mut stream = &self.conns.lock().expect("unpoisoned")[conn];
        stream.write_all(bytes).expect("the node reads");
    }

    pub(crate) fn try_send(&self, conn: usize, bytes: &[u8]) -> bool {
        let mut stream = &self.conns.lock().expect("unpoisoned")[conn];
        stream.write_all(bytes).is_ok()
    }

    pub(crate) fn close(&self, conn: usize) {
        let _ = self.conns.lock().expect("unpoisoned")[conn].shutdown(Shutdown::Both);
    }

    /// The machine vanishes: what is open stays open and silent, and no new connection comes up. The connections that fill
    /// the listener's queue must be kept for as long.
    pub(crate) fn vanish(&self) -> Vec<TcpStream> {
        self.vanished.store(true, Ordering::Release);
        let _ = TcpStream::connect(self.address); // Wakes the listener, which takes nothing more.
        let short = Duration::from_millis(100);
        std::iter::from_fn(|| TcpStream::connect_timeout(&self.address, short).ok()).collect()
    }

    /// A machine that vanished accepts connections again.
    pub(crate) fn is_back(&self) {
        self.vanished.store(false, Ordering::Release);
        self.listener.unpark();
    }

    /// A machine that vanished is gone for good; another may listen at its address.
    pub(crate) fn leaves(&self) {
        self.deaf.store(true, Ordering::Release);
        self.is_back();
    }

    /// Whether any set-up was heard that was not taken.
    pub(crate) fn heard_set_up(&self) -> bool {
        self.look_for("SETUP").is_some()
    }

    /// The process dies: nobody listens any more and connections end.
    pub(crate) fn die(&self) {
        self.deaf.store(true, Ordering::Release);
        let _ = TcpStream::connect(self.address); // Wakes the listener, which ends.
        for conn in self.conns.lock().expect("unpoisoned").iter() {
            let _ = conn.shutdown(Shutdown::Both);
        }
    }
}

fn hear(mut stream: TcpStream, number: usize, tell: &Sender<Heard>) {
    let (mut decoder, mut messages, mut piece) = (Decoder::default(), Vec::new(), [0u8; 4096]);
    loop {
        let got = stream.read(&mut piece).unwrap_or(0);
        if got == 0 || decoder.feed(&piece[..got], &mut messages).is_err() {
            let _ = tell.send(Heard::Closed(number)); // The test may be over.
            return;
        }
        for message in messages.drain(..) {
            let _ = tell.send(Heard::Said(number, message));
        }
    }
}

pub(crate) fn response(status: u16, cseq: u32, tag: Tag, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("RTSP/1.0 {status} X\r\nCSeq: {cseq}\r\nSession: {tag}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

pub(crate) fn stands(tag: Tag, body: &str) -> Vec<u8> {
    response(200, 1, tag, "", body)
}

pub(crate) fn note(tag: Tag, name: &str, figure: f64) -> Vec<u8> {
    format!(
        "ANNOUNCE rtsp://media/x RTSP/1.0\r\nCSeq: 9\r\nSession: {tag}\r\nX-Note: {name}\r\nFigure: {figure}\r\n\
         Content-Length: 0\r\n\r\n"
    )
    .into_bytes()
}

pub(crate) fn session_of(message: &Message) -> Tag {
    message.session.expect("a session")
}

/// One line of the directory: id, address, zone, kind, priority, start.
#[derive(Clone, Debug)]
pub(crate) struct Line {
    pub name: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub priority: u16,
    pub started_ms: u64,
}

#[derive(Clone, Debug)]
pub(crate) struct Told {
    pub serial: u32,
    pub lines: Vec<Line>,
    /// Answers with a failure, a cut, an older list or nothing instead.
    pub spoilt: Option<Spoilt>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Spoilt {
    Failure,
    Truncated,
    OtherId,
    Silence,
    /// Each answer comes when so many further questions have been asked.
    Behind(usize),
}

/// A stand-in directory.
pub(crate) struct Directory {
    pub address: SocketAddr,
    told: Arc<Mutex<Told>>,
    asked: Arc<AtomicU64>,
}

impl Directory {
    pub(crate) fn start(told: Told) -> Directory {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let address = socket.local_addr().expect("bound");
        let told = Arc::new(Mutex::new(told));
        let asked = Arc::new(AtomicU64::new(0));
        let (now, count) = (told.clone(), asked.clone());
        std::thread::spawn(move || {
            let (mut bytes, mut kept) = ([0u8; 1024], VecDeque::new());
            while let Ok((got, from)) = socket.recv_from(&mut bytes) {
                let Ok(query) = Dns::from_vec(&bytes[..got]) else {
                    continue;
                };
                let told = now.lock().expect("unpoisoned").clone();
                let answer = list(query.metadata.id, &told);
                if told.spoilt != Some(Spoilt::Silence) {
                    kept.push_back((answer.to_vec().expect("written"), from));
                }
                let behind = if let Some(Spoilt::Behind(n)) = told.spoilt {
                    n
                } else {
                    0
                };
                for (answer, from) in kept.drain(..kept.len().saturating_sub(behind)) {
                    let _ = socket.send_to(&answer, from);
                }
                count.fetch_add(1, Ordering::AcqRel);
            }
        });
        Directory {
            address,
            told,
            asked,
        }
    }

    pub(crate) fn tell(&self, change: impl FnOnce(&mut Told)) {
        change(&mut self.told.lock().expect("unpoisoned"));
    }

    pub(crate) fn asked(&self) -> u64 {
        self.asked.load(Ordering::Acquire)
    }

    /// Waits until it was asked so many times more.
    pub(crate) fn wait_asked(&self, more: u64) {
        let until = self.asked() + more;
        wait("the directory is asked", || self.asked() >= until);
    }
}

fn list(id: u16, told: &Told) -> Dns {
    let name = |text: &str| Name::from_str(text).expect("a name");
    let id = if told.spoilt == Some(Spoilt::OtherId) {
        id.wrapping_add(1)
    } else {
        id
    };
    let mut message = Dns::new(id, MessageType::Response, OpCode::Query);
    for line in &told.lines {
        let host = name(&format!("{}.{}.hosts.", line.name, line.zone));
        let IpAddr::V4(ip) = line.address.ip() else {
            panic!("an IPv4 address")
        };
        let srv = SRV::new(line.priority, 10, line.address.port(), host.clone());
        message.add_answer(Record::from_rdata(
            name("_work._tcp.fleet.local."),
            0,
            RData::SRV(srv),
        ));
        message.add_additional(Record::from_rdata(host.clone(), 0, RData::A(A(ip))));
        let text = vec![
            format!("kind={}", line.kind),
            "cell=0".to_owned(),
            format!("started={}", line.started_ms),
        ];
        message.add_additional(Record::from_rdata(host, 0, RData::TXT(TXT::new(text))));
    }
    let soa = SOA::new(
        name("ns.fleet.local."),
        name("ops.fleet.local."),
        told.serial,
        1,
        1,
        1,
        1,
    );
    message.add_authority(Record::from_rdata(name("fleet.local."), 0, RData::SOA(soa)));
    message.metadata.truncation = told.spoilt == Some(Spoilt::Truncated);
    if told.spoilt == Some(Spoilt::Failure) {
        message.metadata.response_code = ResponseCode::ServFail;
    }
    message
}

/// Waits for something that needs no signal of its own, looking again and again, within a bound.
pub(crate) fn wait(what: &str, mut holds: impl FnMut() -> bool) {
    wait_or(|| what.to_owned(), &mut holds);
}

fn wait_or(what: impl Fn() -> String, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + LONG;
    while !holds() {
        assert!(Instant::now() < until, "waited in vain: {}", what());
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// A node among stand-ins. The first class is free, the second is paid.
pub(crate) struct Rig {
    pub node: Arc<Node>,
    pub servers: Vec<Server>,
    pub directory: Directory,
    pub config: Value,
}

pub(crate) const FREE: &str = "preview";
pub(crate) const PAID: &str = "licensed-view";

pub(crate) fn settings(note_every: u64) -> Value {
    let class = |name: &str, semantics: &str| json!({"name": name, "aim": 10_000_000_000u64, "deadline": 30_000_000_000u64, "semantics": semantics, "worth": 1.0});
    json!({"index": 0, "siblings": 1, "az": 0, "azs": ["east"], "kinds": ["std"], "discovery": "push",
        "services": [class(FREE, "free"), class(PAID, "single_shot")],
        "family-info": {"cells": 1, "cabinets": 1, "class-top": [1, 1], "lowest-rung": [0, 0],
            "rate-factor": [1.0, 1.0], "fleet-kb": 900_000.0, "kb-per-weight": 300_000.0, "level-kb": [200.0, 400.0],
            "rung-worth": [0.3, 1.0], "places-by-kind": [1000], "uplink-kb": 900_000.0, "told-every": note_every},
        "limits": {"attempts-cap": 4, "cancel": true, "connect-timeout": 250_000_000u64, "retry-after": true,
            "max-retry-after": 1_000_000_000u64},
        "rules": {"cold-share": 0.4, "cold": 1_000_000_000u64, "tip-multiple": 2.5, "fall": 1_000_000_000u64},
        "telemetry": {"fields": ["x0"], "how": "answers"}})
}

/// A node's configuration, on a port of the system's.
pub(crate) fn configuration(servers: &[Server], directory: &Directory) -> Value {
    let instance = |s: &Server| {
        json!({"instanceId": s.name, "hostPort": s.address.to_string(), "zone": "east", "machineType": "std",
            "cell": 0, "lifecycle": "ready", "weight": 1, "startedAtMs": 0})
    };
    let instances: Vec<Value> = servers.iter().map(instance).collect();
    json!({"name": "n1", "listen": "127.0.0.1:0", "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256}, "nameserver": directory.address.to_string(),
        "known": {"seq": 1, "results": [{"seq": 1, "fleet": {"generation": 1, "reset": true,
            "instances": instances}}]},
        "settings": settings(0)})
}

impl Rig {
    pub(crate) fn start(servers: u32) -> Rig {
        Rig::start_with(servers, |_| {})
    }

    pub(crate) fn start_with(servers: u32, change: impl FnOnce(&mut Value)) -> Rig {
        Rig::start_tapped(servers, change, None)
    }

    /// The same, and shows what the decision module hears.
    pub(crate) fn start_tapped(
        servers: u32,
        change: impl FnOnce(&mut Value),
        tap: Option<EventObserver>,
    ) -> Rig {
        let servers: Vec<Server> = (1..=servers).map(Server::start).collect();
        let directory = Directory::start(Told {
            serial: 1,
            lines: lines(&servers),
            spoilt: None,
        });
        let mut config = configuration(&servers, &directory);
        change(&mut config);
        crankpaddle_net::start(Some(1));
        let parsed = Config::parse(config.to_string().as_bytes()).expect("a sound configuration");
        let node = Arc::new(Node::start_tapped(parsed, tap).expect("it starts"));
        Rig {
            node,
            servers,
            directory,
            config,
        }
    }

    pub(crate) fn viewer(&self) -> Viewer {
        Viewer::connect(self.node.address())
    }

    /// The set-up that some server hears next: which server, on which connection, and what.
    pub(crate) fn set_up(&self) -> (&Server, usize, Message) {
        let mut found = None;
        wait_or(
            || {
                format!(
                    "a set-up reaches a server; the node holds {:?}",
                    self.node.counts()
                )
            },
            || {
                let first = |s: &'_ Server| s.look_for("SETUP");
                found = self
                    .servers
                    .iter()
                    .enumerate()
                    .find_map(|(at, s)| Some((at, first(s)?)));
                found.is_some()
            },
        );
        let (at, (conn, message)) = found.expect("just found");
        (&self.servers[at], conn, message)
    }

    /// A session that stands: its viewer's set-up, answered by the server that was asked.
    pub(crate) fn session(&self, viewer: &mut Viewer, tag: Tag, class: &str) -> (&Server, usize) {
        viewer.start(tag, class, 15_000);
        let (server, conn, message) = self.set_up();
        assert_eq!(message.session, Some(tag));
        server.send(conn, &stands(tag, "described"));
        assert_eq!(viewer.line()["verb"], "STARTED");
        (server, conn)
    }

    pub(crate) fn idle(&self) {
        wait("nothing is held any more", || {
            let counts = self.node.counts();
            (counts.waiting, counts.playing, counts.entries) == (0, 0, 0)
        });
    }
}

pub(crate) fn lines(servers: &[Server]) -> Vec<Line> {
    let line = |s: &Server| Line {
        name: s.name.clone(),
        address: s.address,
        zone: "east".into(),
        kind: "std".into(),
        priority: 0,
        started_ms: 0,
    };
    servers.iter().map(line).collect()
}

pub(crate) fn tag(n: u64) -> Tag {
    Tag::parse(&format!("{n:016x}")).expect("16 hex digits")
}

/// A stand-in viewer's connection.
pub(crate) struct Viewer {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Viewer {
    pub(crate) fn connect(address: SocketAddr) -> Viewer {
        let stream = TcpStream::connect(address).expect("the node listens");
        stream.set_read_timeout(Some(LONG)).expect("a bound");
        stream
            .set_nodelay(true)
            .expect("small lines go out at once");
        let reader = BufReader::new(stream.try_clone().expect("a descriptor"));
        Viewer { stream, reader }
    }

    pub(crate) fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("the node reads");
    }

    pub(crate) fn try_send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    pub(crate) fn say(&mut self, value: &Value) {
        self.send(format!("{value}\n").as_bytes());
    }

    pub(crate) fn start(&mut self, tag: Tag, class: &str, left: u64) {
        self.say(&set_up(tag, class, &left.to_string(), ""));
    }

    pub(crate) fn finish(&mut self, tag: Tag, cause: u16) {
        self.say(&json!({"verb": "FINISH", "tag": tag.as_str(), "opts": {}, "rc": cause}));
    }

    /// Breaks the connection at once.
    pub(crate) fn reset(self) {
        rustix::net::sockopt::set_socket_linger(&self.stream, Some(Duration::ZERO))
            .expect("an option");
    }

    /// The next line.
    pub(crate) fn line(&mut self) -> Value {
        let mut line = String::new();
        let got = self
            .reader
            .read_line(&mut line)
            .expect("the node says something in time");
        assert!(got > 0, "the node closed the connection");
        serde_json::from_str(&line).unwrap_or_else(|e| panic!("{line:?}: {e}"))
    }

    /// Whether the connection ended without a further word.
    pub(crate) fn ended(&mut self) -> bool {
        let mut line = Vec::new();
        match self.reader.read_until(b'\n', &mut line) {
            Ok(got) => got == 0,
            Err(e) => e.kind() == ErrorKind::ConnectionReset,
        }
    }

    /// A test answered: all said before on this connection was heard.
    pub(crate) fn echo(&mut self) -> Value {
        self.say(&json!({"verb": "ECHO", "tag": "00000000000000ff", "opts": {}, "rc": 0}));
        self.line()
    }
}

pub(crate) fn set_up(tag: Tag, class: &str, left: &str, more: &str) -> Value {
    json!({"verb": "START", "tag": tag.as_str(), "blob": format!("offer {tag}\r\n"), "opts": {"class": class,
        "left": left, "key": "7f3a9c21e0b4d655",
        "extras": format!("home:0;copies:1;top:1;viewer:00000000b4d65521{more}")}})
}

/// Holds the node's one worker at an event that the module is about to hear, until the test lets it go on. Nothing of the node
/// runs meanwhile, so whatever the test does then comes before whatever the node does next.
pub(crate) struct Gate {
    armed: Arc<AtomicBool>,
    reached: Receiver<()>,
    go: Sender<()>,
}

impl Gate {
    /// A gate at events of this sort; closed once, when it is armed.
    pub(crate) fn at(sort: impl Fn(&Event) -> bool + Send + 'static) -> (Gate, EventObserver) {
        let armed = Arc::new(AtomicBool::new(false));
        let (tell, reached) = channel();
        let (go, wait) = channel();
        let holds = armed.clone();
        let tap: EventObserver = Box::new(move |_, event| {
            if sort(event) && holds.swap(false, Ordering::AcqRel) {
                let _ = tell.send(()); // The test may be over.
                let _ = wait.recv_timeout(LONG);
            }
        });
        (Gate { armed, reached, go }, tap)
    }

    pub(crate) fn arm(&self) {
        self.armed.store(true, Ordering::Release);
    }

    /// Waits until the node stands at the gate.
    pub(crate) fn reached(&self) {
        self.reached
            .recv_timeout(LONG)
            .expect("the node comes to the gate");
    }

    pub(crate) fn open(&self) {
        self.go.send(()).expect("the node stands at the gate");
    }
}
