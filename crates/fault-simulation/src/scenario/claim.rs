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
    /// Each viewer sees each viewed front in a state (`see`).
    See {
        /// The fronts whose view it is.
        viewers: Fronts,
        /// The fronts that are viewed.
        viewed: Fronts,
        /// The state.
        state: MemberState,
        /// The time that it may take.
        bound: Bound,
    },
    /// A limit on the false accusations since the mark (`accused`).
    Accused {
        /// The fronts whose accusations count.
        accusers: Fronts,
        /// Fronts that are rightly accused.
        except: Fronts,
        /// Accusations allowed in the complete fleet.
        allowed: u32,
        /// Accusations allowed for each front, in addition.
        allowed_per_front: f64,
    },
    /// The own health of each of some fronts (`stands`).
    LocalHealth {
        /// The fronts.
        fronts: Fronts,
        /// Their health.
        health: LocalHealth,
        /// The time that it may take.
        bound: Bound,
    },
    /// Each viewer sees a new incarnation of each restarted front, since the mark (`news`).
    Restarted {
        /// The fronts whose view it is.
        viewers: Fronts,
        /// The fronts that restarted.
        restarted: Fronts,
        /// The time that it may take.
        bound: Bound,
    },
    /// A part of the other fronts knows the entry that was written last (`holds`).
    EntryKnown {
        /// The part.
        part: f64,
        /// The time that it may take.
        bound: Bound,
        /// The largest error of the entry's age.
        max_age_error: Duration,
    },
    /// Of the players that lost a session with the power, a part has one again or left, since the mark (`back`).
    Recovered {
        /// Whether only sessions of paid classes count.
        paid: bool,
        /// The part.
        part: f64,
        /// The time that it may take.
        bound: Bound,
    },
}
