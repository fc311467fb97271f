//! Claims: what is to hold of a fleet, and within which time.
use super::Fronts;
use crankpaddle_membership::{LocalHealth, MemberState};
use crankpaddle_time::nanoseconds;
use std::time::Duration;

/// How long something may take; longer in a larger fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    pub(super) base: Duration,
    pub(super) per_decade: Duration, // For each power of ten of the fleet's size.
}

impl Bound {
    /// The bound in a fleet of so many.
    #[must_use]
    pub fn of(&self, fleet: usize) -> Duration {
        let decades = (fleet as f64).log10().max(1.0);
        let growth = nanoseconds(self.per_decade) as f64 * decades;
        self.base + Duration::from_nanos(growth as u64)
    }
}

/// What is claimed.
#[derive(Clone, Debug, PartialEq)]
pub enum Claim {
    /// Each of `at` sees each of `of` in a state.
    See {
        /// The fronts whose view it is.
        at: Fronts,
        /// The fronts that are viewed.
        of: Fronts,
        /// The state.
        state: MemberState,
        /// The time that it may take.
        bound: Bound,
    },
    /// At most so many accusations since the mark.
    Accused {
        /// The accusing fronts that count.
        by: Fronts,
        /// Fronts that are accused rightly.
        but: Fronts,
        /// Accusations allowed in the whole fleet.
        most: u32,
        /// Accusations allowed for each front, in addition.
        per_front: f64,
    },
    /// The own health of each of these fronts.
    LocalHealth {
        /// The fronts.
        at: Fronts,
        /// Their health.
        health: LocalHealth,
        /// The time that it may take.
        bound: Bound,
    },
    /// Each of `at` sees a new incarnation of each of `of`.
    Restarted {
        /// The fronts whose view it is.
        at: Fronts,
        /// The fronts that restarted.
        of: Fronts,
        /// The time that it may take.
        bound: Bound,
    },
    /// A part of the other fronts knows the entry that was written last.
    EntryKnown {
        /// The part.
        part: f64,
        /// The time that it may take.
        bound: Bound,
        /// The largest error of the entry's age.
        max_age_error: Duration,
    },
    /// Of the players that lost a session with the power, a part has one again or left, since the mark.
    Recovered {
        /// Whether only sessions of paid classes count.
        paid: bool,
        /// The part.
        part: f64,
        /// The time that it may take.
        bound: Bound,
    },
}
