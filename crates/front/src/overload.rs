//! Load shedding of the front itself, when more requests wait than it can answer in time.
//!
//! The placement policy knows whether servers have capacity, but it does not know whether this process falls behind.
//! The front rejects requests on two conditions. The first is the number of pending requests, in total and for each
//! player, which the settings bound. The second is the time that messages wait between the socket and the core, which
//! is assessed in the manner of CoDel (RFC 8289). A burst that drains is harmless, so the front sheds load only while
//! the shortest wait within an interval exceeds the target, until one message passes quickly.
//!
//! A front that admitted everything would answer everything late, and the viewers that gave up would retry. The
//! disadvantage of shedding is that for one interval after a stall the front rejects requests that it could have
//! served.
use crankpaddle::Time;
use crankpaddle_time::nanoseconds;
use std::time::Duration;

/// The shortest wait is determined over this time. RFC 8289 recommends an interval of about the longest usual round
/// trip.
const MEASUREMENT_INTERVAL: Duration = Duration::from_millis(100);
/// The target for the shortest wait is the shortest latency objective divided by this number. A longer wait in the
/// front's own queue would leave the servers too little time.
const TARGET_DIVISOR: u32 = 16;
/// Lower bound of the target, so that it is not zero.
const MIN_TARGET: Duration = Duration::from_nanos(1);
/// Number of steps in which the Retry-After grows to its maximum, one for each interval of overload.
const RETRY_AFTER_STEPS: u64 = 4;

/// The limits given by the settings.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OverloadLimits {
    /// Maximum number of pending requests in total.
    pub max_pending: usize,
    /// Maximum number of pending requests of one player.
    pub max_pending_per_player: usize,
    /// Shortest latency objective of all classes.
    pub latency_objective: Duration,
    /// Longest Retry-After that players follow; a longer one is never given.
    pub max_retry_after: Duration,
}

/// Whether the front admits a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdmissionDecision {
    /// The request is admitted.
    Admit,
    /// Too many requests are pending.
    TooManyPending,
    /// The front falls behind and sheds load.
    Overloaded,
}

/// Detects that the front falls behind, by the number of pending requests and by how long messages waited.
#[derive(Clone, Debug)]
pub(crate) struct OverloadDetector {
    limits: OverloadLimits,
    /// Shortest wait within the current interval.
    shortest_wait: Duration,
    /// `None` before the first request.
    interval_ends_at: Option<Time>,
    /// Number of consecutive intervals whose shortest wait exceeded the target.
    overloaded_intervals: u64,
}

impl OverloadDetector {
    pub(crate) fn new(limits: OverloadLimits) -> OverloadDetector {
        OverloadDetector {
            limits,
            shortest_wait: Duration::MAX,
            interval_ends_at: None,
            overloaded_intervals: 0,
        }
    }

    /// Decides whether to admit a request that was read at `received_at`, while `pending` requests are pending in total
    /// and `pending_of_player` of the same player.
    pub(crate) fn admit(
        &mut self,
        now: Time,
        received_at: Time,
        pending: usize,
        pending_of_player: usize,
    ) -> AdmissionDecision {
        self.record_wait(now, now.duration_since(received_at));
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

    /// The Retry-After of a rejected player. `jitter`, from 0 to 1, spreads players that are rejected together.
    pub(crate) fn retry_after(&self, jitter: f64) -> Option<Duration> {
        let max_ns = nanoseconds(self.limits.max_retry_after) as f64;
        let steps = (1 + self.overloaded_intervals).min(RETRY_AFTER_STEPS);
        let upper_ns = (max_ns * steps as f64 / RETRY_AFTER_STEPS as f64).min(max_ns);
        retry_after_from_ns((upper_ns * (0.5 + 0.5 * jitter.clamp(0.0, 1.0))) as u64)
    }

    fn target(&self) -> Duration {
        (self.limits.latency_objective / TARGET_DIVISOR).max(MIN_TARGET)
    }

    fn record_wait(&mut self, now: Time, wait: Duration) {
        self.shortest_wait = self.shortest_wait.min(wait);
        let interval_over = self.interval_ends_at.is_none_or(|end| now >= end);
        if wait <= self.target() {
            self.overloaded_intervals = 0; // One short wait shows that the queue has drained.
        } else if interval_over
            && self.arrivals_did_not_pause(now)
            && self.shortest_wait > self.target()
        {
            self.overloaded_intervals += 1;
        }
        if interval_over {
            self.shortest_wait = wait;
            self.interval_ends_at = Some(now + MEASUREMENT_INTERVAL);
        }
    }

    /// Whether less than one interval passed between the end of the last interval and this message. The first message
    /// after a longer pause only starts a new interval, since a single long wait does not prove a standing queue.
    fn arrivals_did_not_pause(&self, now: Time) -> bool {
        self.interval_ends_at
            .is_some_and(|end| now.duration_since(end) < MEASUREMENT_INTERVAL)
    }
}

/// Converts nanoseconds to a Retry-After; 0 stands for none.
pub(crate) fn retry_after_from_ns(retry_after_ns: u64) -> Option<Duration> {
    (retry_after_ns > 0).then(|| Duration::from_nanos(retry_after_ns))
}

#[cfg(test)]
mod tests;
