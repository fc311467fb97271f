//! Updates of other members: suspicions, their confirmations, deaths, and all other changes of state.
use super::gossip_queue::GossipItem;
use super::{MemberChange, Membership, MembershipOutput};
use crate::member_state::{MemberState, MemberVersion};
use crate::suspicion::Suspicion;
use crate::wire::MemberUpdate;
use crankpaddle_time::Time;
use std::time::Duration;

/// By how much an overdue suspicion is postponed while this member is isolated.
const POSTPONEMENT_WHILE_ISOLATED: Duration = Duration::from_secs(1);

impl Membership {
    /// Applies an update of another member if it is later than what is known of that member.
    pub(super) fn apply_member_update(
        &mut self,
        now: Time,
        update: &MemberUpdate,
        out: &mut Vec<MembershipOutput>,
    ) {
        match self.members.version(&update.name) {
            Some(known) if update.version.supersedes(&known) => {
                self.store_member_update(now, update, Some(known), out);
            }
            Some(known) if update.version == known => self.confirm_suspicion(now, update),
            Some(_) => {}
            // A member that is dead or has left is not recorded if it was not known before.
            None if update.version.state.is_active() => {
                self.store_member_update(now, update, None, out);
            }
            None => {}
        }
    }

    /// Handles a report that another member suspects the same one. It shortens the timeout of the suspicion, and the
    /// confirmation is disseminated.
    fn confirm_suspicion(&mut self, now: Time, update: &MemberUpdate) {
        let Some(record) = self.members.get_mut(&update.name) else {
            return;
        };
        let Some(suspicion) = &mut record.suspicion else {
            return;
        };
        if suspicion.confirm(&update.reported_by) {
            record.reported_by.clone_from(&update.reported_by);
            self.enqueue(GossipItem::Member(update.name.clone()), now);
        }
    }

    fn store_member_update(
        &mut self,
        now: Time,
        update: &MemberUpdate,
        known: Option<MemberVersion>,
        out: &mut Vec<MembershipOutput>,
    ) {
        let state = update.version.state;
        let restarted = known.is_some_and(|known| !known.is_same_incarnation(&update.version));
        let changed = restarted || known.is_none_or(|known| known.state != state);
        let suspicion = (state == MemberState::Suspect).then(|| self.new_suspicion(now, update));
        self.members.store(now, update, suspicion, changed);
        if changed {
            out.push(MembershipOutput::MemberChanged(MemberChange {
                name: update.name.clone(),
                state,
                reported_by: update.reported_by.clone(),
                restarted,
            }));
        }
        if state == MemberState::Left {
            self.gossip_state.remove_owner(&update.name);
        }
        self.enqueue(GossipItem::Member(update.name.clone()), now);
    }

    fn new_suspicion(&self, now: Time, update: &MemberUpdate) -> Suspicion {
        Suspicion::new(
            now,
            &update.reported_by,
            self.members.active(),
            self.config.probe_interval,
        )
    }

    /// Declares a known member to be in this state, with this member as the one that reports it.
    pub(super) fn declare(
        &mut self,
        now: Time,
        name: &str,
        state: MemberState,
        out: &mut Vec<MembershipOutput>,
    ) {
        let Some(record) = self.members.get(name) else {
            return;
        };
        let update = MemberUpdate {
            name: name.to_owned(),
            address: record.address.clone(),
            version: MemberVersion {
                state,
                ..record.version
            },
            reported_by: self.config.name.clone(),
        };
        self.apply_member_update(now, &update, out);
    }

    /// Declares the suspects dead that did not refute the suspicion in time.
    pub(super) fn expire_suspicions(&mut self, now: Time, out: &mut Vec<MembershipOutput>) {
        let is_isolated = self.local_health_monitor.is_isolated(now);
        for name in self.members.overdue_suspects(now) {
            if is_isolated {
                // An isolated member can't receive refutations, so a missing one is no evidence.
                self.postpone_suspicion(&name);
                continue;
            }
            self.counters.declared_dead += 1;
            self.declare(now, &name, MemberState::Dead, out);
        }
    }

    fn postpone_suspicion(&mut self, name: &str) {
        let record = self.members.get_mut(name);
        if let Some(suspicion) = record.and_then(|record| record.suspicion.as_mut()) {
            suspicion.postpone(POSTPONEMENT_WHILE_ISOLATED);
        }
    }
}
