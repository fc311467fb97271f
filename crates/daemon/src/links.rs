//! What a front keeps for each server: the stream of its notes, and the queue of what its sessions are told.
use crate::server_connection_state::{Miss, Reach};
use crate::shared::{Msg, Shared};
use crankpaddle_front::ServerId;
use crankpaddle_net::exchange::{Events, ExchangeError, HttpExchange};
use crankpaddle_net::{clock, sleep, spawn, Socket, Stack};
use crankpaddle_server_protocol::event_stream::{self, ServerEvent};
use crankpaddle_server_protocol::sessions;
use may::sync::mpsc;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

/// A rung change or teardown is given up after this time: the server hangs, and its stream tells.
const CONTROL: u64 = 2_000_000_000;
/// Pauses after connections that did not come about in time.
const PAUSES: [Duration; 5] = [
    Duration::from_millis(100),
    Duration::from_millis(200),
    Duration::from_millis(400),
    Duration::from_millis(800),
    Duration::from_millis(1600),
];
const MOST_ANSWER: u64 = 64 * 1024;

enum Control {
    Rung(String, u8),
    TearDown(String),
}

/// A server as this front reaches it.
pub(crate) struct Link {
    pub id: ServerId,
    pub address: SocketAddr,
    /// Attempts and sessions there; while there are none the stream may end.
    pub held: AtomicUsize,
    /// Since when there are none.
    pub idle_since: std::sync::atomic::AtomicU64,
    /// Whether its reports are wanted though nothing is held there.
    wanted: AtomicBool,
    subscribed: AtomicBool,
    stream: Mutex<Weak<Socket>>,
    control: mpsc::Sender<Control>,
}

impl Link {
    pub(crate) fn new(shared: &Arc<Shared>, id: ServerId, address: SocketAddr) -> Arc<Link> {
        let (control, queue) = mpsc::channel();
        let shared = shared.clone();
        // Rung changes of one session must arrive in their order, so one coroutine sends them all.
        spawn(Stack::Usual, move || {
            let mut kept: Option<Arc<Socket>> = None;
            while let Ok(next) = queue.recv() {
                let done = kept
                    .take()
                    .filter(|s| s.is_idle())
                    .and_then(|s| carry(&shared, s, &address, &next));
                kept = done.or_else(|| {
                    let socket = Arc::new(reach(&shared, &address)?);
                    shared.quick.watch(&socket);
                    carry(&shared, socket, &address, &next)
                });
                shared.controls.fetch_sub(1, Ordering::AcqRel);
            }
        });
        Arc::new(Link {
            id,
            address,
            held: AtomicUsize::new(0),
            idle_since: std::sync::atomic::AtomicU64::new(clock::now()),
            wanted: AtomicBool::new(false),
            subscribed: AtomicBool::new(false),
            stream: Mutex::new(Weak::new()),
            control,
        })
    }

    pub(crate) fn set_rung(&self, shared: &Shared, name: &str, rung: u8) {
        self.queue(shared, Control::Rung(name.to_owned(), rung));
    }

    pub(crate) fn tear_down(&self, shared: &Shared, name: &str) {
        self.queue(shared, Control::TearDown(name.to_owned()));
    }

    fn queue(&self, shared: &Shared, control: Control) {
        shared.controls.fetch_add(1, Ordering::AcqRel);
        let _ = self.control.send(control);
    }

    /// Sees that the server's notes are heard.
    pub(crate) fn subscribe(self: &Arc<Link>, shared: &Arc<Shared>) {
        if !self.subscribed.swap(true, Ordering::AcqRel) {
            let (link, shared) = (self.clone(), shared.clone());
            spawn(Stack::Usual, move || link.follow(&shared));
        }
    }

    /// Whether the server's reports are wanted whatever is held there.
    pub(crate) fn want(self: &Arc<Link>, shared: &Arc<Shared>, wanted: bool) {
        self.wanted.store(wanted, Ordering::Release);
        if wanted {
            self.subscribe(shared);
        }
    }

    fn is_idle(&self) -> bool {
        self.held.load(Ordering::Acquire) == 0 && !self.wanted.load(Ordering::Acquire)
    }

    /// Ends the stream if nothing has been held or wanted for a time.
    pub(crate) fn rest(&self, now: u64, after: u64) {
        let idle = now.saturating_sub(self.idle_since.load(Ordering::Acquire));
        if self.is_idle() && idle > after {
            let stream = self
                .stream
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .upgrade();
            stream.inspect(|s| s.close());
        }
    }

    fn follow(self: &Arc<Link>, shared: &Arc<Shared>) {
        let mut reach = Reach::new(clock::now(), shared.limits().silence);
        loop {
            let begun = clock::now();
            let miss = match self.call(shared) {
                Ok(events) => self.listen(shared, events, begun, &mut reach),
                Err(miss) => miss,
            };
            let (lost, wait) = reach.missed(clock::now(), miss);
            if lost {
                shared.tell(Msg::Lost(self.id, begun));
            }
            if self.is_idle() {
                self.subscribed.store(false, Ordering::Release);
                // Someone may have wanted it between the two looks.
                if self.is_idle() || self.subscribed.swap(true, Ordering::AcqRel) {
                    return;
                }
            }
            if wait > 0 {
                sleep(Duration::from_nanos(wait));
            }
        }
    }

    fn call(&self, shared: &Shared) -> Result<Events, Miss> {
        let refused = [ErrorKind::ConnectionRefused, ErrorKind::ConnectionReset];
        let miss = |e: std::io::Error| {
            if refused.contains(&e.kind()) {
                Miss::Refused
            } else {
                Miss::Silent
            }
        };
        let socket =
            Arc::new(Socket::connect(&self.address, shared.connect_within()).map_err(miss)?);
        let silence = shared.limits().silence;
        socket.set_expiry(clock::now().saturating_add(silence));
        shared.quick.watch(&socket);
        *self.stream.lock().unwrap_or_else(PoisonError::into_inner) = Arc::downgrade(&socket);
        let request = event_stream::subscribe(&self.address.to_string(), shared.names.front());
        socket.write_all(&request).map_err(|_| Miss::Silent)?;
        let mut wire = HttpExchange::new(socket);
        let head = wire.response_head().map_err(|_| Miss::Silent)?;
        if head.status != 200 {
            return Err(Miss::Silent);
        }
        wire.events(&head, silence).map_err(|_| Miss::Silent)
    }

    fn listen(&self, shared: &Shared, mut events: Events, begun: u64, reach: &mut Reach) -> Miss {
        let mut spoke = false;
        loop {
            match events.next() {
                Ok(event) => match event_stream::read(&event) {
                    Ok(Some(ServerEvent::StreamStart(hello))) => {
                        shared.tell(Msg::Hello(self.id, hello, begun));
                        reach.heard(clock::now());
                        spoke = true;
                    }
                    Ok(Some(ServerEvent::SessionUpdates {
                        session: name,
                        updates: notes,
                    })) => {
                        shared.tell(Msg::Notes(name, notes));
                    }
                    Ok(Some(ServerEvent::SessionOver {
                        session: name,
                        outcome,
                        sent_bytes: sent,
                    })) => {
                        shared.tell(Msg::Over(name, outcome, sent));
                    }
                    Ok(Some(ServerEvent::Traffic(traffic))) => {
                        shared.tell(Msg::Traffic(self.id, traffic));
                    }
                    Ok(None) => {}
                    Err(what) => {
                        tracing::warn!(server = self.id.0, %what, "a server's stream is malformed");
                    }
                },
                Err(fault) => {
                    if let ExchangeError::Bad(bad) = &fault {
                        tracing::warn!(server = self.id.0, %bad, "a server's stream is malformed");
                    }
                    let stream = self
                        .stream
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .upgrade();
                    if spoke && stream.is_some_and(|s| !s.is_closed()) {
                        shared.tell(Msg::Broke(self.id));
                    }
                    return if spoke { Miss::Broke } else { Miss::Silent };
                }
            }
        }
    }
}

/// Connects for a control. Danger: a teardown that is dropped because a busy host took too long to connect leaves a
/// session streaming for nobody, for as long as the server lives; so it is tried again. Harm: what waits behind it
/// waits longer. A port that refuses has no sessions left.
fn reach(shared: &Shared, address: &SocketAddr) -> Option<Socket> {
    for pause in PAUSES {
        match Socket::connect(address, shared.connect_within()) {
            Ok(socket) => return Some(socket),
            Err(e) if e.kind() == ErrorKind::TimedOut => sleep(pause),
            Err(_) => return None,
        }
    }
    None
}

/// Sends one control over a connection; gives it back if it can carry another.
fn carry(
    shared: &Shared,
    socket: Arc<Socket>,
    address: &SocketAddr,
    control: &Control,
) -> Option<Arc<Socket>> {
    let host = address.to_string();
    let bytes = match control {
        Control::Rung(name, rung) => sessions::set_rung(&host, name, *rung),
        Control::TearDown(name) => sessions::tear_down(&host, name),
    };
    socket.set_expiry(clock::now().saturating_add(CONTROL));
    socket.write_all(&bytes).ok()?;
    let mut wire = HttpExchange::new(socket.clone());
    let (response, body) = wire.response(MOST_ANSWER).ok()?;
    if let Control::TearDown(name) = control {
        let last = sessions::tear_down_answer(&response, &body);
        last.into_iter()
            .for_each(|ended| shared.tell(Msg::Sent(name.clone(), ended.sent_bytes)));
    }
    let kept = response.keeps_alive() && wire.is_clean();
    kept.then(|| {
        socket.set_expiry(clock::now().saturating_add(shared.limits().pool_idle));
        socket
    })
}
