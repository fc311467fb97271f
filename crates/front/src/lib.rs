//! A session front without I/O: what players and servers say goes in with the time, what is to be done comes out.
//!
//! [`Core`] owes each request exactly one answer before its viewer gives up. It hosts the decision module
//! ([`crankpaddle::PlacementPolicy`]), which chooses servers and rungs; the core keeps what the module does not treat: give-up
//! clocks, attempts and their time-outs, players that are lost and come back, keys that stand for one session, the
//! front's own overload and its end. No protocol is known here: WebSocket, RTMP and the laboratory drive the same
//! core.
//!
//! Driving it, as one drives any state machine without I/O:
//!
//! - call [`Core::handle`] for each [`Input`] and [`Core::expire`] when [`Core::next_expiry`] has come;
//! - carry out the [`Output`]s that each call adds, in order;
//! - time is [`Time`], nanoseconds of a clock that never goes back; the same inputs give the same effects.
//!
//! Where a decision stands: [`overload`] (when the front itself refuses), [`keys`] (what a known key means),
//! [`core`](Core) (which outcome an event amounts to).
#![allow(clippy::missing_errors_doc, clippy::too_many_lines)] // What cannot hold yet; the list is in docs/ROADMAP.md.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod core;
mod input;
pub mod keys;
pub mod overload;
mod recovery_queue;
mod timers;

pub use crate::core::{jitter, Core, CoreConfig, EventObserver};
pub use crankpaddle::{
    AttemptOutcome, CrossZonePolicy, Endpoint, EndpointListKind, Event, Lifecycle, LoadReport,
    RequestId, ServerId, SessionUpdate, Settings, Time,
};
pub use crankpaddle_recovery::{
    ConservativeBound, PreviousShutdown, RecoveryStage, StageEvidence, StagedRecovery,
};
pub use input::*;
