//! A TCP connection that one coroutine reads, and that any other may write to without waiting, or close.
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

/// The ioctl request for the number of bytes that the kernel has not sent yet (Linux, `linux/sockios.h`).
const SIOCOUTQNSD: libc::Ioctl = 0x894B;
/// The ioctl request for the number of bytes that the peer has not acknowledged yet (Linux, `linux/sockios.h`).
const SIOCOUTQ: libc::Ioctl = 0x5411;
/// Most bytes of one read while [`Socket::finish`] discards what the peer still sends.
const DISCARD_READ_BYTES: usize = 512;

/// The state of the receiving side of a connection, as far as the kernel knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// The connection is established, and nothing is unread.
    Idle,
    /// The peer has sent bytes that were not read yet. Whether it has closed the connection since then is not known.
    HasUnread,
    /// The connection was closed or reset, by either end.
    Ended,
}

/// A TCP connection with an expiry time and the reason for which this side closed it.
pub struct Socket {
    /// Taken out once, in `drop`, and freed after a delay.
    stream: ManuallyDrop<Box<TcpStream>>,
    /// [`Time::MAX`] if the connection does not expire.
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
    /// Takes over a stream, and disables Nagle's algorithm, so that small messages are sent without delay.
    #[must_use]
    pub fn new(stream: TcpStream) -> Socket {
        let _ = stream.set_nodelay(true); // If this fails, small messages are only slower.
        Socket {
            stream: ManuallyDrop::new(Box::new(stream)),
            expires_at: AtomicTime::new(Time::MAX),
            close_reason: OnceLock::new(),
        }
    }

    /// The peer's address.
    ///
    /// # Errors
    /// The socket is no longer connected.
    pub fn peer(&self) -> io::Result<SocketAddr> {
        self.stream.peer_addr()
    }

    /// Reads into `buffer`, waiting until there is at least one byte; returns how many were read, 0 at the end of the stream.
    /// Only one coroutine may wait on a socket.
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

    /// Reads into `buffer` without waiting; returns how many bytes were read, 0 at the end of the stream, and `None` if there
    /// is nothing to read yet.
    ///
    /// # Errors
    /// The connection failed.
    pub fn try_read(&self, buffer: &mut [u8]) -> io::Result<Option<usize>> {
        retry_interrupted(|| self.stream.inner().read(buffer))
    }

    /// Writes without waiting; returns how many bytes the kernel accepted, which may be 0.
    ///
    /// # Errors
    /// The connection failed.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        Ok(retry_interrupted(|| self.stream.inner().write(bytes))?.unwrap_or(0))
    }

    /// Writes all bytes, waiting as needed. Only the coroutine that waits on this socket may call this.
    ///
    /// # Errors
    /// The connection failed, possibly after some of the bytes.
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

    /// Waits until the socket becomes readable or writable, or [`Socket::close`] wakes it.
    pub fn wait(&self) {
        self.stream.wait_io();
    }

    /// Wakes the coroutine that waits on this socket. A wake before [`Socket::wait`] makes that return at once.
    pub fn wake(&self) {
        self.stream.waker().wakeup();
    }

    /// Closes the connection in both directions and wakes its reader, which finds the end of the stream. Only the first reason
    /// is kept.
    pub fn close(&self, reason: CloseReason) {
        let _ = self.close_reason.set(reason); // Fails if there is a reason already.
        let _ = self.stream.shutdown(Shutdown::Both); // Fails if it is closed already.
        self.wake();
    }

    /// Shuts down this side for writing: the peer receives everything that was written, and then the end of the stream. What
    /// the peer sends can still be read.
    pub fn finish_writing(&self) {
        let _ = self.stream.shutdown(Shutdown::Write); // Fails if it is closed already.
    }

    /// Shuts down this side for writing, discards what the peer still sends, and closes the connection once the peer has
    /// closed its side too, or `timeout` has passed.
    ///
    /// If a connection is closed while bytes are unread, the kernel resets it, and the peer may lose what was sent last.
    pub fn finish(&self, timeout: Duration) {
        self.finish_writing();
        self.set_expiry(clock::now() + timeout);
        let mut discarded = [0u8; DISCARD_READ_BYTES];
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

    /// Whether an idle connection can carry another request: it is not closed and nothing is unread.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        !self.is_closed() && matches!(self.peek(), Ok(None))
    }

    /// The peer's state as far as the kernel knows it, without reading.
    #[must_use]
    pub fn peer_state(&self) -> PeerState {
        match self.peek() {
            _ if self.is_closed() => PeerState::Ended,
            Ok(None) => PeerState::Idle,
            Ok(Some(1)) => PeerState::HasUnread,
            Ok(_) | Err(_) => PeerState::Ended,
        }
    }

    /// Whether the peer has sent bytes that were not read yet.
    #[must_use]
    pub fn has_unread(&self) -> bool {
        self.peer_state() == PeerState::HasUnread
    }

    /// The number of written bytes that the kernel has not sent yet; 0 where the kernel does not report it.
    #[must_use]
    pub fn unsent_bytes(&self) -> usize {
        self.queued_bytes(SIOCOUTQNSD).unwrap_or(0)
    }

    /// The number of written bytes that the peer's kernel has not acknowledged yet; `None` where the kernel does not report it.
    #[must_use]
    pub fn unacknowledged_bytes(&self) -> Option<usize> {
        self.queued_bytes(SIOCOUTQ)
    }

    /// The number of bytes in the send queue that the ioctl `request` counts; `None` if the kernel does not support it.
    #[allow(unsafe_code)]
    fn queued_bytes(&self, request: libc::Ioctl) -> Option<usize> {
        let mut bytes: libc::c_int = 0;
        // SAFETY: the descriptor is open as long as `self` exists, and the kernel writes one int.
        let status = unsafe { libc::ioctl(self.stream.as_raw_fd(), request, &mut bytes) };
        (status == 0).then(|| usize::try_from(bytes).unwrap_or(0))
    }

    /// Closes the connection and discards what the kernel has not sent yet.
    pub fn reset(&self, reason: CloseReason) {
        let socket = socket2::SockRef::from(self.stream.inner());
        let _ = socket.set_linger(Some(Duration::ZERO)); // If this fails, the connection is closed without discarding anything.
        self.close(reason);
    }

    /// Whether the connection is still established, as far as the kernel knows. Unlike [`Socket::is_idle`] it allows for
    /// unread bytes, and so may be called while another coroutine reads the connection.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.peer_state() != PeerState::Ended
    }

    /// Looks at the next byte without reading it: 1 if there is one, 0 at the end of the stream, `None` if there is nothing to
    /// read yet.
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
    /// On a busy machine, bytes that the peer sent in time may stay unread for long: where fifty processes shared a core,
    /// connections with set-ups were closed. Closing then would lose these bytes and reset the connection. So the reader
    /// receives them, and checks [`Socket::is_expired`] if they are not what it waits for.
    pub fn expire(&self, now: Time) {
        if self.is_expired(now) && !self.is_closed() && !self.has_unread() {
            self.close(CloseReason::Expired);
        }
    }

    /// Whether the expiry time has been reached.
    #[must_use]
    pub fn is_expired(&self, now: Time) -> bool {
        now >= self.expires_at.load(Ordering::Acquire)
    }
}

/// Repeats a system call while a signal interrupts it; `None` if the call would block.
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
