//! The parts of HTTP that fronts, servers and players use. Nothing here does I/O: bytes are parsed to heads, bodies and events,
//! and messages are encoded to bytes.
//!
//! - [`head`]: request and response heads of HTTP/1.1 (RFC 9112), parsed by httparse, and how their bodies are framed;
//! - [`body`]: bodies with a length, chunked, or that last until the connection ends;
//! - [`sse`]: decoding and encoding of server-sent events;
//! - [`json`]: the check of the depth of a JSON text;
//! - [`orca`]: load reports in response headers;
//! - [`problem`]: errors as problem details (RFC 9457);
//! - [`error`]: why a message is rejected.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
pub mod body;
pub mod error;
pub mod head;
pub mod json;
pub mod orca;
pub mod problem;
pub mod sse;

pub use error::HttpError;
