//! Connecting a socket by polling, because the connect of `may` is faulty.
use super::Socket;
use crate::clock;
use crate::runtime::{sleep, MIN_WAIT};
use crankpaddle_time::Time;
use may::net::TcpStream;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::os::fd::{FromRawFd, IntoRawFd};
use std::time::Duration;

/// The kernel's error code for a connect that is still in progress (Linux).
const EINPROGRESS: i32 = 115;

/// First pause between polls of a connect in progress; the pause doubles up to [`MAX_POLL_PAUSE`].
const MIN_POLL_PAUSE: Duration = Duration::from_millis(1);
/// Longest pause between polls, so an established connection is noticed at most this late.
const MAX_POLL_PAUSE: Duration = Duration::from_millis(8);

impl Socket {
    /// Connects to an address within `timeout`. Must be called in a coroutine.
    ///
    /// It polls because the connect of `may` (0.3.51, `TcpStreamConnect::subscribe`) makes the coroutine resumable and then
    /// still reads data on the coroutine's stack. If the result comes immediately, as a refusal does, another thread may
    /// have resumed the coroutine by then, and the whole process crashes. This was observed once in some thirty days of
    /// fault runs on two cores, and in a sixth of the runs of `tests/connect.rs` on one core. The cost of polling is that a
    /// connection that takes longer than a millisecond is noticed up to 8 ms late.
    ///
    /// # Errors
    /// No connection was established within `timeout`, so nothing was sent.
    pub fn connect(address: &SocketAddr, timeout: Duration) -> io::Result<Socket> {
        let domain = socket2::Domain::for_address(*address);
        let protocol = Some(socket2::Protocol::TCP);
        let socket = socket2::Socket::new(domain, socket2::Type::STREAM, protocol)?;
        socket.set_nonblocking(true)?;
        let deadline = clock::now() + timeout.max(MIN_WAIT);
        start_connect(&socket, address)?;
        wait_until_connected(&socket, deadline)?;
        Ok(Socket::adopt(socket.into()))
    }

    /// Takes over a connected stream. Must be called in the coroutine that will use the stream: this panics if the stream can't
    /// be registered for events, and a panic ends only that coroutine.
    #[allow(unsafe_code)]
    pub(crate) fn adopt(stream: std::net::TcpStream) -> Socket {
        // SAFETY: `into_raw_fd` gives up the ownership of the open descriptor, which has no other owner. `may` has no safe
        // way to take over a stream.
        Socket::new(unsafe { TcpStream::from_raw_fd(stream.into_raw_fd()) })
    }
}

/// Starts a connect without waiting for its result.
fn start_connect(socket: &socket2::Socket, address: &SocketAddr) -> io::Result<()> {
    match socket.connect(&(*address).into()) {
        Err(error) if !is_in_progress(&error) => Err(error),
        _ => Ok(()),
    }
}

fn is_in_progress(error: &io::Error) -> bool {
    error.kind() == ErrorKind::WouldBlock || error.raw_os_error() == Some(EINPROGRESS)
}

/// Polls until the connect succeeds or fails, or `deadline` has passed.
fn wait_until_connected(socket: &socket2::Socket, deadline: Time) -> io::Result<()> {
    let mut pause = MIN_POLL_PAUSE;
    loop {
        if let Some(error) = socket.take_error()? {
            return Err(error);
        }
        if socket.peer_addr().is_ok() {
            return Ok(());
        }
        if clock::now() >= deadline {
            return Err(ErrorKind::TimedOut.into());
        }
        let remaining = deadline.duration_since(clock::now());
        sleep(pause.min(remaining));
        pause = (pause * 2).min(MAX_POLL_PAUSE);
    }
}
