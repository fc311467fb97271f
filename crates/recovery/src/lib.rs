//! Back from a power loss: what a front may still trust, how it settles what it had begun, and in which order it serves again.
//!
//! No I/O and no clock: what was kept, what servers say and the time go in, verdicts and stages come out.
//!
//! - [`power_loss_policy`]: for each thing that a front knows, what it is worth after its host lost power;
//! - [`recovered_state`]: what a front starts from;
//! - [`intents`]: the ledger of paid set-ups, each written down before its first byte leaves;
//! - [`reconciliation`]: what becomes of those that a former life left open, by the books of the servers;
//! - [`stages`]: dark, reading, settling, paid, all, normal.
//!
//! The law: what was kept, or is heard from a server's book, may make a front more careful. Where it is wrong, old, torn or gone, worth
//! is lost and no rule.
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
    InventorySession, Reconciliation, ReconciliationStep, Resolution, SessionInventory,
};
pub use recovered_state::{PreviousShutdown, RecoveredState};
pub use stages::{
    RecoveryAdmission as Admission, RecoveryStage, StageEvidence, StageTimeouts, StagedRecovery,
};
