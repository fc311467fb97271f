//! Tests with misbehaving clients: malformed frames, JSON and HTTP, oversized messages, incomplete requests, players that
//! never read, and connections beyond the limits. Also tests for the start and the shutdown of a front, and for servers
//! that start while the endpoint list does not report it.
mod calls;
mod frames;
mod http;
mod lifecycle;
mod limits;
mod many_players;
mod server_starts;
#[path = "../support/mod.rs"]
mod support;
