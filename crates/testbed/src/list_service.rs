//! Stand-in list service: knows which processes run, and tells every front late.
use crate::record::{Recorder, Seen};
use crankpaddle_config::Config;
use crankpaddle_front::EndpointListKind;
use crankpaddle_http::sse;
use crankpaddle_net::exchange::HttpExchange;
use crankpaddle_net::{accept_each, clock, listen, sleep, spawn, Socket, Stack, WriteBuffer};
pub use crankpaddle_server_protocol::list::EndpointState;
use crankpaddle_server_protocol::list::{self, EndpointEntry, EndpointListBody};
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

const TICK: Duration = Duration::from_millis(20);
const HEARTBEAT: u64 = 500_000_000;

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Default)]
struct Known {
    /// What fronts are told by now.
    list: EndpointListBody,
    /// Changes that they are told later.
    late: VecDeque<(u64, EndpointEntry)>,
    fronts: Vec<(String, Arc<WriteBuffer>)>,
}

/// The service.
pub struct ListService {
    /// Where it listens.
    pub address: SocketAddr,
    recorder: Recorder,
    known: Mutex<Known>,
    delay: AtomicU64,
    gone: AtomicBool,
}

/// An entry for a stand-in server.
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
    /// Starts with a list that everyone is told at once; changes come `delay` nanoseconds late.
    ///
    /// # Errors
    /// No port can be listened on.
    pub fn start(
        servers: Vec<EndpointEntry>,
        delay: u64,
        recorder: Recorder,
    ) -> io::Result<Arc<ListService>> {
        let listener = listen(([127, 0, 0, 1], 0).into())?;
        let known = Known {
            list: EndpointListBody { serial: 1, servers },
            ..Known::default()
        };
        let service = Arc::new(ListService {
            address: listener.local_addr()?,
            recorder,
            known: Mutex::new(known),
            delay: AtomicU64::new(delay),
            gone: AtomicBool::new(false),
        });
        let of_fronts = service.clone();
        accept_each(listener, Arc::default(), move |socket| {
            of_fronts.serve(Arc::new(socket));
        });
        let teller = service.clone();
        spawn(Stack::Usual, move || {
            let mut beat = 0;
            loop {
                sleep(TICK);
                let now = clock::now();
                let beats = now >= beat + HEARTBEAT;
                beat = if beats { now } else { beat };
                teller.notify_subscribers(now, beats);
            }
        });
        Ok(service)
    }

    /// Changes are told so late from now on, nanoseconds.
    pub fn set_delay(&self, delay: u64) {
        self.delay.store(delay, Ordering::Release);
    }

    /// Gone: nobody is answered and streams break; or back.
    pub fn set_gone(&self, gone: bool) {
        self.gone.store(gone, Ordering::Release);
        if gone {
            lock(&self.known)
                .fronts
                .drain(..)
                .for_each(|(_, outbox)| outbox.socket().close());
        }
    }

    /// Something changed; fronts are told later.
    pub fn change(&self, entry: EndpointEntry) {
        let at = clock::now() + self.delay.load(Ordering::Acquire);
        lock(&self.known).late.push_back((at, entry));
    }

    fn notify_subscribers(&self, now: u64, beats: bool) {
        let mut known = lock(&self.known);
        let known = &mut *known;
        let mut due = Vec::new();
        known.late.retain(|(at, entry)| {
            let ripe = *at <= now;
            due.extend(ripe.then(|| entry.clone()));
            !ripe
        });
        known
            .fronts
            .retain(|(_, outbox)| !outbox.socket().is_closed());
        if beats && !self.gone.load(Ordering::Acquire) {
            for (_, outbox) in &known.fronts {
                outbox.push(sse::HEARTBEAT);
            }
        }
        if due.is_empty() {
            return;
        }
        known.list.serial += 1;
        for entry in &due {
            known.list.servers.retain(|e| e.id != entry.id);
            known
                .list
                .servers
                .extend((entry.state != EndpointState::Gone).then(|| entry.clone()));
        }
        let delta = list::write(
            EndpointListKind::Delta,
            &EndpointListBody {
                serial: known.list.serial,
                servers: due.clone(),
            },
        );
        for (front, outbox) in &known.fronts {
            outbox.push(&delta);
            due.iter().for_each(|entry| self.listed(front, entry));
        }
    }

    fn listed(&self, front: &str, entry: &EndpointEntry) {
        let ready = entry.state == EndpointState::Ready;
        self.recorder.see(Seen::Listed {
            front: front.to_owned(),
            server: entry.id,
            ready,
        });
    }

    fn serve(&self, socket: Arc<Socket>) {
        let mut wire = HttpExchange::new(socket.clone());
        let Ok((request, _)) = wire.request(1024, 0) else {
            return;
        };
        let front = request
            .path()
            .1
            .strip_prefix("front=")
            .unwrap_or("")
            .to_owned();
        if self.gone.load(Ordering::Acquire) || request.path().0 != "/servers/events" {
            return;
        }
        let outbox = Arc::new(WriteBuffer::new(socket.clone(), 1 << 20));
        let head =
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
        {
            let mut known = lock(&self.known);
            let full_list = list::write(EndpointListKind::Full, &known.list);
            outbox.push(&[head.as_bytes(), &full_list].concat());
            known
                .list
                .servers
                .iter()
                .for_each(|entry| self.listed(&front, entry));
            known.fronts.push((front, outbox.clone()));
        }
        outbox.until_closed(); // Nothing more comes from the front but its end.
        socket.close();
    }
}
