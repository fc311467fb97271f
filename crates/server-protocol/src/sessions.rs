//! Set-up, rung change and teardown of a session at a server.
use crankpaddle::LoadField;
use crankpaddle_front::{AttemptOutcome, LoadReport, SetUpResult};
use crankpaddle_http::head::{self, Response};
use crankpaddle_http::orca;
use crankpaddle_http::problem::Problem;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt::Write;

/// Problem type with which a server rejects a set-up before it starts any work on it.
///
/// Why: only this type proves that the set-up never ran. A plain 503 may come from an intermediary after the server
/// has run it.
pub const FULL: &str = "urn:crankpaddle:problem:full";

/// Header field for a JSON body.
const JSON: (&str, &str) = ("content-type", "application/json");

/// Bytes of a SHA-256 digest that go into a name; 128 bits make a collision negligible.
const DIGEST_BYTES: usize = 16;
/// Separates digests of front names from those of other texts.
const FRONT_NAME_DOMAIN: &[u8] = b"front\0";

/// The body of a set-up request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SetUpBody {
    /// The requesting front; updates on the session go to the stream that it opened under this name.
    pub front: String,
    /// The billing key (see [`billing_key`]): the same for all attempts for one session.
    pub bill: String,
    /// Title by name.
    pub title: String,
    /// Class by name.
    pub class: String,
    /// Tenant by name; empty where there are none.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub tenant: String,
    /// Rung to start at.
    pub rung: u8,
    /// Zone of the viewer, which is that of its front; empty where it is not stated.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub zone: String,
}

/// The body of a teardown's response, for a session that the server held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TearDownResult {
    /// Media bytes that the server sent for it in total.
    pub sent_bytes: u64,
}

/// The body of a rung change.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RungBody {
    /// The rung in force from now on.
    pub rung: u8,
}

/// The billing key of the session with this idempotency key: a digest, which
/// gives no access to the session.
#[must_use]
pub fn billing_key(key: &str) -> String {
    hex_prefix(&Sha256::digest(key.as_bytes()))
}

/// A front's name at servers, the same in all its incarnations. It is derived from its configured name and a secret
/// key, so that one of them alone is not enough to request the front's sessions.
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

fn session_path(name: &str) -> String {
    format!("/sessions/{name}")
}

/// The path of a session's media.
#[must_use]
pub fn media_path(name: &str) -> String {
    format!("/sessions/{name}/media")
}

/// A request that sets a session up. The front chooses the name, so that it can tear the session down even if the
/// response was lost.
#[must_use]
pub fn set_up(host: &str, name: &str, order: &SetUpBody) -> Vec<u8> {
    let body = serde_json::to_vec(order).unwrap_or_default();
    head::request("PUT", &session_path(name), host, &[JSON], &body)
}

/// A request that changes the rung.
#[must_use]
pub fn set_rung(host: &str, name: &str, rung: u8) -> Vec<u8> {
    let body = serde_json::to_vec(&RungBody { rung }).unwrap_or_default();
    head::request("PATCH", &session_path(name), host, &[JSON], &body)
}

/// A request that ends a session, whether it was ever set up or not.
#[must_use]
pub fn tear_down(host: &str, name: &str) -> Vec<u8> {
    head::request("DELETE", &session_path(name), host, &[], b"")
}

/// The result in a teardown's response; `None` where the server held no such session, or counts no bytes.
#[must_use]
pub fn parse_tear_down_response(response: &Response, body: &[u8]) -> Option<TearDownResult> {
    if response.status != head::OK {
        return None;
    }
    serde_json::from_slice(body).ok()
}

/// The load report of a response; empty where there is none or it is malformed.
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

/// The load figure that a metric of the report stands for.
fn load_field(metric: &str) -> Option<LoadField> {
    match metric {
        "named_metrics.link_asked" => Some(LoadField::LinkDemand),
        "named_metrics.uplink_asked" => Some(LoadField::UplinkDemand),
        "named_metrics.link_util" => Some(LoadField::LinkUtilization),
        "named_metrics.streams" => Some(LoadField::Streams),
        _ => None,
    }
}

/// The result of a set-up, from its complete response.
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
