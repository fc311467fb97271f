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
use std::time::Duration;

/// What a server heard, on its connection of this number.
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
    conns: Arc<Mutex<Vec<TcpStream>>>,
    heard: Receiver<ServerEvent>,
    held: RefCell<VecDeque<ServerEvent>>, // ServerEvent, and not asked for yet.
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
                if tell.send(ServerEvent::Opened(number)).is_err() {
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
    fn take_event<T>(&self, wanted: impl Fn(&ServerEvent) -> Option<T>) -> Option<T> {
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
    pub(crate) fn try_take_request(&self, method: &str) -> Option<(usize, Message)> {
        self.take_event(|heard| match heard {
            ServerEvent::Received(conn, message) if matches!(&message.kind, Kind::Request(m, _) if m == method) => {
                Some((*conn, message.clone()))
            }
            _ => None,
        })
    }

    /// Waits until a connection was opened that was not waited for yet; its number.
    pub(crate) fn wait_for_connection(&self) -> usize {
        let mut found = None;
        wait("the node connects", || {
            found = self.take_event(|heard| {
                if let ServerEvent::Opened(conn) = heard {
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
    pub(crate) fn wait_for_request(&self, method: &str) -> (usize, Message) {
        let mut found = None;
        wait(method, || {
            found = self.try_take_request(method);
            found.is_some()
        });
        found.expect("just found")
    }

    /// Everything heard and not taken until now, without waiting.
    pub(crate) fn take_events(&self) -> Vec<ServerEvent> {
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
    pub(crate) fn resume_accepting(&self) {
        self.vanished.store(false, Ordering::Release);
        self.listener.unpark();
    }

    /// A machine that vanished is gone for good; another may listen at its address.
    pub(crate) fn shut_down(&self) {
        self.deaf.store(true, Ordering::Release);
        self.resume_accepting();
    }

    /// Whether any set-up was heard that was not taken.
    pub(crate) fn has_received_set_up(&self) -> bool {
        self.try_take_request("SETUP").is_some()
    }

    /// The process dies: nobody listens any more and connections end.
    pub(crate) fn kill(&self) {
        self.deaf.store(true, Ordering::Release);
        let _ = TcpStream::connect(self.address); // Wakes the listener, which ends.
        for conn in self.conns.lock().expect("unpoisoned").iter() {
            let _ = conn.shutdown(Shutdown::Both);
        }
    }
}

fn hear(mut stream: TcpStream, number: usize, tell: &Sender<ServerEvent>) {
    let (mut decoder, mut messages, mut piece) = (Decoder::default(), Vec::new(), [0u8; 4096]);
    loop {
        let got = stream.read(&mut piece).unwrap_or(0);
        if got == 0 || decoder.feed(&piece[..got], &mut messages).is_err() {
            let _ = tell.send(ServerEvent::Closed(number)); // The test may be over.
            return;
        }
        for message in messages.drain(..) {
            let _ = tell.send(ServerEvent::Received(number, message));
        }
    }
}
