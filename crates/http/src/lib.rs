//! The HTTP that fronts, servers and players exchange, without I/O: bytes in; heads, bodies and events out.
//!
//! - [`head`]: request and response heads of HTTP/1.1 (RFC 9112) on httparse, and how their bodies are framed;
//! - [`body`]: bodies by length, chunked or until close;
//! - [`sse`]: server-sent events, read and written;
//! - [`orca`]: load reports in responses;
//! - [`problem`]: errors as problem details (RFC 9457);
//! - [`error`]: why a message is rejected.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
pub mod body;
pub mod error;
pub mod head;
pub mod orca;
pub mod problem;
pub mod sse;

pub use error::HttpError;
