//! State of a replica: servers, sessions, the fleet, and their bookkeeping. Decisions and tuned values are kept out of
//! it; they are in the modules that `deploy/balancer.toml` lists as `policy`.
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
pub(crate) use server::{ServerRecord, ShortDelivery};
pub(crate) use session::{Demotion, EndedAttempt, Offer, RequestKind, SessionRecord, SessionState};
pub(crate) use slots::{log_step, step_value, RegionKey, SlotBudget, Split};
pub(crate) use time::{TimeArithmetic, SECOND};

/// Actions for the embedder, in the order to carry them out.
pub(crate) type Actions = Vec<crate::interface::Action>;
