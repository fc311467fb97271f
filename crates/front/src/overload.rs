//! When the front itself must refuse: more waits than it can answer in time.
//!
//! The decision module knows whether servers have room; it does not know that this process falls behind. Two signs
//! are watched. How many requests have no answer yet, in all and for each player, is bounded by the settings. How
//! long a message waited between socket and core is judged as CoDel judges a queue (RFC 8289): a burst that drains
//! is harmless, so only when the *least* wait seen within an interval stays over the target does the front refuse,
//! until one message comes through quickly. Danger: a front that takes everything answers everything late, and
//! viewers who gave up come again. Harm: for one interval after a stall good requests are refused.
use crankpaddle::Time;

const SECOND: u64 = 1_000_000_000;
/// Waits are judged over this time. RFC 8289 asks for an interval of about the slowest usual round trip.
const INTERVAL: u64 = SECOND / 10;
/// The least wait may be this part of the shortest aim: more of it spent in our own queue leaves servers too little.
const TARGET_PART: u64 = 16;
/// Advice grows by this part of the longest advice with each interval of overload.
const ADVICE_PART: u64 = 4;

/// What the settings allow.
#[derive(Clone, Copy, Debug)]
pub struct OverloadLimits {
    /// Requests without an answer at once.
    pub max_pending: usize,
    /// The same for one player's connection.
    pub max_pending_per_player: usize,
    /// Shortest aim of a class, nanoseconds.
    pub latency_objective: u64,
    /// Longest advice to stay away that players follow, nanoseconds.
    pub max_retry_after: u64,
}

/// Why the front refuses by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Take it.
    Admit,
    /// Too many wait.
    TooManyPending,
    /// The front falls behind.
    Overloaded,
}

/// Watches how far the front is behind.
#[derive(Clone, Debug)]
pub struct OverloadDetector {
    bounds: OverloadLimits,
    least: u64,
    ends: Time,
    over: u64, // Intervals in a row that were over the target.
}

impl OverloadDetector {
    /// Nothing seen yet.
    pub fn new(bounds: OverloadLimits) -> OverloadDetector {
        OverloadDetector {
            bounds,
            least: u64::MAX,
            ends: Time(0),
            over: 0,
        }
    }

    fn target(&self) -> u64 {
        (self.bounds.latency_objective / TARGET_PART).max(1)
    }

    /// Judges a request that was read at `received`, with `open` waiting in all and `player` of its own connection.
    pub fn admit(
        &mut self,
        now: Time,
        received: Time,
        open: usize,
        player: usize,
    ) -> AdmissionDecision {
        let waited = now.0.saturating_sub(received.0);
        self.least = self.least.min(waited);
        if waited <= self.target() {
            self.over = 0; // One quick passage shows that the queue is gone.
        } else if now >= self.ends {
            // The first message after a pause opens an interval; it alone says nothing about a standing queue.
            let full = self.ends != Time(0) && now.0 - self.ends.0 < INTERVAL;
            self.over = if full && self.least > self.target() {
                self.over + 1
            } else {
                self.over
            };
        }
        if now >= self.ends {
            (self.least, self.ends) = (waited, Time(now.0.saturating_add(INTERVAL)));
        }
        if open >= self.bounds.max_pending || player >= self.bounds.max_pending_per_player {
            AdmissionDecision::TooManyPending
        } else if self.over > 0 {
            AdmissionDecision::Overloaded
        } else {
            AdmissionDecision::Admit
        }
    }

    /// When a refused player should come back, nanoseconds; `dice` in 0..1 spreads those refused together.
    pub fn retry_after(&self, dice: f64) -> u64 {
        let cap = self.bounds.max_retry_after as f64;
        let span = (cap * (1 + self.over).min(ADVICE_PART) as f64 / ADVICE_PART as f64).min(cap);
        (span * (0.5 + 0.5 * dice.clamp(0.0, 1.0))) as u64
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    const MS: u64 = 1_000_000;

    fn overload() -> OverloadDetector {
        OverloadDetector::new(OverloadLimits {
            max_pending: 10,
            max_pending_per_player: 3,
            latency_objective: 800 * MS,
            max_retry_after: SECOND,
        })
    }

    /// Feeds a message a millisecond with the given wait; says how many were taken.
    fn feed(o: &mut OverloadDetector, from: u64, count: u64, wait: u64) -> usize {
        let verdict = |i: u64| {
            o.admit(
                Time(from + i * MS),
                Time((from + i * MS).saturating_sub(wait)),
                0,
                0,
            ) == AdmissionDecision::Admit
        };
        (0..count).map(verdict).filter(|t| *t).count()
    }

    #[test]
    fn a_burst_that_drains_is_taken_and_a_standing_queue_is_refused() {
        let mut o = overload();
        assert_eq!(
            feed(&mut o, SECOND, 80, 60 * MS),
            80,
            "a burst shorter than the interval"
        );
        assert_eq!(feed(&mut o, SECOND + 80 * MS, 1, MS), 1);
        let taken = feed(&mut o, 2 * SECOND, 1000, 60 * MS);
        assert!(
            (100..300).contains(&taken),
            "refuses after two intervals of standing queue: {taken}"
        );
        assert_eq!(
            feed(&mut o, 3 * SECOND, 50, MS),
            50,
            "one quick passage ends it"
        );
    }

    #[test]
    fn counts_are_bounded_in_all_and_for_each_player() {
        let mut o = overload();
        let t = Time(SECOND);
        assert_eq!(o.admit(t, t, 9, 2), AdmissionDecision::Admit);
        assert_eq!(o.admit(t, t, 10, 0), AdmissionDecision::TooManyPending);
        assert_eq!(o.admit(t, t, 0, 3), AdmissionDecision::TooManyPending);
    }

    #[test]
    fn advice_is_spread_grows_and_stays_under_what_players_follow() {
        let mut o = overload();
        let calm = o.retry_after(1.0);
        assert!(o.retry_after(0.0) < calm);
        feed(&mut o, SECOND, 2000, 60 * MS);
        assert!(
            o.retry_after(1.0) > calm
                && o.retry_after(1.0) <= SECOND
                && o.retry_after(7.0) <= SECOND
        );
    }
}
