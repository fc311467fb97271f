//! The methods that players call, and their parameters.
use crate::jsonrpc::{Error, INVALID_PARAMS, METHOD_NOT_FOUND};
use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Allowed lengths of an idempotency key in characters. The lower bound makes keys hard to guess, since a key gives
/// access to its session.
pub const KEY_LENGTH: std::ops::RangeInclusive<usize> = 8..=128;
/// The largest integer that the JSON of every client represents exactly (2^53 - 1). Larger times are rejected.
pub const MAX_SAFE_INTEGER: u64 = 9_007_199_254_740_991;

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
    /// Parses a call of the method `name` with its parameters.
    ///
    /// # Errors
    /// Returns an error if there is no such method, or if the method does not accept these parameters.
    pub fn parse(name: &str, params: Value) -> Result<Method, Error> {
        let params = normalize_params(name, params)?;
        let method = match name {
            "session.open" => Method::Open(parse_params(name, params)?),
            "session.resume" => Method::Resume(parse_params(name, params)?),
            "session.close" => Method::Close(parse_params(name, params)?),
            _ => return Err(unknown_method(name)),
        };
        method.check_key_length(name)?;
        method.check_times(name)?;
        Ok(method)
    }

    fn check_key_length(&self, name: &str) -> Result<(), Error> {
        let (Method::Open(Open { key, .. }) | Method::Resume(Resume { key, .. })) = self else {
            return Ok(());
        };
        if KEY_LENGTH.contains(&key.chars().count()) {
            return Ok(());
        }
        let (min, max) = KEY_LENGTH.into_inner();
        Err(invalid_params(format!(
            "{name}: a key has {min} to {max} characters"
        )))
    }

    fn check_times(&self, name: &str) -> Result<(), Error> {
        let Method::Open(open) = self else {
            return Ok(());
        };
        let mut times_ms = [open.give_up_ms, open.hint_ms].into_iter().flatten();
        if times_ms.all(|time_ms| time_ms <= MAX_SAFE_INTEGER) {
            return Ok(());
        }
        Err(invalid_params(format!(
            "{name}: a time has {MAX_SAFE_INTEGER} ms at most"
        )))
    }
}

fn invalid_params(message: String) -> Error {
    Error::new(INVALID_PARAMS, message)
}

fn unknown_method(name: &str) -> Error {
    let known = "known: session.open, session.resume, session.close";
    Error::new(METHOD_NOT_FOUND, format!("no method {name:?}; {known}"))
}

fn parse_params<T: DeserializeOwned>(name: &str, params: Value) -> Result<T, Error> {
    serde_json::from_value(params).map_err(|error| invalid_params(format!("{name}: {error}")))
}

/// Converts parameters that are numbers without a fraction to integers, because JSON has only one kind of number, and
/// 3.0 is an integer according to the published schemas.
///
/// An array of parameters is rejected. It would be read in the order of the fields, which no API description states.
fn normalize_params(name: &str, params: Value) -> Result<Value, Error> {
    match params {
        Value::Object(fields) => {
            let fields = fields.into_iter();
            let normalized = fields.map(|(field, value)| (field, normalize_number(value)));
            Ok(Value::Object(normalized.collect()))
        }
        Value::Array(_) => Err(invalid_params(format!("{name}: params are an object here"))),
        other => Ok(other),
    }
}

/// Converts a number without a fraction to an integer, if it is from 0 to [`MAX_SAFE_INTEGER`].
fn normalize_number(value: Value) -> Value {
    if !value.is_f64() {
        return value;
    }
    match value.as_f64() {
        Some(number)
            if number.fract() == 0.0 && (0.0..=MAX_SAFE_INTEGER as f64).contains(&number) =>
        {
            Value::from(number as u64)
        }
        _ => value,
    }
}

/// Prefix of the number in the name of a session in messages.
const SESSION_PREFIX: &str = "s-";

/// Parses the number of a session from its name in messages; `None` if the name has another form.
#[must_use]
pub fn session_number(name: &str) -> Option<u64> {
    let digits = name.strip_prefix(SESSION_PREFIX)?;
    if digits.starts_with('+') {
        return None; // `parse` would accept a leading plus sign.
    }
    digits.parse().ok()
}

/// The name of a session in messages.
#[must_use]
pub fn session_name(number: u64) -> String {
    format!("{SESSION_PREFIX}{number}")
}
