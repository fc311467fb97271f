//! What the listener gets that is no well-behaved player: malformed frames, JSON and HTTP, oversize, half-open sockets,
//! players that never read, and more than the front may take; and the edges of a front's life.
mod calls;
mod frames;
mod http;
mod lifecycle;
mod limits;
#[path = "../support/mod.rs"]
mod support;
