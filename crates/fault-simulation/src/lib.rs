//! Fault simulation for a fleet of fronts: scripted test cases, a network with faults, and a simulated fleet to run them on.
//!
//! A case is a sequence of actions (kill fronts, partition the network) and of claims that are checked (all fronts see each
//! other alive within a time limit). The simulated fleet runs in one process on a virtual clock. It uses the same membership
//! state machine as a front on real sockets. A run depends only on the case, the size of the fleet and the seed, so it can be
//! repeated exactly.
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
pub use error::{ActionError, ParseFrontsError};
pub use event_queue::EventQueue;
pub use network_conditions::{Link, LinkFilter, NetworkConditions};
pub use process_state::ProcessState;
pub use runner::{run_case, CaseResult, ClaimResult};
pub use scenario::{
    parse_case, Build, CaseAction, CaseStep, Claim, DelayRange, DiskState, FleetCase, FrontSet,
    HostAction, TimeBound, BUILT_IN_CASES,
};
pub use simulated_network::{
    front_name, front_number, member_config, Accusation, ChangeRecord, HealthRecord, SentDatagram,
    SimulatedNetwork, SimulatedNode,
};
pub use simulated_process::{SentCounts, SimulatedProcesses, DEFAULT_DELAY, SIMULATION_START};

use crankpaddle_time::nanoseconds;
use std::time::Duration;

/// One millisecond, as the unit of the durations in cases and tests.
pub const MS: Duration = Duration::from_millis(1);
/// One second, as the unit of the durations in cases and tests.
pub const SECOND: Duration = Duration::from_secs(1);
const NANOSECONDS_PER_SECOND: f64 = 1e9;

/// Converts a duration to seconds. `Duration::as_secs_f64` is not used because it rounds differently, and the results of
/// simulated runs are compared to the last digit.
fn seconds(duration: Duration) -> f64 {
    nanoseconds(duration) as f64 / NANOSECONDS_PER_SECOND
}
