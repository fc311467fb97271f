//! A server for tests.
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

/// An event on one of a server's connections, with the connection's number.
#[derive(Debug)]
pub(crate) enum ServerEvent {
    Opened(usize),
    Received(usize, Message),
    Closed(usize),
}

/// A server for tests, which records what it receives and sends what the test tells it to.
pub(crate) struct TestServer {
    pub name: String,
    pub address: SocketAddr,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    events: Receiver<ServerEvent>,
    /// Events that the test has not taken yet.
    untaken: RefCell<VecDeque<ServerEvent>>,
    state: Arc<ListenerState>,
    listener: std::thread::Thread,
}

/// The state that a server shares with its listening thread.
#[derive(Default)]
struct ListenerState {
    /// Set to end the thread.
    is_stopped: AtomicBool,
    /// Set to make the thread stop accepting.
    is_machine_failed: AtomicBool,
    /// Set by the thread when it has stopped accepting.
    is_parked: AtomicBool,
}

impl TestServer {
    pub(crate) fn start(number: u32) -> TestServer {
        TestServer::start_at(number, SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    pub(crate) fn start_at(number: u32, address: SocketAddr) -> TestServer {
        let listener = TcpListener::bind(address).expect("a port");
        let address = listener.local_addr().expect("bound");
        let (sender, events) = channel();
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let state = Arc::new(ListenerState::default());
        let (accepted, listener_state) = (connections.clone(), state.clone());
        let thread =
            std::thread::spawn(move || accept(&listener, &accepted, &listener_state, &sender));
        TestServer {
            name: format!("s-{number:08x}"),
            address,
            connections,
            events,
            untaken: RefCell::default(),
            state,
            listener: thread.thread().clone(),
        }
    }

    /// Takes the first event for which `select` returns a value, and returns that value. Other events stay.
    fn take_event<T>(&self, select: impl Fn(&ServerEvent) -> Option<T>) -> Option<T> {
        let mut untaken = self.untaken.borrow_mut();
        untaken.extend(self.events.try_iter());
        let (position, found) = untaken
            .iter()
            .enumerate()
            .find_map(|(position, event)| Some((position, select(event)?)))?;
        untaken.remove(position);
        Some(found)
    }

    /// Takes the first request with this method, if one was received.
    pub(crate) fn try_take_request(&self, method: &str) -> Option<(usize, Message)> {
        self.take_event(|event| match event {
            ServerEvent::Received(connection, message) if is_request(message, method) => {
                Some((*connection, message.clone()))
            }
            _ => None,
        })
    }

    /// Waits for the next new connection and returns its number.
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

    /// Waits for the first request with this method. Returns its connection and the request.
    pub(crate) fn wait_for_request(&self, method: &str) -> (usize, Message) {
        let mut found = None;
        wait(&format!("the server receives {method}"), || {
            found = self.try_take_request(method);
            found.is_some()
        });
        found.expect("just found")
    }

    /// Takes all events that have not been taken, without waiting.
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

    /// Simulates a machine failure: open connections stay open and silent, and no new one is established. The returned
    /// connections fill the listener's accept queue, and must be kept for as long as the failure is to last.
    pub(crate) fn simulate_machine_failure(&self) -> Vec<TcpStream> {
        self.state.is_parked.store(false, Ordering::Release);
        self.state.is_machine_failed.store(true, Ordering::Release);
        self.wake_listener(); // It then parks instead of accepting.

        // An accept after the queue was filled would leave room in it for one connection.
        wait("the listener is parked", || {
            self.state.is_parked.load(Ordering::Acquire)
        });
        let timeout = Duration::from_millis(100);
        std::iter::from_fn(|| TcpStream::connect_timeout(&self.address, timeout).ok()).collect()
    }

    /// Ends a simulated machine failure: the server accepts connections again.
    pub(crate) fn resume_accepting(&self) {
        self.state.is_machine_failed.store(false, Ordering::Release);
        self.listener.unpark();
    }

    /// Ends the server after a simulated machine failure, so that another may listen at its address.
    pub(crate) fn shut_down(&self) {
        self.state.is_stopped.store(true, Ordering::Release);
        self.resume_accepting();
    }

    /// Takes a set-up if one was received; false if there was none.
    pub(crate) fn has_received_set_up(&self) -> bool {
        self.try_take_request("SETUP").is_some()
    }

    /// Simulates the death of the server process: its listener and its connections are closed.
    pub(crate) fn kill(&self) {
        self.state.is_stopped.store(true, Ordering::Release);
        self.wake_listener(); // Its thread then ends.
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
            return; // This closes the listener.
        }
        while state.is_machine_failed.load(Ordering::Acquire) {
            state.is_parked.store(true, Ordering::Release);
            std::thread::park(); // The listener stays open, and nothing is accepted.
        }
        let Ok(stream) = stream else { return };
        let _ = stream.set_nodelay(true); // A failure only makes the test slower.
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

/// Calls `handle` with each message of a connection and the time at which it was read, until the connection ends.
pub(crate) fn receive_messages(mut stream: TcpStream, mut handle: impl FnMut(Message, Instant)) {
    let (mut decoder, mut messages, mut buffer) = (Decoder::default(), Vec::new(), [0u8; 4096]);
    while let Ok(length @ 1..) = stream.read(&mut buffer) {
        let received_at = Instant::now();
        if decoder.feed(&buffer[..length], &mut messages).is_err() {
            return;
        }
        for message in messages.drain(..) {
            handle(message, received_at);
        }
    }
}
