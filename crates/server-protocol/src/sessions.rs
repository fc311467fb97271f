//! Sessions at a server.
use crankpaddle_front::{AttemptOutcome, LoadReport, SetUpResult};
use crankpaddle_http::head::{self, Response};
use crankpaddle_http::orca;
use crankpaddle_http::problem::Problem;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The problem with which a server says that it turned a set-up away without looking at it: it never ran. Danger: a
/// plain 503 may come from anything on the way, after the set-up ran; it proves nothing.
pub const FULL: &str = "urn:crankpaddle:problem:full";

/// Media type of bodies.
const JSON: (&str, &str) = ("content-type", "application/json");

/// What a set-up asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SetUpBody {
    /// The front that asks; its notes are sent on the stream that it opened under this name.
    pub front: String,
    /// What is paid is billed under this: the same in all attempts for one session, and none can resume it by it.
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
    /// Zone of the viewer, which is that of his front; empty where it is not told.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub zone: String,
}

/// What a server says when a session is ended that it held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TearDownResult {
    /// All media bytes that it sent for it.
    pub sent_bytes: u64,
}

/// What a session with this key is billed under.
pub fn bill(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest[..16]
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect()
}

/// A front's name at servers, the same in all its lives: made of its own and a secret, so that who knows only the one can't ask for
/// another's sessions.
pub fn front_name(key: &[u8; 16], name: &str) -> String {
    let digest = Sha256::new()
        .chain_update(b"front\0")
        .chain_update(key)
        .chain_update(name.as_bytes())
        .finalize();
    digest[..16]
        .iter()
        .fold("f".to_owned(), |name, byte| name + &format!("{byte:02x}"))
}

/// A change of rung.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RungBody {
    /// The rung in force from now on.
    pub rung: u8,
}

fn target(name: &str) -> String {
    format!("/sessions/{name}")
}

/// The path under which a session's media is fetched.
pub fn media_path(name: &str) -> String {
    format!("/sessions/{name}/media")
}

/// A request that sets a session up. The front names it, so it can end one whose answer it never saw.
pub fn set_up(host: &str, name: &str, order: &SetUpBody) -> Vec<u8> {
    let body = serde_json::to_vec(order).unwrap_or_default();
    head::request("PUT", &target(name), host, &[JSON], &body)
}

/// A request that sets the rung.
pub fn set_rung(host: &str, name: &str, rung: u8) -> Vec<u8> {
    let body = serde_json::to_vec(&RungBody { rung }).unwrap_or_default();
    head::request("PATCH", &target(name), host, &[JSON], &body)
}

/// A request that ends a session, whether it was ever set up or not.
pub fn tear_down(host: &str, name: &str) -> Vec<u8> {
    head::request("DELETE", &target(name), host, &[], b"")
}

/// The last word in the answer to a teardown; `None` where the server held no such session, or counts none.
pub fn tear_down_answer(response: &Response, body: &[u8]) -> Option<TearDownResult> {
    serde_json::from_slice(body)
        .ok()
        .filter(|_| response.status == 200)
}

/// The load report of an answer; what is no report counts as none.
pub fn report(response: &Response) -> LoadReport {
    use crankpaddle::LoadField as F;
    let field = |name: &str| match name {
        "named_metrics.link_asked" => Some(F::LinkDemand),
        "named_metrics.uplink_asked" => Some(F::UplinkDemand),
        "named_metrics.link_util" => Some(F::LinkUtilization),
        "named_metrics.streams" => Some(F::Streams),
        _ => None,
    };
    let figures = response
        .fields
        .get(orca::FIELD)
        .and_then(|v| orca::parse(v).ok())
        .unwrap_or_default();
    figures
        .iter()
        .filter_map(|(name, value)| Some((field(name)?, *value)))
        .collect()
}

/// How a set-up came out, by its whole answer.
pub fn set_up_answer(response: &Response, body: &[u8]) -> SetUpResult {
    let report = report(response);
    match response.status {
        200 | 201 => SetUpResult::Started(report),
        503 => {
            let problem: Problem = serde_json::from_slice(body).unwrap_or_default();
            SetUpResult::Ended(
                if problem.kind == FULL {
                    AttemptOutcome::Rejected
                } else {
                    AttemptOutcome::ServerError
                },
                report,
            )
        }
        _ => SetUpResult::Ended(AttemptOutcome::ServerError, report),
    }
}

#[cfg(test)]
mod tests;
