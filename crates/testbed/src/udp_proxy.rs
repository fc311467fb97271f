//! The net between fronts' peers: a UDP socket for every ordered pair, in the middle, where a [`NetworkConditions`] decides what becomes
//! of each datagram.
//!
//! A front's book names, for each other front, the socket that stands for it. What a front sends there goes to the other from the
//! socket that stands for the sender in the other's book. Where a front itself is reached is learned from what it sends and says.
//!
//! It runs on a thread of its own, so that what it adds to a datagram's time is its wait in epoll and nothing of the stand-ins'.
use crankpaddle_fault_simulation::{DelayRange, Link, NetworkConditions};
use crankpaddle_net::clock;
use rustix::event::epoll::{self, CreateFlags, EventData, EventFlags};
use rustix::event::Timespec;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// Events taken at once.
const BATCH: usize = 256;
/// Bytes of a datagram.
const LONGEST: usize = 2048;
/// Changes are looked for so often, nanoseconds.
const LOOK: u64 = 5_000_000;

/// The fleet's key, as good as any on loopback.
const KEY: &str = "c0ffee00c0ffee00c0ffee00c0ffee00";

/// Writes the key of a fleet; where it is.
///
/// # Errors
/// The file can't be written.
pub fn write_key(dir: &Path) -> io::Result<PathBuf> {
    let path = dir.join("key");
    std::fs::write(&path, KEY)?;
    Ok(path)
}

type Change = Box<dyn FnOnce(&mut Carrier) + Send>;
type Sockets = Vec<Option<UdpSocket>>;

/// The net between so many fronts.
#[derive(Clone)]
pub struct Mesh {
    size: usize,
    addresses: Vec<Option<SocketAddr>>,
    changes: Arc<Mutex<Vec<Change>>>,
    sent: Arc<Vec<(AtomicU64, AtomicU64)>>,
}

impl Mesh {
    /// Opens all sockets; the net is good. It goes on until all copies of this are dropped.
    ///
    /// # Errors
    /// A socket can't be opened.
    pub fn start(size: usize, seed: u64) -> io::Result<Mesh> {
        let mut sockets: Sockets = Vec::new();
        let poll = epoll::create(CreateFlags::CLOEXEC)?;
        for (from, to) in (0..size).flat_map(|a| (0..size).map(move |b| (a, b))) {
            let socket = (from != to)
                .then(|| UdpSocket::bind("127.0.0.1:0"))
                .transpose()?;
            if let Some(socket) = &socket {
                socket.set_nonblocking(true)?;
                epoll::add(
                    &poll,
                    socket,
                    EventData::new_u64(sockets.len() as u64),
                    EventFlags::IN,
                )?;
            }
            sockets.push(socket);
        }
        let address = |s: &Option<UdpSocket>| s.as_ref().map(UdpSocket::local_addr).transpose();
        let addresses = sockets.iter().map(address).collect::<io::Result<_>>()?;
        let sent: Arc<Vec<_>> = Arc::new((0..size).map(|_| Default::default()).collect());
        let changes: Arc<Mutex<Vec<Change>>> = Arc::default();
        let mut carrier = Carrier {
            size,
            sockets,
            poll,
            homes: vec![None; size],
            conditions: NetworkConditions::good(DelayRange { min: 0, max: 0 }),
            rng: oorandom::Rand64::new(u128::from(seed)),
            under_way: BinaryHeap::new(),
            count: 0,
            sent: sent.clone(),
        };
        let wanted = Arc::downgrade(&changes);
        std::thread::spawn(move || {
            while let Some(changes) = wanted.upgrade() {
                let changes =
                    std::mem::take(&mut *changes.lock().unwrap_or_else(PoisonError::into_inner));
                changes.into_iter().for_each(|change| change(&mut carrier));
                if let Err(e) = carrier.step() {
                    // The fronts find that nobody hears them, and the claims fail.
                    return eprintln!("the net between fronts has ended: {e}");
                }
            }
        });
        Ok(Mesh {
            size,
            addresses,
            changes,
            sent,
        })
    }

    /// Where one finds another, in its book.
    pub fn way(&self, from: usize, to: usize) -> Option<SocketAddr> {
        self.addresses.get(from * self.size + to).copied().flatten()
    }

    /// The block of a front's configuration with which it knows the others by this net.
    pub fn block(&self, front: usize, seeds: &[usize], key: &Path, probe_every: &str) -> String {
        let seeds = seeds
            .iter()
            .filter_map(|seed| self.way(front, *seed))
            .map(|at| format!("  seed: \"{at}\"\n"));
        let way = |to: usize| {
            Some(format!(
                "  way {{ name: \"front-{to}\" address: \"{}\" }}\n",
                self.way(front, to)?
            ))
        };
        let (seeds, ways): (String, String) =
            (seeds.collect(), (0..self.size).filter_map(way).collect());
        format!(
            "peers {{\n  name: \"front-{front}\"\n  listen: \"127.0.0.1:0\"\n  key_file: {key:?}\n  \
             probe_every: {probe_every:?}\n{seeds}{ways}}}\n"
        )
    }

    fn notify(&self, change: Change) {
        self.changes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(change);
    }

    /// Changes what becomes of datagrams that are read from now on, some milliseconds late.
    pub fn change(&self, change: impl FnOnce(&mut NetworkConditions) + Send + 'static) {
        self.notify(Box::new(|carrier| change(&mut carrier.conditions)));
    }

    /// A front is reached here, as it says itself: one that waits to be found sends nothing at first.
    pub fn home(&self, front: usize, home: SocketAddr) {
        self.notify(Box::new(move |carrier| carrier.homes[front] = Some(home)));
    }

    /// Datagrams and bytes that a front sent.
    pub fn sent(&self, front: usize) -> (u64, u64) {
        self.sent.get(front).map_or((0, 0), |(n, bytes)| {
            (n.load(Ordering::Relaxed), bytes.load(Ordering::Relaxed))
        })
    }
}

/// From, to, what.
type Datagram = (usize, usize, Vec<u8>);

struct Carrier {
    size: usize,
    sockets: Sockets,
    poll: OwnedFd,
    homes: Vec<Option<SocketAddr>>,
    conditions: NetworkConditions,
    rng: oorandom::Rand64,
    under_way: BinaryHeap<Reverse<(u64, u64, Datagram)>>,
    count: u64,
    sent: Arc<Vec<(AtomicU64, AtomicU64)>>,
}

impl Carrier {
    /// Waits until something is there or due, for [`LOOK`] at most, and carries it on.
    fn step(&mut self) -> io::Result<()> {
        let due = self
            .under_way
            .peek()
            .map_or(u64::MAX, |Reverse((at, ..))| *at);
        let wait = due.saturating_sub(clock::now()).min(LOOK);
        let mut events = Vec::with_capacity(BATCH);
        let timeout = Timespec {
            tv_sec: 0,
            tv_nsec: wait as _,
        };
        match epoll::wait(
            &self.poll,
            rustix::buffer::spare_capacity(&mut events),
            Some(&timeout),
        ) {
            Ok(_) | Err(rustix::io::Errno::INTR) => {}
            Err(e) => return Err(e.into()),
        }
        for event in events {
            self.read(event.data.u64() as usize);
        }
        let now = clock::now();
        while self
            .under_way
            .peek()
            .is_some_and(|Reverse((at, ..))| *at <= now)
        {
            let Some(Reverse((_, _, (from, to, bytes)))) = self.under_way.pop() else {
                break;
            };
            self.deliver(from, to, &bytes);
        }
        Ok(())
    }

    /// Takes all that was sent on a way. That nobody listens where something was delivered says nothing of it.
    fn read(&mut self, way: usize) {
        let (from, to, mut bytes) = (way / self.size, way % self.size, [0u8; LONGEST]);
        let Some(socket) = &self.sockets[way] else {
            return;
        };
        for _ in 0..BATCH {
            match socket.recv_from(&mut bytes) {
                Ok((n, home)) => {
                    self.sent[from].0.fetch_add(1, Ordering::Relaxed);
                    self.sent[from].1.fetch_add(n as u64, Ordering::Relaxed);
                    self.homes[from] = Some(home);
                    for at in
                        self.conditions
                            .arrivals(clock::now(), Link { from, to }, n, &mut self.rng)
                    {
                        self.count += 1;
                        self.under_way.push(Reverse((
                            at,
                            self.count,
                            (from, to, bytes[..n].to_vec()),
                        )));
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => {} // Of an earlier delivery.
            }
        }
    }

    fn deliver(&self, from: usize, to: usize, bytes: &[u8]) {
        let restored = self
            .sockets
            .get(to * self.size + from)
            .and_then(Option::as_ref);
        if let (Some(socket), Some(home)) = (restored, self.homes[to]) {
            let _ = socket.send_to(bytes, home); // What can't go out at once is lost, as on any net.
        }
    }
}
