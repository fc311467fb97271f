//! The table of the other members, with an index of the suspects and counts by state.
use super::output::MemberSnapshot;
use crate::member_state::{MemberState, MemberVersion};
use crate::suspicion::Suspicion;
use crate::token_bucket::TokenBucket;
use crate::wire::MemberUpdate;
use crankpaddle_time::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The maximum number of requests of one member that are answered per second.
const MAX_ANSWERS_PER_SECOND: f64 = 25.0;

/// What is known of another member.
#[derive(Clone)]
pub(super) struct MemberRecord {
    pub(super) version: MemberVersion,
    pub(super) address: String,
    pub(super) since: Time, // When its state or incarnation changed last.
    pub(super) reported_by: String,
    pub(super) rtt: Option<Duration>,
    pub(super) suspicion: Option<Suspicion>,
    pub(super) answer_limit: TokenBucket,
}

/// All other members that are known, by name.
#[derive(Clone, Default)]
pub(super) struct MemberTable {
    records: BTreeMap<String, MemberRecord>,
    // The names of the suspects and the counts are updated with the records, so that handling a datagram does not scan all
    // records.
    suspects: BTreeSet<String>,
    active: usize,
    dead: usize,
}

impl MemberTable {
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// The number of members that are alive or suspect.
    pub(super) fn active(&self) -> usize {
        self.active
    }

    /// The number of members that are dead and not yet removed.
    pub(super) fn dead(&self) -> usize {
        self.dead
    }

    pub(super) fn get(&self, name: &str) -> Option<&MemberRecord> {
        self.records.get(name)
    }

    pub(super) fn get_mut(&mut self, name: &str) -> Option<&mut MemberRecord> {
        self.records.get_mut(name)
    }

    pub(super) fn version(&self, name: &str) -> Option<MemberVersion> {
        self.records.get(name).map(|record| record.version)
    }

    pub(super) fn state(&self, name: &str) -> Option<MemberState> {
        self.version(name).map(|version| version.state)
    }

    pub(super) fn is_active(&self, name: &str) -> bool {
        self.state(name).is_some_and(MemberState::is_active)
    }

    pub(super) fn iter(&self) -> std::collections::btree_map::Iter<'_, String, MemberRecord> {
        self.records.iter()
    }

    pub(super) fn suspicions_mut(&mut self) -> impl Iterator<Item = &mut Suspicion> {
        self.records
            .values_mut()
            .filter_map(|record| record.suspicion.as_mut())
    }

    /// The deadlines of all suspicions.
    pub(super) fn suspicion_deadlines(&self) -> impl Iterator<Item = Time> + '_ {
        self.suspects
            .iter()
            .filter_map(|name| self.suspicion_deadline(name))
    }

    /// The suspects whose deadline has passed.
    pub(super) fn overdue_suspects(&self, now: Time) -> Vec<String> {
        let is_overdue = |name: &&String| {
            self.suspicion_deadline(name)
                .is_some_and(|deadline| now >= deadline)
        };
        self.suspects.iter().filter(is_overdue).cloned().collect()
    }

    fn suspicion_deadline(&self, name: &str) -> Option<Time> {
        let suspicion = self.records.get(name)?.suspicion.as_ref()?;
        Some(suspicion.deadline())
    }

    /// Stores a later version of a member. `changed` tells whether its state or incarnation differs from the known one.
    pub(super) fn store(
        &mut self,
        now: Time,
        update: &MemberUpdate,
        suspicion: Option<Suspicion>,
        changed: bool,
    ) {
        let state_before = self.state(&update.name);
        self.update_counts(state_before, Some(update.version.state));
        if suspicion.is_some() {
            self.suspects.insert(update.name.clone());
        } else {
            self.suspects.remove(&update.name);
        }
        let record = self
            .records
            .entry(update.name.clone())
            .or_insert_with(|| MemberRecord::new(now, update));
        record.version = update.version;
        record.suspicion = suspicion;
        record.reported_by.clone_from(&update.reported_by);
        if update.version.state.is_active() {
            record.address.clone_from(&update.address);
        }
        if changed {
            record.since = now;
        }
    }

    /// Removes a member that is not suspect.
    pub(super) fn remove(&mut self, name: &str) {
        let removed = self.records.remove(name);
        self.update_counts(removed.map(|record| record.version.state), None);
    }

    /// Updates the counts for a member whose state changed. `None` means that it is not in the table.
    fn update_counts(&mut self, before: Option<MemberState>, after: Option<MemberState>) {
        let active =
            |state: Option<MemberState>| usize::from(state.is_some_and(MemberState::is_active));
        let dead = |state: Option<MemberState>| usize::from(state == Some(MemberState::Dead));
        self.active = self.active + active(after) - active(before);
        self.dead = self.dead + dead(after) - dead(before);
    }
}

impl MemberRecord {
    fn new(now: Time, update: &MemberUpdate) -> MemberRecord {
        MemberRecord {
            version: update.version,
            address: update.address.clone(),
            since: now,
            reported_by: update.reported_by.clone(),
            rtt: None,
            suspicion: None,
            answer_limit: TokenBucket::new(MAX_ANSWERS_PER_SECOND, now),
        }
    }

    /// The member as it is shown to an operator.
    pub(super) fn to_member(&self, name: &str) -> MemberSnapshot {
        MemberSnapshot {
            name: name.to_owned(),
            address: self.address.clone(),
            state: self.version.state,
            since: self.since,
            reported_by: self.reported_by.clone(),
            rtt: self.rtt,
        }
    }
}
