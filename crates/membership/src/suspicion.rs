//! The suspicion timeout. The more members suspect a member, the less time it has to refute the suspicion.
use crankpaddle_time::{nanoseconds, Time};
use std::collections::BTreeSet;
use std::time::Duration;

/// The number of confirmations by other members at which the timeout reaches its minimum (Lifeguard's `k`).
const CONFIRMATIONS_FOR_MIN_TIMEOUT: u32 = 3;
/// The maximum timeout is this multiple of the minimum (Lifeguard's `beta`).
const MAX_TIMEOUT_MULTIPLIER: f64 = 6.0;
/// The minimum timeout is this multiple of the probe interval, times the decimal logarithm of the fleet size, which counts as 1
/// at least (Lifeguard's `alpha`).
const MIN_TIMEOUT_MULTIPLIER: f64 = 4.0;

/// The suspicion of one member: which others suspect it, and until when it may refute that.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    timeout_started_at: Time,
    min_timeout_nanoseconds: f64,
    confirmations_needed: u32,
    accusers: BTreeSet<String>,
}

impl Suspicion {
    /// A suspicion that `accuser` raised at `now`, in a fleet of `active_members` members that probe every `probe_interval`.
    ///
    /// The timeout shrinks with each confirmation (Lifeguard's dynamic suspicion). A fixed timeout would be too long if all
    /// members notice a death, and too short if only one member suspects another because its own link is bad.
    pub(crate) fn new(
        now: Time,
        accuser: &str,
        active_members: usize,
        probe_interval: Duration,
    ) -> Suspicion {
        let fleet_size_factor = (active_members.max(1) as f64).log10().max(1.0);
        let possible_confirmations = u32::try_from(active_members.saturating_sub(2))
            .unwrap_or(CONFIRMATIONS_FOR_MIN_TIMEOUT);
        Suspicion {
            timeout_started_at: now,
            min_timeout_nanoseconds: MIN_TIMEOUT_MULTIPLIER
                * fleet_size_factor
                * nanoseconds(probe_interval) as f64,
            confirmations_needed: CONFIRMATIONS_FOR_MIN_TIMEOUT.min(possible_confirmations),
            accusers: BTreeSet::from([accuser.to_owned()]),
        }
    }

    /// Adds another accuser. Returns whether it is a new one that shortens the timeout.
    pub(crate) fn confirm(&mut self, accuser: &str) -> bool {
        self.accusers.len() <= self.confirmations_needed as usize
            && self.accusers.insert(accuser.to_owned())
    }

    /// When the member is declared dead unless it refutes the suspicion.
    pub(crate) fn deadline(&self) -> Time {
        let min_timeout = self.min_timeout_nanoseconds;
        let max_timeout = MAX_TIMEOUT_MULTIPLIER * min_timeout;
        let confirmations = (self.accusers.len() as f64 - 1.0).max(0.0);
        let shortened_fraction = if self.confirmations_needed == 0 {
            1.0
        } else {
            (confirmations + 1.0).ln() / (f64::from(self.confirmations_needed) + 1.0).ln()
        };
        let timeout = max_timeout - (max_timeout - min_timeout) * shortened_fraction;
        self.timeout_started_at + Duration::from_nanos(timeout.max(min_timeout) as u64)
    }

    /// Postpones the deadline by a time in which this member could not have received a refutation.
    pub(crate) fn postpone(&mut self, by: Duration) {
        self.timeout_started_at += by;
    }
}
