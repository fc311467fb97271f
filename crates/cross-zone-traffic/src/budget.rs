//! A front's quota of a budget that all fronts share without communicating.
//!
//! The rate is enforced by the generic cell rate algorithm in its leaky-bucket form (ITU-T I.371, continuous-state leaky
//! bucket), applied to bytes. When a session starts, the bytes that it is expected to send are added to the debt; when it
//! ends, those that it did not send are subtracted. The debt drains at this front's quota of the rate. A session conforms
//! while the debt is within this front's quota of the burst. The module `quota_share` determines the quota.
//!
//! All fronts together exceed the rate by no more than the sum of
//! - the burst,
//! - one session for each front that has just started, and
//! - the bytes by which sessions are longer than the mean. These are charged while the session plays, in addition to a
//!   reservation for its expected remaining time.
//!
//! The first sessions of the fronts are spread over the time in which a quota drains one session, so that the fronts do not
//! all start a session at once. The volume per period is divided equally among the fronts, whatever their load.
use crate::{nanoseconds_between, BYTES_PER_KB, NANOSECONDS_PER_SECOND};
use crankpaddle_time::{nanoseconds, Time};
use std::time::Duration;

/// Multiple of the new burst tolerance to which conforming debt is limited when the quota is reduced.
const MAX_DEBT_AFTER_QUOTA_CUT: f64 = 2.0;

/// The limits of a budget that all fronts share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedBudget {
    /// Rate in kB per second. If 0, only paid sessions may cross.
    pub rate_kb: f64,
    /// Burst tolerance: bytes that may be sent in excess of the rate at any time.
    pub burst_bytes: f64,
    /// Bytes that may be sent in each period; infinite if unlimited.
    pub volume_bytes: f64,
    /// Length of the periods of `volume_bytes`; `None` if there is a single period that never ends.
    pub period: Option<Duration>,
    /// Maximum time to repay overdrafts; debt that would take longer is written off. Without this bound, previews could not
    /// use other zones for hours after a long outage of a zone.
    pub max_repayment_time: Duration,
}

/// The position of this front among all fronts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontPosition {
    /// Index of this front, from 0.
    pub index: u32,
    /// Configured number of fronts, which share each budget; 0 counts as 1.
    pub replica_count: u32,
}

impl FrontPosition {
    /// The quota of a front that knows nothing about the load of the others: an equal fraction of the budget.
    #[must_use]
    pub(crate) fn equal_quota(&self) -> f64 {
        1.0 / f64::from(self.replica_count.max(1))
    }
}

/// A front's quota and debt of a budget that all fronts share.
#[derive(Clone, Debug)]
pub struct FrontBudget {
    shared: SharedBudget,
    position: FrontPosition,
    quota: f64,
    /// Debt in bytes from sessions that conformed when they started, including what they sent beyond their reservation.
    conforming_debt: f64,
    /// Debt in bytes from sessions that did not conform; the time to repay it is bounded.
    overdraft_debt: f64,
    /// When the debt was last updated; [`Time::ZERO`] before the first update.
    updated_at: Time,
    /// Whether the delay of the first session has been applied.
    has_reserved: bool,
    /// Number of the current period, counted from the start of the clock.
    current_period_number: u64,
    bytes_used_in_period: f64,
    written_off_bytes: f64,
}

impl FrontBudget {
    /// Creates a budget without debt, with an equal quota.
    #[must_use]
    pub fn new(shared: SharedBudget, position: FrontPosition) -> FrontBudget {
        FrontBudget {
            shared,
            position,
            quota: position.equal_quota(),
            conforming_debt: 0.0,
            overdraft_debt: 0.0,
            updated_at: Time::ZERO,
            has_reserved: false,
            current_period_number: 0,
            bytes_used_in_period: 0.0,
            written_off_bytes: 0.0,
        }
    }

    /// The limits that all fronts share.
    #[must_use]
    pub(crate) fn shared(&self) -> &SharedBudget {
        &self.shared
    }

    /// This front's quota, 0 to 1.
    #[must_use]
    pub(crate) fn quota(&self) -> f64 {
        self.quota
    }

    /// Changes the quota. The debt is kept, except that reducing the quota limits it to twice the new burst tolerance, or to
    /// the debt scaled with the quota if that is more.
    ///
    /// Without this limit, a front whose quota drops from the full rate to a 240th of it would take hours to repay its debt.
    /// The remitted bytes were sent beyond the new quota, but within the old one.
    pub(crate) fn set_quota(&mut self, now: Time, quota: f64) {
        self.advance_clock(now, 0.0);
        let previous = std::mem::replace(&mut self.quota, quota.clamp(0.0, 1.0));
        if self.quota < previous {
            let proportional_debt = self.conforming_debt * self.quota / previous;
            let max_debt = MAX_DEBT_AFTER_QUOTA_CUT * self.burst_tolerance_bytes();
            self.conforming_debt = self.conforming_debt.min(max_debt.max(proportional_debt));
        }
    }

    /// This front's quota of the rate, in bytes per nanosecond.
    fn drain_bytes_per_nanosecond(&self) -> f64 {
        self.shared.rate_kb.max(0.0) * BYTES_PER_KB / NANOSECONDS_PER_SECOND * self.quota
    }

    /// This front's quota of the burst, in bytes.
    fn burst_tolerance_bytes(&self) -> f64 {
        self.shared.burst_bytes.max(0.0) * self.quota
    }

    /// This front's fraction of the volume, in bytes per period. It is always an equal one.
    fn volume_quota_bytes(&self) -> f64 {
        self.shared.volume_bytes * self.position.equal_quota()
    }

    fn debt_bytes(&self) -> f64 {
        self.conforming_debt + self.overdraft_debt
    }

    /// Advances the state to `now`, when a session that is expected to send `expected_bytes` may start (0 if none does). If
    /// the caller's clock steps back, the state does not change until the clock has caught up.
    fn advance_clock(&mut self, now: Time, expected_bytes: f64) {
        self.drain_until(now);
        self.spread_first_reservation(expected_bytes);
        self.write_off_excess();
        self.start_period_when_due();
    }

    fn drain_until(&mut self, now: Time) {
        if now <= self.updated_at {
            return;
        }
        if self.updated_at != Time::ZERO {
            let elapsed = nanoseconds_between(self.updated_at, now);
            self.repay(elapsed * self.drain_bytes_per_nanosecond());
        }
        self.updated_at = now;
    }

    /// Subtracts bytes from the overdraft debt first, then from the conforming debt.
    fn repay(&mut self, bytes: f64) {
        let overdraft_repaid = bytes.min(self.overdraft_debt);
        self.overdraft_debt -= overdraft_repaid;
        self.conforming_debt = (self.conforming_debt - (bytes - overdraft_repaid)).max(0.0);
    }

    /// Adds debt in proportion to the front's index before its first session, so that the fronts do not all start one at
    /// once.
    fn spread_first_reservation(&mut self, expected_bytes: f64) {
        if self.has_reserved || expected_bytes <= 0.0 {
            return;
        }
        self.has_reserved = true;
        self.conforming_debt +=
            (f64::from(self.position.index) + 0.5) * self.position.equal_quota() * expected_bytes;
    }

    /// Writes off overdraft debt that would take longer than `max_repayment_time` to repay.
    ///
    /// Conforming debt is exempt: if all debt were bounded, a front whose quota is smaller than a single session would never
    /// repay that session.
    fn write_off_excess(&mut self) {
        let max_overdraft =
            self.drain_bytes_per_nanosecond() * nanoseconds(self.shared.max_repayment_time) as f64;
        if self.overdraft_debt > max_overdraft {
            self.written_off_bytes += self.overdraft_debt - max_overdraft;
            self.overdraft_debt = max_overdraft;
        }
    }

    fn start_period_when_due(&mut self) {
        let period_number = self.shared.period.map_or(0, |length| {
            let period_number = self.updated_at.as_nanos().checked_div(nanoseconds(length));
            period_number.unwrap_or(0)
        });
        if period_number != self.current_period_number {
            self.current_period_number = period_number;
            self.bytes_used_in_period = 0.0;
        }
    }

    /// The debt divided by the burst tolerance. From 1 on, no session conforms.
    pub(crate) fn level(&mut self, now: Time) -> f64 {
        self.advance_clock(now, 0.0);
        if self.drain_bytes_per_nanosecond() <= 0.0 {
            return f64::INFINITY;
        }
        let level = self.debt_bytes() / self.burst_tolerance_bytes().max(1.0);
        if self.bytes_used_in_period >= self.volume_quota_bytes() {
            level.max(1.0)
        } else {
            level
        }
    }

    /// Whether a session that is expected to send `expected_bytes` conforms to the budget if it starts now.
    pub fn conforms(&mut self, now: Time, expected_bytes: f64) -> bool {
        self.advance_clock(now, expected_bytes);
        let within_volume = self.bytes_used_in_period + expected_bytes <= self.volume_quota_bytes();
        within_volume
            && self.drain_bytes_per_nanosecond() > 0.0
            && self.debt_bytes() <= self.burst_tolerance_bytes()
    }

    /// Reserves the bytes that a session is expected to send, whether it conforms or not. Returns the bytes beyond the
    /// budget: 0 if the session conforms, otherwise all of them.
    pub fn reserve(&mut self, now: Time, expected_bytes: f64) -> f64 {
        let conforms = self.conforms(now, expected_bytes);
        let expected_bytes = expected_bytes.max(0.0);
        self.bytes_used_in_period += expected_bytes;
        let overdrawn_bytes = if conforms { 0.0 } else { expected_bytes };
        self.conforming_debt += expected_bytes - overdrawn_bytes;
        self.overdraft_debt += overdrawn_bytes;
        overdrawn_bytes
    }

    /// Corrects the reservation of a session from `expected_bytes` to `sent_bytes`: the total that it has sent, or is now
    /// expected to send. `is_overdrawn` tells whether it was reserved beyond the budget.
    pub(crate) fn correct_reservation(
        &mut self,
        now: Time,
        expected_bytes: f64,
        sent_bytes: f64,
        is_overdrawn: bool,
    ) {
        self.advance_clock(now, 0.0);
        let difference = sent_bytes - expected_bytes;
        self.bytes_used_in_period = (self.bytes_used_in_period + difference).max(0.0);
        let (primary_debt, secondary_debt) = if is_overdrawn {
            (&mut self.overdraft_debt, &mut self.conforming_debt)
        } else {
            (&mut self.conforming_debt, &mut self.overdraft_debt)
        };
        *primary_debt += difference;
        if *primary_debt < 0.0 {
            *secondary_debt = (*secondary_debt + *primary_debt).max(0.0);
            *primary_debt = 0.0;
        }
    }

    /// Adds bytes to the overdraft debt that were overdrawn in another budget and are to be repaid in this one.
    pub(crate) fn charge_overdraft(&mut self, now: Time, bytes: f64) {
        self.advance_clock(now, 0.0);
        self.overdraft_debt += bytes.max(0.0);
    }

    /// Bytes of overdraft written off since the budget was configured.
    #[must_use]
    pub(crate) fn written_off_bytes(&self) -> f64 {
        self.written_off_bytes
    }

    /// Changes the shared limits and the position; usage and debt are kept. A new position resets the quota to an equal one.
    pub(crate) fn reconfigure(&mut self, shared: SharedBudget, position: FrontPosition) {
        if self.position != position {
            self.quota = position.equal_quota();
        }
        self.shared = shared;
        self.position = position;
    }
}
