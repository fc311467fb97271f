//! A simulated list service. It has the list of the running servers and sends changes to every front with a delay.
use crate::record::{Recorder, Seen};
use crate::server::SimulatedFleet;
use crankpaddle_config::Config;
use crankpaddle_front::EndpointListKind;
use crankpaddle_http::sse;
use crankpaddle_net::exchange::HttpExchange;
use crankpaddle_net::{
    accept_each, clock, listen, sleep, spawn, CloseReason, Socket, Stack, WriteBuffer,
};
pub use crankpaddle_server_protocol::list::EndpointState;
use crankpaddle_server_protocol::list::{self, EndpointEntry, EndpointListBody};
use crankpaddle_time::{nanoseconds, Time};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Interval at which the service checks which changes are due.
const TICK: Duration = Duration::from_millis(20);
/// Time between two heartbeats of a stream.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum size of a request body, bytes.
const MAX_BODY: u64 = 1024;
/// Maximum number of unsent bytes of a stream.
const STREAM_BUFFER: usize = 1 << 20;
const STREAM_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A change that has not been sent to fronts yet.
struct DelayedChange {
    due: Time,
    entry: EndpointEntry,
}

/// A front that receives changes over its event stream.
struct Subscriber {
    front: String,
    stream: Arc<WriteBuffer>,
}

#[derive(Default)]
struct ListState {
    /// The list as fronts have received it, without the delayed changes.
    list: EndpointListBody,
    delayed: VecDeque<DelayedChange>,
    subscribers: Vec<Subscriber>,
}

/// The simulated list service. Fronts subscribe to it over HTTP.
pub struct ListService {
    /// Address at which the service listens.
    pub address: SocketAddr,
    recorder: Recorder,
    state: Mutex<ListState>,
    /// Delay of changes, nanoseconds.
    delay: AtomicU64,
    /// Whether the service is unreachable.
    gone: AtomicBool,
}

/// The list's entry for a simulated server. `started_ms` is 0 for a server that was not restarted.
#[must_use]
pub fn entry(
    config: &Config,
    id: u32,
    address: SocketAddr,
    state: EndpointState,
    started_ms: u64,
) -> EndpointEntry {
    let zone = config.zones[id as usize % config.zones.len()].clone();
    let cell = (id % config.settings.cells) as u16;
    EndpointEntry {
        id,
        zone,
        kind: config.kinds[0].clone(),
        cell,
        state,
        weight: 1.0,
        started_ms,
        address,
    }
}

impl ListService {
    /// Starts the service with all servers of a fleet as ready. Changes are sent after `delay`.
    ///
    /// # Errors
    /// The service can't listen on a port.
    pub fn start_for(fleet: &SimulatedFleet, delay: Duration) -> io::Result<Arc<ListService>> {
        let servers = fleet.servers.iter();
        let entries = servers
            .map(|server| {
                entry(
                    &fleet.config,
                    server.id,
                    server.address,
                    EndpointState::Ready,
                    0,
                )
            })
            .collect();
        ListService::start(entries, delay, fleet.recorder.clone())
    }

    /// Starts the service with a list that every front receives at once. Changes are sent after `delay`.
    ///
    /// # Errors
    /// The service can't listen on a port.
    pub fn start(
        servers: Vec<EndpointEntry>,
        delay: Duration,
        recorder: Recorder,
    ) -> io::Result<Arc<ListService>> {
        let listener = listen(([127, 0, 0, 1], 0).into())?;
        let state = ListState {
            list: EndpointListBody { serial: 1, servers },
            ..ListState::default()
        };
        let service = Arc::new(ListService {
            address: listener.local_addr()?,
            recorder,
            state: Mutex::new(state),
            delay: AtomicU64::new(nanoseconds(delay)),
            gone: AtomicBool::new(false),
        });
        let acceptor = service.clone();
        accept_each(
            listener,
            Arc::default(),
            || (),
            move |socket, ()| {
                acceptor.serve(&Arc::new(socket));
            },
        );
        let notifier = service.clone();
        spawn(Stack::Default, move || notifier.run());
        Ok(service)
    }

    /// Sets the delay of all changes that are made from now on.
    pub fn set_delay(&self, delay: Duration) {
        self.delay.store(nanoseconds(delay), Ordering::Release);
    }

    /// Makes the service unreachable or reachable again. While it is unreachable, it answers no requests and its streams are
    /// closed.
    pub fn set_unavailable(&self, gone: bool) {
        self.gone.store(gone, Ordering::Release);
        if !gone {
            return;
        }
        for subscriber in lock(&self.state).subscribers.drain(..) {
            subscriber.stream.socket().close(CloseReason::Shutdown);
        }
    }

    /// Changes an entry of the list. Fronts receive the change after the delay.
    pub fn change(&self, entry: EndpointEntry) {
        let delay = Duration::from_nanos(self.delay.load(Ordering::Acquire));
        let due = clock::now() + delay;
        let change = DelayedChange { due, entry };
        lock(&self.state).delayed.push_back(change);
    }

    /// Sends changes and heartbeats until the process ends.
    fn run(&self) {
        let mut last_heartbeat = Time::ZERO;
        loop {
            sleep(TICK);
            let now = clock::now();
            let heartbeat_due = now >= last_heartbeat + HEARTBEAT_INTERVAL;
            if heartbeat_due {
                last_heartbeat = now;
            }
            self.notify_subscribers(now, heartbeat_due);
        }
    }

    /// Sends the changes that are due to all subscribers, and a heartbeat where that is due.
    fn notify_subscribers(&self, now: Time, heartbeat_due: bool) {
        let mut state = lock(&self.state);
        let due = state.take_due(now);
        state.remove_closed();
        if heartbeat_due && !self.gone.load(Ordering::Acquire) {
            for subscriber in &state.subscribers {
                subscriber.stream.push(sse::HEARTBEAT);
            }
        }
        if due.is_empty() {
            return;
        }
        state.apply(&due);
        let body = EndpointListBody {
            serial: state.list.serial,
            servers: due,
        };
        let delta = list::write(EndpointListKind::Delta, &body);
        for subscriber in &state.subscribers {
            subscriber.stream.push(&delta);
            for entry in &body.servers {
                self.record_listed(&subscriber.front, entry);
            }
        }
    }

    fn record_listed(&self, front: &str, entry: &EndpointEntry) {
        let ready = entry.state == EndpointState::Ready;
        self.recorder.record(Seen::Listed {
            front: front.to_owned(),
            server: entry.id,
            ready,
        });
    }

    /// Serves a front's event stream until the front closes it.
    fn serve(&self, socket: &Arc<Socket>) {
        let mut exchange = HttpExchange::new(socket.clone());
        let Ok((request, _)) = exchange.request(MAX_BODY, None) else {
            return;
        };
        let (path, query) = request.path();
        if self.gone.load(Ordering::Acquire) || path != "/servers/events" {
            return;
        }
        let front = query.strip_prefix("front=").unwrap_or("").to_owned();
        let stream = Arc::new(WriteBuffer::new(socket.clone(), STREAM_BUFFER));
        self.subscribe(front, &stream);
        stream.flush_until_closed(); // The front sends nothing more on this connection.
        socket.close(CloseReason::ReadEnded);
    }

    /// Sends the list and registers the front for changes, under one lock so that no change is missed in between.
    fn subscribe(&self, front: String, stream: &Arc<WriteBuffer>) {
        let mut state = lock(&self.state);
        let full_list = list::write(EndpointListKind::Full, &state.list);
        stream.push(&[STREAM_HEAD, &full_list].concat());
        for entry in &state.list.servers {
            self.record_listed(&front, entry);
        }
        let stream = stream.clone();
        state.subscribers.push(Subscriber { front, stream });
    }
}

impl ListState {
    /// Removes and returns the changes that are due, in the order in which they were made.
    fn take_due(&mut self, now: Time) -> Vec<EndpointEntry> {
        let mut due = Vec::new();
        for change in std::mem::take(&mut self.delayed) {
            if change.due <= now {
                due.push(change.entry);
            } else {
                self.delayed.push_back(change);
            }
        }
        due
    }

    fn remove_closed(&mut self) {
        self.subscribers
            .retain(|subscriber| !subscriber.stream.socket().is_closed());
    }

    /// Applies changes to the list and increments its serial number.
    fn apply(&mut self, changes: &[EndpointEntry]) {
        self.list.serial += 1;
        for change in changes {
            self.list.servers.retain(|entry| entry.id != change.id);
            if change.state != EndpointState::Gone {
                self.list.servers.push(change.clone());
            }
        }
    }
}
