//! Stand-in media servers: all in one process, each on a port of its own.
//!
//! - `fleet`: the servers together, their restarts and faults;
//! - `session`, `sessions`: the state of a session and the requests about it;
//! - `set_up`: the set-up of a session;
//! - `streams`: media segments and event streams.
mod fleet;
mod session;
mod sessions;
mod set_up;
mod streams;

use crate::fault_mode::Mode;
use crate::record::Seen;
use crate::setup_log::SetUpLog;
use crankpaddle_http::problem::Problem;
use crankpaddle_net::exchange::HttpExchange;
use crankpaddle_net::{accept_each, clock, sleep, CloseReason, Socket, WriteBuffer};
use crankpaddle_server_protocol::event_stream::{self, SessionOver};
pub use fleet::{Fleet, Layout};
use may::net::TcpListener;
use serde::de::DeserializeOwned;
use session::Session;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

/// Longest request body, bytes.
const MAX_BODY: u64 = 64 * 1024;
/// How often a vanished server checks whether it is reachable again.
const VANISHED_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Pause between two bytes of a server that trickles.
const TRICKLE_INTERVAL: Duration = Duration::from_secs(1);

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One server.
pub struct Server {
    /// Its number.
    pub id: u32,
    /// Where it listens; the same over its restarts.
    pub address: SocketAddr,
    /// Set when the present listener is to close.
    stop_listening: Mutex<Arc<AtomicBool>>,
    incarnation: AtomicU64,
    /// Whether its process runs.
    pub(crate) up: AtomicBool,
    sockets: Mutex<Vec<Weak<Socket>>>,
    /// Event streams by the name of their front.
    pub(crate) event_streams: Mutex<HashMap<String, Arc<WriteBuffer>>>,
    /// Sessions by name.
    pub(crate) sessions: Mutex<BTreeMap<String, Session>>,
    set_up_log: Mutex<SetUpLog>,
    /// When its process started, nanoseconds; 0: long ago.
    started_at: AtomicU64,
    /// Names that were torn down without a session: a later set-up fails.
    ended_early: Mutex<HashSet<String>>,
    /// Names that were torn down without having been billed: they never ran and never will.
    fenced: Mutex<HashSet<String>>,
    mode: Mutex<Mode>,
}

/// What becomes of a connection after a request.
enum Served {
    Response(Vec<u8>),
    /// The response was already sent.
    Sent,
    ConnectionOver,
}

impl Server {
    fn new(id: u32, address: SocketAddr) -> Server {
        Server {
            id,
            address,
            stop_listening: Mutex::default(),
            incarnation: AtomicU64::new(1),
            up: AtomicBool::new(false),
            sockets: Mutex::default(),
            event_streams: Mutex::default(),
            sessions: Mutex::default(),
            set_up_log: Mutex::new(SetUpLog::new(1)),
            started_at: AtomicU64::new(0),
            ended_early: Mutex::default(),
            fenced: Mutex::default(),
            mode: Mutex::default(),
        }
    }

    /// Number of fronts with an open event stream.
    pub fn listeners(&self) -> usize {
        lock(&self.event_streams).len()
    }

    pub(crate) fn mode(&self) -> Mode {
        *lock(&self.mode)
    }

    /// Numbers the incarnation that starts now.
    fn begin_incarnation(&self) {
        let incarnation = self.incarnation.fetch_add(1, Ordering::AcqRel) + 1;
        lock(&self.set_up_log).started(incarnation);
        self.started_at
            .store(clock::now().as_nanos(), Ordering::Release);
    }

    fn listen(self: &Arc<Server>, fleet: &Arc<Fleet>, listener: TcpListener) {
        let stop = Arc::new(AtomicBool::new(false));
        *lock(&self.stop_listening) = stop.clone();
        self.up.store(true, Ordering::Release);
        let (server, fleet) = (self.clone(), fleet.clone());
        accept_each(listener, stop, move |socket| {
            let socket = Arc::new(socket);
            fleet.sweeper.watch(&socket);
            lock(&server.sockets).push(Arc::downgrade(&socket));
            server.serve(&fleet, &socket);
        });
    }

    fn go_down(&self, fleet: &Fleet) {
        if !self.up.swap(false, Ordering::AcqRel) {
            return;
        }
        lock(&self.stop_listening).store(true, Ordering::Release);
        let _ = std::net::TcpStream::connect(self.address); // Wakes the listener, which then closes.
        for socket in lock(&self.sockets).drain(..).filter_map(|s| s.upgrade()) {
            socket.close(CloseReason::Shutdown);
        }
        lock(&self.event_streams).clear();
        lock(&self.ended_early).clear();
        let names: Vec<String> = lock(&self.sessions).keys().cloned().collect();
        for name in &names {
            self.end(fleet, name);
        }
    }

    /// Ends a session; the media bytes that were sent for it, `None` where there is none of this name.
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

    /// Sends the end of a session to its front, where that has an event stream open.
    fn notify_session_over(&self, name: &str, finished: bool) {
        let front_and_bytes = lock(&self.sessions)
            .get(name)
            .map(|session| (session.front.clone(), session.bytes));
        let Some((front, bytes)) = front_and_bytes else {
            return;
        };
        let Some(stream) = lock(&self.event_streams).get(&front).cloned() else {
            return;
        };
        let over = SessionOver {
            session: name.to_owned(),
            finished,
            sent_bytes: Some(bytes),
        };
        stream.push(&event_stream::write("over", &over));
    }

    /// Serves the requests of a connection until it ends.
    fn serve(self: &Arc<Server>, fleet: &Arc<Fleet>, socket: &Arc<Socket>) {
        let mut exchange = HttpExchange::new(socket.clone());
        while let Ok((request, body)) = exchange.request(MAX_BODY, None) {
            while self.mode().vanished {
                if socket.is_closed() {
                    return;
                }
                sleep(VANISHED_CHECK_INTERVAL);
            }
            if socket.is_closed() {
                return; // The process stopped while it was unreachable, with this request unread.
            }
            let (path, query) = request.path();
            let response = match self.answer(fleet, socket, &request.method, path, query, &body) {
                Served::Response(response) => response,
                Served::Sent => continue,
                Served::ConnectionOver => return,
            };
            let sent = if self.mode().trickles {
                trickle(socket, &response)
            } else {
                socket.write_all(&response).is_ok()
            };
            if !sent || !request.keeps_alive() {
                break;
            }
        }
    }

    fn answer(
        self: &Arc<Server>,
        fleet: &Arc<Fleet>,
        socket: &Arc<Socket>,
        method: &str,
        path: &str,
        query: &str,
        body: &[u8],
    ) -> Served {
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (method, &parts[..]) {
            ("PUT", ["sessions", name]) => self
                .set_up(fleet, socket, name, body)
                .map_or(Served::ConnectionOver, Served::Response),
            ("PATCH", ["sessions", name]) => Served::Response(self.set_rung(fleet, name, body)),
            ("DELETE", ["sessions", name]) => Served::Response(self.tear_down(fleet, name)),
            ("GET", ["sessions", name, "media"]) => {
                if self.media(fleet, socket, name) {
                    Served::Sent
                } else {
                    Served::ConnectionOver
                }
            }
            ("GET", ["events"]) => {
                self.events(socket, query);
                Served::ConnectionOver
            }
            ("GET", ["sessions"]) => Served::Response(self.inventory(fleet, query)),
            _ => Served::Response(Problem::new(404, format!("nothing at {path}")).response(&[])),
        }
    }
}

/// Writes a byte a second; false once the other side has closed.
fn trickle(socket: &Socket, bytes: &[u8]) -> bool {
    for byte in bytes {
        if socket.write_all(&[*byte]).is_err() {
            return false;
        }
        sleep(TRICKLE_INTERVAL);
        if !socket.is_idle() {
            return false;
        }
    }
    true
}

/// Reads a JSON body; the response of the failure where it is none.
fn read_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Vec<u8>> {
    serde_json::from_slice(body).map_err(|e| Problem::new(400, e.to_string()).response(&[]))
}
