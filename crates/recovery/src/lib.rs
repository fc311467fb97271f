//! Recovery from a power loss: which state a front may still trust, how it reconciles unresolved paid set-ups with the servers, and
//! in which order it resumes service.
//!
//! The package is pure: there is no I/O and no clock. Persisted state, servers' inventories and the time are passed in; resolutions
//! and stages are returned.
//!
//! - [`power_loss_policy`]: how far each kind of state can be trusted after a power loss;
//! - [`recovered_state`]: the state that a front starts from;
//! - [`intents`]: the write-ahead ledger of paid set-ups;
//! - [`reconciliation`]: how the intents that a previous incarnation left unresolved are resolved by the servers' inventories;
//! - [`stages`]: the staged return of service, from offline to normal.
//!
//! Invariant: persisted state, and what a server's inventory states, may only make a front more cautious. Where it is wrong, out of
//! date, corrupted or missing, service is worse and no rule is broken.
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
    InventoryOutcome, InventorySession, Reconciliation, ReconciliationStep, Resolution,
    ServerCounts, SessionInventory,
};
pub use recovered_state::{PreviousShutdown, RecoveredState};
pub use stages::{
    RecoveryAdmission, RecoveryStage, StageEvidence, StageTimeouts, StageTransition, StagedRecovery,
};
