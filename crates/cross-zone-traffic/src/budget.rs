//! A front's quota of a budget that all fronts share without communicating.
//!
//! The rate is held by the generic cell rate algorithm in its leaky-bucket form (ITU-T I.371, continuous-state leaky
//! bucket), in bytes: what a session is expected to send is added to the debt when it starts, what it did not send is
//! taken off when it ends, and the debt drains at this front's quota of the rate. A session conforms while the debt is
//! within this front's quota of the burst. The module `quota_share` determines that quota.
//!
//! Bound: all fronts together exceed the rate by no more than the burst, one session for each front that has just
//! started, and the bytes by which sessions are longer than the mean (bytes are charged as they flow, and the expected
//! rest is reserved in addition). The first sessions of the fronts are spread over the time in which a quota drains one
//! session, so that fronts do not all start one at once. A volume is held in equal quotas, whatever the load on each
//! front.
use crate::{nanoseconds_between, BYTES_PER_KB, NANOSECONDS_PER_SECOND};
use crankpaddle_time::{nanoseconds, Time};
use std::time::Duration;

/// A smaller quota retains debt of no more than this many times its burst.
const MAX_DEBT_AFTER_QUOTA_CUT: f64 = 2.0;

/// What all fronts together may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedBudget {
    /// kB a second; 0: nothing may cross, except paid sessions.
    pub rate_kb: f64,
    /// Bytes that may be sent ahead of the rate.
    pub burst_bytes: f64,
    /// Bytes in a period; infinite: unlimited.
    pub volume_bytes: f64,
    /// Length of the period; `None`: it never ends.
    pub period: Option<Duration>,
    /// Debt beyond the burst is repaid for this time at most; what would take longer is written off.
    /// Why: without a bound, previews would be kept off other zones for hours after a long outage of a zone.
    pub max_repayment_time: Duration,
}

/// Which front this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontPosition {
    /// Its index among the fronts, from 0.
    pub index: u32,
    /// Number of fronts.
    pub replica_count: u32,
}

impl FrontPosition {
    /// The quota of a front without information on the load of the others, 0 to 1.
    #[must_use]
    pub(crate) fn equal_quota(&self) -> f64 {
        1.0 / f64::from(self.replica_count.max(1))
    }
}

/// A front's quota of a budget and its debt.
#[derive(Clone, Debug)]
pub struct Budget {
    shared: SharedBudget,
    position: FrontPosition,
    quota: f64,
    /// Bytes that conformed when they were reserved, and those that flowed beyond such a reservation.
    conforming_debt: f64,
    /// Bytes beyond the budget; they are repaid for a bounded time.
    overdraft_debt: f64,
    /// Time of the last update; [`Time::ZERO`] before the first.
    now: Time,
    has_reserved: bool,
    /// Number of the present period.
    current_period: u64,
    bytes_used_in_period: f64,
    written_off_bytes: f64,
}

impl Budget {
    /// A budget of which nothing is used yet, with an equal quota.
    #[must_use]
    pub fn new(shared: SharedBudget, position: FrontPosition) -> Budget {
        Budget {
            shared,
            position,
            quota: position.equal_quota(),
            conforming_debt: 0.0,
            overdraft_debt: 0.0,
            now: Time::ZERO,
            has_reserved: false,
            current_period: 0,
            bytes_used_in_period: 0.0,
            written_off_bytes: 0.0,
        }
    }

    /// What all fronts share.
    #[must_use]
    pub(crate) fn shared(&self) -> &SharedBudget {
        &self.shared
    }

    /// This front's quota, 0 to 1.
    #[must_use]
    pub(crate) fn quota(&self) -> f64 {
        self.quota
    }

    /// Changes the quota. The debt stays, but a smaller quota retains no more than twice its burst.
    ///
    /// Why: a 240th of the rate would take hours to repay the debt that the full rate allows. The remitted bytes were
    /// sent beyond the new quota, but within the old one.
    pub(crate) fn set_quota(&mut self, now: Time, quota: f64) {
        self.advance_clock(now, 0.0);
        let previous = std::mem::replace(&mut self.quota, quota.clamp(0.0, 1.0));
        if self.quota < previous {
            let proportional_debt = self.conforming_debt * self.quota / previous;
            let max_debt = MAX_DEBT_AFTER_QUOTA_CUT * self.burst_tolerance_bytes();
            self.conforming_debt = self.conforming_debt.min(max_debt.max(proportional_debt));
        }
    }

    /// This front's quota of the rate, bytes a nanosecond.
    fn drain_bytes_per_nanosecond(&self) -> f64 {
        self.shared.rate_kb.max(0.0) * BYTES_PER_KB / NANOSECONDS_PER_SECOND * self.quota
    }

    /// This front's quota of the burst, bytes.
    fn burst_tolerance_bytes(&self) -> f64 {
        self.shared.burst_bytes.max(0.0) * self.quota
    }

    /// This front's quota of the volume, bytes in a period.
    fn volume_quota_bytes(&self) -> f64 {
        self.shared.volume_bytes * self.position.equal_quota()
    }

    fn debt_bytes(&self) -> f64 {
        self.conforming_debt + self.overdraft_debt
    }

    /// Advances to a time at which a session of `expected_bytes` may start. If the caller's clock steps back, the time
    /// here stands still until that clock has caught up.
    fn advance_clock(&mut self, now: Time, expected_bytes: f64) {
        self.drain_until(now);
        self.spread_first_reservation(expected_bytes);
        self.write_off_excess();
        self.start_period_when_due();
    }

    fn drain_until(&mut self, now: Time) {
        if now <= self.now {
            return;
        }
        if self.now != Time::ZERO {
            let elapsed = nanoseconds_between(self.now, now);
            self.repay(elapsed * self.drain_bytes_per_nanosecond());
        }
        self.now = now;
    }

    /// Takes bytes off the overdraft first, then off the rest of the debt.
    fn repay(&mut self, bytes: f64) {
        let overdraft_repaid = bytes.min(self.overdraft_debt);
        self.overdraft_debt -= overdraft_repaid;
        self.conforming_debt = (self.conforming_debt - (bytes - overdraft_repaid)).max(0.0);
    }

    /// Delays the first session of each front by its index, so that fronts do not all start one at once.
    fn spread_first_reservation(&mut self, expected_bytes: f64) {
        if self.has_reserved || expected_bytes <= 0.0 {
            return;
        }
        self.has_reserved = true;
        self.conforming_debt +=
            (f64::from(self.position.index) + 0.5) * self.position.equal_quota() * expected_bytes;
    }

    /// Writes off the overdraft that would take longer than `max_repayment_time` to repay.
    ///
    /// Why only the overdraft: with a bound on all debt, a quota smaller than a session would never repay that session.
    fn write_off_excess(&mut self) {
        let max_overdraft =
            self.drain_bytes_per_nanosecond() * nanoseconds(self.shared.max_repayment_time) as f64;
        if self.overdraft_debt > max_overdraft {
            self.written_off_bytes += self.overdraft_debt - max_overdraft;
            self.overdraft_debt = max_overdraft;
        }
    }

    fn start_period_when_due(&mut self) {
        let period = self.shared.period.map_or(0, |length| {
            let number = self.now.as_nanos().checked_div(nanoseconds(length));
            number.unwrap_or(0)
        });
        if period != self.current_period {
            self.current_period = period;
            self.bytes_used_in_period = 0.0;
        }
    }

    /// The debt divided by the burst tolerance; at 1 and more no session conforms.
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

    /// Whether a session that is expected to send `expected_bytes` conforms now.
    pub fn conforms(&mut self, now: Time, expected_bytes: f64) -> bool {
        self.advance_clock(now, expected_bytes);
        let within_volume = self.bytes_used_in_period + expected_bytes <= self.volume_quota_bytes();
        within_volume
            && self.drain_bytes_per_nanosecond() > 0.0
            && self.debt_bytes() <= self.burst_tolerance_bytes()
    }

    /// Reserves what a session is expected to send, conforming or not; returns the bytes beyond the budget.
    pub fn reserve(&mut self, now: Time, expected_bytes: f64) -> f64 {
        let conforms = self.conforms(now, expected_bytes);
        let expected_bytes = expected_bytes.max(0.0);
        self.bytes_used_in_period += expected_bytes;
        let overdrawn_bytes = if conforms { 0.0 } else { expected_bytes };
        self.conforming_debt += expected_bytes - overdrawn_bytes;
        self.overdraft_debt += overdrawn_bytes;
        overdrawn_bytes
    }

    /// Corrects a reservation of `expected_bytes`: the session sent `sent_bytes` in all, or is now expected to send them.
    /// `is_overdrawn`: the reservation was beyond the budget.
    pub(crate) fn correct(
        &mut self,
        now: Time,
        expected_bytes: f64,
        sent_bytes: f64,
        is_overdrawn: bool,
    ) {
        self.advance_clock(now, 0.0);
        let difference = sent_bytes - expected_bytes;
        self.bytes_used_in_period = (self.bytes_used_in_period + difference).max(0.0);
        let (own_debt, other_debt) = if is_overdrawn {
            (&mut self.overdraft_debt, &mut self.conforming_debt)
        } else {
            (&mut self.conforming_debt, &mut self.overdraft_debt)
        };
        *own_debt += difference;
        if *own_debt < 0.0 {
            *other_debt = (*other_debt + *own_debt).max(0.0);
            *own_debt = 0.0;
        }
    }

    /// Charges bytes that were overdrawn in another budget and are repaid in this one.
    pub(crate) fn charge(&mut self, now: Time, bytes: f64) {
        self.advance_clock(now, 0.0);
        self.overdraft_debt += bytes.max(0.0);
    }

    /// Bytes of debt written off so far.
    #[must_use]
    pub(crate) fn written_off_bytes(&self) -> f64 {
        self.written_off_bytes
    }

    /// Changes the shared budget and the position; usage, debt and overdraft stay.
    pub(crate) fn reconfigure(&mut self, shared: SharedBudget, position: FrontPosition) {
        if self.position != position {
            self.quota = position.equal_quota();
        }
        self.shared = shared;
        self.position = position;
    }
}
