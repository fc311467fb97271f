//! A session front without I/O: inputs and the time go in, outputs that the driver carries out come back.
//!
//! [`Core`] gives each request exactly one answer before its viewer gives up. It hosts the placement policy
//! ([`crankpaddle::PlacementPolicy`]), which chooses servers and rungs; the core owns what the policy does not treat:
//! answer deadlines, attempts and their time-outs, players that disconnect and reattach, idempotency keys, load shedding
//! of the front itself and its shutdown. It knows no protocol: WebSocket, RTMP and the testbed drive the same core.
//!
//! To drive it, as any state machine without I/O:
//!
//! - call [`Core::handle`] for each [`Input`], and [`Core::expire`] when [`Core::next_expiry`] has passed;
//! - carry out the [`Output`]s that each call adds, in order;
//! - time is [`Time`], nanoseconds of a monotonic clock; the same inputs give the same outputs.
//!
//! Modules: [`core`](Core) decides which outcome an event amounts to, [`keys`] what a known key means, `overload` when
//! the front itself sheds load, `recovery_queue` holds the requests that wait for reconciliation, `timers` the expiries.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod core;
mod ids;
mod input;
mod jitter;
pub mod keys;
mod log_text;
mod output;
mod overload;
mod recovery_queue;
mod timers;

pub use crate::core::{Core, CoreConfig, EventObserver, InvariantViolation};
pub use crankpaddle::{
    AttemptOutcome, CrossZonePolicy, Endpoint, EndpointListKind, Event, Lifecycle, LoadReport,
    RequestId, ServerId, SessionUpdate, Settings, Time,
};
pub use crankpaddle_recovery::{
    ConservativeBound, PreviousShutdown, RecoveryStage, StageEvidence, StagedRecovery,
};
pub use ids::{AttemptId, Call, PlayerId};
pub use input::{Input, OpenRequest, SetUpResult};
pub use jitter::jitter;
pub use output::{
    Answer, FailureReason, Notification, Output, RejectReason, SessionEndReason, SetUpOrder,
};
