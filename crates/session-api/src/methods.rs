//! What players call.
use crate::jsonrpc::{Error, INVALID_PARAMS, METHOD_NOT_FOUND};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Shortest and longest key, in characters: it stands for a session, so it must not be guessed.
pub const KEY_LENGTH: std::ops::RangeInclusive<usize> = 8..=128;
/// Largest number that every client's JSON holds exactly (2^53 - 1); no larger one is taken.
pub const MOST: u64 = 9_007_199_254_740_991;

/// `session.open`: asks for a session, once for each key.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Open {
    /// Chosen by the player; the same over its reconnects, a new one for a new session.
    #[schemars(length(min = 8, max = 128))]
    pub key: String,
    /// What to watch.
    pub title: String,
    /// Class by name.
    pub class: String,
    /// Tenant by name; needed where there are tenants.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
    /// Who watches; the key where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub viewer: Option<String>,
    /// Highest rung that the player can use; the ladder's where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub top: Option<u8>,
    /// How long it waits; the class's bound where absent or longer.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(max = 9_007_199_254_740_991u64))]
    pub give_up_ms: Option<u64>,
    /// A guess of how long it will watch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(max = 9_007_199_254_740_991u64))]
    pub hint_ms: Option<u64>,
    /// Whether it comes again after a refusal or a break.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub again: bool,
}

/// `session.resume`: takes a session, or the wait for it, up on another connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Resume {
    /// The key that it was opened with.
    #[schemars(length(min = 8, max = 128))]
    pub key: String,
    /// The tenant that it was opened for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
}

/// `session.close`: ends a session of this connection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Close {
    /// The session as the answer to the open named it.
    pub session: String,
}

/// A call of one of the methods.
#[derive(Clone, Debug, PartialEq)]
pub enum Method {
    /// `session.open`.
    Open(Open),
    /// `session.resume`.
    Resume(Resume),
    /// `session.close`.
    Close(Close),
}

impl Method {
    /// The method that is called.
    ///
    /// # Errors
    /// There is no such method, or it does not take these parameters.
    pub fn of(name: &str, params: Value) -> Result<Method, Error> {
        let wrong = |e: serde_json::Error| Error::new(INVALID_PARAMS, format!("{name}: {e}"));
        let params = match params {
            // JSON knows one kind of number: 3.0 is a whole one, as the descriptions' schemas have it.
            Value::Object(fields) => {
                Value::Object(fields.into_iter().map(|(k, v)| (k, whole(v))).collect())
            }
            // Danger: a list would be taken by the order of fields, which no description tells.
            Value::Array(_) => {
                return Err(Error::new(
                    INVALID_PARAMS,
                    format!("{name}: params are an object here"),
                ));
            }
            other => other,
        };
        let method = match name {
            "session.open" => Method::Open(serde_json::from_value(params).map_err(wrong)?),
            "session.resume" => Method::Resume(serde_json::from_value(params).map_err(wrong)?),
            "session.close" => Method::Close(serde_json::from_value(params).map_err(wrong)?),
            _ => {
                let known = "known: session.open, session.resume, session.close";
                return Err(Error::new(
                    METHOD_NOT_FOUND,
                    format!("no method {name:?}; {known}"),
                ));
            }
        };
        if let Method::Open(Open { key, .. }) | Method::Resume(Resume { key, .. }) = &method {
            if !KEY_LENGTH.contains(&key.chars().count()) {
                let (least, most) = KEY_LENGTH.into_inner();
                let what = format!("{name}: a key has {least} to {most} characters");
                return Err(Error::new(INVALID_PARAMS, what));
            }
        }
        if let Method::Open(Open {
            give_up_ms,
            hint_ms,
            ..
        }) = &method
        {
            if [give_up_ms, hint_ms]
                .into_iter()
                .flatten()
                .any(|ms| *ms > MOST)
            {
                return Err(Error::new(
                    INVALID_PARAMS,
                    format!("{name}: a time has {MOST} ms at most"),
                ));
            }
        }
        Ok(method)
    }
}

/// A number without a fraction as a whole one.
fn whole(value: Value) -> Value {
    match value.as_f64().filter(|_| value.is_f64()) {
        Some(n) if n.fract() == 0.0 && (0.0..=MOST as f64).contains(&n) => Value::from(n as u64),
        _ => value,
    }
}

/// The session's number from its name on the wire.
pub fn session_number(name: &str) -> Option<u64> {
    let digits = name.strip_prefix("s-")?;
    (!digits.starts_with('+'))
        .then(|| digits.parse().ok())
        .flatten()
}

/// The session's name on the wire.
pub fn session_name(number: u64) -> String {
    format!("s-{number}")
}
