//! The player's side: calls written, answers and notifications read.
use crate::answers::{FAILED, REFUSED, SUPERSEDED, UNKNOWN_SESSION};
use crate::methods::{Close, Open, Resume};
use serde::Serialize;
use serde_json::{json, Value};

/// What a front said.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientEvent {
    /// A call's answer: the session plays.
    Plays {
        /// The call.
        id: u64,
        /// The session.
        session: String,
        /// Where it is fetched from.
        media: String,
        /// The rung in force.
        rung: u8,
    },
    /// A call's answer: closed as asked.
    Closed {
        /// The call.
        id: u64,
    },
    /// A call's answer: refused.
    Refused {
        /// The call.
        id: u64,
        /// Why.
        reason: String,
        /// When to come back, milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// A call's answer: failed, perhaps with effect.
    Failed {
        /// The call.
        id: u64,
        /// Why.
        reason: String,
    },
    /// A call's answer: another connection has it.
    Superseded {
        /// The call.
        id: u64,
    },
    /// A call's answer: no such session.
    Unknown {
        /// The call.
        id: u64,
    },
    /// Another error; the call where it is known.
    Error {
        /// The call.
        id: Option<u64>,
        /// Its code.
        code: i64,
        /// In words.
        message: String,
    },
    /// The rung changes.
    Rung {
        /// The session.
        session: String,
        /// The rung in force from now on.
        rung: u8,
    },
    /// The session is over.
    End {
        /// The session.
        session: String,
        /// Why.
        reason: String,
        /// When to come back, milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The session moves.
    Move {
        /// The session.
        session: String,
    },
}

fn call(id: u64, method: &str, params: impl Serialize) -> String {
    json!({"jsonrpc": "2.0", "id": id, "method": method, "params": params}).to_string()
}

/// A text that opens a session.
pub fn open(id: u64, params: &Open) -> String {
    call(id, "session.open", params)
}

/// A text that takes a session up again.
pub fn resume(id: u64, params: &Resume) -> String {
    call(id, "session.resume", params)
}

/// A text that closes a session.
pub fn close(id: u64, session: &str) -> String {
    call(
        id,
        "session.close",
        Close {
            session: session.to_owned(),
        },
    )
}

/// What a text says: one message, or all of a batch.
///
/// # Errors
/// It is none that a front sends.
pub fn read(text: &str) -> Result<Vec<ClientEvent>, String> {
    match serde_json::from_str(text).map_err(|e| e.to_string())? {
        Value::Array(members) => members.iter().map(said).collect(),
        value => said(&value).map(|s| vec![s]),
    }
}

fn said(value: &Value) -> Result<ClientEvent, String> {
    let strange = || format!("not a front's message: {value}");
    if value["jsonrpc"] != "2.0" {
        return Err(strange());
    }
    let text = |v: &Value| v.as_str().map(str::to_owned).ok_or_else(strange);
    let rung = |v: &Value| {
        v.as_u64()
            .and_then(|r| u8::try_from(r).ok())
            .ok_or_else(strange)
    };
    if let Some(method) = value["method"].as_str() {
        let params = &value["params"];
        let session = text(&params["session"])?;
        return match method {
            "session.rung" => Ok(ClientEvent::Rung {
                session,
                rung: rung(&params["rung"])?,
            }),
            "session.end" => {
                let (reason, retry_after_ms) =
                    (text(&params["reason"])?, params["retry_after_ms"].as_u64());
                Ok(ClientEvent::End {
                    session,
                    reason,
                    retry_after_ms,
                })
            }
            "session.move" => Ok(ClientEvent::Move { session }),
            _ => Err(strange()),
        };
    }
    let id = value["id"].as_u64();
    if let Some(error) = value.get("error") {
        let (code, data) = (error["code"].as_i64().ok_or_else(strange)?, &error["data"]);
        let known = id.filter(|_| (UNKNOWN_SESSION..=REFUSED).contains(&code));
        let Some(id) = known else {
            return Ok(ClientEvent::Error {
                id,
                code,
                message: text(&error["message"])?,
            });
        };
        return match code {
            REFUSED => {
                let (reason, retry_after_ms) =
                    (text(&data["reason"])?, data["retry_after_ms"].as_u64());
                Ok(ClientEvent::Refused {
                    id,
                    reason,
                    retry_after_ms,
                })
            }
            FAILED => Ok(ClientEvent::Failed {
                id,
                reason: text(&data["reason"])?,
            }),
            SUPERSEDED => Ok(ClientEvent::Superseded { id }),
            _ => Ok(ClientEvent::Unknown { id }),
        };
    }
    let (id, result) = (id.ok_or_else(strange)?, &value["result"]);
    if result["closed"] == true {
        return Ok(ClientEvent::Closed { id });
    }
    let (session, media) = (text(&result["session"])?, text(&result["media"])?);
    Ok(ClientEvent::Plays {
        id,
        session,
        media,
        rung: rung(&result["rung"])?,
    })
}

#[cfg(test)]
mod tests;
