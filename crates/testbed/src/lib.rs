//! The test bed: stand-ins of everything that surrounds a front, scripted days of faults, and the invariant checker.
//!
//! - [`script`]: days as files, checked with line and column;
//! - [`model`]: links, uplinks, set-up work, slow start and overload, without I/O;
//! - [`server`], [`list_service`], [`player`]: stand-ins on loopback sockets, which record what passes;
//! - [`record`]: the records;
//! - [`invariant_checker`]: the six rules, judged from records alone;
//! - [`crossing`]: traffic between zones and utility, from records;
//! - [`process`]: fronts as processes;
//! - [`scenario_runner`]: plays a script against front processes;
//! - [`udp_proxy`], [`membership_poll`], [`fleet`]: plays a case of a fleet whose fronts know each other, with network
//!   faults between every ordered pair;
//! - [`disk`]: a disk that fails on request;
//! - [`import`]: scripts from the bench's day files.
//!
//! All figures that come out of it are from simulated servers.
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
