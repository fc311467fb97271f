//! The laboratory: stand-ins of all that surrounds a front, scripted days of trouble, and the judge of the rules.
//!
//! - [`script`]: days as files, checked with line and column;
//! - [`model`]: links, uplinks, set-up work, warmth and falling over, pure;
//! - [`server`], [`list_service`], [`player`]: stand-ins on loopback sockets, which record what passes;
//! - [`record`]: what was seen on the sockets, and when;
//! - [`judge`]: the six rules, judged from records alone;
//! - [`process`]: fronts as processes;
//! - [`day`]: plays a script against front processes;
//! - [`mesh`], [`views`], [`fleet`]: plays a case of a fleet whose fronts know each other, with faults between every ordered pair;
//! - [`import`]: scripts from the bench's day files.
//!
//! All figures that come out of it are from simulated servers.
#![allow(clippy::missing_panics_doc, clippy::too_many_lines)] // What cannot hold yet; the list is in docs/ROADMAP.md.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
pub mod crossing;
pub mod day;
pub mod disk;
pub mod fleet;
mod hosts;
pub mod import;
pub mod judge;
mod ledger;
pub mod list_service;
mod losses;
pub mod mesh;
pub mod mode;
pub mod model;
pub mod player;
pub mod process;
pub mod record;
pub mod script;
pub mod server;
pub mod telling;
pub mod views;
