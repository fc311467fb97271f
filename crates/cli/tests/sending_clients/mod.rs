//! Clients that send set-ups to a front node at a steady pace until their connections end, and what became of each.
use crate::platform::set_up;
use crankpaddle_node_protocol::Tag;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A set-up that crosses the close of its connection within this time is sent once more (the platform's rule).
const CROSSING_PERIOD: Duration = Duration::from_millis(50);

/// How the node ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// In order: everything that the node sent was received before.
    Closed,
    /// By a reset, which discards what is on its way.
    Reset,
}

/// A set-up without an answer.
struct Pending {
    sent_at: Instant,
    /// Whether its connection was seen open, without an answer, for longer than [`CROSSING_PERIOD`] after it was sent.
    is_open: bool,
}

/// Why a set-up is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Loss {
    /// Its connection was reset.
    Reset,
    /// Its connection was closed although it was open on it.
    ClosedWhileOpen,
    /// It crossed the close of its connection, was sent once more on a new one, and got no answer there either.
    RetryUnanswered,
}

/// What one client, or several together, have seen.
#[derive(Debug, Default)]
pub(crate) struct Outcomes {
    pub(crate) answered: usize,
    /// Set-ups that crossed the close of their connection, and were then answered or could not connect any more.
    pub(crate) crossed: usize,
    pub(crate) lost: Vec<Loss>,
}

impl Outcomes {
    fn add(&mut self, other: Outcomes) {
        self.answered += other.answered;
        self.crossed += other.crossed;
        self.lost.extend(other.lost);
    }
}

/// Clients that run until the node has ended all their connections.
pub(crate) struct SendingClients {
    threads: Vec<JoinHandle<Outcomes>>,
    /// Set-ups sent until now.
    sent: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
}

impl SendingClients {
    /// Starts `count` clients with a connection each, on which they send a set-up every `pace`.
    pub(crate) fn start(count: usize, pace: Duration, address: SocketAddr) -> SendingClients {
        let sent = Arc::new(AtomicU64::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..count)
            .map(|_| {
                let (sent, stop) = (sent.clone(), stop.clone());
                std::thread::spawn(move || send_until_closed(address, pace, &sent, &stop))
            })
            .collect();
        SendingClients {
            threads,
            sent,
            stop,
        }
    }

    pub(crate) fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Waits until all connections have ended. Clients whose connections outlive `patience` stop by themselves.
    pub(crate) fn outcomes(self, patience: Duration) -> Outcomes {
        let deadline = Instant::now() + patience;
        while Instant::now() < deadline && self.threads.iter().any(|thread| !thread.is_finished()) {
            std::thread::sleep(Duration::from_millis(5));
        }
        self.stop.store(true, Ordering::Relaxed);
        let mut outcomes = Outcomes::default();
        for thread in self.threads {
            outcomes.add(thread.join().expect("a client ends"));
        }
        outcomes
    }
}

fn send_until_closed(
    address: SocketAddr,
    pace: Duration,
    sent: &AtomicU64,
    stop: &AtomicBool,
) -> Outcomes {
    let mut outcomes = Outcomes::default();
    let mut connection = Connection::open(address).expect("the node listens");
    let end = loop {
        if stop.load(Ordering::Relaxed) {
            return outcomes;
        }
        if let Err(end) = connection.send_set_up(sent) {
            break end;
        }
        if let Err(end) = connection.receive_for(pace, &mut outcomes) {
            break end;
        }
    };
    for pending in connection.pending.values() {
        settle(pending, end, address, sent, &mut outcomes);
    }
    outcomes
}

/// Judges a set-up whose connection has ended without an answer to it.
fn settle(
    pending: &Pending,
    end: ConnectionEnd,
    address: SocketAddr,
    sent: &AtomicU64,
    outcomes: &mut Outcomes,
) {
    if end == ConnectionEnd::Reset {
        return outcomes.lost.push(Loss::Reset);
    }
    if pending.is_open {
        return outcomes.lost.push(Loss::ClosedWhileOpen);
    }
    if is_retry_lost(address, sent) {
        outcomes.lost.push(Loss::RetryUnanswered);
    } else {
        outcomes.crossed += 1;
    }
}

/// Sends a set-up once more, on a new connection; a refused connection proves that it was not taken.
fn is_retry_lost(address: SocketAddr, sent: &AtomicU64) -> bool {
    let Ok(mut connection) = Connection::open(address) else {
        return false;
    };
    let mut outcomes = Outcomes::default();
    let is_sent = connection.send_set_up(sent).is_ok();
    while is_sent && !connection.pending.is_empty() {
        if connection
            .receive_for(CROSSING_PERIOD, &mut outcomes)
            .is_err()
        {
            break;
        }
    }
    outcomes.answered == 0
}

/// A client's connection.
struct Connection {
    stream: TcpStream,
    received: Vec<u8>,
    pending: BTreeMap<String, Pending>,
}

impl Connection {
    fn open(address: SocketAddr) -> std::io::Result<Connection> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        Ok(Connection {
            stream,
            received: Vec::new(),
            pending: BTreeMap::new(),
        })
    }

    fn send_set_up(&mut self, sent: &AtomicU64) -> Result<(), ConnectionEnd> {
        let number = sent.fetch_add(1, Ordering::Relaxed) + 1;
        let tag = Tag::parse(&format!("{number:016x}")).expect("16 hex digits");
        self.send(&set_up(tag, "preview", "1500", ""))?;
        let pending = Pending {
            sent_at: Instant::now(),
            is_open: false,
        };
        self.pending.insert(tag.as_str().to_owned(), pending);
        Ok(())
    }

    fn send(&mut self, message: &Value) -> Result<(), ConnectionEnd> {
        let line = format!("{message}\n");
        self.stream
            .write_all(line.as_bytes())
            .map_err(|_| ConnectionEnd::Reset)
    }

    /// Receives for this time.
    fn receive_for(&mut self, time: Duration, seen: &mut Outcomes) -> Result<(), ConnectionEnd> {
        let until = Instant::now() + time;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let timeout = left.max(Duration::from_millis(1));
            self.stream.set_read_timeout(Some(timeout)).expect("a time");
            let mut piece = [0u8; 4096];
            match self.stream.read(&mut piece) {
                Ok(0) => return Err(ConnectionEnd::Closed),
                Ok(length) => self.received.extend_from_slice(&piece[..length]),
                Err(error) if is_timeout(&error) => self.note_open(),
                Err(_) => return Err(ConnectionEnd::Reset),
            }
            self.take_messages(seen)?;
            if left.is_zero() {
                return Ok(());
            }
        }
    }

    /// Nothing can be read now, so the connection is open.
    fn note_open(&mut self) {
        for pending in self.pending.values_mut() {
            pending.is_open |= pending.sent_at.elapsed() > CROSSING_PERIOD;
        }
    }

    fn take_messages(&mut self, seen: &mut Outcomes) -> Result<(), ConnectionEnd> {
        while let Some(end) = self.received.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.received.drain(..=end).collect();
            let message: Value = serde_json::from_slice(&line).expect("a message");
            self.take_message(&message, seen)?;
        }
        Ok(())
    }

    /// Counts an answer; a session that is established is released at once.
    fn take_message(&mut self, message: &Value, seen: &mut Outcomes) -> Result<(), ConnectionEnd> {
        let tag = message["tag"].as_str().unwrap_or_default().to_owned();
        let is_answer = message["verb"] == "STARTED" || message["verb"] == "FINISH";
        if !is_answer || self.pending.remove(&tag).is_none() {
            return Ok(());
        }
        seen.answered += 1;
        if message["verb"] == "STARTED" {
            let release = json!({"verb": "FINISH", "tag": tag, "opts": {}, "rc": 16});
            return self.send(&release);
        }
        Ok(())
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
    )
}
