//! A front's quota of a budget that all fronts share without communicating.
//!
//! The rate is held by the generic cell rate algorithm in its leaky-bucket form (ITU-T I.371, continuous-state leaky
//! bucket), in bytes: what a session is expected to send is added to the debt when it starts, what it did not send is
//! taken off when it ends, and the debt drains at this front's quota of the rate. A session conforms while the debt is
//! within this front's quota of the burst. The module `quota_share` determines that quota.
//!
//! How far off fronts can be: over by no more than the burst and one session for each front that has just started, and
//! by what chance makes sessions longer than the mean (what flows is charged as it flows, and the expected rest is
//! reserved in addition). At the start the fronts' first sessions are spread over the time that one session takes of a
//! quota, so that fronts do not all start one at once. A volume is held in equal quotas, whatever the load on each front.
use crate::{BYTES_PER_KB, NANOSECONDS_PER_SECOND};
use crankpaddle_time::{nanoseconds, Time};
use std::time::Duration;

/// A smaller quota retains debt of no more than this many times its burst.
const MAX_DEBT_AFTER_QUOTA_CUT: f64 = 2.0;

/// What all fronts together may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedBudget {
    /// kB a second; 0: nothing.
    pub rate_kb: f64,
    /// Bytes that may be sent ahead of the rate.
    pub burst: f64,
    /// Bytes in a period; infinite: no such bound.
    pub volume: f64,
    /// Length of the period; `None`: it never ends.
    pub period: Option<Duration>,
    /// Debt beyond the burst is repaid for this time at most; what would take longer is written off.
    /// Why: without a bound, previews would be kept off other zones for hours after a long outage of a zone.
    pub repay: Duration,
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
    /// The quota of a front that knows nothing of the load on the others, 0 to 1.
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
    /// Bytes that conformed when they were reserved, and what of them flowed beyond.
    conforming_debt: f64,
    /// Bytes beyond the budget, to be repaid for a bounded time.
    overdraft_debt: f64,
    /// Time of the last update; [`Time::ZERO`] before the first.
    now: Time,
    has_reserved: bool,
    /// Number of the present period.
    current_period: u64,
    used_in_period: f64,
    written_off: f64,
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
            used_in_period: 0.0,
            written_off: 0.0,
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
    /// Why: a 240th of the rate would take hours to repay what the whole of it could owe. What is remitted was sent
    /// beyond the new quota, but within the old one.
    pub(crate) fn set_quota(&mut self, now: Time, quota: f64) {
        self.advance_clock(now, 0.0);
        let previous = std::mem::replace(&mut self.quota, quota.clamp(0.0, 1.0));
        if self.quota < previous {
            let proportional_debt = self.conforming_debt * self.quota / previous;
            let max_debt = MAX_DEBT_AFTER_QUOTA_CUT * self.burst_tolerance();
            self.conforming_debt = self.conforming_debt.min(max_debt.max(proportional_debt));
        }
    }

    /// This front's quota of the rate, bytes a nanosecond.
    fn drain_rate(&self) -> f64 {
        self.shared.rate_kb.max(0.0) * BYTES_PER_KB / NANOSECONDS_PER_SECOND * self.quota
    }

    /// This front's quota of the burst, bytes.
    fn burst_tolerance(&self) -> f64 {
        self.shared.burst.max(0.0) * self.quota
    }

    /// This front's quota of the volume, bytes in a period.
    fn volume_quota(&self) -> f64 {
        self.shared.volume * self.position.equal_quota()
    }

    fn debt(&self) -> f64 {
        self.conforming_debt + self.overdraft_debt
    }

    /// Advances to a time at which a session of `expected` bytes may start. A clock that steps back stands still here
    /// until it has caught up.
    fn advance_clock(&mut self, now: Time, expected: f64) {
        self.drain_until(now);
        self.spread_first_reservation(expected);
        self.write_off_excess();
        self.start_period_when_due();
    }

    fn drain_until(&mut self, now: Time) {
        if now <= self.now {
            return;
        }
        if self.now != Time::ZERO {
            let elapsed = now.duration_since(self.now);
            self.repay(nanoseconds(elapsed) as f64 * self.drain_rate());
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
    fn spread_first_reservation(&mut self, expected: f64) {
        if self.has_reserved || expected <= 0.0 {
            return;
        }
        self.has_reserved = true;
        self.conforming_debt +=
            (f64::from(self.position.index) + 0.5) * self.position.equal_quota() * expected;
    }

    /// Writes off the overdraft that would take longer than `repay` to repay.
    ///
    /// Why only the overdraft: with a bound on all debt, a quota smaller than a session would never repay one.
    fn write_off_excess(&mut self) {
        let max_overdraft = self.drain_rate() * nanoseconds(self.shared.repay) as f64;
        if self.overdraft_debt > max_overdraft {
            self.written_off += self.overdraft_debt - max_overdraft;
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
            self.used_in_period = 0.0;
        }
    }

    /// The debt over the burst tolerance; at 1 and more nothing conforms.
    pub fn level(&mut self, now: Time) -> f64 {
        self.advance_clock(now, 0.0);
        if self.drain_rate() <= 0.0 {
            return f64::INFINITY;
        }
        let level = self.debt() / self.burst_tolerance().max(1.0);
        if self.used_in_period >= self.volume_quota() {
            level.max(1.0)
        } else {
            level
        }
    }

    /// Whether a session that is expected to send so many bytes conforms now.
    pub fn conforms(&mut self, now: Time, expected: f64) -> bool {
        self.advance_clock(now, expected);
        let within_volume = self.used_in_period + expected <= self.volume_quota();
        within_volume && self.drain_rate() > 0.0 && self.debt() <= self.burst_tolerance()
    }

    /// Reserves what a session is expected to send, conforming or not; returns the bytes beyond the budget.
    pub fn reserve(&mut self, now: Time, expected: f64) -> f64 {
        let conforms = self.conforms(now, expected);
        let expected = expected.max(0.0);
        self.used_in_period += expected;
        let overdrawn = if conforms { 0.0 } else { expected };
        self.conforming_debt += expected - overdrawn;
        self.overdraft_debt += overdrawn;
        overdrawn
    }

    /// Corrects a reservation of `expected` bytes: the session sent `sent` bytes in all, or is now expected to.
    /// `overdrawn`: it was reserved beyond the budget.
    pub(crate) fn correct(&mut self, now: Time, expected: f64, sent: f64, overdrawn: bool) {
        self.advance_clock(now, 0.0);
        let difference = sent - expected;
        self.used_in_period = (self.used_in_period + difference).max(0.0);
        let (own_debt, other_debt) = if overdrawn {
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

    /// Bytes of debt that were written off so far.
    #[must_use]
    pub(crate) fn written_off(&self) -> f64 {
        self.written_off
    }

    /// Changes the shared budget and the position; what was used, owed and overdrawn stays.
    pub(crate) fn reconfigure(&mut self, shared: SharedBudget, position: FrontPosition) {
        if self.position != position {
            self.quota = position.equal_quota();
        }
        self.shared = shared;
        self.position = position;
    }
}
