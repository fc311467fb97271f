//! How far each kind of state can be trusted after the host lost power.
//!
//! The policy is enforced by types. A front starts from a [`RecoveredState`](crate::RecoveredState), whose fields are all
//! either [`StillValid`] or [`ConservativeBound`]. There is no wrapper type for discarded state, so it can't be recovered.
//! [`StoreWrite::state_kind`](crate::intents::StoreWrite::state_kind) names the kind of state that each write to the store
//! persists, and a test checks that none of these kinds is [`PowerLossPolicy::Discarded`].

/// How far a kind of state can be trusted after a power loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PowerLossPolicy {
    /// It is as valid as it was before the power loss.
    StillValid,
    /// It may be out of date. It is used only if it makes the front more cautious.
    Conservative,
    /// It is meaningless after a restart and is never persisted.
    Discarded,
}

/// A kind of state that a front has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StateKind {
    /// A paid set-up that has been sent or was about to be sent.
    Intent,
    /// The outcome of a paid key.
    IntentOutcome,
    /// The identity of this front and the number of its starts.
    Epoch,
    /// The number of fronts in the fleet.
    FleetSize,
    /// The servers that are draining or were removed.
    Draining,
    /// The servers with their addresses and properties.
    EndpointList,
    /// When a server started, which determines whether it is warming up.
    ServerStart,
    /// The load of links and uplinks.
    Load,
    /// The age of an observation.
    ObservationAge,
    /// Admission slots at servers that are warming up, backoffs, quotas of tenants, and retry budgets.
    AdmissionSlot,
    /// The established sessions.
    Session,
    /// Points in time of the front's monotonic clock.
    MonotonicClock,
}

impl StateKind {
    /// All kinds of state, in the order of the table in docs/power.md.
    pub const ALL: [StateKind; 12] = [
        StateKind::Intent,
        StateKind::IntentOutcome,
        StateKind::Epoch,
        StateKind::FleetSize,
        StateKind::Draining,
        StateKind::EndpointList,
        StateKind::ServerStart,
        StateKind::Load,
        StateKind::ObservationAge,
        StateKind::AdmissionSlot,
        StateKind::Session,
        StateKind::MonotonicClock,
    ];

    /// How far this kind of state can be trusted after a power loss.
    #[must_use]
    pub const fn policy(self) -> PowerLossPolicy {
        match self {
            StateKind::Intent | StateKind::IntentOutcome | StateKind::Epoch => {
                PowerLossPolicy::StillValid
            }
            StateKind::FleetSize
            | StateKind::Draining
            | StateKind::EndpointList
            | StateKind::ServerStart => PowerLossPolicy::Conservative,
            StateKind::Load
            | StateKind::ObservationAge
            | StateKind::AdmissionSlot
            | StateKind::Session
            | StateKind::MonotonicClock => PowerLossPolicy::Discarded,
        }
    }

    /// The reason for the policy, or how the state is used. The table in docs/power.md contains the same text.
    #[must_use]
    pub const fn rationale(self) -> &'static str {
        match self {
            StateKind::Intent => {
                "it was on disk before the first byte was sent; its server is asked whether it ran"
            }
            StateKind::IntentOutcome => {
                "a paid key that ran stays completed; it is not set up again"
            }
            StateKind::Epoch => "it only grows; each start has a number of its own",
            StateKind::FleetSize => {
                "a smaller fleet is not assumed until servers had time to warm up"
            }
            StateKind::Draining => {
                "servers that were draining are not used until an endpoint list names them active"
            }
            StateKind::EndpointList => {
                "servers are queried at their last known addresses; a live list takes precedence"
            }
            StateKind::ServerStart => {
                "each server counts as warming up until it reports its own age"
            }
            StateKind::Load => "links have emptied or filled since; load is reported afresh",
            StateKind::ObservationAge => "the duration of the power loss is unknown",
            StateKind::AdmissionSlot => {
                "its clock is gone; slots start as for servers that have just started"
            }
            StateKind::Session => {
                "servers may have lost or retained sessions; their inventories list them"
            }
            StateKind::MonotonicClock => "a monotonic clock does not survive a boot",
        }
    }
}

/// A value that is as valid as it was before the power loss.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StillValid<T>(pub T);

/// A value that may be out of date and serves only as a lower bound, so that it can only make the front more cautious.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConservativeBound<T>(T);

impl<T: Ord + Copy> ConservativeBound<T> {
    /// A lower bound on a quantity for which a larger value is more cautious.
    pub fn new(value: T) -> ConservativeBound<T> {
        ConservativeBound(value)
    }

    /// The value to assume if `observed` has been observed since the power loss: the larger of the two.
    #[must_use]
    pub fn at_least(self, observed: T) -> T {
        self.0.max(observed)
    }
}

#[cfg(test)]
mod tests;
