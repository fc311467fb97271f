//! A connection that one coroutine reads and any other may write to, wake or close.
mod close_reason;
mod connect;
mod deferred_free;

pub use close_reason::CloseReason;

use crate::clock;
use crankpaddle_time::{AtomicTime, Time};
use may::io::WaitIo;
use may::net::TcpStream;
use std::io::{self, ErrorKind, Read, Write};
use std::mem::ManuallyDrop;
use std::net::{Shutdown, SocketAddr};
use std::os::fd::AsRawFd;
use std::sync::atomic::Ordering;
use std::sync::OnceLock;
use std::time::Duration;

/// Requests the bytes of a TCP connection that the kernel has not sent yet (Linux, `linux/sockios.h`).
const SIOCOUTQNSD: libc::Ioctl = 0x894B;
/// Requests the bytes of a TCP connection that its peer has not acknowledged yet (Linux, SIOCOUTQ in `linux/sockios.h`).
const SIOCOUTQ: libc::Ioctl = 0x5411;
/// Bytes read at once while the end of the connection is awaited; they are discarded.
const FINISH_READ_SIZE: usize = 512;

/// The peer's state as far as the kernel knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// Connected, nothing unread.
    Quiet,
    /// It has sent bytes that were not read yet; whatever else it did comes after them.
    Unread,
    /// The connection was closed or reset, by either end.
    Ended,
}

/// A TCP connection.
pub struct Socket {
    stream: ManuallyDrop<Box<TcpStream>>, // Taken out once, on drop.
    expires_at: AtomicTime,
    close_reason: OnceLock<CloseReason>,
}

/// A write that failed before all bytes were written.
#[derive(Debug, thiserror::Error)]
#[error("{source} (after {written} bytes)")]
pub struct WriteError {
    /// Bytes that the kernel accepted; the peer may have received them.
    pub written: usize,
    /// Why the rest could not be written.
    pub source: io::Error,
}

impl Socket {
    /// Takes a stream over. Small messages are sent without delay.
    #[must_use]
    pub fn new(stream: TcpStream) -> Socket {
        let _ = stream.set_nodelay(true); // Without it, it is only slower.
        Socket {
            stream: ManuallyDrop::new(Box::new(stream)),
            expires_at: AtomicTime::new(Time::MAX),
            close_reason: OnceLock::new(),
        }
    }

    /// The peer's address.
    ///
    /// # Errors
    /// The socket is not connected any more.
    pub fn peer(&self) -> io::Result<SocketAddr> {
        self.stream.peer_addr()
    }

    /// Reads, waiting for the first byte; 0 at the end. Only one coroutine may wait on a socket.
    ///
    /// # Errors
    /// The connection failed.
    pub fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        loop {
            match self.try_read(buffer)? {
                Some(count) => return Ok(count),
                None => self.wait(),
            }
        }
    }

    /// Reads what the kernel holds; `None` where that is nothing.
    ///
    /// # Errors
    /// The connection failed.
    pub fn try_read(&self, buffer: &mut [u8]) -> io::Result<Option<usize>> {
        retry_interrupted(|| self.stream.inner().read(buffer))
    }

    /// Writes what the kernel accepts without waiting; returns how many bytes.
    ///
    /// # Errors
    /// The connection failed.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        Ok(retry_interrupted(|| self.stream.inner().write(bytes))?.unwrap_or(0))
    }

    /// Writes all bytes, waiting as needed. Only for the coroutine that waits on this socket.
    ///
    /// # Errors
    /// The connection failed, maybe after some of the bytes.
    pub fn write_all(&self, bytes: &[u8]) -> Result<(), WriteError> {
        let mut written = 0;
        while written < bytes.len() {
            match self.write_some(&bytes[written..]) {
                Ok(count) => written += count,
                Err(source) => return Err(WriteError { written, source }),
            }
        }
        Ok(())
    }

    /// Writes what the kernel accepts, or waits until it may accept something; returns how many bytes were written.
    fn write_some(&self, bytes: &[u8]) -> io::Result<usize> {
        match retry_interrupted(|| self.stream.inner().write(bytes))? {
            Some(0) => Err(ErrorKind::WriteZero.into()),
            Some(count) => Ok(count),
            None if self.is_closed() => Err(ErrorKind::BrokenPipe.into()),
            None => {
                self.wait();
                Ok(0)
            }
        }
    }

    /// Waits until the socket can be read or written, is closed, or was woken.
    pub fn wait(&self) {
        self.stream.wait_io();
    }

    /// Wakes the coroutine that waits on this socket.
    fn wake(&self) {
        self.stream.waker().wakeup();
    }

    /// Closes the connection in both directions; its reader finds the end.
    pub fn close(&self, reason: CloseReason) {
        let _ = self.close_reason.set(reason); // The first reason counts.
        let _ = self.stream.shutdown(Shutdown::Both); // It may be closed already.
        self.wake();
    }

    /// Ends this side in order: the peer gets all that was written, and then the end. What it sends can still be read.
    pub fn finish_writing(&self) {
        let _ = self.stream.shutdown(Shutdown::Write); // It may be closed already.
    }

    /// Ends this side, reads what the peer still sends, and closes when the peer has ended too or after
    /// `timeout`.
    ///
    /// Why: if it is closed with bytes unread, the kernel resets the connection and the peer loses what was sent last.
    pub fn finish(&self, timeout: Duration) {
        self.finish_writing();
        self.set_expiry(clock::now() + timeout);
        let mut discarded = [0u8; FINISH_READ_SIZE];
        while matches!(self.read(&mut discarded), Ok(count) if count > 0) {}
        self.close(CloseReason::Finished);
    }

    /// Whether [`Socket::close`] was called.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.close_reason().is_some()
    }

    /// Why [`Socket::close`] was called, if it was.
    #[must_use]
    pub fn close_reason(&self) -> Option<CloseReason> {
        self.close_reason.get().copied()
    }

    /// Whether an idle connection can carry a request: not closed, nothing unread.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        !self.is_closed() && matches!(self.peek(), Ok(None))
    }

    /// The peer's state as far as the kernel knows it, without reading.
    #[must_use]
    pub fn peer_state(&self) -> Peer {
        match self.peek() {
            _ if self.is_closed() => Peer::Ended,
            Ok(None) => Peer::Quiet,
            Ok(Some(1)) => Peer::Unread,
            Ok(_) | Err(_) => Peer::Ended,
        }
    }

    /// Whether the kernel holds unread bytes of the peer.
    #[must_use]
    pub fn has_unread(&self) -> bool {
        self.peer_state() == Peer::Unread
    }

    /// Bytes that were written and that the kernel has not sent yet; 0 where it does not report them.
    #[must_use]
    pub fn unsent(&self) -> usize {
        self.queued_bytes(SIOCOUTQNSD).unwrap_or(0)
    }

    /// Bytes that were written and that the peer's machine has not acknowledged; `None` where the kernel does not report them.
    #[must_use]
    pub fn unacknowledged(&self) -> Option<usize> {
        self.queued_bytes(SIOCOUTQ)
    }

    #[allow(unsafe_code)]
    fn queued_bytes(&self, request: libc::Ioctl) -> Option<usize> {
        let mut bytes: libc::c_int = 0;
        // SAFETY: the descriptor is open as long as `self` is, and the kernel writes one int.
        let status = unsafe { libc::ioctl(self.stream.as_raw_fd(), request, &mut bytes) };
        (status == 0).then(|| usize::try_from(bytes).unwrap_or(0))
    }

    /// Closes the connection and discards what the kernel has not sent yet, if possible.
    pub fn reset(&self, reason: CloseReason) {
        let socket = socket2::SockRef::from(self.stream.inner());
        let _ = socket.set_linger(Some(Duration::ZERO)); // If that fails, it is only closed.
        self.close(reason);
    }

    /// Whether a connection that is read elsewhere is still established, as far as the kernel knows.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.peer_state() != Peer::Ended
    }

    /// How many bytes can be read now, at most one; 0: the peer has ended; `None`: nothing to read.
    fn peek(&self) -> io::Result<Option<usize>> {
        let mut byte = [0u8; 1];
        retry_interrupted(|| self.stream.inner().peek(&mut byte))
    }

    /// Sets when [`Socket::expire`] closes the connection; [`Time::MAX`] for never.
    pub fn set_expiry(&self, at: Time) {
        self.expires_at.store(at, Ordering::Release);
    }

    /// Closes the connection if it has expired and nothing is unread.
    ///
    /// Why not with bytes unread: what the peer sent in time may lie unread for long on a busy machine (observed as
    /// set-ups that were closed where fifty processes shared a core); the close would lose it, and reset the connection.
    /// So the reader gets it, and checks [`Socket::is_expired`] if it is not what it waits for.
    pub fn expire(&self, now: Time) {
        if self.is_expired(now) && !self.is_closed() && !self.has_unread() {
            self.close(CloseReason::Expired);
        }
    }

    /// Whether it has expired.
    #[must_use]
    pub fn is_expired(&self, now: Time) -> bool {
        now >= self.expires_at.load(Ordering::Acquire)
    }
}

/// Runs a system call again while a signal interrupts it; `None` where it would block.
fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<Option<T>> {
    loop {
        match call() {
            Ok(value) => return Ok(Some(value)),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(None),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
}

impl Drop for Socket {
    #[allow(unsafe_code)]
    fn drop(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
        // SAFETY: `stream` is taken here and nowhere else, and this runs once.
        let stream = unsafe { ManuallyDrop::take(&mut self.stream) };
        deferred_free::free_later(stream);
    }
}
