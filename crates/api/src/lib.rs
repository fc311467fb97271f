//! The session API's descriptions: AsyncAPI 3.0 of what goes over WebSocket, OpenAPI 3.1 of the HTTP beside it.
//!
//! - [`describe`]: both documents, made from the types that the codec itself reads and writes;
//! - [`conform`]: whether recorded traffic and a published document agree, in both directions;
//! - [`diff`]: what a change of a description means for old clients and old servers;
//! - [`cost`]: what checking a call costs;
//! - [`page`]: a page to read offline.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
pub mod conform;
pub mod cost;
pub mod describe;
pub mod diff;
mod errors;
pub mod page;

pub use errors::ApiError;

use serde_json::Value;

/// The published description of the present version's messages, as it is committed under `api/`.
pub const PRESENT: &str = include_str!("../../../api/session.v2.asyncapi.json");
/// That of the previous version's.
pub const PREVIOUS: &str = include_str!("../../../api/session.v1.asyncapi.json");
/// That of HTTP.
pub const OPENAPI: &str = include_str!("../../../api/openapi.json");
/// Both as a page to read.
pub const PAGE: &str = include_str!("../../../api/index.html");
/// What is described and no run shows, each with its reason.
pub const EXCEPTIONS: &str = include_str!("../../../api/exceptions.json");

/// A published document; `null` where it is no JSON.
pub fn parsed(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_default()
}
