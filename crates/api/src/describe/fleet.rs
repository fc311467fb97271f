//! The body of the response to `GET /fleet`: the state of recovery and of the store.
//!
//! The doc comments of the types, fields and variants are the descriptions in the published schemas (`api/openapi.json`), so
//! they keep the wording of the first release. Names in the published JSON are kept too: each `rename` gives the published
//! name of a Rust name.
use crankpaddle_recovery::{PreviousShutdown, RecoveryStage, StageEvidence};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// How far service is back after a start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum ServiceStage {
    /// Nothing is known.
    #[default]
    #[serde(rename = "dark")]
    Offline,
    /// What was kept is being read.
    Reading,
    /// Servers are asked what became of what was begun.
    #[serde(rename = "settling")]
    Reconciling,
    /// Paid classes are served.
    #[serde(rename = "paid")]
    PaidOnly,
    /// All are served; servers may still be cold.
    #[serde(rename = "all")]
    AllClasses,
    /// As ever.
    Normal,
}

impl From<RecoveryStage> for ServiceStage {
    fn from(stage: RecoveryStage) -> ServiceStage {
        match stage {
            RecoveryStage::Offline => ServiceStage::Offline,
            RecoveryStage::Reading => ServiceStage::Reading,
            RecoveryStage::Reconciling => ServiceStage::Reconciling,
            RecoveryStage::PaidOnly => ServiceStage::PaidOnly,
            RecoveryStage::AllClasses => ServiceStage::AllClasses,
            RecoveryStage::Normal => ServiceStage::Normal,
        }
    }
}

/// Why a step back was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum StepReason {
    /// The process started.
    Started,
    /// The former life had ended in order.
    #[serde(rename = "ended_in_order")]
    CleanShutdown,
    /// The disk began to be read.
    #[serde(rename = "disk_there")]
    DiskAvailable,
    /// All that was kept is read.
    #[serde(rename = "read")]
    StateRead,
    /// Each server told, or can't be reached.
    #[serde(rename = "servers_told")]
    InventoriesReceived,
    /// No paid request was turned away for a while.
    #[serde(rename = "paid_served")]
    PaidDemandServed,
    /// Servers had time to warm.
    #[serde(rename = "warm")]
    WarmedUp,
    /// The step's time was over.
    #[serde(rename = "time")]
    TimedOut,
}

impl From<StageEvidence> for StepReason {
    fn from(evidence: StageEvidence) -> StepReason {
        match evidence {
            StageEvidence::Started => StepReason::Started,
            StageEvidence::CleanShutdown => StepReason::CleanShutdown,
            StageEvidence::DiskAvailable => StepReason::DiskAvailable,
            StageEvidence::StateRead => StepReason::StateRead,
            StageEvidence::InventoriesReceived => StepReason::InventoriesReceived,
            StageEvidence::PaidDemandServed => StepReason::PaidDemandServed,
            StageEvidence::WarmedUp => StepReason::WarmedUp,
            StageEvidence::TimedOut => StepReason::TimedOut,
        }
    }
}

/// A step of returning service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct ReturnStep {
    /// To where.
    pub stage: ServiceStage,
    /// Why.
    pub why: StepReason,
    /// How long ago, milliseconds.
    pub ago_ms: u64,
}

/// How the former life of a front ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Former")]
pub enum ShutdownKind {
    /// Nothing was kept of one: it was the first, or the disk was lost.
    #[default]
    Unknown,
    /// In order.
    #[serde(rename = "ended_in_order")]
    Clean,
    /// The process ended without a word.
    Killed,
    /// Its host was booted since.
    PowerLost,
}

impl From<PreviousShutdown> for ShutdownKind {
    fn from(shutdown: PreviousShutdown) -> ShutdownKind {
        match shutdown {
            PreviousShutdown::Unknown => ShutdownKind::Unknown,
            PreviousShutdown::Clean => ShutdownKind::Clean,
            PreviousShutdown::Killed => ShutdownKind::Killed,
            PreviousShutdown::PowerLost => ShutdownKind::PowerLost,
        }
    }
}

/// Whether what must outlive a power loss is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum StoreState {
    /// It is.
    #[default]
    Written,
    /// The last write failed; nothing paid is set up until one succeeds.
    Failing,
    /// The disk failed at the start; nothing paid is set up.
    Unusable,
}

/// What a front knows of its past and the fleet's.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Fleet {
    /// Its own name, the same in all its lives.
    pub name: String,
    /// How often it started.
    pub epoch: u64,
    /// How its former life ended.
    #[serde(rename = "former")]
    pub previous_shutdown: ShutdownKind,
    /// How far service is back.
    pub stage: ServiceStage,
    /// How it came there, in order.
    pub steps: Vec<ReturnStep>,
    /// Requests that wait until it is known what was begun.
    #[serde(rename = "held")]
    pub queued_requests: u64,
    /// Paid set-ups of former lives of which no server has told what became.
    #[serde(rename = "unsettled")]
    pub unresolved_attempts: u64,
    /// Servers that told.
    #[serde(rename = "servers_told")]
    pub servers_reconciled: u64,
    /// Servers that can't be reached; they are asked again.
    #[serde(rename = "servers_out_of_reach")]
    pub servers_unreachable: u64,
    /// Servers that are being asked.
    #[serde(rename = "servers_asked")]
    pub servers_pending: u64,
    /// Paid keys that are kept.
    #[serde(rename = "kept")]
    pub retained_keys: u64,
    /// So many fronts are reckoned with in all that is cut into parts.
    #[serde(rename = "reckoned_fronts")]
    pub replica_count: u32,
    /// Whether it can be written.
    pub store: StoreState,
}
