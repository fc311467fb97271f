//! Members, probes and suspicion: what is heard and when, and what goes out for it.
mod dissemination;
mod probe;
mod receive;

use crate::token_bucket::Budget;
use crate::gossip_state::{Board, Entry, MOST_VALUE};
use crate::local_health::{Health, LocalHealth};
use crate::member_state::{MemberState, MemberVersion};
use crate::suspicion::Suspicion;
use crate::wire::{Fault, MOST};
use dissemination::Item;
use probe::{Help, Probe};
use std::collections::{BTreeMap, BTreeSet};

const MILLISECOND: u64 = 1_000_000;
const SECOND: u64 = 1000 * MILLISECOND;
/// For so long after a start another process under our name is taken for a former life of ours.
const SETTLED: u64 = 10 * SECOND;
/// Conflicts over our name after which the other process has it ...
const CONFLICTS: u32 = 2;
/// ... within this time.
const CONTESTED: u64 = 60 * SECOND;
/// Members gone for longer than this are forgotten.
const FORGET: u64 = 600 * SECOND;

/// How a front takes part.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where others reach it, as it says.
    pub address: String,
    /// Its host's wall clock at its start, milliseconds.
    pub epoch: u64,
    /// Drawn at its start.
    pub incarnation: u64,
    /// Keyed checksum: a fleet's own, so that no other fleet mixes in.
    pub key: [u8; 16],
    /// Where others may be found at first.
    pub seeds: Vec<String>,
    /// Time between two probes, nanoseconds.
    pub probe_interval: u64,
    /// Time for a direct answer.
    pub probe_timeout: u64,
    /// Members asked to probe for us.
    pub indirect_probes: usize,
    /// Budget, a second: datagrams and bytes.
    pub datagrams: f64,
    /// See `datagrams`.
    pub bytes: f64,
}

impl Default for MembershipConfig {
    fn default() -> MembershipConfig {
        MembershipConfig {
            name: String::new(),
            address: String::new(),
            epoch: 0,
            incarnation: 0,
            key: [0; 16],
            seeds: Vec::new(),
            probe_interval: SECOND,
            probe_timeout: 400 * MILLISECOND,
            indirect_probes: 3,
            datagrams: 60.0,
            bytes: 30_000.0,
        }
    }
}

/// A member that came to be taken for something else.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberChange {
    /// Its name.
    pub name: String,
    /// What it is taken for now.
    pub state: MemberState,
    /// Who said so: a member's name, our own where we found it ourselves.
    pub by: String,
    /// Whether it is another life of it than before.
    pub restarted: bool,
}

/// What is to be done, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// To whom; empty where that is not known yet.
        name: String,
        /// Where it says that it is reached.
        address: String,
        /// What.
        bytes: Vec<u8>,
    },
    /// A member changed.
    MemberChanged(MemberChange),
    /// Our own standing changed.
    LocalHealthChanged(LocalHealth),
}

/// A member as operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Where it is reached, as it says.
    pub address: String,
    /// What it is taken for.
    pub state: MemberState,
    /// Since when, our clock.
    pub since: u64,
    /// Who said so.
    pub by: String,
    /// Its last answer to a probe took so long.
    pub rtt: Option<u64>,
}

/// What was dropped, sent and found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams and bytes sent.
    pub sent: (u64, u64),
    /// Datagrams heard.
    pub heard: u64,
    /// Dropped: unreadable.
    pub garbage: u64,
    /// Dropped: of another version.
    pub versions: u64,
    /// Dropped: another fleet's, or damaged.
    pub checksums: u64,
    /// Dropped: meant for another member.
    pub strays: u64,
    /// Dropped: of an earlier life of their sender.
    pub old_lives: u64,
    /// Not answered: a sender of too many.
    pub floods: u64,
    /// Not sent: the budget was used.
    pub held_back: u64,
    /// Entries or news of ours that were none, set right.
    pub forged: u64,
    /// Other processes under our name met.
    pub conflicts: u64,
    /// Members that we took for gone.
    pub accused: u64,
}

impl Counters {
    /// All that was heard and dropped.
    pub fn dropped(&self) -> u64 {
        self.garbage + self.versions + self.checksums + self.strays + self.old_lives
    }

    /// Each but datagrams sent and heard, with the name that operators know it by.
    pub fn named(&self) -> [(&'static str, u64); 11] {
        [
            ("bytes_sent", self.sent.1),
            ("dropped_garbage", self.garbage),
            ("dropped_other_version", self.versions),
            ("dropped_other_fleet", self.checksums),
            ("dropped_stray", self.strays),
            ("dropped_old_life", self.old_lives),
            ("not_answered_flood", self.floods),
            ("not_sent_budget", self.held_back),
            ("forged", self.forged),
            ("name_conflicts", self.conflicts),
            ("accused", self.accused),
        ]
    }
}

#[derive(Clone)]
pub(crate) struct Known {
    at: MemberVersion,
    address: String,
    since: u64,
    by: String,
    rtt: Option<u64>,
    suspicion: Option<Suspicion>,
    answers: Budget, // For what it asks.
}

/// The state machine; a copy goes on from where it is. Times are nanoseconds of a monotonic clock.
#[derive(Clone)]
pub struct Membership {
    settings: MembershipConfig,
    me: MemberVersion,
    started: u64,
    others: BTreeMap<String, Known>,
    // Kept beside `others`, so that no datagram costs a look at all of them.
    suspects: BTreeSet<String>,
    alive: usize, // Alive and suspect.
    gone: usize,
    board: Board,
    own_entries: BTreeSet<u8>,
    pending: BTreeSet<(u32, Item)>,
    told: BTreeMap<Item, u32>,
    ring: Vec<String>,
    probe: Option<Probe>,
    helping: BTreeMap<u32, Help>,
    health: Health,
    standing: LocalHealth,
    conflicts: (u32, u64),
    replaced: bool,
    left: bool,
    seq: u32,
    digest: usize,
    probe_at: u64,
    gossip_at: u64,
    sync_at: u64,
    rejoin_at: u64,
    budget: (Budget, Budget),
    counters: Counters,
    rng: oorandom::Rand32,
}

impl Membership {
    /// A member that knows nobody yet. `seed` feeds its choices of whom to ask.
    pub fn new(settings: MembershipConfig, seed: u64, now: u64) -> Membership {
        let me = MemberVersion {
            epoch: settings.epoch,
            incarnation: settings.incarnation,
            refutations: 0,
            state: MemberState::Alive,
        };
        let mut rng = oorandom::Rand32::new(seed);
        // Fronts that start together do not ask together.
        let within = |rng: &mut oorandom::Rand32, time: u64| {
            now + (f64::from(rng.rand_float()) * time as f64) as u64
        };
        Membership {
            me,
            started: now,
            others: BTreeMap::new(),
            suspects: BTreeSet::new(),
            alive: 0,
            gone: 0,
            board: Board::default(),
            own_entries: BTreeSet::new(),
            pending: BTreeSet::new(),
            told: BTreeMap::new(),
            ring: Vec::new(),
            probe: None,
            helping: BTreeMap::new(),
            health: Health::default(),
            standing: LocalHealth::Alone,
            conflicts: (0, now),
            replaced: false,
            left: false,
            seq: 0,
            digest: rng.rand_u32() as usize,
            probe_at: within(&mut rng, settings.probe_interval),
            gossip_at: u64::MAX,
            sync_at: within(&mut rng, 2 * SECOND),
            rejoin_at: now,
            budget: (
                Budget::new(settings.datagrams, now),
                Budget::new(settings.bytes, now),
            ),
            counters: Counters::default(),
            settings,
            rng,
        }
    }

    /// When [`Membership::expire`] must be called next.
    pub fn next_expiry(&self) -> u64 {
        if self.replaced || self.left {
            return u64::MAX;
        }
        let probe = self
            .probe
            .as_ref()
            .map_or(self.probe_at, probe::Probe::next);
        let suspicion = |name| self.others.get(name).and_then(|k| k.suspicion.as_ref());
        let suspects = self
            .suspects
            .iter()
            .filter_map(|name| Some(suspicion(name)?.until()));
        let helping = self.helping.values().map(|h| h.until);
        [probe, self.gossip_at, self.sync_at, self.rejoin_at]
            .into_iter()
            .chain(suspects)
            .chain(helping)
            .fold(u64::MAX, u64::min)
    }

    /// Lets fall due what is due.
    pub fn expire(&mut self, now: u64, out: &mut Vec<Output>) {
        if self.replaced || self.left {
            return;
        }
        let due = self.next_expiry();
        // A timer late by half a round tells that we stood still.
        if now > due.saturating_add(self.settings.probe_interval / 2) {
            self.stood_still(now, now - due);
        }
        self.probes(now, out);
        self.helps(now, out);
        self.suspicions(now, out);
        if now >= self.gossip_at {
            self.gossip(now, out);
        }
        if now >= self.sync_at {
            self.sync(now, out);
        }
        if now >= self.rejoin_at {
            self.rejoin(now, out);
        }
        self.stand(now, out);
    }

    /// Danger: a process that stood still (a stop, a host without time) finds all its timers due: it would take for gone
    /// whoever had no chance to be heard. It finds itself late first.
    fn stood_still(&mut self, now: u64, by: u64) {
        self.health
            .stood_still(now.saturating_add(3 * self.settings.probe_interval));
        self.probe = None;
        self.probe_at = now;
        self.helping.clear();
        let again = 2 * self.settings.probe_interval;
        let suspicions = self
            .others
            .values_mut()
            .filter_map(|k| k.suspicion.as_mut());
        suspicions.for_each(|s| s.put_off(by.saturating_add(again)));
    }

    fn stand(&mut self, now: u64, out: &mut Vec<Output>) {
        let standing = match self.health.standing(now, self.alive) {
            _ if self.replaced => LocalHealth::Replaced,
            LocalHealth::Alone if self.gone > 0 => LocalHealth::Isolated,
            standing => standing,
        };
        if standing != self.standing {
            self.standing = standing;
            out.push(Output::LocalHealthChanged(standing));
        }
    }

    /// Says that we leave; nothing goes out after that.
    pub fn leave(&mut self, now: u64, out: &mut Vec<Output>) {
        self.me.state = MemberState::Left;
        self.push(Item::Member(self.settings.name.clone()), now);
        for _ in 0..3 {
            self.gossip(now, out);
        }
        self.left = true;
    }

    /// Writes an entry of ours.
    ///
    /// # Errors
    /// It is too long.
    pub fn write(&mut self, now: u64, key: u8, value: Vec<u8>) -> Result<(), usize> {
        if value.len() > MOST_VALUE || value.len() + 200 > MOST {
            return Err(MOST_VALUE);
        }
        let count = self
            .board
            .version(&self.settings.name, key)
            .map_or(0, |(_, _, count)| count);
        self.write_as(now, key, value, count.saturating_add(1));
        Ok(())
    }

    /// What a member has on the board, unless it has left.
    pub fn entry(&self, now: u64, owner: &str, key: u8) -> Option<Entry> {
        self.board.read(now, owner, key)
    }

    /// All others that are known, by name.
    pub fn members(&self) -> Vec<Member> {
        let member = |(name, k): (&String, &Known)| Member {
            name: name.clone(),
            address: k.address.clone(),
            state: k.at.state,
            since: k.since,
            by: k.by.clone(),
            rtt: k.rtt,
        };
        self.others.iter().map(member).collect()
    }

    /// What one is taken for.
    pub fn state_of(&self, name: &str) -> Option<MemberState> {
        self.others.get(name).map(|k| k.at.state)
    }

    /// Others that may still act: all that are known but those that said that they leave. One that is gone for us may be
    /// out of our reach only; it counts until it is forgotten.
    pub fn estimated_fleet_size(&self) -> u32 {
        (self.alive + self.gone) as u32
    }

    /// Our own name.
    pub fn name(&self) -> &str {
        &self.settings.name
    }

    /// Where we say that we are reached.
    pub fn address(&self) -> &str {
        &self.settings.address
    }

    /// Our own standing.
    pub fn local_health(&self) -> LocalHealth {
        self.standing
    }

    /// Our own standpoint.
    pub fn own_version(&self) -> MemberVersion {
        self.me
    }

    /// What was counted.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Garbage => self.counters.garbage += 1,
            Fault::Version => self.counters.versions += 1,
            Fault::Checksum => self.counters.checksums += 1,
        }
    }

    /// A member's state becomes another one; `None`: it is not known.
    fn counted(&mut self, before: Option<MemberState>, after: Option<MemberState>) {
        let alive =
            |s: Option<MemberState>| usize::from(s.is_some_and(|s| s <= MemberState::Suspect));
        let gone = |s: Option<MemberState>| usize::from(s == Some(MemberState::Gone));
        self.alive = self.alive + alive(after) - alive(before);
        self.gone = self.gone + gone(after) - gone(before);
    }

    /// Some members that may be asked, by chance, without one.
    fn some(&mut self, most: usize, but: &str) -> Vec<String> {
        let may =
            |(name, k): &(&String, &Known)| k.at.state <= MemberState::Suspect && *name != but;
        let mut names: Vec<&String> = self
            .others
            .iter()
            .filter(may)
            .map(|(name, _)| name)
            .collect();
        for i in 0..most.min(names.len()) {
            let j = i + self.rng.rand_range(0..(names.len() - i) as u32) as usize;
            names.swap(i, j);
        }
        names.into_iter().take(most).cloned().collect()
    }
}
