//! Simulated media servers. All run in this process, each on a port of its own.
//!
//! - `fleet`: the fleet of servers, with restarts and faults;
//! - `session`: the state of a session;
//! - `sessions`: inventory, change of rung and tear-down;
//! - `set_up`: the set-up of a session;
//! - `streams`: media segments and event streams.
mod fleet;
mod session;
mod sessions;
mod set_up;
mod streams;

use crate::fault_mode::ServerFaults;
use crate::record::Seen;
use crate::setup_log::SetUpLog;
use crankpaddle_http::problem::Problem;
use crankpaddle_net::exchange::HttpExchange;
use crankpaddle_net::{accept_each, clock, sleep, CloseReason, Socket, WriteBuffer};
use crankpaddle_server_protocol::event_stream::{self, SessionOver};
pub use fleet::{FleetLayout, SimulatedFleet};
use may::net::TcpListener;
use serde::de::DeserializeOwned;
use session::SimulatedSession;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

/// Maximum size of a request body, bytes.
const MAX_BODY: u64 = 64 * 1024;
/// Interval at which a vanished server checks whether it is reachable again.
const VANISHED_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Pause after each byte of a server that trickles.
const TRICKLE_INTERVAL: Duration = Duration::from_secs(1);

/// Locks a mutex, also after a thread has panicked while holding it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// One simulated server. It keeps its address over its restarts.
pub struct SimulatedServer {
    /// Number of the server.
    pub id: u32,
    /// Address at which the server listens.
    pub address: SocketAddr,
    /// Set to close the current listener.
    stop_listening: Mutex<Arc<AtomicBool>>,
    /// Number of the current incarnation, from 1.
    incarnation: AtomicU64,
    /// Whether the simulated process runs.
    pub(crate) up: AtomicBool,
    /// Connections of the current incarnation, to close them when it stops.
    sockets: Mutex<Vec<Weak<Socket>>>,
    /// Open event streams by the name of the front.
    pub(crate) event_streams: Mutex<HashMap<String, Arc<WriteBuffer>>>,
    /// The sessions that the server holds, by the names that the fronts gave them.
    pub(crate) sessions: Mutex<BTreeMap<String, SimulatedSession>>,
    set_up_log: Mutex<SetUpLog>,
    /// When the process was restarted, nanoseconds; 0 where it was never restarted.
    started_at: AtomicU64,
    /// Names of sessions that were torn down before their set-up arrived. A later set-up with such a name fails.
    ended_early: Mutex<HashSet<String>>,
    /// Names of sessions that were torn down before they were billed. They never ran and never will.
    fenced: Mutex<HashSet<String>>,
    faults: Mutex<ServerFaults>,
}

/// What is left to do on a connection for a request.
enum RequestResult {
    /// The response must be sent.
    Response(Vec<u8>),
    /// The response was already sent.
    Sent,
    /// The connection must be closed without a further response.
    ConnectionOver,
}

impl SimulatedServer {
    fn new(id: u32, address: SocketAddr) -> SimulatedServer {
        SimulatedServer {
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
            faults: Mutex::default(),
        }
    }

    /// Number of fronts that have an event stream open.
    pub fn event_stream_count(&self) -> usize {
        lock(&self.event_streams).len()
    }

    /// The faults that are active now.
    pub(crate) fn faults(&self) -> ServerFaults {
        *lock(&self.faults)
    }

    /// Notes that a new incarnation starts now.
    fn begin_incarnation(&self) {
        let incarnation = self.incarnation.fetch_add(1, Ordering::AcqRel) + 1;
        lock(&self.set_up_log).log_start(incarnation);
        self.started_at
            .store(clock::now().as_nanos(), Ordering::Release);
    }

    /// Accepts connections until the process stops.
    fn listen(self: &Arc<SimulatedServer>, fleet: &Arc<SimulatedFleet>, listener: TcpListener) {
        let stop = Arc::new(AtomicBool::new(false));
        *lock(&self.stop_listening) = stop.clone();
        self.up.store(true, Ordering::Release);
        let (server, fleet) = (self.clone(), fleet.clone());
        accept_each(
            listener,
            stop,
            || (),
            move |socket, ()| {
                let socket = Arc::new(socket);
                fleet.sweeper.watch(&socket);
                lock(&server.sockets).push(Arc::downgrade(&socket));
                server.serve(&fleet, &socket);
            },
        );
    }

    /// Simulates the end of the process: closes its connections and port, and ends its sessions.
    fn stop(&self, fleet: &SimulatedFleet) {
        if !self.up.swap(false, Ordering::AcqRel) {
            return;
        }
        lock(&self.stop_listening).store(true, Ordering::Release);
        let _ = std::net::TcpStream::connect(self.address); // This wakes the listener, which then closes.
        for socket in lock(&self.sockets)
            .drain(..)
            .filter_map(|socket| socket.upgrade())
        {
            socket.close(CloseReason::Shutdown);
        }
        lock(&self.event_streams).clear();
        lock(&self.ended_early).clear();
        let names: Vec<String> = lock(&self.sessions).keys().cloned().collect();
        for name in &names {
            self.end(fleet, name);
        }
    }

    /// Ends a session. Returns the number of media bytes that were sent for it; `None` where no session has this name.
    fn end(&self, fleet: &SimulatedFleet, name: &str) -> Option<u64> {
        let session = lock(&self.sessions).remove(name)?;
        lock(&fleet.model).end(self.id as usize, session.stream);
        if session.plays {
            fleet.recorder.record(Seen::Ended {
                name: name.to_owned(),
                bytes: session.bytes,
            });
        }
        Some(session.bytes)
    }

    /// Notifies a session's front of its end, if the front has an event stream open.
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
    fn serve(self: &Arc<SimulatedServer>, fleet: &Arc<SimulatedFleet>, socket: &Arc<Socket>) {
        let mut exchange = HttpExchange::new(socket.clone());
        while let Ok((request, body)) = exchange.request(MAX_BODY, None) {
            while self.faults().vanished {
                if socket.is_closed() {
                    return;
                }
                sleep(VANISHED_CHECK_INTERVAL);
            }
            if socket.is_closed() {
                return; // The process stopped while it was unreachable, so the request counts as never read.
            }
            let (path, query) = request.path();
            let response = match self.answer(fleet, socket, &request.method, path, query, &body) {
                RequestResult::Response(response) => response,
                RequestResult::Sent => continue,
                RequestResult::ConnectionOver => return,
            };
            let sent = if self.faults().trickles {
                trickle(socket, &response)
            } else {
                socket.write_all(&response).is_ok()
            };
            if !sent || !request.keeps_alive() {
                break;
            }
        }
    }

    /// Carries out a request to the server's HTTP API, selected by its method and path.
    fn answer(
        self: &Arc<SimulatedServer>,
        fleet: &Arc<SimulatedFleet>,
        socket: &Arc<Socket>,
        method: &str,
        path: &str,
        query: &str,
        body: &[u8],
    ) -> RequestResult {
        let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
        match (method, &parts[..]) {
            ("PUT", ["sessions", name]) => self
                .set_up(fleet, socket, name, body)
                .map_or(RequestResult::ConnectionOver, RequestResult::Response),
            ("PATCH", ["sessions", name]) => {
                RequestResult::Response(self.set_rung(fleet, name, body))
            }
            ("DELETE", ["sessions", name]) => RequestResult::Response(self.tear_down(fleet, name)),
            ("GET", ["sessions", name, "media"]) => {
                if self.serve_media(fleet, socket, name) {
                    RequestResult::Sent
                } else {
                    RequestResult::ConnectionOver
                }
            }
            ("GET", ["events"]) => {
                self.serve_events(socket, query);
                RequestResult::ConnectionOver
            }
            ("GET", ["sessions"]) => RequestResult::Response(self.inventory(fleet, query)),
            _ => RequestResult::Response(
                Problem::new(404, format!("nothing at {path}")).response(&[]),
            ),
        }
    }
}

/// Writes one byte a second. Returns false where the other side closes the connection.
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

/// Parses a JSON body. Fails with the response to send where the body is invalid.
fn read_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Vec<u8>> {
    serde_json::from_slice(body).map_err(|error| Problem::new(400, error.to_string()).response(&[]))
}
