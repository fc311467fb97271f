//! What a replica keeps of servers, sessions and the fleet: containers and their upkeep, without a choice or a tuned
//! value. The choices stand in the modules that the deploy file lists as the policy.
mod accounting;
mod controller;
mod fleet;
mod server;
mod session;
mod slots;
mod time;
pub(crate) use accounting::Accounting;
pub use controller::PlacementPolicy;
pub(crate) use fleet::{
    weighted_mean, ArrivalCount, FleetAggregates, LoadEstimate, OwnChange, SessionChange, TenantUsage,
    UplinkGroup,
};
pub(crate) use server::{Server, ShortDelivery};
pub(crate) use session::{Demotion, EndedAttempt, Offer, RequestKind, Session, SessionState};
pub(crate) use slots::{log_step, step_value, RegionKey, SlotBudget, Split};
pub(crate) use time::{Nanoseconds, SECOND};

/// What is to be done, in order.
pub(crate) type Actions = Vec<crate::interface::Action>;
