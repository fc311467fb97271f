//! What the listener gets that is no well-behaved player: malformed frames, JSON and HTTP, oversize, half-open sockets,
//! players that never read, and more than the front may take; and the start and shutdown of a front.
mod calls;
mod frames;
mod http;
mod lifecycle;
mod limits;
mod server_starts;
#[path = "../support/mod.rs"]
mod support;
