//! Requests for the set-up, rung change and teardown of a session at a server, and their responses.
use crankpaddle::LoadField;
use crankpaddle_front::{AttemptOutcome, LoadReport, SetUpResult};
use crankpaddle_http::head::{self, Response};
use crankpaddle_http::orca;
use crankpaddle_http::problem::Problem;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt::Write;

/// The problem type with which a server rejects a set-up for lack of capacity, before it starts any work on it.
///
/// Only this type proves that the set-up never ran. A plain 503 may come from an intermediary after the server has run
/// the set-up.
pub const FULL: &str = "urn:crankpaddle:problem:full";

/// Header field of requests with a JSON body.
const JSON_CONTENT_TYPE: (&str, &str) = ("content-type", "application/json");

/// The number of bytes of a SHA-256 digest that are used in a name. With 128 bits a collision is negligible.
const DIGEST_BYTES: usize = 16;
/// Prefix of the hashed bytes that separates digests of front names from digests of other texts.
const FRONT_NAME_DOMAIN: &[u8] = b"front\0";

/// The body of a set-up request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SetUpBody {
    /// The name of the requesting front ([`front_name`]). Updates on the session go to the event stream opened with this name.
    pub front: String,
    /// The billing key (see [`billing_key`]): the same for all attempts for one session.
    pub bill: String,
    /// The name of the title.
    pub title: String,
    /// The name of the class.
    pub class: String,
    /// The name of the tenant; empty if the fleet has no tenants.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub tenant: String,
    /// The rung at which the session starts.
    pub rung: u8,
    /// The zone of the viewer, which is the zone of its front; empty if it is not stated.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub zone: String,
}

/// The body of the response to a teardown, for a session that the server held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TearDownResult {
    /// The total number of media bytes that the server sent for the session.
    pub sent_bytes: u64,
}

/// The body of a request that changes the rung.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RungBody {
    /// The rung that the server is to use from now on.
    pub rung: u8,
}

/// The billing key of the session with this idempotency key. It is a digest of the key, so that it gives no access to the
/// session.
#[must_use]
pub fn billing_key(idempotency_key: &str) -> String {
    hex_prefix(&Sha256::digest(idempotency_key.as_bytes()))
}

/// The name under which a front is known to servers, which is the same in all its incarnations. It is derived from the
/// front's configured name and a secret key, so that neither alone is enough to request the front's sessions.
#[must_use]
pub fn front_name(key: &[u8; 16], name: &str) -> String {
    let digest = Sha256::new()
        .chain_update(FRONT_NAME_DOMAIN)
        .chain_update(key)
        .chain_update(name.as_bytes())
        .finalize();
    format!("f{}", hex_prefix(&digest))
}

/// The first [`DIGEST_BYTES`] bytes of a digest in hexadecimal.
fn hex_prefix(digest: &[u8]) -> String {
    let mut hex = String::with_capacity(2 * DIGEST_BYTES);
    for byte in &digest[..DIGEST_BYTES] {
        let _ = write!(hex, "{byte:02x}"); // Writing to a String never fails.
    }
    hex
}

/// The path of a session.
fn session_path(name: &str) -> String {
    format!("/sessions/{name}")
}

/// The path of a session's media.
#[must_use]
pub fn media_path(name: &str) -> String {
    format!("/sessions/{name}/media")
}

/// A request that sets up a session. The front chooses the name of the session, so that it can tear the session down even
/// if the response is lost.
#[must_use]
pub fn set_up(host: &str, name: &str, set_up: &SetUpBody) -> Vec<u8> {
    let body = serde_json::to_vec(set_up).unwrap_or_default();
    head::request(
        "PUT",
        &session_path(name),
        host,
        &[JSON_CONTENT_TYPE],
        &body,
    )
}

/// A request that changes the rung of a session.
#[must_use]
pub fn set_rung(host: &str, name: &str, rung: u8) -> Vec<u8> {
    let body = serde_json::to_vec(&RungBody { rung }).unwrap_or_default();
    head::request(
        "PATCH",
        &session_path(name),
        host,
        &[JSON_CONTENT_TYPE],
        &body,
    )
}

/// A request that ends a session. It may be sent even if it is unknown whether the session was set up.
#[must_use]
pub fn tear_down(host: &str, name: &str) -> Vec<u8> {
    head::request("DELETE", &session_path(name), host, &[], b"")
}

/// Parses the response to a teardown; `None` if the server held no such session, or does not count bytes.
#[must_use]
pub fn parse_tear_down_response(response: &Response, body: &[u8]) -> Option<TearDownResult> {
    if response.status != head::OK {
        return None;
    }
    serde_json::from_slice(body).ok()
}

/// The load report in the header of a response; empty if there is none or it is malformed.
#[must_use]
pub fn load_report(response: &Response) -> LoadReport {
    let Some(value) = response.fields.get(orca::FIELD) else {
        return LoadReport::new();
    };
    let metrics = orca::parse(value).unwrap_or_default();
    metrics
        .iter()
        .filter_map(|(name, value)| Some((load_field(name)?, *value)))
        .collect()
}

/// The load field of a metric in a load report; `None` if the metric is not used.
fn load_field(metric: &str) -> Option<LoadField> {
    match metric {
        "named_metrics.link_asked" => Some(LoadField::LinkDemand),
        "named_metrics.uplink_asked" => Some(LoadField::UplinkDemand),
        "named_metrics.link_util" => Some(LoadField::LinkUtilization),
        "named_metrics.streams" => Some(LoadField::Streams),
        _ => None,
    }
}

/// Parses the complete response to a set-up.
#[must_use]
pub fn parse_set_up_response(response: &Response, body: &[u8]) -> SetUpResult {
    let report = load_report(response);
    match response.status {
        200 | 201 => SetUpResult::Started(report),
        503 if is_full(body) => SetUpResult::Ended(AttemptOutcome::Rejected, report),
        _ => SetUpResult::Ended(AttemptOutcome::ServerError, report),
    }
}

/// Whether the body is a problem of type [`FULL`].
fn is_full(body: &[u8]) -> bool {
    let problem: Problem = serde_json::from_slice(body).unwrap_or_default();
    problem.kind == FULL
}

#[cfg(test)]
mod tests;
