//! Clients that send set-ups to a front node at a fixed interval until their connections end, and the outcome of each set-up.
use crate::platform::start_message;
use crankpaddle_node_protocol::Tag;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// A client repeats a set-up if its connection is closed within this time after it was sent, as the platform's rules require.
const CROSSING_PERIOD: Duration = Duration::from_millis(50);

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionEnd {
    /// It was closed after everything that the node had sent was received.
    Closed,
    /// It was reset, which discards data in transit.
    Reset,
}

/// A set-up that has no answer yet.
struct PendingSetUp {
    sent_at: Instant,
    /// Whether its connection was still open, without an answer, later than [`CROSSING_PERIOD`] after it was sent.
    outlived_crossing_period: bool,
}

/// Why a set-up is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Loss {
    /// Its connection was reset.
    Reset,
    /// Its connection was closed later than [`CROSSING_PERIOD`] after it was sent, without an answer.
    ClosedWhilePending,
    /// Its connection was closed within [`CROSSING_PERIOD`], and the repeated set-up on a new connection got no answer either.
    RetryUnanswered,
}

/// The outcomes of the set-ups of one or more clients.
#[derive(Debug, Default)]
pub(crate) struct Outcomes {
    pub(crate) answered: usize,
    /// Set-ups whose connection was closed within [`CROSSING_PERIOD`], and that were answered on a new connection or could not
    /// connect again.
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
    /// Number of set-ups that all clients have sent.
    sent: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
}

impl SendingClients {
    /// Starts `count` clients. Each has a connection, on which it sends a set-up at every `interval`.
    pub(crate) fn start(count: usize, interval: Duration, address: SocketAddr) -> SendingClients {
        let sent = Arc::new(AtomicU64::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..count)
            .map(|_| {
                let (sent, stop) = (sent.clone(), stop.clone());
                std::thread::spawn(move || send_until_closed(address, interval, &sent, &stop))
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

    /// Waits until all connections have ended, and returns the outcomes. After `timeout` the remaining clients stop.
    pub(crate) fn outcomes(self, timeout: Duration) -> Outcomes {
        let deadline = Instant::now() + timeout;
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
    interval: Duration,
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
        if let Err(end) = connection.receive_for(interval, &mut outcomes) {
            break end;
        }
    };
    for pending in connection.pending.values() {
        record_unanswered(pending, end, address, sent, &mut outcomes);
    }
    outcomes
}

/// Records the outcome of a set-up whose connection ended without an answer to it.
fn record_unanswered(
    pending: &PendingSetUp,
    end: ConnectionEnd,
    address: SocketAddr,
    sent: &AtomicU64,
    outcomes: &mut Outcomes,
) {
    if end == ConnectionEnd::Reset {
        return outcomes.lost.push(Loss::Reset);
    }
    if pending.outlived_crossing_period {
        return outcomes.lost.push(Loss::ClosedWhilePending);
    }
    if is_retry_lost(address, sent) {
        outcomes.lost.push(Loss::RetryUnanswered);
    } else {
        outcomes.crossed += 1;
    }
}

/// Repeats a set-up on a new connection; returns whether it got no answer. A refused connection is no loss, because it proves
/// that the set-up was not accepted.
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

/// A client's connection, with the set-ups that are pending on it.
struct Connection {
    stream: TcpStream,
    received: Vec<u8>,
    pending: BTreeMap<String, PendingSetUp>,
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
        self.send(&start_message(tag, "preview", "1500", ""))?;
        let pending = PendingSetUp {
            sent_at: Instant::now(),
            outlived_crossing_period: false,
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

    /// Receives messages for this time.
    fn receive_for(
        &mut self,
        time: Duration,
        outcomes: &mut Outcomes,
    ) -> Result<(), ConnectionEnd> {
        let until = Instant::now() + time;
        loop {
            let remaining = until.saturating_duration_since(Instant::now());
            let timeout = remaining.max(Duration::from_millis(1));
            self.stream.set_read_timeout(Some(timeout)).expect("a time");
            let mut buffer = [0u8; 4096];
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(ConnectionEnd::Closed),
                Ok(length) => self.received.extend_from_slice(&buffer[..length]),
                Err(error) if is_timeout(&error) => self.mark_crossing_period_over(),
                Err(_) => return Err(ConnectionEnd::Reset),
            }
            self.take_messages(outcomes)?;
            if remaining.is_zero() {
                return Ok(());
            }
        }
    }

    /// Marks the set-ups that were sent earlier than [`CROSSING_PERIOD`] ago. The connection is open, because a read timed out.
    fn mark_crossing_period_over(&mut self) {
        for pending in self.pending.values_mut() {
            pending.outlived_crossing_period |= pending.sent_at.elapsed() > CROSSING_PERIOD;
        }
    }

    fn take_messages(&mut self, outcomes: &mut Outcomes) -> Result<(), ConnectionEnd> {
        while let Some(end) = self.received.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.received.drain(..=end).collect();
            let message: Value = serde_json::from_slice(&line).expect("a message");
            self.take_message(&message, outcomes)?;
        }
        Ok(())
    }

    /// Counts an answer. An established session is released at once.
    fn take_message(
        &mut self,
        message: &Value,
        outcomes: &mut Outcomes,
    ) -> Result<(), ConnectionEnd> {
        let tag = message["tag"].as_str().unwrap_or_default().to_owned();
        let is_answer = message["verb"] == "STARTED" || message["verb"] == "FINISH";
        if !is_answer || self.pending.remove(&tag).is_none() {
            return Ok(());
        }
        outcomes.answered += 1;
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
