//! Polls the directory for its list of servers, on a thread of its own that may block.
use crate::directory_queries::DirectoryQueries;
use crate::shared::{InboxMessage, Shared};
use crankpaddle_node_protocol::directory::{
    message_id, parse_response, query, ServerList, MAX_RESPONSE_BYTES,
};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

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
        queries: DirectoryQueries::starting_at(Instant::now()),
    };
    let mut current = CurrentList {
        list: shared.config.initial_list.clone(),
        stale_responses: 0,
    };
    while !stopped.load(Ordering::Acquire) {
        queries.connect(shared.nameserver());
        queries.send_if_due();
        let changed = queries.receive_list().and_then(|list| current.update(list));
        if let Some(changed) = changed {
            shared.send(InboxMessage::EndpointList(changed));
        }
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

/// The socket for queries to the current directory.
struct QuerySocket {
    socket: UdpSocket,
    directory: Option<SocketAddr>,
    queries: DirectoryQueries,
}

impl QuerySocket {
    /// Sends queries to this directory from now on, the first one at once. Responses of the previous one are ignored.
    fn connect(&mut self, directory: SocketAddr) {
        if self.directory == Some(directory) {
            return;
        }
        self.queries = DirectoryQueries::starting_at(Instant::now());
        self.directory = match self.socket.connect(directory) {
            Ok(()) => Some(directory),
            Err(error) => {
                tracing::error!(reason = %error, address = %directory, "directory unreachable");
                None
            }
        };
    }

    fn send_if_due(&mut self) {
        let now = Instant::now();
        if !self.queries.time_to_next_query(now).is_zero() {
            return;
        }
        let id: u16 = rand::random();
        let sent = query(id)
            .map_err(io::Error::other)
            .and_then(|bytes| self.socket.send(&bytes));
        if let Err(error) = &sent {
            tracing::debug!(reason = %error, "directory query not sent");
        }
        self.queries.record_query(sent.is_ok().then_some(id), now);
    }

    /// Waits for a response to any outstanding query until the next query is due, and returns its list.
    fn receive_list(&mut self) -> Option<ServerList> {
        let mut bytes = [0u8; MAX_RESPONSE_BYTES];
        loop {
            let remaining = self.queries.time_to_next_query(Instant::now());
            if remaining.is_zero() {
                return None;
            }
            match self.receive(&mut bytes, remaining) {
                Ok(length) => {
                    if let Some(list) = self.read_response(&bytes[..length]) {
                        return Some(list);
                    }
                }
                Err(error) if is_timeout(&error) => return None,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {} // A signal, or the end of a stop.
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
        let Some(id) = message_id(bytes).filter(|id| self.queries.is_outstanding(*id)) else {
            tracing::debug!("unsolicited directory response");
            return None;
        };
        match parse_response(id, bytes) {
            Ok(list) => {
                let is_usable = self.queries.record_response(id, Instant::now());
                tracing::debug!(serial = list.serial, is_usable, "directory response");
                is_usable.then_some(list)
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
