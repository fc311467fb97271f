//! Claims: conditions that a fleet has to fulfil, most of them within a time limit.
use super::FrontSet;
use crankpaddle_membership::{LocalHealth, MemberState};
use crankpaddle_time::nanoseconds;
use std::time::Duration;

/// The time within which a claim has to hold; longer in a larger fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimeBound {
    pub(super) base: Duration,
    pub(super) per_decade: Duration, // Multiplied by the decimal logarithm of the fleet's size, which counts as at least 1.
}

impl TimeBound {
    /// The time limit in a fleet of this size.
    #[must_use]
    pub fn for_fleet(&self, fleet_size: usize) -> Duration {
        let decades = (fleet_size as f64).log10().max(1.0);
        let growth = nanoseconds(self.per_decade) as f64 * decades;
        self.base + Duration::from_nanos(growth as u64)
    }
}

/// A condition on a fleet. Names in parentheses are those of the steps in `proto/case.proto`.
#[derive(Clone, Debug, PartialEq)]
pub enum Claim {
    /// Each viewer sees each viewed front in the given state (`see`).
    MembersSeenAs {
        /// Fronts whose views are checked.
        viewers: FrontSet,
        /// Fronts whose state in these views is checked; a front's view of itself does not count.
        viewed: FrontSet,
        /// The state in which each viewer must see each viewed front.
        state: MemberState,
        /// Time limit, from the check on.
        bound: TimeBound,
    },
    /// A limit on how often fronts were wrongly declared dead since the start of the measurement (`accused`).
    FalseAccusations {
        /// Fronts whose declarations count.
        accusers: FrontSet,
        /// Fronts that are rightly declared dead, so that this does not count.
        except: FrontSet,
        /// Number of false accusations allowed, regardless of the fleet's size.
        max_accusations: u32,
        /// Number of false accusations allowed in addition, for each front of the fleet.
        max_accusations_per_front: f64,
    },
    /// Each of the fronts estimates its own health as given (`stands`).
    LocalHealth {
        /// Fronts whose own health is checked.
        fronts: FrontSet,
        /// The health that each of the fronts must estimate for itself.
        health: LocalHealth,
        /// Time limit, from the check on.
        bound: TimeBound,
    },
    /// Each viewer has seen a new incarnation of each restarted front since the start of the measurement (`news`).
    RestartsSeen {
        /// Fronts whose views are checked.
        viewers: FrontSet,
        /// Fronts of which a new incarnation has to be seen.
        restarted: FrontSet,
        /// Time limit, from the check on.
        bound: TimeBound,
    },
    /// At least a fraction of the fronts has the entry of the gossip state that front 0 wrote last (`holds`).
    EntryKnown {
        /// Smallest fraction, from 0 to 1, of all fronts except front 0.
        min_fraction: f64,
        /// Time limit, from the check on.
        bound: TimeBound,
        /// Largest allowed error of the entry's age, as any front with the entry computes it.
        max_age_error: Duration,
    },
    /// At least a fraction of the viewers that lost their session in a power failure has one again or has left (`back`).
    SessionsRecovered {
        /// Whether only sessions of paid classes count.
        paid: bool,
        /// Smallest fraction, from 0.01 to 1, of the viewers that lost their session.
        min_fraction: f64,
        /// Time limit, from the start of the measurement on.
        bound: TimeBound,
    },
}
