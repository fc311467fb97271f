//! The player's side of the API: writing calls, and parsing answers and notifications.
use crate::answers::{FAILED, REFUSED, SUPERSEDED, UNKNOWN_SESSION};
use crate::jsonrpc::MAX_DEPTH;
use crate::methods::{Close, Open, Resume};
use crankpaddle_http::json::{self, TooDeep};
use serde::Serialize;
use serde_json::{json, Value};

/// Why a text could not be parsed as messages of a front.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The text is not JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The text is nested deeper than any message.
    #[error(transparent)]
    TooDeep(#[from] TooDeep),
    /// The text is JSON, but contains this value, which is not a message of a front.
    #[error("not a message of a front: {0}")]
    UnexpectedMessage(Value),
}

/// A message of a front.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientEvent {
    /// Answer to a call: the session is established.
    Plays {
        /// The id of the call that this message answers.
        id: u64,
        /// The name of the session, by which later calls and notifications refer to it.
        session: String,
        /// Where its media is fetched from.
        media: String,
        /// The rung in force.
        rung: u8,
    },
    /// Answer to a call: the session was closed.
    Closed {
        /// The id of the call that this message answers.
        id: u64,
    },
    /// Answer to a call: the request was rejected and had no effect.
    Refused {
        /// The id of the call that this message answers.
        id: u64,
        /// The reason as on the wire.
        reason: String,
        /// How long to wait before the next request, in milliseconds; `None` if the front gives no advice.
        retry_after_ms: Option<u64>,
    },
    /// Answer to a call: the request failed and may have had an effect.
    Failed {
        /// The id of the call that this message answers.
        id: u64,
        /// The reason as on the wire.
        reason: String,
    },
    /// Answer to a call: another connection resumed the session.
    Superseded {
        /// The id of the call that this message answers.
        id: u64,
    },
    /// Answer to a call: there is no such session, or it belongs to another connection.
    Unknown {
        /// The id of the call that this message answers.
        id: u64,
    },
    /// Answer to a call: an error with any other code.
    Error {
        /// The call's id; `None` if the front could not determine it.
        id: Option<u64>,
        /// The JSON-RPC error code.
        code: i64,
        /// The text of the JSON-RPC error, for people.
        message: String,
    },
    /// Notification: the rung of a session changes.
    Rung {
        /// The name of the session, as in the answer that established it.
        session: String,
        /// The rung in force from now on.
        rung: u8,
    },
    /// Notification: the session has ended.
    End {
        /// The name of the session, as in the answer that established it.
        session: String,
        /// The reason as on the wire.
        reason: String,
        /// How long to wait before the next request, in milliseconds; `None` if the front gives no advice.
        retry_after_ms: Option<u64>,
    },
    /// Notification: the session migrates; open it again with the same key.
    Move {
        /// The name of the session, as in the answer that established it.
        session: String,
    },
}

fn call_text(id: u64, method: &str, params: impl Serialize) -> String {
    json!({"jsonrpc": "2.0", "id": id, "method": method, "params": params}).to_string()
}

/// Writes a call that opens a session.
#[must_use]
pub fn open(id: u64, params: &Open) -> String {
    call_text(id, "session.open", params)
}

/// Writes a call that resumes a session.
#[must_use]
pub fn resume(id: u64, params: &Resume) -> String {
    call_text(id, "session.resume", params)
}

/// Writes a call that closes a session.
#[must_use]
pub fn close(id: u64, session: &str) -> String {
    let session = session.to_owned();
    call_text(id, "session.close", Close { session })
}

/// Parses a text, which is one message or a batch of messages.
///
/// # Errors
/// Returns an error if the text is not JSON, or contains a value that is not a message of a front.
pub fn read(text: &str) -> Result<Vec<ClientEvent>, ClientError> {
    json::check_depth(text, MAX_DEPTH)?;
    match serde_json::from_str(text)? {
        Value::Array(members) => members.iter().map(read_message).collect(),
        message => Ok(vec![read_message(&message)?]),
    }
}

fn read_message(message: &Value) -> Result<ClientEvent, ClientError> {
    parse_message(message).ok_or_else(|| ClientError::UnexpectedMessage(message.clone()))
}

fn parse_message(message: &Value) -> Option<ClientEvent> {
    if message["jsonrpc"] != "2.0" {
        return None;
    }
    if let Some(method) = message["method"].as_str() {
        return parse_notification(method, &message["params"]);
    }
    let id = message["id"].as_u64();
    if let Some(error) = message.get("error") {
        return parse_error(id, error);
    }
    parse_result(id?, &message["result"])
}

fn parse_notification(method: &str, params: &Value) -> Option<ClientEvent> {
    let session = parse_string(&params["session"])?;
    match method {
        "session.rung" => Some(ClientEvent::Rung {
            session,
            rung: parse_rung(&params["rung"])?,
        }),
        "session.end" => Some(ClientEvent::End {
            session,
            reason: parse_string(&params["reason"])?,
            retry_after_ms: params["retry_after_ms"].as_u64(),
        }),
        "session.move" => Some(ClientEvent::Move { session }),
        _ => None,
    }
}

fn parse_error(id: Option<u64>, error: &Value) -> Option<ClientEvent> {
    let code = error["code"].as_i64()?;
    let data = &error["data"];
    match (id, code) {
        (Some(id), REFUSED) => Some(ClientEvent::Refused {
            id,
            reason: parse_string(&data["reason"])?,
            retry_after_ms: data["retry_after_ms"].as_u64(),
        }),
        (Some(id), FAILED) => Some(ClientEvent::Failed {
            id,
            reason: parse_string(&data["reason"])?,
        }),
        (Some(id), SUPERSEDED) => Some(ClientEvent::Superseded { id }),
        (Some(id), UNKNOWN_SESSION) => Some(ClientEvent::Unknown { id }),
        _ => Some(ClientEvent::Error {
            id,
            code,
            message: parse_string(&error["message"])?,
        }),
    }
}

fn parse_result(id: u64, result: &Value) -> Option<ClientEvent> {
    if result["closed"] == true {
        return Some(ClientEvent::Closed { id });
    }
    Some(ClientEvent::Plays {
        id,
        session: parse_string(&result["session"])?,
        media: parse_string(&result["media"])?,
        rung: parse_rung(&result["rung"])?,
    })
}

fn parse_string(value: &Value) -> Option<String> {
    value.as_str().map(str::to_owned)
}

fn parse_rung(value: &Value) -> Option<u8> {
    u8::try_from(value.as_u64()?).ok()
}

#[cfg(test)]
mod tests;
