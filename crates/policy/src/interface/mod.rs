//! Input and output types of a [`PlacementPolicy`](crate::PlacementPolicy). Nothing is decided here.
//!
//! Times and durations are in nanoseconds, rates in kB per second. Rungs are counted from 0, the lowest.
mod action;
mod endpoint;
mod event;
mod ids;
mod load_report;
mod settings;
pub use action::Action;
pub use crankpaddle_time::Time;
pub use endpoint::{CrossZonePolicy, Endpoint, EndpointListKind, Lifecycle};
pub use event::{AttemptOutcome, Event, SessionRequest, SessionUpdate};
pub use ids::{RequestId, ServerId};
pub use load_report::{LoadField, LoadReport, ServerEstimate};
pub use settings::{Idempotency, RetryScope, SessionClass, Settings};
