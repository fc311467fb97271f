//! The other fronts, over UDP: one coroutine reads, one owns the state machine and sends.
//!
//! The hub knows nothing of it: no set-up waits behind a peer's datagram. Where a datagram can't be sent at once it is dropped;
//! the state machine bears loss.
use crate::errors::StartError;
use crate::secret;
use crankpaddle_api::describe::{Members, OwnStanding, Peer, PeerState, PeerTurn};
use crankpaddle_config::Peers as Wanted;
use crankpaddle_membership::{
    LocalHealth, MemberChange, MemberState, Membership, MembershipConfig, Output,
};
use crankpaddle_net::{clock, drain_queue, recv_until, spawn, Stack};
use may::net::UdpSocket;
use may::sync::mpsc::{channel, Receiver, Sender};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Datagrams taken before timers are looked at.
const BATCH: usize = 64;
/// A socket that can't be read is tried again after this time.
const PAUSE: Duration = Duration::from_millis(20);
/// Bytes of a datagram that are read; one that is longer is none of ours.
const LONGEST: usize = 2048;
/// Changes that are told of later.
const TURNS: usize = 256;
/// At the end the last words get so long.
const LAST_WORDS: Duration = Duration::from_millis(500);

enum Word {
    Heard(SocketAddr, Vec<u8>),
    Leave(std::sync::mpsc::Sender<()>),
    Tell(Sender<Members>),
}

/// The way to the coroutine that owns the members.
#[derive(Clone)]
pub(crate) struct Link(Sender<Word>);

impl Link {
    /// What is known of the others; `None` if it is not told in time. Call in a coroutine.
    pub(crate) fn members(&self, until: u64) -> Option<Members> {
        let (tell, told) = channel();
        self.0.send(Word::Tell(tell)).ok()?;
        recv_until(&told, until).ok()
    }

    /// Says to the others that this front leaves. Call on a thread, not in a coroutine.
    pub(crate) fn leave(&self) {
        let (done, left) = std::sync::mpsc::channel();
        if self.0.send(Word::Leave(done)).is_ok() {
            let _ = left.recv_timeout(LAST_WORDS); // They find out by themselves, later.
        }
    }
}

/// A front's part in the fleet, before it runs.
pub(crate) struct Opened {
    settings: MembershipConfig,
    socket: Arc<UdpSocket>,
    ways: HashMap<String, SocketAddr>,
    tell: Sender<Word>,
    inbox: Receiver<Word>,
}

/// Opens all that is needed to take part in the fleet.
///
/// # Errors
/// The key can't be read, or the address can't be listened on.
pub(crate) fn open(wanted: &Wanted) -> Result<(Opened, Link), StartError> {
    let key = secret::key(&wanted.key_file)?;
    let named = |source| StartError::Listen {
        address: wanted.listen,
        source,
    };
    let socket = Arc::new(UdpSocket::bind(wanted.listen).map_err(named)?);
    let own = wanted
        .address
        .unwrap_or(socket.local_addr().map_err(named)?);
    let epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    let settings = MembershipConfig {
        name: wanted.name.clone(),
        address: own.to_string(),
        epoch: epoch.as_millis() as u64,
        incarnation: rand::random(),
        key,
        seeds: wanted.seeds.iter().map(SocketAddr::to_string).collect(),
        probe_interval: wanted.probe_every,
        probe_timeout: wanted.probe_every * 2 / 5,
        datagrams: f64::from(wanted.datagrams),
        bytes: wanted.bytes as f64,
        ..MembershipConfig::default()
    };
    tracing::info!(name = wanted.name, address = %own, seeds = ?settings.seeds, "peers");
    let (tell, inbox) = channel();
    let link = Link(tell.clone());
    Ok((
        Opened {
            settings,
            socket,
            ways: wanted.ways.clone(),
            tell,
            inbox,
        },
        link,
    ))
}

impl Opened {
    /// Takes part. `known` is told how many fronts are known, this one with them, whenever that changes.
    pub(crate) fn run(self, known: impl Fn(u32) + Send + 'static) {
        let Opened {
            settings,
            socket,
            ways,
            tell,
            inbox,
        } = self;
        let reads = socket.clone();
        spawn(Stack::Usual, move || read(&reads, &tell));
        let peers = Membership::new(settings, rand::random(), clock::now());
        let (out, turns, known) = (Vec::new(), VecDeque::new(), Box::new(known));
        let rim = Rim {
            peers,
            socket,
            ways,
            out,
            turns,
            turned: 0,
            known,
            counted: 0,
        };
        spawn(Stack::Large, move || rim.run(&inbox));
    }
}

fn read(socket: &UdpSocket, heard: &Sender<Word>) {
    let mut bytes = [0u8; LONGEST];
    loop {
        match socket.recv_from(&mut bytes) {
            Ok((n, from)) => {
                if heard.send(Word::Heard(from, bytes[..n].to_vec())).is_err() {
                    return;
                }
            }
            // A peer that is not there may be told of here; that says nothing of the socket.
            Err(_) => crankpaddle_net::sleep(PAUSE),
        }
    }
}

struct Rim {
    peers: Membership,
    socket: Arc<UdpSocket>,
    ways: HashMap<String, SocketAddr>,
    out: Vec<Output>,
    turns: VecDeque<(u64, MemberChange)>,
    turned: u64,
    known: Box<dyn Fn(u32) + Send>,
    counted: u32,
}

/// A state as it is told.
fn told(state: MemberState) -> PeerState {
    match state {
        MemberState::Alive => PeerState::Alive,
        MemberState::Suspect => PeerState::Suspect,
        MemberState::Dead => PeerState::Gone,
        MemberState::Left => PeerState::Left,
    }
}

impl Rim {
    fn run(mut self, inbox: &Receiver<Word>) {
        loop {
            let (now, due) = (clock::now(), self.peers.next_expiry());
            if due > now {
                match recv_until(inbox, due) {
                    Ok(word) => {
                        if self.word(word) {
                            return;
                        }
                    }
                    Err(std::sync::mpsc::RecvTimeoutError::Timeout) => {}
                    Err(std::sync::mpsc::RecvTimeoutError::Disconnected) => return,
                }
            }
            let mut words = Vec::new();
            drain_queue(inbox, BATCH, |word| words.push(word));
            if words.into_iter().any(|word| self.word(word)) {
                return;
            }
            self.peers.expire(clock::now(), &mut self.out);
            self.carry_out();
        }
    }

    /// True if all is over.
    fn word(&mut self, word: Word) -> bool {
        match word {
            Word::Heard(from, bytes) => {
                self.peers
                    .receive(clock::now(), &from.to_string(), &bytes, &mut self.out);
                self.carry_out();
                false
            }
            Word::Tell(tell) => {
                let _ = tell.send(self.members()); // Who asked may be gone.
                false
            }
            Word::Leave(done) => {
                self.peers.leave(clock::now(), &mut self.out);
                self.carry_out();
                let _ = done.send(()); // Whoever asked may not wait any more.
                true
            }
        }
    }

    fn members(&self) -> Members {
        let (now, counters) = (clock::now(), self.peers.counters());
        let peer = |m: crankpaddle_membership::Member| Peer {
            name: m.name,
            address: m.address,
            state: told(m.state),
            since_ms: now.saturating_sub(m.since) / 1_000_000,
            by: m.by,
            rtt_us: m.rtt.map(|rtt| rtt / 1000),
        };
        let first = self.turned + 1 - self.turns.len() as u64;
        let turn = |((at, c), number): (&(u64, MemberChange), u64)| PeerTurn {
            number,
            ago_ms: now.saturating_sub(*at) / 1_000_000,
            name: c.name.clone(),
            state: told(c.state),
            by: c.by.clone(),
            restarted: c.restarted,
        };
        Members {
            name: self.peers.name().to_owned(),
            address: self.peers.address().to_owned(),
            standing: match self.peers.local_health() {
                LocalHealth::Alone => OwnStanding::Alone,
                LocalHealth::Connected => OwnStanding::Connected,
                LocalHealth::Degraded => OwnStanding::Doubtful,
                LocalHealth::Isolated => OwnStanding::CutOff,
                LocalHealth::Replaced => OwnStanding::Replaced,
            },
            members: self.peers.members().into_iter().map(peer).collect(),
            sent: counters.datagrams_sent,
            heard: counters.datagrams_received,
            dropped: counters.dropped(),
            counted: counters
                .named()
                .into_iter()
                .map(|(name, n)| (name.to_owned(), n))
                .collect(),
            turns: self.turns.iter().zip(first..).map(turn).collect(),
        }
    }

    fn carry_out(&mut self) {
        for output in self.out.drain(..) {
            match output {
                Output::Send {
                    name,
                    address,
                    bytes,
                } => {
                    // The front's own book goes before what the other says of itself.
                    let way = self
                        .ways
                        .get(&name)
                        .copied()
                        .or_else(|| address.parse().ok());
                    if let Some(way) = way {
                        // What can't go out at once is lost, as on any net.
                        let _ = self.socket.inner().send_to(&bytes, way);
                    }
                }
                Output::MemberChanged(c) => {
                    match c.state {
                        MemberState::Alive | MemberState::Left => {
                            tracing::info!(member = c.name, state = ?c.state, by = c.by, restarted = c.restarted, "member");
                        }
                        MemberState::Suspect | MemberState::Dead => {
                            tracing::warn!(member = c.name, state = ?c.state, by = c.by, "member");
                        }
                    }
                    self.turned += 1;
                    if self.turns.len() == TURNS {
                        self.turns.pop_front();
                    }
                    self.turns.push_back((clock::now(), c));
                }
                Output::LocalHealthChanged(LocalHealth::Replaced) => {
                    tracing::error!(
                        "another process has this front's name among its peers; it is silent from now on"
                    );
                }
                Output::LocalHealthChanged(standing) => tracing::info!(?standing, "own standing"),
            }
        }
        let counted = self.peers.estimated_fleet_size() + 1;
        if counted != self.counted {
            self.counted = counted;
            (self.known)(counted);
        }
    }
}
