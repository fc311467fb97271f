//! Connecting without may's own connect.
use super::Socket;
use crate::clock;
use crate::runtime::{sleep, MIN_WAIT};
use crankpaddle_time::Time;
use may::net::TcpStream;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::os::fd::{FromRawFd, IntoRawFd};
use std::time::Duration;

/// The kernel's error for a connect that is still in progress (EINPROGRESS on Linux).
const IN_PROGRESS: i32 = 115;

/// First pause between polls whether the connection is established; it doubles up to [`MAX_POLL_PAUSE`].
const MIN_POLL_PAUSE: Duration = Duration::from_millis(1);
/// Longest pause between polls: a connection is found established late by as much.
const MAX_POLL_PAUSE: Duration = Duration::from_millis(8);

impl Socket {
    /// Connects within a time. Call in a coroutine.
    ///
    /// Why it polls: may's own connect (0.3.51, `TcpStreamConnect::subscribe`) hands the coroutine over and then still
    /// reads what lies on its stack; where the result comes at once, as a refusal does, another thread has run on, and
    /// the whole process crashes (observed once in some thirty days of fault runs on two cores, and in a sixth of
    /// the runs of `tests/connect.rs` on one). The cost: a connection that takes longer than a millisecond is found up to
    /// 8 ms late.
    ///
    /// # Errors
    /// No connection was established: nothing was sent.
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

    /// Takes over a stream that is connected. Call in the coroutine that will use it: where the stream can't be registered
    /// for events, this panics, which ends that coroutine.
    #[allow(unsafe_code)]
    pub(crate) fn adopt(stream: std::net::TcpStream) -> Socket {
        // SAFETY: `into_raw_fd` gives up the ownership of the open descriptor, which has no other owner. may has no safe way to
        // adopt a stream.
        Socket::new(unsafe { TcpStream::from_raw_fd(stream.into_raw_fd()) })
    }
}

fn start_connect(socket: &socket2::Socket, address: &SocketAddr) -> io::Result<()> {
    match socket.connect(&(*address).into()) {
        Err(error) if !is_in_progress(&error) => Err(error),
        _ => Ok(()),
    }
}

fn is_in_progress(error: &io::Error) -> bool {
    error.kind() == ErrorKind::WouldBlock || error.raw_os_error() == Some(IN_PROGRESS)
}

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
