//! Session placement and quality decisions for fleets of media servers.
//!
//! A [`Front`] makes the decisions of one session controller: where a viewer's session is set up, at which rung of
//! the ladder of rates, when it is raised, and when a request is rejected. It is pure: it reads no clock, does no
//! I/O and starts no threads. The embedder tells it what happens, by [`Front::handle`], and carries out the
//! [`Action`]s that it adds to the list, in order. The same events give the same actions.
//!
//! - Send a [`Event::Roster`] before the first request; a server that no list named is never used.
//! - Each [`Event::Ask`] is answered at once by an attempt or by a final answer. While an attempt is out, the front
//!   waits for its [`Event::Playing`] or [`Event::Ended`]; attempts of a request are numbered from 0.
//! - Every attempt ends with exactly one [`Event::Ended`], for a session that played when it stops playing.
//! - Call [`Event::Timer`] when an [`Action::Wake`] asks for it: regions are sized and sessions raised then.
//! - Events about unknown or closed requests or unknown servers, numbers that are not finite and a clock that
//!   stands still are allowed: they change nothing that matters, break no rule and cause no panic.
//!
//! ```
//! use crankpaddle::*;
//! let settings = Settings {
//!     siblings: 1,
//!     classes: vec![Class { aim: 1_000_000_000, effect: Effect::Free, repeat_within: 0, worth: 1.0, floor: 0,
//!         top: 2, rate_factor: 1.0, seats: 0, live: false }],
//!     rung_kb: vec![200.0, 500.0, 1500.0],
//!     rung_worth: vec![0.2, 0.6, 1.0],
//!     cells: 1,
//!     racks: 1,
//!     places: vec![30],
//!     fleet_kb: 9000.0,
//!     link_kb: 9000.0,
//!     uplink_kb: 9000.0,
//!     join: 1.0,
//!     attempts_cap: 3,
//!     cold: 10_000_000_000,
//!     cold_share: 0.5,
//!     fall_multiple: 2.0,
//!     fall: 1_000_000_000,
//!     ..Settings::default()
//! };
//! let now = Time(1_000_000_000);
//! let mut front = Front::new(settings, 42, now);
//! let mut actions = Vec::new();
//! let server = Listing { server: ServerId(7), phase: Phase::Ready, weight: 1.0, ..Listing::default() };
//! front.handle(now, Event::Roster(RosterKind::Full, vec![server]), &mut actions);
//! let ask = Ask { request: RequestId(1), top: 2, copies: 1, deadline: Time(5_000_000_000), ..Ask::default() };
//! front.handle(now, Event::Ask(ask), &mut actions);
//! assert!(matches!(actions.last(), Some(Action::Attempt { server: ServerId(7), .. })));
//! ```
#![allow(clippy::struct_excessive_bools)] // What cannot hold yet; the list is in docs/ROADMAP.md.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod choice;
mod interface;
pub use choice::{benefit, best_regions, erlang_b, Front};
pub use interface::*;
