//! Polls the directory for its list of servers, on a thread of its own that may block.
use crate::shared::{InboxMessage, Shared};
use crankpaddle_node_protocol::directory::{
    message_id, parse_response, query, ServerList, MAX_RESPONSE_BYTES,
};
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between a response and the next query. A node has to learn of a change within 1.5 s.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a response after which the next query is sent.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Responses that take longer than this are dropped, because their lists may be long out of date.
const MAX_RESPONSE_AGE: Duration = Duration::from_secs(4);
/// Number of consecutive responses with a lower serial after which an error is logged.
const STALE_RESPONSES_BEFORE_ERROR: u32 = 20;
/// Size of the thread's stack.
const STACK_BYTES: usize = 128 * 1024;

/// Polls the directory until `stopped` is set.
///
/// # Errors
/// The socket can't be opened, or the thread can't be started.
pub(crate) fn start(shared: Arc<Shared>, stopped: Arc<AtomicBool>) -> io::Result<()> {
    // One socket is opened at the start and connected to each directory in turn, because opening a socket when the directory's
    // address changes could fail: silent clients may hold all descriptors then. It is bound to the node's own address. The
    // kernel passes on only datagrams from the directory that it is connected to.
    let socket = UdpSocket::bind(SocketAddr::new(shared.config.listen.ip(), 0))?;
    let thread = std::thread::Builder::new()
        .name("directory".into())
        .stack_size(STACK_BYTES);
    thread.spawn(move || poll_until_stopped(socket, &shared, &stopped))?;
    Ok(())
}

fn poll_until_stopped(socket: UdpSocket, shared: &Shared, stopped: &AtomicBool) {
    let mut queries = QuerySocket {
        socket,
        directory: None,
        outstanding: VecDeque::new(),
    };
    let mut current = CurrentList {
        list: shared.config.initial_list.clone(),
        stale_responses: 0,
    };
    while !stopped.load(Ordering::Acquire) {
        queries.connect(shared.nameserver());
        queries.send_query();
        let Some(list) = queries.receive_list() else {
            continue;
        };
        if let Some(changed) = current.update(list) {
            shared.send(InboxMessage::EndpointList(changed));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// The last list that was passed to the event loop.
struct CurrentList {
    list: ServerList,
    /// Number of consecutive responses that had a lower serial.
    stale_responses: u32,
}

impl CurrentList {
    /// Replaces the list by a received one, unless that has a lower serial. Returns the new list if it differs.
    ///
    /// An old response would list servers that have been removed. All directories of a fleet use the same serials, so a list
    /// with a lower serial is ignored, whichever directory sends it. The drawback: a directory that restarts its serials is
    /// ignored until the node restarts, which is logged.
    fn update(&mut self, received: ServerList) -> Option<ServerList> {
        if received.is_older_than(&self.list) {
            self.count_stale_response(&received);
            return None;
        }
        self.stale_responses = 0;
        if received == self.list {
            return None;
        }
        self.list = received.clone();
        Some(received)
    }

    fn count_stale_response(&mut self, received: &ServerList) {
        self.stale_responses += 1;
        if self.stale_responses == STALE_RESPONSES_BEFORE_ERROR {
            tracing::error!(
                received_serial = received.serial,
                current_serial = self.list.serial,
                "directory serial went backwards; its lists are ignored until a restart"
            );
        }
    }
}

/// A query whose response may still be received.
struct OutstandingQuery {
    id: u16,
    sent_at: Instant,
}

/// The socket for queries to the current directory, and the outstanding queries.
struct QuerySocket {
    socket: UdpSocket,
    directory: Option<SocketAddr>,
    outstanding: VecDeque<OutstandingQuery>,
}

impl QuerySocket {
    /// Sends queries to this directory from now on. Responses of the previous one are ignored.
    fn connect(&mut self, directory: SocketAddr) {
        if self.directory == Some(directory) {
            return;
        }
        self.outstanding.clear();
        self.directory = match self.socket.connect(directory) {
            Ok(()) => Some(directory),
            Err(error) => {
                tracing::error!(reason = %error, address = %directory, "directory unreachable");
                None
            }
        };
    }

    fn send_query(&mut self) {
        let now = Instant::now();
        self.remove_expired(now);
        let id: u16 = rand::random();
        let sent = query(id)
            .map_err(io::Error::other)
            .and_then(|bytes| self.socket.send(&bytes));
        match sent {
            Ok(_) => self
                .outstanding
                .push_back(OutstandingQuery { id, sent_at: now }),
            Err(error) => tracing::debug!(reason = %error, "directory query not sent"),
        }
    }

    fn remove_expired(&mut self, now: Instant) {
        while let Some(oldest) = self.outstanding.front() {
            if now.duration_since(oldest.sent_at) <= MAX_RESPONSE_AGE {
                return;
            }
            self.outstanding.pop_front();
        }
    }

    /// Waits up to [`RESPONSE_TIMEOUT`] for a response to any outstanding query, and returns its list.
    ///
    /// If only the latest query counted, no response of a directory that takes longer than the timeout would ever be used. A
    /// response may be as old as [`MAX_RESPONSE_AGE`], since a newer list has a higher serial and replaces it.
    fn receive_list(&mut self) -> Option<ServerList> {
        let deadline = Instant::now() + RESPONSE_TIMEOUT;
        let mut bytes = [0u8; MAX_RESPONSE_BYTES];
        loop {
            let remaining = deadline
                .checked_duration_since(Instant::now())
                .filter(|remaining| !remaining.is_zero())?;
            match self.receive(&mut bytes, remaining) {
                Ok(length) => {
                    if let Some(list) = self.read_response(&bytes[..length]) {
                        return Some(list);
                    }
                }
                Err(error) if is_timeout(&error) => return None,
                // No process listens there, or this machine can't send.
                Err(_) => std::thread::sleep(remaining),
            }
        }
    }

    fn receive(&self, bytes: &mut [u8], timeout: Duration) -> io::Result<usize> {
        self.socket.set_read_timeout(Some(timeout))?;
        self.socket.recv(bytes)
    }

    fn read_response(&mut self, bytes: &[u8]) -> Option<ServerList> {
        let position = message_id(bytes)
            .and_then(|id| self.outstanding.iter().position(|query| query.id == id));
        let Some(position) = position else {
            tracing::debug!("unsolicited directory response");
            return None;
        };
        match parse_response(self.outstanding[position].id, bytes) {
            Ok(list) => {
                self.outstanding.remove(position);
                Some(list)
            }
            // The query stays outstanding, because a usable response to it may still arrive.
            Err(error) => {
                tracing::debug!(reason = %error, "unusable directory response");
                None
            }
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}
