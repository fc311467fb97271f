//! Session placement and quality decisions for fleets of media servers.
//!
//! A [`PlacementPolicy`] makes the decisions of one session controller: which server a viewer's session is set up at,
//! at which rung (one of the ladder's rates), when it is promoted or demoted, and when a request is rejected. It is
//! deterministic and free of side effects: it reads no clock, does no I/O and starts no threads. The embedder passes
//! each [`Event`] to [`PlacementPolicy::handle`] and carries out the [`Action`]s that it appends to the list, in order.
//! The same events lead to the same actions.
//!
//! The decisions and tuned values are in the modules that `deploy/balancer.toml` lists as `policy`: `policy` (event
//! handling, the periodic tick), `load` (load estimates), `regions` (sizing and pricing), `admission` (server and rung
//! of a request), `attempts` (outcomes), `promotion` (promotion and relief), `outliers` (ejection, slow start) and
//! `invariants` (bounds on attempts). The other modules decide nothing: `erlang` (loss queues), `state` (data
//! structures) and `interface` (events and actions).
//!
//! Terms used throughout: the *fill* of a link or uplink is the demand on it divided by its capacity, and may exceed 1.
//! A link is divided into *regions* of session slots, one region for each rung; a session that finds the region of its
//! highest rung full spills over to the next lower one. *Own* sessions, rates and changes are those of this replica.
//! *Relief* is the demotion of sessions at an overloaded link or uplink. A *stall* is a time in which this process did
//! not run.
//!
//! - Send an [`Event::EndpointList`] before the first request; a server that was in no list is never used.
//! - Each [`Event::SessionRequested`] leads at once to an attempt or to a final answer. While an attempt is in progress,
//!   the policy waits for its [`Event::SessionEstablished`] or [`Event::AttemptEnded`]. The attempts of a request are
//!   numbered from 0.
//! - Every attempt ends with exactly one [`Event::AttemptEnded`]; that of an established session follows when it ends.
//! - Send an [`Event::Timer`] when an [`Action::SetTimer`] is due: regions are sized and sessions promoted then.
//! - Events about unknown or closed requests or unknown servers, numbers that are not finite and a clock that
//!   does not advance are allowed: they violate no invariant and cause no panic.
//!
//! ```
//! use crankpaddle::*;
//! let settings = Settings {
//!     replica_count: 1,
//!     classes: vec![SessionClass { latency_objective: 1_000_000_000, idempotency: Idempotency::Idempotent, retry_window: 0, priority_weight: 1.0, min_rung: 0,
//!         max_rung: 2, rate_factor: 1.0, max_sessions_per_title: 0, live: false }],
//!     rung_kb: vec![200.0, 500.0, 1500.0],
//!     rung_utility: vec![0.2, 0.6, 1.0],
//!     cells: 1,
//!     racks: 1,
//!     stream_capacity: vec![30],
//!     fleet_link_kb: 9000.0,
//!     link_kb: 9000.0,
//!     uplink_kb: 9000.0,
//!     shared_stream_factor: 1.0,
//!     max_attempts: 3,
//!     slow_start_duration: 10_000_000_000,
//!     slow_start_min_factor: 0.5,
//!     overload_multiple: 2.0,
//!     overload_window: 1_000_000_000,
//!     ..Settings::default()
//! };
//! let now = Time(1_000_000_000);
//! let mut policy = PlacementPolicy::new(settings, 42, now);
//! let mut actions = Vec::new();
//! let server = Endpoint { server: ServerId(7), lifecycle: Lifecycle::Ready, weight: 1.0, ..Endpoint::default() };
//! policy.handle(now, Event::EndpointList(EndpointListKind::Full, vec![server]), &mut actions);
//! let request = SessionRequest { request: RequestId(1), max_rung: 2, cell_count: 1, deadline: Time(5_000_000_000), ..SessionRequest::default() };
//! policy.handle(now, Event::SessionRequested(request), &mut actions);
//! assert!(matches!(actions.last(), Some(Action::StartAttempt { server: ServerId(7), .. })));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]
mod admission;
mod attempts;
mod erlang;
mod interface;
mod invariants;
mod load;
mod outliers;
mod policy;
mod promotion;
mod regions;
mod state;
pub use erlang::{benefit, erlang_b};
pub use interface::*;
pub use regions::best_regions;
pub use state::PlacementPolicy;
