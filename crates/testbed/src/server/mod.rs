//! Stand-in media servers: one process's worth of them, each on a port of its own.
mod sessions;
mod streams;

use crate::fault_mode::Mode;
use crate::model::{Model, Spec};
use crate::record::{Recorder, Seen};
use crate::setup_log::Ledger;
use crankpaddle_config::Config;
use crankpaddle_front::jitter;
use crankpaddle_http::problem::Problem;
use crankpaddle_net::exchange::HttpExchange;
use crankpaddle_net::{accept_each, clock, listen, sleep, IdleSweeper, Socket, WriteBuffer};
use crankpaddle_server_protocol::event_stream::{self, SessionOver};
use may::net::TcpListener;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

const MILLISECOND: u64 = 1_000_000;
const MOST_BODY: u64 = 64 * 1024;
/// While a set-up is worked on, the stand-in looks so often whether the front has closed it.
const LOOK: Duration = Duration::from_millis(5);
/// A port that a dead server held must be free by then, nanoseconds.
const FREE_WITHIN: u64 = 5_000 * MILLISECOND;
/// Media goes out in so many pieces a second.
const PIECES: u64 = 10;
const TICK: Duration = Duration::from_millis(250);
/// A segment asked for so soon after the last goes on from when that was due, nanoseconds.
const SOON: u64 = 100 * MILLISECOND;

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub(crate) struct Session {
    stream: u64,
    bill: String,
    tenant: String,
    title: String,
    pub(crate) front: String,
    pub(crate) zone: String, // Of the viewer.
    pub(crate) class: usize,
    class_name: String,
    pub(crate) rung: u8,
    pub(crate) bytes: u64,
    pub(crate) plays: bool,
    due: u64, // When its last piece of media was due: pieces follow a clock, not each other.
}

/// What all servers share.
pub struct Fleet {
    /// The configuration of the fronts, for ladder and classes.
    pub config: Arc<Config>,
    /// Where all is recorded.
    pub recorder: Recorder,
    pub(crate) model: Mutex<Model>,
    sweeper: IdleSweeper,
    segment: u64,
    streams: AtomicU64,
    dice: AtomicU64,
    /// The servers by number.
    pub servers: Vec<Arc<Server>>,
}

/// One server.
pub struct Server {
    /// Its number.
    pub id: u32,
    /// Where it listens; the same over its restarts.
    pub address: SocketAddr,
    until: Mutex<Arc<AtomicBool>>,
    boot: AtomicU64,
    pub(crate) up: AtomicBool,
    sockets: Mutex<Vec<Weak<Socket>>>,
    pub(crate) notes: Mutex<HashMap<String, Arc<WriteBuffer>>>,
    pub(crate) sessions: Mutex<BTreeMap<String, Session>>,
    ledger: Mutex<Ledger>,
    started: AtomicU64, // When its process did.
    ended: Mutex<HashSet<String>>,
    fenced: Mutex<HashSet<String>>, // Ended before they ran, or not known.
    mode: Mutex<Mode>,
}

/// How a fleet is made.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Number of servers; server n lies in cell n and in zone n modulo the number of zones.
    pub count: usize,
    /// Cores of each.
    pub cores: usize,
    /// Work of a set-up, nanoseconds.
    pub work: u64,
    /// Links and uplinks differ by this part.
    pub uneven: f64,
    /// A segment lasts so long, nanoseconds.
    pub segment: u64,
    /// For links and misfortune.
    pub seed: u64,
}

impl Fleet {
    /// Starts a warm fleet on free ports. Call [`crankpaddle_net::start`] before.
    ///
    /// # Errors
    /// No port can be listened on.
    pub fn start(
        config: Arc<Config>,
        layout: &Layout,
        recorder: Recorder,
    ) -> io::Result<Arc<Fleet>> {
        let s = &config.settings;
        let spec = Spec {
            cores: layout.cores,
            work: layout.work,
            places: s.stream_capacity[0],
            slow_start_duration: s.slow_start_duration,
            slow_start_min_factor: s.slow_start_min_factor,
            fall_multiple: s.overload_multiple,
            fall: s.overload_window,
            guard: s.server_rejection_threshold,
        };
        let uneven =
            |n: usize| 1.0 + layout.uneven * (2.0 * jitter(layout.seed ^ (n as u64) << 8) - 1.0);
        let racks = s.racks as usize;
        let links: Vec<_> = (0..layout.count)
            .map(|n| (n % racks, s.link_kb * uneven(n)))
            .collect();
        let uplinks = (0..racks).map(|r| s.uplink_kb * uneven(1000 + r)).collect();
        let mut servers = Vec::new();
        let mut listeners = Vec::new();
        for id in 0..layout.count as u32 {
            let listener = listen(([127, 0, 0, 1], 0).into())?;
            servers.push(Arc::new(Server::new(id, listener.local_addr()?)));
            listeners.push(listener);
        }
        let fleet = Arc::new(Fleet {
            recorder,
            model: Mutex::new(Model::new(spec, &links, uplinks)),
            sweeper: IdleSweeper::start(Duration::from_millis(100)),
            segment: layout.segment,
            streams: AtomicU64::new(1),
            dice: AtomicU64::new(layout.seed.rotate_left(17)),
            servers,
            config,
        });
        for (server, listener) in fleet.servers.iter().zip(listeners) {
            server.listen(&fleet, listener);
            server.notify_fronts(&fleet);
        }
        Ok(fleet)
    }

    fn dice(&self) -> f64 {
        jitter(self.dice.fetch_add(1, Ordering::Relaxed))
    }

    /// Every link gives this many times less; 1: as it was.
    pub fn set_slow(&self, times: f64) {
        lock(&self.model).set_slow(times);
    }

    /// The zone of a server.
    pub fn zone(&self, id: u32) -> usize {
        id as usize % self.config.zones.len()
    }

    /// The process dies: connections break, the port is closed.
    pub fn crash(&self, id: u32) {
        let server = &self.servers[id as usize];
        server.go_down(self);
    }

    /// The process starts again, cold. Call on a thread: the port of the last life may take a moment to be free.
    ///
    /// # Errors
    /// Its port was taken meanwhile.
    pub fn restart(self: &Arc<Fleet>, id: u32) -> io::Result<()> {
        let server = &self.servers[id as usize];
        let until = clock::now() + FREE_WITHIN;
        let listener = loop {
            match listen(server.address) {
                Err(e) if e.kind() == io::ErrorKind::AddrInUse && clock::now() < until => {
                    std::thread::sleep(LOOK);
                }
                other => break other?,
            }
        };
        lock(&self.model).start(id as usize, clock::now());
        *lock(&server.mode) = Mode::default();
        let boot = server.boot.fetch_add(1, Ordering::AcqRel) + 1;
        lock(&server.ledger).started(boot);
        server.started.store(clock::now(), Ordering::Release);
        let places = f64::from(self.config.settings.stream_capacity[0]);
        self.recorder.see(Seen::Started { server: id, places });
        server.listen(self, listener);
        Ok(())
    }

    /// A server loses what it wrote down of former lives. It holds what plays.
    pub fn lose_inventory(&self, id: u32) {
        lock(&self.servers[id as usize].ledger).lose();
    }

    /// Changes how a server misbehaves.
    pub fn set_mode(&self, id: u32, change: impl FnOnce(&mut Mode)) {
        change(&mut lock(&self.servers[id as usize].mode));
    }

    /// Ends the sessions of a server: `finished` as titles that ran to their end do, else as a server that drains does.
    pub fn end_sessions(&self, id: u32, finished: bool) {
        let server = &self.servers[id as usize];
        let playing = |(name, s): (&String, &Session)| s.plays.then(|| name.clone());
        let names: Vec<String> = lock(&server.sessions).iter().filter_map(playing).collect();
        for name in names {
            server.notify_session_over(&name, finished);
            server.end(self, &name);
        }
    }

    /// Streams that all servers hold.
    pub fn streams(&self) -> usize {
        let model = lock(&self.model);
        (0..self.servers.len()).map(|n| model.streams(n)).sum()
    }

    pub(crate) fn rate(&self, class: usize, rung: u8) -> f64 {
        let s = &self.config.settings;
        let kb = s.rung_kb.get(usize::from(rung)).copied().unwrap_or(0.0);
        kb * s.classes.get(class).map_or(1.0, |c| c.rate_factor)
    }
}

impl Server {
    fn new(id: u32, address: SocketAddr) -> Server {
        Server {
            id,
            address,
            until: Mutex::default(),
            boot: AtomicU64::new(1),
            up: AtomicBool::new(false),
            sockets: Mutex::default(),
            notes: Mutex::default(),
            sessions: Mutex::default(),
            ledger: Mutex::new(Ledger::new(1)),
            started: AtomicU64::new(0),
            ended: Mutex::default(),
            fenced: Mutex::default(),
            mode: Mutex::default(),
        }
    }

    /// Fronts whose streams it holds.
    pub fn listeners(&self) -> usize {
        lock(&self.notes).len()
    }

    pub(crate) fn mode(&self) -> Mode {
        *lock(&self.mode)
    }

    fn listen(self: &Arc<Server>, fleet: &Arc<Fleet>, listener: TcpListener) {
        let until = Arc::new(AtomicBool::new(false));
        *lock(&self.until) = until.clone();
        self.up.store(true, Ordering::Release);
        let (server, fleet) = (self.clone(), fleet.clone());
        accept_each(listener, until, move |socket| {
            let socket = Arc::new(socket);
            fleet.sweeper.watch(&socket);
            lock(&server.sockets).push(Arc::downgrade(&socket));
            server.serve(&fleet, socket);
        });
    }

    fn go_down(&self, fleet: &Fleet) {
        if !self.up.swap(false, Ordering::AcqRel) {
            return;
        }
        lock(&self.until).store(true, Ordering::Release);
        let _ = std::net::TcpStream::connect(self.address); // Wakes the listener, which then closes.
        for socket in lock(&self.sockets).drain(..).filter_map(|s| s.upgrade()) {
            socket.close();
        }
        lock(&self.notes).clear();
        lock(&self.ended).clear();
        let names: Vec<String> = lock(&self.sessions).keys().cloned().collect();
        for name in &names {
            self.end(fleet, name);
        }
    }

    /// Ends a session; the bytes that were sent for it, `None` where it is not held.
    fn end(&self, fleet: &Fleet, name: &str) -> Option<u64> {
        let session = lock(&self.sessions).remove(name)?;
        lock(&fleet.model).end(self.id as usize, session.stream);
        if session.plays {
            fleet.recorder.see(Seen::Ended {
                name: name.to_owned(),
                bytes: session.bytes,
            });
        }
        Some(session.bytes)
    }

    fn notify_session_over(&self, name: &str, finished: bool) {
        let stored = lock(&self.sessions)
            .get(name)
            .map(|s| (s.front.clone(), s.bytes));
        let Some((front, bytes)) = stored else { return };
        let outbox = lock(&self.notes).get(&front).cloned();
        if let Some(outbox) = outbox {
            let over = SessionOver {
                session: name.to_owned(),
                finished,
                sent_bytes: Some(bytes),
            };
            outbox.push(&event_stream::write("over", &over));
        }
    }

    fn serve(self: &Arc<Server>, fleet: &Arc<Fleet>, socket: Arc<Socket>) {
        let mut wire = HttpExchange::new(socket.clone());
        while let Ok((request, body)) = wire.request(MOST_BODY, 0) {
            while self.mode().vanished {
                if socket.is_closed() {
                    return;
                }
                sleep(TICK);
            }
            if socket.is_closed() {
                return; // It died while silent: what it had not read it never will.
            }
            let (path, query) = request.path();
            let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
            let answer = match (request.method.as_str(), &parts[..]) {
                ("PUT", ["sessions", name]) => match self.set_up(fleet, &socket, name, &body) {
                    Some(answer) => answer,
                    None => return,
                },
                ("PATCH", ["sessions", name]) => self.set_rung(fleet, name, &body),
                ("DELETE", ["sessions", name]) => self.tear_down(fleet, name),
                ("GET", ["sessions", name, "media"]) => match self.media(fleet, &socket, name) {
                    true => continue,
                    false => return,
                },
                ("GET", ["events"]) => return self.events(&socket, query),
                ("GET", ["sessions"]) => self.inventory(fleet, query),
                _ => Problem::of(404, format!("nothing at {path}")).response(&[]),
            };
            let sent = if self.mode().trickles {
                trickle(&socket, &answer)
            } else {
                socket.write_all(&answer).is_ok()
            };
            if !sent || !request.keeps_alive() {
                break;
            }
        }
    }
}

/// Writes a byte a second; false once the other side is gone.
fn trickle(socket: &Socket, bytes: &[u8]) -> bool {
    for byte in bytes {
        if socket.write_all(&[*byte]).is_err() {
            return false;
        }
        sleep(Duration::from_secs(1));
        if !socket.is_idle() {
            return false;
        }
    }
    true
}
