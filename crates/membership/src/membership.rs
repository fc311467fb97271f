//! The state machine of one member: its state, its timers, and the methods that read its state.
//!
//! The submodules implement the parts of the protocol as further methods of [`Membership`].
mod anti_entropy;
mod config;
mod counters;
mod dissemination;
mod entries;
mod gossip_queue;
mod indirect_probe;
mod member_table;
mod member_updates;
mod output;
mod own_identity;
mod probe;
mod receive;
mod rejoin;
mod send_budget;
#[cfg(test)]
mod tests;

pub use config::MembershipConfig;
pub use counters::Counters;
pub use output::{MemberChange, MemberSnapshot, MembershipOutput};

use crate::gossip_state::GossipState;
use crate::local_health::{LocalHealth, LocalHealthMonitor};
use crate::member_state::{MemberState, MemberVersion};
use crankpaddle_time::{nanoseconds, Time};
use gossip_queue::GossipQueue;
use indirect_probe::IndirectProbe;
use member_table::MemberTable;
use own_identity::NameConflicts;
use probe::Probe;
use send_budget::SendBudget;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The first digest is sent at a random time within this duration of the start.
const MAX_FIRST_SYNC_DELAY: Duration = Duration::from_secs(2);
/// The number of gossip rounds that announce a leave.
const LEAVE_GOSSIP_ROUNDS: usize = 3;
/// The number of probe intervals after a stall during which this member's health is degraded.
const DEGRADED_INTERVALS_AFTER_STALL: u32 = 3;
/// The number of probe intervals after a stall in which suspects may still refute before they are declared dead.
const GRACE_INTERVALS_AFTER_STALL: u32 = 2;

/// Whether this member still takes part in the protocol.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Participation {
    /// It sends and receives datagrams.
    Active,
    /// Another process took over its name.
    Replaced,
    /// It announced that it leaves.
    Left,
}

/// The state machine of one member.
///
/// All points in time that are passed to it must come from one monotonic clock. A clone continues independently from the same
/// state.
#[derive(Clone)]
pub struct Membership {
    config: MembershipConfig,
    started_at: Time,
    participation: Participation,
    own_version: MemberVersion,
    name_conflicts: NameConflicts,
    members: MemberTable,
    gossip_state: GossipState,
    own_entry_keys: BTreeSet<u8>,
    gossip_queue: GossipQueue,
    probe_round: Vec<String>, // The members still to be probed in this round, the next one last.
    probe: Option<Probe>,
    indirect_probes: BTreeMap<u32, IndirectProbe>, // By the sequence number of the ping to the target.
    local_health_monitor: LocalHealthMonitor,
    local_health: LocalHealth,
    last_sequence: u32,
    digest_cursor: usize, // Where the last digest began, modulo the number of members or entries.
    next_probe_at: Time,
    next_gossip_at: Time,
    next_sync_at: Time,
    next_rejoin_at: Time,
    send_budget: SendBudget,
    counters: Counters,
    rng: oorandom::Rand32,
}

impl Membership {
    /// A member that does not know any other one yet. `seed` initializes its random number generator.
    #[must_use]
    pub fn new(config: MembershipConfig, seed: u64, now: Time) -> Membership {
        let mut rng = oorandom::Rand32::new(seed);
        let digest_cursor = rng.rand_u32() as usize;
        // The delay is random so that members which start at the same time do not probe at the same time.
        let next_probe_at = now + random_duration_below(&mut rng, config.probe_interval);
        let next_sync_at = now + random_duration_below(&mut rng, MAX_FIRST_SYNC_DELAY);
        Membership {
            started_at: now,
            participation: Participation::Active,
            own_version: MemberVersion {
                epoch: config.epoch,
                incarnation: config.incarnation,
                refutations: 0,
                state: MemberState::Alive,
            },
            name_conflicts: NameConflicts::new(now),
            members: MemberTable::default(),
            gossip_state: GossipState::default(),
            own_entry_keys: BTreeSet::new(),
            gossip_queue: GossipQueue::default(),
            probe_round: Vec::new(),
            probe: None,
            indirect_probes: BTreeMap::new(),
            local_health_monitor: LocalHealthMonitor::default(),
            local_health: LocalHealth::Alone,
            last_sequence: 0,
            digest_cursor,
            next_probe_at,
            next_gossip_at: Time::MAX,
            next_sync_at,
            next_rejoin_at: now,
            send_budget: SendBudget::new(config.datagrams_per_second, config.bytes_per_second, now),
            counters: Counters::default(),
            config,
            rng,
        }
    }

    /// When [`Membership::expire`] must be called next; [`Time::MAX`] if it need not be called any more, since the member has
    /// left or was replaced.
    #[must_use]
    pub fn next_expiry(&self) -> Time {
        if !self.is_participating() {
            return Time::MAX;
        }
        let probe = self
            .probe
            .as_ref()
            .map_or(self.next_probe_at, Probe::next_expiry);
        let indirect_probes = self
            .indirect_probes
            .values()
            .map(IndirectProbe::next_expiry);
        [
            probe,
            self.next_gossip_at,
            self.next_sync_at,
            self.next_rejoin_at,
        ]
        .into_iter()
        .chain(self.members.suspicion_deadlines())
        .chain(indirect_probes)
        .fold(Time::MAX, Time::min)
    }

    /// Runs all timers that are due at `now`.
    pub fn expire(&mut self, now: Time, out: &mut Vec<MembershipOutput>) {
        if !self.is_participating() {
            return;
        }
        self.detect_stall(now);
        self.run_probe(now, out);
        self.expire_indirect_probes(now, out);
        self.expire_suspicions(now, out);
        if now >= self.next_gossip_at {
            self.gossip(now, out);
        }
        if now >= self.next_sync_at {
            self.sync(now, out);
        }
        if now >= self.next_rejoin_at {
            self.rejoin(now, out);
        }
        self.update_local_health(now, out);
    }

    /// Announces that this member leaves. It sends no datagrams after that.
    pub fn leave(&mut self, now: Time, out: &mut Vec<MembershipOutput>) {
        self.own_version.state = MemberState::Left;
        self.enqueue_own_version(now);
        for _ in 0..LEAVE_GOSSIP_ROUNDS {
            self.gossip(now, out);
        }
        self.participation = Participation::Left;
    }

    /// All other members that are known, by name.
    #[must_use]
    pub fn members(&self) -> Vec<MemberSnapshot> {
        self.members
            .iter()
            .map(|(name, record)| record.to_member(name))
            .collect()
    }

    /// The state of another member; `None` if the member is not known.
    #[must_use]
    pub fn state_of(&self, name: &str) -> Option<MemberState> {
        self.members.state(name)
    }

    /// The number of other members that may be running: all known members except those that left. A member that was declared
    /// dead may only be unreachable, so it counts until it is removed.
    #[must_use]
    pub fn estimated_fleet_size(&self) -> u32 {
        (self.members.active() + self.members.dead()) as u32
    }

    /// The name of this member, as configured.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.config.name
    }

    /// The address that this member announces.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.config.address
    }

    /// This member's own health, as last reported by [`MembershipOutput::LocalHealthChanged`]; at first [`LocalHealth::Alone`].
    #[must_use]
    pub fn local_health(&self) -> LocalHealth {
        self.local_health
    }

    /// This member's own version, which it sends with every datagram.
    #[must_use]
    pub fn own_version(&self) -> MemberVersion {
        self.own_version
    }

    /// The counters since this member started.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    fn is_participating(&self) -> bool {
        self.participation == Participation::Active
    }

    /// Detects that this process was stalled, that is, a timer is late by more than half a probe interval, and compensates for
    /// it.
    ///
    /// After a process was stopped or got no processor time, all of its timers are due at once. Without this check it would
    /// declare members dead although it had no chance to receive their answers.
    fn detect_stall(&mut self, now: Time) {
        let due = self.next_expiry();
        let interval = self.config.probe_interval;
        if now <= due + interval / 2 {
            return;
        }
        let late_by = now.duration_since(due);
        self.local_health_monitor
            .record_stall(now + DEGRADED_INTERVALS_AFTER_STALL * interval);
        self.probe = None;
        self.next_probe_at = now;
        self.indirect_probes.clear();
        let postponement = late_by + GRACE_INTERVALS_AFTER_STALL * interval;
        for suspicion in self.members.suspicions_mut() {
            suspicion.postpone(postponement);
        }
    }

    /// Reports this member's health if it changed.
    fn update_local_health(&mut self, now: Time, out: &mut Vec<MembershipOutput>) {
        let health = self.assess_local_health(now);
        if health != self.local_health {
            self.local_health = health;
            out.push(MembershipOutput::LocalHealthChanged(health));
        }
    }

    fn assess_local_health(&self, now: Time) -> LocalHealth {
        if self.participation == Participation::Replaced {
            return LocalHealth::Replaced;
        }
        let health = self.local_health_monitor.assess(now, self.members.active());
        match health {
            LocalHealth::Alone if self.members.dead() > 0 => LocalHealth::Isolated,
            health => health,
        }
    }

    fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }

    /// Chooses up to `limit` active members at random, never the one named `excluded`.
    fn choose_members(&mut self, limit: usize, excluded: &str) -> Vec<String> {
        let mut names: Vec<&String> = self
            .members
            .iter()
            .filter(|(name, record)| record.version.state.is_active() && *name != excluded)
            .map(|(name, _)| name)
            .collect();
        // A partial Fisher-Yates shuffle: only the first `limit` positions are needed.
        for position in 0..limit.min(names.len()) {
            let remaining = (names.len() - position) as u32;
            let drawn = position + self.rng.rand_range(0..remaining) as usize;
            names.swap(position, drawn);
        }
        names.into_iter().take(limit).cloned().collect()
    }
}

/// A random duration between zero and `limit`.
fn random_duration_below(rng: &mut oorandom::Rand32, limit: Duration) -> Duration {
    let random_nanoseconds = f64::from(rng.rand_float()) * nanoseconds(limit) as f64;
    Duration::from_nanos(random_nanoseconds as u64)
}
