//! The network between the fronts' peers: a UDP socket in the middle for every ordered pair of fronts, with a model of the
//! network conditions that delays, loses or duplicates each datagram.
//!
//! A front's configuration names, for each other front, the socket that stands for it. What a front sends there is delivered
//! to the other from the socket that stands for the sender in the other's configuration. The proxy learns a front's own
//! address from what the front sends and reports.
//!
//! The proxy runs on a thread of its own, so that it adds to a datagram's delay only its wait in epoll and nothing of the
//! stand-ins' work.
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

/// Events and datagrams handled at once.
const BATCH: usize = 256;
/// Bytes of a datagram at most.
const MAX_DATAGRAM: usize = 2048;
/// Longest wait for a datagram, after which changes are applied; nanoseconds.
const MAX_WAIT: u64 = 5_000_000;
/// The fleet's key: any will do on loopback.
const KEY: &str = "c0ffee00c0ffee00c0ffee00c0ffee00";

/// Writes the key of a fleet; returns its path.
///
/// # Errors
/// The file can't be written.
pub fn write_key(dir: &Path) -> io::Result<PathBuf> {
    let path = dir.join("key");
    std::fs::write(&path, KEY)?;
    Ok(path)
}

type Change = Box<dyn FnOnce(&mut Proxy) + Send>;
type Changes = Mutex<Vec<Change>>;
/// The socket of each ordered pair of fronts, `None` for a front and itself.
type Sockets = Vec<Option<UdpSocket>>;

/// What a front sent so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentTotals {
    /// Datagrams.
    pub datagrams: u64,
    /// Their bytes.
    pub bytes: u64,
}

/// The counters behind [`SentTotals`].
#[derive(Default)]
struct SentCounts {
    datagrams: AtomicU64,
    bytes: AtomicU64,
}

/// A handle on the network between the fronts.
#[derive(Clone)]
pub struct PeerNetwork {
    size: usize,
    addresses: Vec<Option<SocketAddr>>,
    changes: Arc<Changes>,
    sent: Arc<Vec<SentCounts>>,
}

impl PeerNetwork {
    /// Opens all sockets; the network is without faults. It runs until all copies of this handle are dropped.
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
        let proxy = Proxy {
            size,
            sockets,
            poll,
            front_addresses: vec![None; size],
            conditions: NetworkConditions::good(DelayRange::NONE),
            rng: oorandom::Rand64::new(u128::from(seed)),
            in_transit: BinaryHeap::new(),
            datagram_count: 0,
            sent: sent.clone(),
        };
        let handle_changes = Arc::downgrade(&changes);
        std::thread::spawn(move || proxy.run(&handle_changes));
        Ok(PeerNetwork {
            size,
            addresses,
            changes,
            sent,
        })
    }

    /// The address at which a front's configuration has another front.
    #[must_use]
    pub fn address(&self, from: usize, to: usize) -> Option<SocketAddr> {
        self.addresses.get(from * self.size + to).copied().flatten()
    }

    /// The block of a front's configuration with which it knows the others by this network.
    #[must_use]
    pub fn peers_block(
        &self,
        front: usize,
        seeds: &[usize],
        key: &Path,
        probe_every: &str,
    ) -> String {
        let seed = |seed: &usize| {
            let address = self.address(front, *seed)?;
            Some(format!("  seed: \"{address}\"\n"))
        };
        let peer = |to: usize| {
            let address = self.address(front, to)?;
            Some(format!(
                "  way {{ name: \"front-{to}\" address: \"{address}\" }}\n"
            ))
        };
        let seeds: String = seeds.iter().filter_map(seed).collect();
        let peers: String = (0..self.size).filter_map(peer).collect();
        format!(
            "peers {{\n  name: \"front-{front}\"\n  listen: \"127.0.0.1:0\"\n  key_file: {key:?}\n  \
             probe_every: {probe_every:?}\n{seeds}{peers}}}\n"
        )
    }

    fn queue(&self, change: Change) {
        let mut changes = self.changes.lock().unwrap_or_else(PoisonError::into_inner);
        changes.push(change);
    }

    /// Changes the network conditions for datagrams that are read from now on; takes effect some milliseconds later.
    pub fn change(&self, change: impl FnOnce(&mut NetworkConditions) + Send + 'static) {
        self.queue(Box::new(|proxy| change(&mut proxy.conditions)));
    }

    /// Sets a front's own address, as the front reports it. Why: a front without seeds sends nothing by which it could be
    /// learned.
    pub fn set_front_address(&self, front: usize, address: SocketAddr) {
        self.queue(Box::new(move |proxy| {
            proxy.front_addresses[front] = Some(address);
        }));
    }

    /// What a front sent so far.
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

/// A datagram on its way. Ordered by arrival, then by the order of reading.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Datagram {
    arrives_at: Time,
    number: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

struct Proxy {
    size: usize,
    sockets: Sockets,
    poll: OwnedFd,
    /// The fronts' own addresses, as far as known.
    front_addresses: Vec<Option<SocketAddr>>,
    conditions: NetworkConditions,
    rng: oorandom::Rand64,
    in_transit: BinaryHeap<Reverse<Datagram>>,
    datagram_count: u64,
    sent: Arc<Vec<SentCounts>>,
}

impl Proxy {
    /// Runs until no handle is left.
    fn run(mut self, changes: &Weak<Changes>) {
        while let Some(changes) = changes.upgrade() {
            let queued =
                std::mem::take(&mut *changes.lock().unwrap_or_else(PoisonError::into_inner));
            for change in queued {
                change(&mut self);
            }
            if let Err(e) = self.step() {
                // Without the network no front receives another, and the claims of the case fail.
                return eprintln!("the net between fronts has ended: {e}");
            }
        }
    }

    /// Waits until a datagram can be read or delivered, for [`MAX_WAIT`] at most, and handles it.
    fn step(&mut self) -> io::Result<()> {
        let next = self.in_transit.peek();
        let due = next.map_or(Time::MAX, |Reverse(datagram)| datagram.arrives_at);
        let wait = nanoseconds(due.duration_since(clock::now())).min(MAX_WAIT);
        for index in self.wait_for_events(wait)? {
            self.read(index);
        }
        self.deliver_due();
        Ok(())
    }

    /// Waits for so many nanoseconds at most; the indexes of the sockets that can be read.
    fn wait_for_events(&self, wait: u64) -> io::Result<Vec<usize>> {
        let mut events = Vec::with_capacity(BATCH);
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

    /// Reads what has been sent from one front to another. An error is that of an earlier delivery, to a front that does not
    /// listen, and is ignored.
    fn read(&mut self, index: usize) {
        let mut buffer = [0u8; MAX_DATAGRAM];
        for _ in 0..BATCH {
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

    /// Counts a datagram and schedules its arrivals: none where it is lost, two where it is duplicated.
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
