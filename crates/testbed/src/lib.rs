//! The testbed: simulated servers, list service and players around real fronts, scripted scenarios with faults, and the
//! invariant checker.
//!
//! - [`script`]: scenarios as files; each problem of a file is reported with its line and column;
//! - [`model`]: links, uplinks, set-up work, slow start and overload of a fleet, without I/O;
//! - [`server`], [`list_service`], [`player`]: simulated servers, list service and players on loopback sockets;
//! - [`fault_mode`]: the faults of a simulated server;
//! - [`record`]: records of the events at the sockets;
//! - [`invariant_checker`]: checks the six rules of fronts, from records alone;
//! - [`crossing`]: cross-zone traffic and utility, from records;
//! - [`process`]: fronts as processes;
//! - [`scenario_runner`]: plays a script against front processes;
//! - [`fleet`]: plays fleet cases, in which the fronts form a membership;
//! - [`udp_proxy`], [`membership_poll`]: the network between these fronts, with faults between every ordered pair, and the poll
//!   of their reports about each other;
//! - [`disk`]: a simulated disk that can be made full or slow;
//! - [`import`]: converts day files of the bench to scripts.
//!
//! All figures that the testbed produces come from simulated servers.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
pub mod crossing;
pub mod disk;
pub mod fault_mode;
pub mod fleet;
mod host_faults;
pub mod import;
pub mod invariant_checker;
pub mod list_service;
mod loss_analysis;
pub mod membership_poll;
pub mod model;
pub mod player;
pub mod process;
pub mod record;
pub mod scenario_runner;
pub mod script;
pub mod server;
mod server_reports;
mod setup_log;
mod stage;
pub mod udp_proxy;
mod wind_down;
