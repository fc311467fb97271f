//! The suspicion timeout: the more members suspect a member, the less time it has to refute.
use crankpaddle_time::{nanoseconds, Time};
use std::collections::BTreeSet;
use std::time::Duration;

/// Confirmations by other members after which the shortest timeout holds (Lifeguard's `k`).
const CONFIRMATIONS: u32 = 3;
/// The longest timeout is this multiple of the shortest (Lifeguard's `beta`).
const MAX_TIMEOUT_MULTIPLIER: f64 = 6.0;
/// The shortest timeout is this multiple of the probe interval, times the logarithm of the fleet's size (Lifeguard's `alpha`).
const MIN_TIMEOUT_MULTIPLIER: f64 = 4.0;

/// The suspicion of one member: which others suspect it, and until when it may refute.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    since: Time,
    min_timeout: f64, // Nanoseconds.
    confirmations_needed: u32,
    accusers: BTreeSet<String>,
}

impl Suspicion {
    /// A suspicion that `accuser` raised at `now`, in a fleet of `active_members` that probe every `probe_interval`.
    ///
    /// Why a timeout that shrinks: a fixed one is too long where all members see the death, and too short where only one of
    /// them, whose own link is bad, does (Lifeguard's dynamic suspicion).
    pub(crate) fn new(
        now: Time,
        accuser: &str,
        active_members: usize,
        probe_interval: Duration,
    ) -> Suspicion {
        let scale = (active_members.max(1) as f64).log10().max(1.0);
        let witnesses = u32::try_from(active_members.saturating_sub(2)).unwrap_or(CONFIRMATIONS);
        Suspicion {
            since: now,
            min_timeout: MIN_TIMEOUT_MULTIPLIER * scale * nanoseconds(probe_interval) as f64,
            confirmations_needed: CONFIRMATIONS.min(witnesses),
            accusers: BTreeSet::from([accuser.to_owned()]),
        }
    }

    /// Adds another accuser; true if it is a new one that shortens the timeout.
    pub(crate) fn confirm(&mut self, accuser: &str) -> bool {
        self.accusers.len() <= self.confirmations_needed as usize
            && self.accusers.insert(accuser.to_owned())
    }

    /// When the member is declared dead unless it refutes.
    pub(crate) fn deadline(&self) -> Time {
        let max_timeout = MAX_TIMEOUT_MULTIPLIER * self.min_timeout;
        let confirmations = (self.accusers.len() as f64 - 1.0).max(0.0);
        let shortened_by = if self.confirmations_needed == 0 {
            1.0
        } else {
            (confirmations + 1.0).ln() / (f64::from(self.confirmations_needed) + 1.0).ln()
        };
        let timeout = max_timeout - (max_timeout - self.min_timeout) * shortened_by;
        self.since + Duration::from_nanos(timeout.max(self.min_timeout) as u64)
    }

    /// Postpones the deadline by a time in which no refutation could have been received.
    pub(crate) fn postpone(&mut self, by: Duration) {
        self.since += by;
    }
}
