//! Recovery of a front after a power loss: which persisted state it may still trust, how it reconciles unresolved paid set-ups
//! with the servers, and in which order it resumes service.
//!
//! The package is pure: it does no I/O and reads no clock. Persisted state, the inventories of servers and the time are passed
//! in. Resolutions and stages are returned.
//!
//! - [`power_loss_policy`]: how far each kind of state can be trusted after a power loss;
//! - [`recovered_state`]: the state that a front starts from;
//! - [`intents`]: the write-ahead ledger of paid set-ups;
//! - [`reconciliation`]: how the inventories of servers resolve the intents that a previous incarnation left unresolved;
//! - [`stages`]: the staged return of service, from offline to normal.
//!
//! Invariant: persisted state and the inventories of servers may only make a front more cautious. If they are wrong, out of
//! date, corrupted or missing, service is worse, but no rule is broken.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
pub mod intents;
pub mod power_loss_policy;
pub mod reconciliation;
pub mod recovered_state;
pub mod stages;

pub use intents::{Intent, IntentLedger, IntentOutcome, Key, StoreWrite};
pub use power_loss_policy::{ConservativeBound, PowerLossPolicy, StateKind, StillValid};
pub use reconciliation::{
    InventoryOutcome, InventorySession, Reconciliation, ReconciliationRequest, Resolution,
    ServerCounts, SessionInventory,
};
pub use recovered_state::{PreviousShutdown, RecoveredState};
pub use stages::{
    RecoveryAdmission, RecoveryStage, StageEvidence, StageTimeouts, StageTransition, StagedRecovery,
};
