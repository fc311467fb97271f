//! A stand-in server.
use super::wait;
use crankpaddle_node_protocol::rtsp::{Decoder, Kind, Message};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What happened at a server, on its connection of this number.
#[derive(Debug)]
pub(crate) enum ServerEvent {
    Opened(usize),
    Received(usize, Message),
    Closed(usize),
}

/// A stand-in server.
pub(crate) struct Server {
    pub name: String,
    pub address: SocketAddr,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    events: Receiver<ServerEvent>,
    /// Events that no test has taken yet.
    untaken: RefCell<VecDeque<ServerEvent>>,
    state: Arc<ListenerState>,
    listener: std::thread::Thread,
}

/// What the listening thread is to do.
#[derive(Default)]
struct ListenerState {
    is_stopped: AtomicBool,
    has_vanished: AtomicBool,
    is_parked: AtomicBool,
}

impl Server {
    pub(crate) fn start(number: u32) -> Server {
        Server::start_at(number, SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    pub(crate) fn start_at(number: u32, address: SocketAddr) -> Server {
        let listener = TcpListener::bind(address).expect("a port");
        let address = listener.local_addr().expect("bound");
        let (sender, events) = channel();
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let state = Arc::new(ListenerState::default());
        let (accepted, until) = (connections.clone(), state.clone());
        let thread = std::thread::spawn(move || accept(&listener, &accepted, &until, &sender));
        Server {
            name: format!("s-{number:08x}"),
            address,
            connections,
            events,
            untaken: RefCell::default(),
            state,
            listener: thread.thread().clone(),
        }
    }

    /// Takes the first event for which `wanted` returns a value; the others stay.
    fn take_event<T>(&self, wanted: impl Fn(&ServerEvent) -> Option<T>) -> Option<T> {
        let mut untaken = self.untaken.borrow_mut();
        untaken.extend(self.events.try_iter());
        let (position, found) = untaken
            .iter()
            .enumerate()
            .find_map(|(position, event)| Some((position, wanted(event)?)))?;
        untaken.remove(position);
        Some(found)
    }

    /// The first request with this method, if one was received.
    pub(crate) fn try_take_request(&self, method: &str) -> Option<(usize, Message)> {
        self.take_event(|event| match event {
            ServerEvent::Received(connection, message) if is_request(message, method) => {
                Some((*connection, message.clone()))
            }
            _ => None,
        })
    }

    /// Waits until a connection was opened that was not waited for yet; its number.
    pub(crate) fn wait_for_connection(&self) -> usize {
        let opened = |event: &ServerEvent| match event {
            ServerEvent::Opened(connection) => Some(*connection),
            ServerEvent::Received(..) | ServerEvent::Closed(_) => None,
        };
        let mut found = None;
        wait("the node connects", || {
            found = self.take_event(opened);
            found.is_some()
        });
        found.unwrap_or_default()
    }

    /// Waits for the first request with this method, and on which connection.
    pub(crate) fn wait_for_request(&self, method: &str) -> (usize, Message) {
        let mut found = None;
        wait(method, || {
            found = self.try_take_request(method);
            found.is_some()
        });
        found.expect("just found")
    }

    /// All events that were not taken until now, without waiting.
    pub(crate) fn take_events(&self) -> Vec<ServerEvent> {
        let mut untaken = self.untaken.borrow_mut();
        untaken.extend(self.events.try_iter());
        untaken.drain(..).collect()
    }

    pub(crate) fn send(&self, connection: usize, bytes: &[u8]) {
        let mut stream = &self.connections.lock().expect("unpoisoned")[connection];
        stream.write_all(bytes).expect("the node reads");
    }

    pub(crate) fn try_send(&self, connection: usize, bytes: &[u8]) -> bool {
        let mut stream = &self.connections.lock().expect("unpoisoned")[connection];
        stream.write_all(bytes).is_ok()
    }

    pub(crate) fn close(&self, connection: usize) {
        let connections = self.connections.lock().expect("unpoisoned");
        let _ = connections[connection].shutdown(Shutdown::Both);
    }

    /// The machine fails: open connections stay open and silent, and no new one is established. The returned connections fill
    /// the listener's queue, and must be kept for as long.
    pub(crate) fn vanish(&self) -> Vec<TcpStream> {
        self.state.is_parked.store(false, Ordering::Release);
        self.state.has_vanished.store(true, Ordering::Release);
        self.wake_listener(); // It accepts no more.

        // Why: an accept after the queue was filled would leave room for one connection.
        wait("the listener is parked", || {
            self.state.is_parked.load(Ordering::Acquire)
        });
        let short = Duration::from_millis(100);
        std::iter::from_fn(|| TcpStream::connect_timeout(&self.address, short).ok()).collect()
    }

    /// A machine that vanished accepts connections again.
    pub(crate) fn resume_accepting(&self) {
        self.state.has_vanished.store(false, Ordering::Release);
        self.listener.unpark();
    }

    /// A machine that vanished never returns; another may listen at its address.
    pub(crate) fn shut_down(&self) {
        self.state.is_stopped.store(true, Ordering::Release);
        self.resume_accepting();
    }

    /// Whether any set-up was received that was not taken.
    pub(crate) fn has_received_set_up(&self) -> bool {
        self.try_take_request("SETUP").is_some()
    }

    /// The process dies: its listener and its connections are closed.
    pub(crate) fn kill(&self) {
        self.state.is_stopped.store(true, Ordering::Release);
        self.wake_listener(); // It ends.
        for connection in self.connections.lock().expect("unpoisoned").iter() {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn wake_listener(&self) {
        let _ = TcpStream::connect(self.address);
    }
}

pub(crate) fn is_request(message: &Message, method: &str) -> bool {
    matches!(&message.kind, Kind::Request(other, _) if other == method)
}

fn accept(
    listener: &TcpListener,
    connections: &Mutex<Vec<TcpStream>>,
    state: &ListenerState,
    events: &Sender<ServerEvent>,
) {
    for stream in listener.incoming() {
        if state.is_stopped.load(Ordering::Acquire) {
            return; // The listener closes with this.
        }
        while state.has_vanished.load(Ordering::Acquire) {
            state.is_parked.store(true, Ordering::Release);
            std::thread::park(); // The listener stays open without accepting.
        }
        let Ok(stream) = stream else { return };
        let _ = stream.set_nodelay(true); // Only slower without it.
        let number = {
            let mut connections = connections.lock().expect("unpoisoned");
            connections.push(stream.try_clone().expect("a descriptor"));
            connections.len() - 1
        };
        if events.send(ServerEvent::Opened(number)).is_err() {
            return;
        }
        let events = events.clone();
        std::thread::spawn(move || {
            receive_messages(stream, |message, _| {
                let _ = events.send(ServerEvent::Received(number, message));
            });
            let _ = events.send(ServerEvent::Closed(number)); // The test may be over.
        });
    }
}

/// Hands each message of a connection to `handle`, with the time at which it was read, until the connection ends.
pub(crate) fn receive_messages(mut stream: TcpStream, mut handle: impl FnMut(Message, Instant)) {
    let (mut decoder, mut messages, mut piece) = (Decoder::default(), Vec::new(), [0u8; 4096]);
    while let Ok(length @ 1..) = stream.read(&mut piece) {
        let received_at = Instant::now();
        if decoder.feed(&piece[..length], &mut messages).is_err() {
            return;
        }
        for message in messages.drain(..) {
            handle(message, received_at);
        }
    }
}
