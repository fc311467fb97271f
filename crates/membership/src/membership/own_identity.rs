//! This member's own version: how it refutes suspicions, and what it does if another process uses its name.
use super::{Membership, MembershipOutput, Participation};
use crate::local_health::LocalHealth;
use crate::member_state::{MemberState, MemberVersion};
use crankpaddle_time::Time;
use std::time::Duration;

/// For this long after the start, another process that uses this member's name is taken for its previous incarnation.
const STARTUP_PERIOD: Duration = Duration::from_secs(10);
/// The number of lost conflicts within [`NAME_CONFLICT_WINDOW`] after which this member gives up its name.
const NAME_CONFLICT_LIMIT: u32 = 2;
/// The window of time in which lost conflicts over the name are counted.
const NAME_CONFLICT_WINDOW: Duration = Duration::from_secs(60);
/// Counts of refutations or writes from this value on are treated as forged, since no process reaches them.
pub(super) const IMPLAUSIBLE_COUNT: u32 = u32::MAX / 2;

/// Counts the conflicts over this member's name that it lost within a window of time.
#[derive(Clone)]
pub(super) struct NameConflicts {
    count: u32,
    window_start: Time,
}

impl NameConflicts {
    pub(super) fn new(now: Time) -> NameConflicts {
        NameConflicts {
            count: 0,
            window_start: now,
        }
    }

    fn record(&mut self, now: Time) {
        if now.duration_since(self.window_start) > NAME_CONFLICT_WINDOW {
            *self = NameConflicts::new(now);
        }
        self.count += 1;
    }
}

impl Membership {
    /// Handles an update about this member. A suspicion or a report of its death is refuted. A later incarnation under its name
    /// is a conflict over the name.
    pub(super) fn handle_update_of_self(
        &mut self,
        now: Time,
        reported: MemberVersion,
        out: &mut Vec<MembershipOutput>,
    ) {
        if !reported.is_same_incarnation(&self.own_version) {
            if reported.supersedes(&self.own_version) {
                self.handle_name_conflict(now, reported, out);
            }
            return;
        }
        if reported.state == MemberState::Left || reported.refutations >= IMPLAUSIBLE_COUNT {
            // Such a report is forged: only this member announces that it leaves, and it can't have refuted that often.
            self.counters.forged += 1;
            self.advance_epoch(now, self.own_version.epoch + 1);
            return;
        }
        if reported.state != MemberState::Alive
            && reported.refutations >= self.own_version.refutations
        {
            self.refute(now, reported.refutations);
        } else if reported.refutations > self.own_version.refutations {
            self.counters.forged += 1;
            self.own_version.refutations = reported.refutations;
        }
    }

    fn refute(&mut self, now: Time, reported_refutations: u32) {
        self.own_version.refutations = reported_refutations + 1;
        self.local_health_monitor.worsen();
        self.enqueue_own_version(now);
    }

    /// Handles a report of another process, or of another incarnation of this one, under this member's name.
    ///
    /// Soon after the start it is taken for the previous incarnation, whose wall clock was ahead, and this member raises its
    /// epoch above that one's. It does not do so forever: two running processes that are configured with one name would keep
    /// raising their epochs in turn. Instead, the one that has run for longer gives up the name and reports that. A malicious
    /// peer that keeps forging conflicts can thereby stop a front's gossip, but the front's own limits do not depend on gossip.
    pub(super) fn handle_name_conflict(
        &mut self,
        now: Time,
        other: MemberVersion,
        out: &mut Vec<MembershipOutput>,
    ) {
        self.counters.name_conflicts += 1;
        if self.own_version.incarnation_id() > other.incarnation_id() {
            self.enqueue_own_version(now);
            return;
        }
        self.name_conflicts.record(now);
        let is_established = now.duration_since(self.started_at) >= STARTUP_PERIOD;
        if is_established && self.name_conflicts.count >= NAME_CONFLICT_LIMIT {
            self.give_up_name(out);
            return;
        }
        self.advance_epoch(now, other.epoch.saturating_add(1));
    }

    fn give_up_name(&mut self, out: &mut Vec<MembershipOutput>) {
        self.participation = Participation::Replaced;
        self.local_health = LocalHealth::Replaced;
        out.push(MembershipOutput::LocalHealthChanged(LocalHealth::Replaced));
    }

    /// Raises this member's epoch and writes its entries again under the new one.
    pub(super) fn advance_epoch(&mut self, now: Time, epoch: u64) {
        self.own_version.epoch = epoch;
        self.own_version.refutations = 0;
        self.enqueue_own_version(now);
        self.rewrite_own_entries(now);
    }
}
