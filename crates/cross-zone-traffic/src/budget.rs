//! A front's part of a budget that all fronts share without talking.
//!
//! The rate is held by the generic cell rate algorithm in its leaky-bucket form (ITU-T I.371, continuous-state leaky
//! bucket), in bytes: what a session is expected to send is owed when it starts, what it did not send is taken off when
//! it ends, and the debt drains at this front's part of the rate. A session conforms while the debt is within this
//! front's part of the burst. Which part that is, [`crate::quota_share`] says.
//!
//! How far off fronts can be: over by no more than the burst and one session for each front that has just begun, and by
//! what chance makes sessions longer than the mean (what flows is charged as it flows, and the expected rest is held
//! besides). At the start the fronts' first turns are spread over the time that one session takes of a part, so that
//! they do not all begin at once. A volume is held in equal parts, whatever the load on each front.
use crate::SECOND;

/// What all fronts together may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedBudget {
    /// kB a second; 0: nothing.
    pub rate_kb: f64,
    /// Bytes that may go ahead of the rate.
    pub burst: f64,
    /// Bytes in a period; infinite: no such bound.
    pub volume: f64,
    /// The period, nanoseconds.
    pub period: u64,
    /// Debt beyond the burst is paid back for this time at most, nanoseconds; what would take longer is written off.
    /// Danger: without a bound, previews stay at home for hours after a long loss of a hall.
    pub repay: u64,
}

/// Which front this is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontPosition {
    /// Its number.
    pub index: u32,
    /// Number of fronts.
    pub siblings: u32,
}

impl FrontPosition {
    /// The part of a front that knows nothing of the others.
    pub fn equal_part(&self) -> f64 {
        1.0 / f64::from(self.siblings.max(1))
    }
}

/// A front's part of a budget.
#[derive(Clone, Debug)]
pub struct Budget {
    shared: SharedBudget,
    place: FrontPosition,
    part: f64,
    owed: f64, // Bytes that conformed when they were taken, and what of them flowed beyond.
    overdue: f64, // Bytes beyond the budget, to be repaid for a bounded time.
    now: u64,
    began: bool,
    period: u64, // Number of the present one, and what was used in it.
    used: f64,
    overdraft: f64,
    written_off: f64,
}

impl Budget {
    /// Nothing used yet, and an equal part.
    pub fn new(shared: SharedBudget, place: FrontPosition) -> Budget {
        Budget {
            shared,
            place,
            part: place.equal_part(),
            owed: 0.0,
            overdue: 0.0,
            now: 0,
            began: false,
            period: 0,
            used: 0.0,
            overdraft: 0.0,
            written_off: 0.0,
        }
    }

    /// What all fronts share.
    pub fn shared(&self) -> &SharedBudget {
        &self.shared
    }

    /// This front's part of it, 0 to 1.
    pub fn part(&self) -> f64 {
        self.part
    }

    /// Another part from now on. The debt stays, but a smaller part owes no more than twice its burst for it. Danger: what
    /// a large part could owe, a 240th of it pays back for hours. Harm: what is let off was sent beyond the new part,
    /// within the old one.
    pub fn set_part(&mut self, now: u64, part: f64) {
        self.forward(now, 0.0);
        let before = std::mem::replace(&mut self.part, part.clamp(0.0, 1.0));
        if self.part < before {
            let as_before = self.owed * self.part / before;
            self.owed = self.owed.min((2.0 * self.tolerance()).max(as_before));
        }
    }

    /// This front's part of the rate, bytes a nanosecond.
    fn pace(&self) -> f64 {
        self.shared.rate_kb.max(0.0) * 1000.0 / SECOND as f64 * self.part
    }

    /// This front's part of the burst, bytes.
    fn tolerance(&self) -> f64 {
        self.shared.burst.max(0.0) * self.part
    }

    fn volume(&self) -> f64 {
        self.shared.volume * self.place.equal_part()
    }

    /// Takes off what is overdue first, then the rest.
    fn drain(&mut self, bytes: f64) {
        let first = bytes.min(self.overdue);
        self.overdue -= first;
        self.owed = (self.owed - (bytes - first)).max(0.0);
    }

    /// A clock that steps back stands still here until it has caught up.
    fn forward(&mut self, now: u64, expected: f64) {
        if self.now < now {
            let past = if self.now == 0 { 0 } else { now - self.now };
            self.drain(past as f64 * self.pace());
            self.now = now;
        }
        if !self.began && expected > 0.0 {
            self.began = true;
            self.owed += (f64::from(self.place.index) + 0.5) * self.place.equal_part() * expected;
        }
        // Danger: were all debt bounded so, a part smaller than a session would never pay for one.
        let most = self.pace() * self.shared.repay as f64;
        if self.overdue > most {
            self.written_off += self.overdue - most;
            self.overdue = most;
        }
        let period = self.now.checked_div(self.shared.period).unwrap_or(0);
        if period != self.period {
            (self.period, self.used) = (period, 0.0);
        }
    }

    /// The debt over what the burst allows; 1 and more: nothing conforms.
    pub fn level(&mut self, now: u64) -> f64 {
        self.forward(now, 0.0);
        if self.pace() <= 0.0 {
            return f64::INFINITY;
        }
        let ahead = (self.owed + self.overdue) / self.tolerance().max(1.0);
        if self.used >= self.volume() {
            ahead.max(1.0)
        } else {
            ahead
        }
    }

    /// Whether a session that is expected to send so many bytes conforms now.
    pub fn conforms(&mut self, now: u64, expected: f64) -> bool {
        self.forward(now, expected);
        self.used + expected <= self.volume()
            && self.pace() > 0.0
            && self.owed + self.overdue <= self.tolerance()
    }

    /// Takes what a session is expected to send, conforming or not; gives the bytes beyond the budget.
    pub fn reserve(&mut self, now: u64, expected: f64) -> f64 {
        let conforms = self.conforms(now, expected);
        let expected = expected.max(0.0);
        self.used += expected;
        let overdrawn = if conforms { 0.0 } else { expected };
        self.owed += expected - overdrawn;
        self.overdue += overdrawn;
        self.overdraft += overdrawn;
        overdrawn
    }

    /// A session that reserved `expected` has sent `sent` in all, or is expected to from now on; `overdrawn`: it was
    /// taken beyond the budget.
    pub fn correct(&mut self, now: u64, expected: f64, sent: f64, overdrawn: bool) {
        self.forward(now, 0.0);
        let more = sent - expected;
        self.used = (self.used + more).max(0.0);
        let (first, second) = if overdrawn {
            (&mut self.overdue, &mut self.owed)
        } else {
            (&mut self.owed, &mut self.overdue)
        };
        *first += more;
        if *first < 0.0 {
            *second = (*second + *first).max(0.0);
            *first = 0.0;
        }
        if overdrawn {
            self.overdraft = (self.overdraft + more).max(0.0);
        }
    }

    /// What others overdrew and this one repays, bytes.
    pub fn charge(&mut self, now: u64, bytes: f64) {
        self.forward(now, 0.0);
        self.overdue += bytes.max(0.0);
    }

    /// Bytes that were taken beyond the budget so far.
    pub fn overdraft(&self) -> f64 {
        self.overdraft
    }

    /// Bytes of debt that were written off so far.
    pub fn written_off(&self) -> f64 {
        self.written_off
    }

    /// Another budget or place from now on; what was used, owed and overdrawn stays.
    pub fn change(&mut self, shared: SharedBudget, place: FrontPosition) {
        if self.place != place {
            self.part = place.equal_part();
        }
        (self.shared, self.place) = (shared, place);
    }
}
