//! Session placement and quality decisions for fleets of media servers.
//!
//! A [`PlacementPolicy`] makes the decisions of one session controller: at which server a viewer's session is set up, at
//! which rung of the ladder of rates, when it is promoted or demoted, and when a request is rejected. It is pure: it
//! reads no clock, does no I/O and starts no threads. The embedder reports each [`Event`] to
//! [`PlacementPolicy::handle`] and carries out the [`Action`]s that it adds to the list, in order. The same events
//! give the same actions.
//!
//! The decisions and tuned values stand in the modules that `deploy/balancer.toml` lists as `policy`: `policy`
//! (events, each second), `load` (estimates), `regions` (sizing), `admission`, `attempts` (outcomes), `promotion`
//! (and relief), `outliers` (ejection, slow start), `invariants` (guards). Beside them: `erlang` (loss queues), `state`
//! (containers), `interface` (events and actions).
//!
//! - Send a [`Event::EndpointList`] before the first request; a server that no list named is never used.
//! - Each [`Event::SessionRequested`] leads at once to an attempt or to a final answer. While an attempt is out, the policy
//!   waits for its [`Event::SessionEstablished`] or [`Event::AttemptEnded`]; attempts of a request are numbered from 0.
//! - Every attempt ends with exactly one [`Event::AttemptEnded`], for an established session when it ends.
//! - Call [`Event::Timer`] when an [`Action::SetTimer`] is due: regions are sized and sessions promoted then.
//! - Events about unknown or closed requests or unknown servers, numbers that are not finite and a clock that
//!   does not advance are allowed: they break no guard and cause no panic.
//!
//! ```
//! use crankpaddle::*;
//! let settings = Settings {
//!     replica_count: 1,
//!     classes: vec![Class { latency_objective: 1_000_000_000, idempotency: Idempotency::Idempotent, retry_window: 0, priority_weight: 1.0, min_rung: 0,
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
