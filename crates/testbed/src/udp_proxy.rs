//! A UDP proxy between the fronts of a membership. It has one socket for every ordered pair of fronts, and a model of the
//! network conditions that can delay, lose or duplicate each datagram.
//!
//! In a front's configuration, each other front has the address of a socket of the proxy. A datagram that the front sends there
//! is delivered to the other front, from the socket that represents the sender in the other front's configuration. The proxy
//! learns a front's real address from the datagrams that the front sends, or from its report.
//!
//! The proxy runs on a thread of its own, so that a datagram is delayed only by the wait in epoll and not by the work of the
//! simulated servers.
use crankpaddle_fault_simulation::{DelayRange, Link, NetworkConditions};
use crankpaddle_net::clock;
use crankpaddle_time::{nanoseconds, Time};
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::event::Timespec;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};

/// Maximum number of epoll events, and of datagrams of one socket, that are handled in one step.
const MAX_BATCH: usize = 256;
/// Maximum size of a datagram, bytes.
const MAX_DATAGRAM: usize = 2048;
/// Maximum wait for a datagram, nanoseconds. Queued changes are applied after each wait.
const MAX_WAIT_NANOSECONDS: u64 = 5_000_000;
/// The membership key of the fleet. On loopback it need not be secret.
const KEY: &str = "c0ffee00c0ffee00c0ffee00c0ffee00";

/// Writes the membership key of a fleet to a file in `dir`. Returns the path of the file.
///
/// # Errors
/// The file can't be written.
pub fn write_key(dir: &Path) -> io::Result<PathBuf> {
    let path = dir.join("key");
    std::fs::write(&path, KEY)?;
    Ok(path)
}

/// A change that the proxy's thread applies to its state.
type Change = Box<dyn FnOnce(&mut UdpProxy) + Send>;
type Changes = Mutex<Vec<Change>>;
/// The socket of each ordered pair of fronts, `None` for a front and itself. The index is `from * size + to`.
type Sockets = Vec<Option<UdpSocket>>;

/// Totals of the datagrams that a front has sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentTotals {
    /// Number of datagrams.
    pub datagrams: u64,
    /// Number of payload bytes in all datagrams.
    pub bytes: u64,
}

/// The counters for [`SentTotals`], which the proxy's thread increments.
#[derive(Default)]
struct SentCounts {
    datagrams: AtomicU64,
    bytes: AtomicU64,
}

/// A handle on the network between the fronts.
#[derive(Clone)]
pub struct PeerNetwork {
    /// Number of fronts. The indexes of `addresses` depend on it.
    size: usize,
    /// Addresses of the sockets of the proxy, with the indexes of [`Sockets`].
    addresses: Vec<Option<SocketAddr>>,
    changes: Arc<Changes>,
    sent: Arc<Vec<SentCounts>>,
}

impl PeerNetwork {
    /// Opens all sockets and starts the proxy, without network faults. It runs until all clones of this handle are dropped.
    ///
    /// # Errors
    /// A socket can't be opened.
    pub fn start(size: usize, seed: u64) -> io::Result<PeerNetwork> {
        let poll = epoll::create(CreateFlags::CLOEXEC)?;
        let sockets = open_sockets(size, &poll)?;
        let address = |socket: &Option<UdpSocket>| {
            let socket = socket.as_ref();
            socket.map(UdpSocket::local_addr).transpose()
        };
        let addresses = sockets.iter().map(address).collect::<io::Result<_>>()?;
        let sent: Arc<Vec<SentCounts>> =
            Arc::new((0..size).map(|_| SentCounts::default()).collect());
        let changes: Arc<Changes> = Arc::default();
        let proxy = UdpProxy {
            size,
            sockets,
            poll,
            front_addresses: vec![None; size],
            conditions: NetworkConditions::without_faults(DelayRange::NONE),
            rng: oorandom::Rand64::new(u128::from(seed)),
            in_transit: BinaryHeap::new(),
            datagram_count: 0,
            sent: sent.clone(),
        };
        let weak_changes = Arc::downgrade(&changes);
        std::thread::spawn(move || proxy.run(&weak_changes));
        Ok(PeerNetwork {
            size,
            addresses,
            changes,
            sent,
        })
    }

    /// The address of front `to` in the configuration of front `from`; `None` where they are the same.
    #[must_use]
    pub fn address(&self, from: usize, to: usize) -> Option<SocketAddr> {
        self.addresses.get(from * self.size + to).copied().flatten()
    }

    /// The block of a front's configuration that connects it to the other fronts through this network.
    #[must_use]
    pub fn peers_block(
        &self,
        front: usize,
        seeds: &[usize],
        key: &Path,
        probe_every: &str,
    ) -> String {
        let seed_line = |seed: &usize| {
            let address = self.address(front, *seed)?;
            Some(format!("  seed: \"{address}\"\n"))
        };
        let peer_line = |to: usize| {
            let address = self.address(front, to)?;
            Some(format!(
                "  way {{ name: \"front-{to}\" address: \"{address}\" }}\n"
            ))
        };
        let seeds: String = seeds.iter().filter_map(seed_line).collect();
        let peers: String = (0..self.size).filter_map(peer_line).collect();
        format!(
            "peers {{\n  name: \"front-{front}\"\n  listen: \"127.0.0.1:0\"\n  key_file: {key:?}\n  \
             probe_every: {probe_every:?}\n{seeds}{peers}}}\n"
        )
    }

    /// Queues a change for the proxy's thread.
    fn queue(&self, change: Change) {
        let mut changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        changes.push(change);
    }

    /// Changes the network conditions for datagrams that are read after the change takes effect, which is some milliseconds
    /// later.
    pub fn change(&self, change: impl FnOnce(&mut NetworkConditions) + Send + 'static) {
        self.queue(Box::new(|proxy| change(&mut proxy.conditions)));
    }

    /// Sets a front's real address, as the front reports it. This is needed because a front without seeds sends no datagram
    /// from which the proxy could learn the address.
    pub fn set_front_address(&self, front: usize, address: SocketAddr) {
        self.queue(Box::new(move |proxy| {
            proxy.front_addresses[front] = Some(address);
        }));
    }

    /// Totals of the datagrams that a front has sent so far.
    #[must_use]
    pub fn sent(&self, front: usize) -> SentTotals {
        let counts = self.sent.get(front);
        counts.map_or(SentTotals::default(), |counts| SentTotals {
            datagrams: counts.datagrams.load(Ordering::Relaxed),
            bytes: counts.bytes.load(Ordering::Relaxed),
        })
    }
}

/// Opens a socket for every ordered pair of different fronts and registers it under its index.
fn open_sockets(size: usize, poll: &OwnedFd) -> io::Result<Sockets> {
    let mut sockets = Sockets::new();
    for index in 0..size * size {
        let (from, to) = (index / size, index % size);
        if from == to {
            sockets.push(None);
            continue;
        }
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_nonblocking(true)?;
        let data = EventData::new_u64(index as u64);
        epoll::add(poll, &socket, data, EventFlags::IN)?;
        sockets.push(Some(socket));
    }
    Ok(sockets)
}

/// A datagram in transit. Datagrams are ordered by arrival, then by the order in which they were read.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Datagram {
    arrives_at: Time,
    number: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// The state of the proxy's thread.
struct UdpProxy {
    size: usize,
    sockets: Sockets,
    poll: OwnedFd,
    /// The fronts' real addresses; `None` where not known yet.
    front_addresses: Vec<Option<SocketAddr>>,
    conditions: NetworkConditions,
    rng: oorandom::Rand64,
    in_transit: BinaryHeap<Reverse<Datagram>>,
    datagram_count: u64,
    sent: Arc<Vec<SentCounts>>,
}

impl UdpProxy {
    /// Runs until all handles are dropped.
    fn run(mut self, changes: &Weak<Changes>) {
        while let Some(changes) = changes.upgrade() {
            let queued =
                std::mem::take(&mut *changes.lock().unwrap_or_else(PoisonError::into_inner));
            for change in queued {
                change(&mut self);
            }
            if let Err(error) = self.step() {
                // Without the proxy no front receives datagrams of another front, so the claims of the case fail.
                return eprintln!("the UDP proxy between the fronts has stopped: {error}");
            }
        }
    }

    /// Waits until a datagram can be read or delivered, for at most [`MAX_WAIT_NANOSECONDS`], and handles it.
    fn step(&mut self) -> io::Result<()> {
        let next = self.in_transit.peek();
        let due = next.map_or(Time::MAX, |Reverse(datagram)| datagram.arrives_at);
        let wait = nanoseconds(due.duration_since(clock::now())).min(MAX_WAIT_NANOSECONDS);
        for index in self.wait_for_events(wait)? {
            self.read(index);
        }
        self.deliver_due();
        Ok(())
    }

    /// Waits for at most `wait` nanoseconds. Returns the indexes of the sockets that can be read.
    fn wait_for_events(&self, wait: u64) -> io::Result<Vec<usize>> {
        let mut events = Vec::with_capacity(MAX_BATCH);
        let timeout = Timespec {
            tv_sec: 0,
            tv_nsec: wait as _,
        };
        let buffer = rustix::buffer::spare_capacity(&mut events);
        match epoll::wait(&self.poll, buffer, Some(&timeout)) {
            Ok(_) | Err(rustix::io::Errno::INTR) => {}
            Err(e) => return Err(e.into()),
        }
        let indexes = events.iter().map(|event| event.data.u64() as usize);
        Ok(indexes.collect())
    }

    /// Reads the datagrams that one front has sent to another. Errors are ignored, because they come from an earlier delivery
    /// to a front that does not listen.
    fn read(&mut self, index: usize) {
        let mut buffer = [0u8; MAX_DATAGRAM];
        for _ in 0..MAX_BATCH {
            let Some(socket) = &self.sockets[index] else {
                return;
            };
            match socket.recv_from(&mut buffer) {
                Ok((length, sender)) => self.accept(index, &buffer[..length], sender),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => {}
            }
        }
    }

    /// Counts a datagram and schedules its arrivals, which are none if it is lost and two if it is duplicated.
    fn accept(&mut self, index: usize, bytes: &[u8], sender: SocketAddr) {
        let (from, to) = (index / self.size, index % self.size);
        let counts = &self.sent[from];
        counts.datagrams.fetch_add(1, Ordering::Relaxed);
        counts
            .bytes
            .fetch_add(bytes.len() as u64, Ordering::Relaxed);
        self.front_addresses[from] = Some(sender);
        let now = clock::now();
        let arrivals = self
            .conditions
            .arrivals(now, Link { from, to }, bytes.len(), &mut self.rng);
        for arrives_at in arrivals {
            self.datagram_count += 1;
            self.in_transit.push(Reverse(Datagram {
                arrives_at,
                number: self.datagram_count,
                from,
                to,
                bytes: bytes.to_vec(),
            }));
        }
    }

    fn deliver_due(&mut self) {
        let now = clock::now();
        while let Some(Reverse(next)) = self.in_transit.peek() {
            if next.arrives_at > now {
                return;
            }
            if let Some(Reverse(datagram)) = self.in_transit.pop() {
                self.deliver(&datagram);
            }
        }
    }

    fn deliver(&self, datagram: &Datagram) {
        let Datagram {
            from, to, bytes, ..
        } = datagram;
        let pair_socket = self.sockets.get(to * self.size + from);
        let socket = pair_socket.and_then(Option::as_ref);
        if let (Some(socket), Some(address)) = (socket, self.front_addresses[*to]) {
            let _ = socket.send_to(bytes, address); // A datagram that can't be sent at once is lost, as on any network.
        }
    }
}
