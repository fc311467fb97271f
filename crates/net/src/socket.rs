//! A connection that one coroutine reads and anyone may write to, wake or shut.
use crate::runtime::{Turns, SHORTEST};
use crate::{clock, spawn, Stack};
use may::io::WaitIo;
use may::net::{TcpListener, TcpStream};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::mem::ManuallyDrop;
use std::net::{Shutdown, SocketAddr};
use std::os::fd::{AsRawFd, FromRawFd, IntoRawFd};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Connections that wait to be accepted at most.
const BACKLOG: i32 = 1024;
/// What the kernel answers to a connect that goes on (EINPROGRESS on Linux).
const IN_PROGRESS: i32 = 115;

/// First and longest pause between looks whether a connection has come about.
const LOOKS: (Duration, Duration) = (Duration::from_millis(1), Duration::from_millis(8));

/// Asks the kernel for the bytes of a TCP connection that it has not sent yet (Linux, `linux/sockios.h`).
const SIOCOUTQNSD: libc::Ioctl = 0x894B;

/// What the kernel knows of the other end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// It has said nothing that was not read.
    Quiet,
    /// It has said something that was not read yet; what else it did is behind that.
    Unread,
    /// It has ended or broken the connection, or this end has.
    Ended,
}

/// A TCP connection.
pub struct Socket {
    tcp: ManuallyDrop<Box<TcpStream>>, // Taken out once, when it is dropped.
    expires: AtomicU64,
    shut: AtomicBool,
}

impl Socket {
    /// Takes a stream over. Small messages go out at once.
    pub fn new(tcp: TcpStream) -> Socket {
        let _ = tcp.set_nodelay(true); // Only slower without it.
        let tcp = ManuallyDrop::new(Box::new(tcp));
        Socket {
            tcp,
            expires: AtomicU64::new(u64::MAX),
            shut: AtomicBool::new(false),
        }
    }

    /// Connects within a time. Call in a coroutine.
    ///
    /// Danger: may's own connect (0.3.51, `TcpStreamConnect::subscribe`) hands the coroutine over and then still reads
    /// what lies on its stack; where the answer comes at once, as a refusal does, another thread has run on and the
    /// whole process dies of it (seen once in some thirty days of trouble on two cores, and in a sixth of the runs of
    /// `tests/connect.rs` on one). So nothing waits for the socket here: it is looked at again and again. Harm: a
    /// connection that takes longer than a millisecond is seen up to 8 ms late.
    ///
    /// # Errors
    /// No connection came about: nothing was sent.
    #[allow(unsafe_code)]
    pub fn connect(address: &SocketAddr, within: Duration) -> io::Result<Socket> {
        let domain = socket2::Domain::for_address(*address);
        let socket =
            socket2::Socket::new(domain, socket2::Type::STREAM, Some(socket2::Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        let until = after(within.max(SHORTEST).as_nanos() as u64);
        if let Err(e) = socket.connect(&(*address).into()) {
            if e.kind() != ErrorKind::WouldBlock && e.raw_os_error() != Some(IN_PROGRESS) {
                return Err(e);
            }
        }
        let mut pause = LOOKS.0;
        loop {
            if let Some(e) = socket.take_error()? {
                return Err(e);
            }
            if socket.peer_addr().is_ok() {
                // SAFETY: the descriptor was made here and is given away by `into_raw_fd`: nobody else owns it. may has no
                // safe way to take a stream over.
                return Ok(Socket::new(unsafe {
                    TcpStream::from_raw_fd(socket.into_raw_fd())
                }));
            }
            if clock::now() >= until {
                return Err(ErrorKind::TimedOut.into());
            }
            crate::sleep(pause.min(Duration::from_nanos(until.saturating_sub(clock::now()))));
            pause = (pause * 2).min(LOOKS.1);
        }
    }

    /// The other end.
    ///
    /// # Errors
    /// The socket is not connected any more.
    pub fn peer(&self) -> io::Result<SocketAddr> {
        self.tcp.peer_addr()
    }

    /// Reads, waiting for the first byte. Only one coroutine may wait on a socket.
    ///
    /// # Errors
    /// The connection broke.
    pub fn read(&self, buffer: &mut [u8]) -> io::Result<usize> {
        loop {
            match self.try_read(buffer)? {
                Some(n) => return Ok(n),
                None => self.wait(),
            }
        }
    }

    /// Reads what is there; `None` where nothing is.
    ///
    /// # Errors
    /// The connection broke.
    pub fn try_read(&self, buffer: &mut [u8]) -> io::Result<Option<usize>> {
        again(|| self.tcp.inner().read(buffer))
    }

    /// Writes what the kernel takes without waiting.
    ///
    /// # Errors
    /// The connection broke.
    pub fn try_write(&self, bytes: &[u8]) -> io::Result<usize> {
        Ok(again(|| self.tcp.inner().write(bytes))?.unwrap_or(0))
    }

    /// Writes all, waiting as needed; says how many bytes were written where it fails. Only for the coroutine that
    /// waits on this socket.
    ///
    /// # Errors
    /// The connection broke, after so many bytes.
    pub fn write_all(&self, bytes: &[u8]) -> Result<(), (usize, io::Error)> {
        let mut at = 0;
        while at < bytes.len() {
            match again(|| self.tcp.inner().write(&bytes[at..])) {
                Ok(Some(0)) => return Err((at, ErrorKind::WriteZero.into())),
                Ok(Some(n)) => at += n,
                Ok(None) if self.is_closed() => return Err((at, ErrorKind::BrokenPipe.into())),
                Ok(None) => self.wait(),
                Err(e) => return Err((at, e)),
            }
        }
        Ok(())
    }

    /// Waits until the socket can be read or written, is closed, or was woken.
    pub fn wait(&self) {
        self.tcp.wait_io();
    }

    /// Wakes the coroutine that waits.
    pub fn wake(&self) {
        self.tcp.waker().wakeup();
    }

    /// Ends the connection both ways; who reads finds its end.
    pub fn close(&self) {
        self.shut.store(true, Ordering::Release);
        let _ = self.tcp.shutdown(Shutdown::Both); // Already gone is as good.
        self.wake();
    }

    /// Ends our side, reads what the peer still sends, and shuts when it has ended too or `within` nanoseconds have
    /// passed. Danger: closed with bytes unread, the kernel resets the connection and the peer loses our last words.
    pub fn finish(&self, within: u64) {
        let _ = self.tcp.shutdown(Shutdown::Write);
        self.set_expiry(after(within));
        let mut piece = [0u8; 512];
        while matches!(self.read(&mut piece), Ok(n) if n > 0) {}
        self.close();
    }

    /// Whether [`Socket::close`] was called.
    pub fn is_closed(&self) -> bool {
        self.shut.load(Ordering::Acquire)
    }

    /// Whether an idle connection can carry a request: not closed, nothing unread.
    pub fn is_idle(&self) -> bool {
        !self.is_closed() && matches!(self.peek(), Ok(None))
    }

    /// What the kernel knows of the peer, without reading.
    pub fn peer_state(&self) -> Peer {
        match self.peek() {
            _ if self.is_closed() => Peer::Ended,
            Ok(None) => Peer::Quiet,
            Ok(Some(1)) => Peer::Unread,
            Ok(_) | Err(_) => Peer::Ended,
        }
    }

    /// Whether the kernel holds bytes of the peer that were not read yet.
    pub fn has_unread(&self) -> bool {
        self.peer_state() == Peer::Unread
    }

    /// Bytes that were written and that the kernel could not send yet; 0 where it does not say.
    #[allow(unsafe_code)]
    pub fn unsent(&self) -> usize {
        let mut bytes: libc::c_int = 0;
        // SAFETY: the descriptor is open as long as `self` is, and the kernel writes one int.
        let said = unsafe { libc::ioctl(self.tcp.as_raw_fd(), SIOCOUTQNSD, &mut bytes) };
        if said == 0 {
            usize::try_from(bytes).unwrap_or(0)
        } else {
            0
        }
    }

    /// Ends the connection and throws away what the kernel has not sent yet, as far as it can.
    pub fn reset(&self) {
        let _ = socket2::SockRef::from(self.tcp.inner()).set_linger(Some(Duration::ZERO)); // Else it is only closed.
        self.close();
    }

    /// Whether a connection that is read elsewhere is still up, as far as the kernel knows.
    pub fn is_open(&self) -> bool {
        self.peer_state() != Peer::Ended
    }

    /// How many bytes can be read at once, one at most; 0: the peer has ended; `None`: nothing is there.
    fn peek(&self) -> io::Result<Option<usize>> {
        let mut one = [0u8; 1];
        again(|| self.tcp.inner().peek(&mut one))
    }

    /// Sets when [`Socket::expire`] ends the connection: nanoseconds of [`clock::now`], `u64::MAX` for never.
    pub fn set_expiry(&self, at: u64) {
        self.expires.store(at, Ordering::Release);
    }

    /// Ends the connection if its time has come.
    ///
    /// Danger: what the peer sent in time may lie unread, on a busy machine for long (seen as honest set-ups that were closed on
    /// where a core was shared by fifty); the close would lose it, and with a reset. So what is unread is left to who reads: he
    /// asks [`Socket::is_expired`] when it was not what he waits for.
    pub fn expire(&self, now: u64) {
        if self.is_expired(now) && !self.is_closed() && !self.has_unread() {
            self.close();
        }
    }

    /// Whether its time has come.
    pub fn is_expired(&self, now: u64) -> bool {
        now >= self.expires.load(Ordering::Acquire)
    }
}

fn again<T>(mut op: impl FnMut() -> io::Result<T>) -> io::Result<Option<T>> {
    loop {
        match op() {
            Ok(v) => return Ok(Some(v)),
            Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(None),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
}

impl Drop for Socket {
    #[allow(unsafe_code)]
    fn drop(&mut self) {
        let _ = self.tcp.shutdown(Shutdown::Both);
        // SAFETY: `tcp` is taken here and nowhere else, and this runs once.
        let tcp = unsafe { ManuallyDrop::take(&mut self.tcp) };
        retire(tcp);
    }
}

/// Closed streams that are not freed yet, and since when.
static RETIRED: Mutex<VecDeque<(u64, Box<TcpStream>)>> = Mutex::new(VecDeque::new());
/// They are kept for so long ...
const RETIRE_FOR: u64 = 200_000_000;
/// ... and no more than so many: each holds a descriptor.
const MOST_RETIRED: usize = 1024;

/// Frees a closed stream a while later. Danger: `wait_io` too hands the coroutine over first and then still reads from
/// the stream (`RawIoBlock::subscribe`); a coroutine that wakes on another thread, ends and frees it meanwhile leaves
/// that read to whatever lies there. Harm: a closed socket's descriptor is freed some 200 ms late.
///
/// With one worker a coroutine can't run on before the one thread is done with the wait, and descriptors may be few: then
/// it is freed at once.
fn retire(tcp: Box<TcpStream>) {
    if crate::runtime::has_one_worker() {
        return drop(tcp);
    }
    let now = clock::now();
    let mut freed = Vec::new();
    {
        let mut retired = RETIRED.lock().unwrap_or_else(PoisonError::into_inner);
        retired.push_back((now, tcp));
        let due = |of: &VecDeque<(u64, Box<TcpStream>)>| {
            of.len() > MOST_RETIRED
                || of
                    .front()
                    .is_some_and(|(at, _)| now.saturating_sub(*at) > RETIRE_FOR)
        };
        while due(&retired) {
            freed.extend(retired.pop_front());
        }
    }
    drop(freed); // Closes them, without the lock.
}

/// Listens. Danger: may's own bind sets SO_REUSEPORT, so a second front on the same address would start without a
/// word and take half of the players; here it is an error.
///
/// # Errors
/// The address is in use or not this machine's.
#[allow(unsafe_code)]
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(address),
        socket2::Type::STREAM,
        None,
    )?;
    socket.set_reuse_address(true)?; // A restart need not wait for old connections to be forgotten.
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    // SAFETY: the descriptor was just made and is given away by `into_raw_fd`: nobody else owns it. may has no safe
    // way to take a listener over.
    Ok(unsafe { TcpListener::from_raw_fd(socket.into_raw_fd()) })
}

/// Takes connections for ever, each in a coroutine of its own. `until` ends it: set it, then connect once.
pub fn accept_each(
    listener: TcpListener,
    until: Arc<AtomicBool>,
    each: impl Fn(Socket) + Send + Sync + 'static,
) {
    accept_while_capacity(listener, until, || Some(()), move |socket, ()| each(socket));
}

/// The same, but only while there is `room`, which is asked before each; what comes meanwhile waits with the kernel. What
/// `room` gives stands for the place taken, from before the connection is accepted until `each` drops it.
pub fn accept_while_capacity<P: Send + 'static>(
    listener: TcpListener,
    until: Arc<AtomicBool>,
    room: impl Fn() -> Option<P> + Send + 'static,
    each: impl Fn(Socket, P) + Send + Sync + 'static,
) {
    let (each, mut turns) = (Arc::new(each), Turns::default());
    spawn(Stack::Usual, move || loop {
        let place = loop {
            match room() {
                Some(place) => break place,
                None => crate::sleep(LOOKS.0),
            }
        };
        let accepted = listener.accept();
        if until.load(Ordering::Acquire) {
            return;
        }
        match accepted {
            Ok((tcp, _)) => {
                let each = each.clone();
                spawn(Stack::Usual, move || each(Socket::new(tcp), place));
                turns.took(); // While connections wait, accept never does.
            }
            // Danger: out of file descriptors, accept fails at once and for long; a loop without a pause would take
            // the core that could close some.
            Err(_) => crate::sleep(Duration::from_millis(20)),
        }
    });
}

/// Now plus a time, for [`Socket::set_expiry`].
pub(crate) fn after(nanoseconds: u64) -> u64 {
    clock::now().saturating_add(nanoseconds)
}
