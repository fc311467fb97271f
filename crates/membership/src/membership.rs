//! The state machine of one member: its state, its timers, and what can be read of it.
//!
//! The protocol's parts are in the modules below, each with the methods of one job.
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
pub use output::{Member, MemberChange, Output};

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

/// The first digest is sent within this time of the start.
const FIRST_SYNC_WITHIN: Duration = Duration::from_secs(2);
/// Rounds of gossip that announce a leave.
const LEAVE_ROUNDS: usize = 3;
/// For this many probe intervals after a stall this member's health is degraded.
const DEGRADED_INTERVALS_AFTER_STALL: u32 = 3;
/// For this many probe intervals after a stall no member is declared dead.
const GRACE_INTERVALS_AFTER_STALL: u32 = 2;

/// Whether a member still sends and receives.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Participation {
    Active,
    /// Another process took over its name.
    Replaced,
    /// It left in order.
    Left,
}

/// The state machine of one member. A clone continues independently from the same state. All points in time that it is given
/// are of one monotonic clock.
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
    probe_round: Vec<String>, // Members yet to probe, the next one last.
    probe: Option<Probe>,
    indirect_probes: BTreeMap<u32, IndirectProbe>, // By the sequence number of the own ping.
    local_health_monitor: LocalHealthMonitor,
    local_health: LocalHealth,
    last_sequence: u32,
    digest_cursor: usize,
    probe_at: Time,
    gossip_at: Time,
    sync_at: Time,
    rejoin_at: Time,
    budget: SendBudget,
    counters: Counters,
    rng: oorandom::Rand32,
}

impl Membership {
    /// A member that knows no other one yet. `seed` feeds its random choices.
    #[must_use]
    pub fn new(config: MembershipConfig, seed: u64, now: Time) -> Membership {
        let mut rng = oorandom::Rand32::new(seed);
        let digest_cursor = rng.rand_u32() as usize;
        // Random, so that fronts that start together do not probe together.
        let probe_at = now + random_within(&mut rng, config.probe_interval);
        let sync_at = now + random_within(&mut rng, FIRST_SYNC_WITHIN);
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
            probe_at,
            gossip_at: Time::MAX,
            sync_at,
            rejoin_at: now,
            budget: SendBudget::new(config.datagrams_per_second, config.bytes_per_second, now),
            counters: Counters::default(),
            config,
            rng,
        }
    }

    /// When [`Membership::expire`] must be called next; [`Time::MAX`]: not any more.
    #[must_use]
    pub fn next_expiry(&self) -> Time {
        if !self.is_participating() {
            return Time::MAX;
        }
        let probe = self
            .probe
            .as_ref()
            .map_or(self.probe_at, Probe::next_expiry);
        let indirect_probes = self
            .indirect_probes
            .values()
            .map(IndirectProbe::next_expiry);
        [probe, self.gossip_at, self.sync_at, self.rejoin_at]
            .into_iter()
            .chain(self.members.suspicion_deadlines())
            .chain(indirect_probes)
            .fold(Time::MAX, Time::min)
    }

    /// Runs all timers that are due at `now`.
    pub fn expire(&mut self, now: Time, out: &mut Vec<Output>) {
        if !self.is_participating() {
            return;
        }
        self.detect_stall(now);
        self.run_probe(now, out);
        self.expire_indirect_probes(now, out);
        self.expire_suspicions(now, out);
        if now >= self.gossip_at {
            self.gossip(now, out);
        }
        if now >= self.sync_at {
            self.sync(now, out);
        }
        if now >= self.rejoin_at {
            self.rejoin(now, out);
        }
        self.update_local_health(now, out);
    }

    /// Announces that this member leaves; it sends nothing after that.
    pub fn leave(&mut self, now: Time, out: &mut Vec<Output>) {
        self.own_version.state = MemberState::Left;
        self.enqueue_own_version(now);
        for _ in 0..LEAVE_ROUNDS {
            self.gossip(now, out);
        }
        self.participation = Participation::Left;
    }

    /// All other members that are known, by name.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        self.members
            .iter()
            .map(|(name, record)| record.to_member(name))
            .collect()
    }

    /// Another member's state; `None` if it is not known.
    #[must_use]
    pub fn state_of(&self, name: &str) -> Option<MemberState> {
        self.members.state(name)
    }

    /// The number of other members that may be running: all known ones except those that left. A dead member may only be
    /// unreachable; it counts until it is removed.
    #[must_use]
    pub fn estimated_fleet_size(&self) -> u32 {
        (self.members.active() + self.members.dead()) as u32
    }

    /// This member's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.config.name
    }

    /// The address that this member announces.
    #[must_use]
    pub fn address(&self) -> &str {
        &self.config.address
    }

    /// This member's own health.
    #[must_use]
    pub fn local_health(&self) -> LocalHealth {
        self.local_health
    }

    /// This member's own version.
    #[must_use]
    pub fn own_version(&self) -> MemberVersion {
        self.own_version
    }

    /// Counters since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    fn is_participating(&self) -> bool {
        self.participation == Participation::Active
    }

    /// Detects that this process was stalled: a timer is late by more than half a probe interval.
    ///
    /// Why: after a process was stopped, or got no processor time, all its timers are due at once. It would declare members dead
    /// whose answers it had no chance to receive.
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
        self.probe_at = now;
        self.indirect_probes.clear();
        let postponement = late_by + GRACE_INTERVALS_AFTER_STALL * interval;
        for suspicion in self.members.suspicions_mut() {
            suspicion.postpone(postponement);
        }
    }

    /// Reports this member's health if it changed.
    fn update_local_health(&mut self, now: Time, out: &mut Vec<Output>) {
        let health = self.assess_local_health(now);
        if health != self.local_health {
            self.local_health = health;
            out.push(Output::LocalHealthChanged(health));
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

    /// Up to `limit` active members at random, without the one named `excluded`.
    fn choose_members(&mut self, limit: usize, excluded: &str) -> Vec<String> {
        let mut names: Vec<&String> = self
            .members
            .iter()
            .filter(|(name, record)| record.version.state.is_active() && *name != excluded)
            .map(|(name, _)| name)
            .collect();
        // A partial Fisher-Yates shuffle: only the first `limit` places are drawn.
        for place in 0..limit.min(names.len()) {
            let remaining = (names.len() - place) as u32;
            let drawn = place + self.rng.rand_range(0..remaining) as usize;
            names.swap(place, drawn);
        }
        names.into_iter().take(limit).cloned().collect()
    }
}

/// A random part of a duration.
fn random_within(rng: &mut oorandom::Rand32, duration: Duration) -> Duration {
    let part = f64::from(rng.rand_float()) * nanoseconds(duration) as f64;
    Duration::from_nanos(part as u64)
}
