//! Fault simulation for a fleet of fronts: scenarios (scripted cases with claims that are checked), a network with faults, and
//! fleets in one process on a virtual clock to run them on. The membership state machine is the same that runs behind sockets;
//! the seed and the size of the fleet decide everything.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod cluster;
mod error;
mod event_queue;
mod network_conditions;
mod process_state;
mod runner;
mod scenario;
mod simulated_network;
mod simulated_process;

pub use cluster::{all_see, Cluster, EntryAge, MemberTransition, RecoveryProgress, SendRate};
pub use error::{ActionError, FrontsError};
pub use event_queue::EventQueue;
pub use network_conditions::{Link, LinkFilter, NetworkConditions};
pub use process_state::ProcessState;
pub use runner::{play, CaseResult, ClaimResult};
pub use scenario::{
    parse, Action, Bound, Build, Case, Claim, DelayRange, DiskState, Fronts, HostAction, Step,
    CASES,
};
pub use simulated_network::{
    front_name, front_number, member_config, Accusation, ChangeRecord, HealthRecord, SentDatagram,
    SimulatedNetwork, SimulatedNode,
};
pub use simulated_process::{SentCounts, SimulatedProcesses, START_OF_TIME, USUAL_DELAY};

use crankpaddle_time::nanoseconds;
use std::time::Duration;

/// A millisecond.
pub const MS: Duration = Duration::from_millis(1);
/// A second.
pub const SECOND: Duration = Duration::from_secs(1);
const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// A duration in seconds. Why not `as_secs_f64`: it rounds otherwise, and simulated figures are compared to the last digit.
fn seconds(duration: Duration) -> f64 {
    nanoseconds(duration) as f64 / NANOSECONDS_PER_SECOND
}
