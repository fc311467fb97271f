//! The descriptions of the session API: AsyncAPI 3.0 for its WebSocket messages, OpenAPI 3.1 for its HTTP resources.
//!
//! - [`describe`] generates both documents from the types that the codec reads and writes.
//! - [`conform`] checks whether recorded traffic and the published documents agree, in both directions.
//! - [`diff`] classifies the changes of a description by their effect on old clients and old servers.
//! - [`cost`] measures the cost of checking a call.
//! - `page` renders both documents as an HTML page that can be read offline.
#![forbid(unsafe_code)]
#![warn(missing_docs)]
pub mod conform;
pub mod cost;
pub mod describe;
pub mod diff;
mod errors;
mod page;

pub use errors::ApiError;

use serde_json::Value;

/// The published AsyncAPI document of the current version, as committed under `api/`.
pub const PRESENT: &str = include_str!("../../../api/session.v2.asyncapi.json");
/// The published AsyncAPI document of the previous version.
pub const PREVIOUS: &str = include_str!("../../../api/session.v1.asyncapi.json");
/// The published OpenAPI document of the HTTP resources.
pub const OPENAPI: &str = include_str!("../../../api/openapi.json");
/// The published HTML page, which renders the current AsyncAPI and the OpenAPI document.
pub const PAGE: &str = include_str!("../../../api/index.html");
/// The published list of described items that no run can exchange, each with a reason, as JSON.
pub const EXCEPTIONS: &str = include_str!("../../../api/exceptions.json");

/// Parses a published document. Returns `null` if it is not JSON.
pub fn parsed(text: &str) -> Value {
    serde_json::from_str(text).unwrap_or_default()
}
