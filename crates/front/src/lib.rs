//! The logic of a session front as a state machine without I/O.
//!
//! [`Core`] answers each request exactly once, before its viewer gives up. It runs the placement policy
//! ([`crankpaddle::PlacementPolicy`]), which chooses servers and rungs. The core handles everything else: answer
//! deadlines, attempts and their time-outs, players that disconnect and reattach, idempotency keys, load shedding of
//! the front itself and its shutdown. It is independent of the protocols, so the daemon and the front node use the
//! same core.
//!
//! The code that drives a core:
//!
//! - calls [`Core::handle`] for each [`Input`], and [`Core::expire`] when [`Core::next_expiry`] has passed;
//! - carries out the [`Output`]s that each call appends, in order;
//! - passes the current [`Time`] to each call, in nanoseconds of a monotonic clock. The same inputs at the same times
//!   give the same outputs.
//!
//! Modules: `core` is the state machine, [`keys`] defines what a repeated idempotency key means, `overload` decides
//! when the front itself sheds load, `recovery_queue` holds the requests that wait for reconciliation, `timers` orders
//! the expiries, `log_text` formats answers and notifications for log lines.
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
pub use ids::{AttemptId, PlayerCall, PlayerId};
pub use input::{Input, OpenRequest, RateCap, SendState, SetUpResult};
pub use jitter::jitter;
pub use output::{
    Answer, FailureReason, Notification, Output, RejectReason, SessionEndReason, SetUpOrder,
};
