//! Errors as problem details (RFC 9457). The doc comments of [`Problem`] are part of the published API descriptions.
use crate::head;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Media type of a problem's JSON.
pub const MEDIA_TYPE: &str = "application/problem+json";

/// A problem.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Problem {
    /// What kind it is, a URI; "about:blank" says no more than the status.
    #[serde(rename = "type", default = "blank")]
    pub kind: String,
    /// The kind in words.
    #[serde(default)]
    pub title: String,
    /// The status of the answer.
    #[serde(default)]
    pub status: u16,
    /// What happened this time.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
    /// When to come back, milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

/// The type of a problem that has no meaning beyond its status (RFC 9457).
fn blank() -> String {
    "about:blank".into()
}

impl Problem {
    /// A problem of type `about:blank`, with the reason phrase of the status as its title.
    #[must_use]
    pub fn new(status: u16, detail: impl Into<String>) -> Problem {
        Problem {
            kind: blank(),
            title: head::reason_phrase(status).to_owned(),
            status,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// Encodes a complete response with the problem as its body. `fields` are added to the response's own header fields.
    /// Retry-After is rounded up to seconds.
    #[must_use]
    pub fn response(&self, fields: &[(&str, &str)]) -> Vec<u8> {
        let body = serde_json::to_vec(self).unwrap_or_default();
        let retry_after = self.retry_after_ms.map(|ms| ms.div_ceil(1000).to_string());
        let mut all_fields = vec![("content-type", MEDIA_TYPE)];
        if let Some(seconds) = &retry_after {
            all_fields.push(("retry-after", seconds));
        }
        all_fields.extend_from_slice(fields);
        head::response(self.status, &all_fields, &body)
    }
}
