//! Load shedding of the front itself: when more requests wait than it can answer in time.
//!
//! The placement policy knows whether servers have capacity; it does not know that this process falls behind. Two signals
//! are watched. The number of pending requests, in all and for each player, is bounded by the settings. The time that a
//! message waited between socket and core is judged as CoDel judges a queue (RFC 8289): a burst that drains is
//! harmless, so the front sheds load only when the *least* wait seen within an interval stays over the target, until one
//! message passes quickly. Why: a front that admits everything answers everything late, and viewers who gave up retry.
//! The price: for one interval after a stall it rejects requests that it could have served.
use crankpaddle::Time;
use std::time::Duration;

const SECOND: u64 = 1_000_000_000;
/// Waits are judged over this time, nanoseconds. RFC 8289 asks for an interval of about the slowest usual round trip.
const INTERVAL: u64 = SECOND / 10;
/// The least wait may be this fraction (reciprocal) of the shortest latency objective: more of it spent in our own queue
/// leaves servers too little.
const TARGET_DIVISOR: u64 = 16;
/// The Retry-After grows by this fraction (reciprocal) of the longest one with each interval of overload.
const RETRY_AFTER_STEPS: u64 = 4;

/// The limits given by the settings.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OverloadLimits {
    /// Pending requests in all.
    pub max_pending: usize,
    /// Pending requests of one player's connection.
    pub max_pending_per_player: usize,
    /// Shortest latency objective of a class, nanoseconds.
    pub latency_objective: u64,
    /// Longest Retry-After that players follow, nanoseconds.
    pub max_retry_after: u64,
}

/// Whether the front admits a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmissionDecision {
    /// The request is admitted.
    Admit,
    /// Too many requests are pending.
    TooManyPending,
    /// The front falls behind.
    Overloaded,
}

/// Detects that the front falls behind.
#[derive(Clone, Debug)]
pub(crate) struct OverloadDetector {
    limits: OverloadLimits,
    /// Least wait seen in the current interval, nanoseconds.
    min_wait: u64,
    interval_ends_at: Time,
    /// Consecutive intervals over the target.
    overloaded_intervals: u64,
}

impl OverloadDetector {
    pub(crate) fn new(limits: OverloadLimits) -> OverloadDetector {
        OverloadDetector {
            limits,
            min_wait: u64::MAX,
            interval_ends_at: Time(0),
            overloaded_intervals: 0,
        }
    }

    /// Decides on a request that was read at `received_at`, with `pending` requests in all and `pending_of_player` of its
    /// own connection.
    pub(crate) fn admit(
        &mut self,
        now: Time,
        received_at: Time,
        pending: usize,
        pending_of_player: usize,
    ) -> AdmissionDecision {
        self.record_wait(now, now.0.saturating_sub(received_at.0));
        if pending >= self.limits.max_pending
            || pending_of_player >= self.limits.max_pending_per_player
        {
            AdmissionDecision::TooManyPending
        } else if self.overloaded_intervals > 0 {
            AdmissionDecision::Overloaded
        } else {
            AdmissionDecision::Admit
        }
    }

    /// Retry-After of a rejected player; `jitter` in 0..1 spreads players that are rejected together.
    pub(crate) fn retry_after(&self, jitter: f64) -> Option<Duration> {
        let longest = self.limits.max_retry_after as f64;
        let steps = (1 + self.overloaded_intervals).min(RETRY_AFTER_STEPS);
        let span = (longest * steps as f64 / RETRY_AFTER_STEPS as f64).min(longest);
        retry_after((span * (0.5 + 0.5 * jitter.clamp(0.0, 1.0))) as u64)
    }

    fn target(&self) -> u64 {
        (self.limits.latency_objective / TARGET_DIVISOR).max(1)
    }

    fn record_wait(&mut self, now: Time, wait: u64) {
        self.min_wait = self.min_wait.min(wait);
        let interval_over = now >= self.interval_ends_at;
        if wait <= self.target() {
            self.overloaded_intervals = 0; // One quick passage shows that the queue has drained.
        } else if interval_over && self.was_busy_until(now) && self.min_wait > self.target() {
            self.overloaded_intervals += 1;
        }
        if interval_over {
            self.min_wait = wait;
            self.interval_ends_at = Time(now.0.saturating_add(INTERVAL));
        }
    }

    /// Whether the interval that just ended was followed by messages without a pause. The first message after a pause
    /// opens an interval; alone it does not show a standing queue.
    fn was_busy_until(&self, now: Time) -> bool {
        self.interval_ends_at != Time(0) && now.0 - self.interval_ends_at.0 < INTERVAL
    }
}

/// The Retry-After of a number of nanoseconds; 0 stands for none.
pub(crate) fn retry_after(nanoseconds: u64) -> Option<Duration> {
    (nanoseconds > 0).then(|| Duration::from_nanos(nanoseconds))
}

#[cfg(test)]
mod tests;
