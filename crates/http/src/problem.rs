//! Errors as problem details (RFC 9457).
use crate::head;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Media type of a problem.
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

fn blank() -> String {
    "about:blank".into()
}

impl Problem {
    /// A problem that the status tells.
    pub fn of(status: u16, detail: impl Into<String>) -> Problem {
        let title = head::reason(status).to_owned();
        Problem {
            kind: blank(),
            title,
            status,
            detail: detail.into(),
            retry_after_ms: None,
        }
    }

    /// The whole response; `fields` are added to it.
    pub fn response(&self, fields: &[(&str, &str)]) -> Vec<u8> {
        let body = serde_json::to_vec(self).unwrap_or_default();
        let seconds = self.retry_after_ms.map(|ms| ms.div_ceil(1000).to_string());
        let mut all = vec![("content-type", MEDIA_TYPE)];
        all.extend(seconds.as_deref().map(|s| ("retry-after", s)));
        all.extend_from_slice(fields);
        head::response(self.status, &all, &body)
    }
}
