//! The messages of the session API, with their payloads as JSON schemas.
use super::schema;
use crankpaddle_session_api::answers::{FAILED, REFUSED, SUPERSEDED, UNKNOWN_SESSION};
use crankpaddle_session_api::jsonrpc::{
    INVALID_PARAMS, INVALID_REQUEST, METHOD_NOT_FOUND, PARSE_ERROR,
};
use crankpaddle_session_api::messages::{
    Closed, Ended, Failed, Moved, Opened, Refused, RungChanged, UnknownName,
};
use crankpaddle_session_api::methods::{Close, Open, Resume};
use schemars::SchemaGenerator;
use serde_json::{json, Value};

/// Which side sends a message, and why.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum MessageKind {
    /// A player calls.
    Call,
    /// The front answers or notifies.
    Notification,
}

/// A message and its whole payload.
pub(super) struct Message {
    pub(super) name: &'static str,
    pub(super) summary: &'static str,
    pub(super) kind: MessageKind,
    pub(super) payload: Value,
}

fn object(required: &[&str], properties: Value) -> Value {
    json!({"type": "object", "required": required, "properties": properties, "additionalProperties": false})
}

fn version() -> Value {
    json!({"const": "2.0"})
}

/// An id as JSON-RPC has it.
fn id() -> Value {
    json!({"type": ["string", "number", "null"]})
}

fn call(name: &'static str, summary: &'static str, method: &str, params: Value) -> Message {
    let properties =
        json!({"jsonrpc": version(), "id": id(), "method": {"const": method}, "params": params});
    // Other members beside JSON-RPC's own are passed over, as they are by most of its libraries.
    let required = ["jsonrpc", "id", "method", "params"];
    let payload = json!({"type": "object", "required": required, "properties": properties});
    Message {
        name,
        summary,
        kind: MessageKind::Call,
        payload,
    }
}

fn result(name: &'static str, summary: &'static str, result: Value) -> Message {
    let payload = object(
        &["jsonrpc", "id", "result"],
        json!({"jsonrpc": version(), "id": id(), "result": result}),
    );
    Message {
        name,
        summary,
        kind: MessageKind::Notification,
        payload,
    }
}

fn error(
    name: &'static str,
    summary: &'static str,
    code: i64,
    data: Option<(Value, bool)>,
) -> Message {
    let mut properties = json!({"code": {"const": code}, "message": {"type": "string"}});
    let mut required = vec!["code", "message"];
    if let Some((data, always)) = data {
        properties["data"] = data;
        required.extend(always.then_some("data"));
    }
    let error = object(&required, properties);
    let payload = object(
        &["jsonrpc", "id", "error"],
        json!({"jsonrpc": version(), "id": id(), "error": error}),
    );
    Message {
        name,
        summary,
        kind: MessageKind::Notification,
        payload,
    }
}

fn notification(name: &'static str, summary: &'static str, method: &str, params: Value) -> Message {
    let payload = object(
        &["jsonrpc", "method", "params"],
        json!({"jsonrpc": version(), "method": {"const": method}, "params": params}),
    );
    Message {
        name,
        summary,
        kind: MessageKind::Notification,
        payload,
    }
}

/// All messages of the session API, in the order in which the document lists them.
pub(super) fn messages(schemas: &mut SchemaGenerator) -> Vec<Message> {
    let mut all = calls(schemas);
    all.extend(results(schemas));
    all.extend(session_errors(schemas));
    all.extend(protocol_errors(schemas));
    all.extend(notifications(schemas));
    all
}

/// What players call.
fn calls(schemas: &mut SchemaGenerator) -> Vec<Message> {
    vec![
        call(
            "open",
            "Asks for a session, once for each key.",
            "session.open",
            schema::<Open>(schemas),
        ),
        call(
            "resume",
            "Takes a session, or the wait for it, up again.",
            "session.resume",
            schema::<Resume>(schemas),
        ),
        call(
            "close",
            "Ends a session of this connection.",
            "session.close",
            schema::<Close>(schemas),
        ),
    ]
}

/// Answers to a call that was carried out.
fn results(schemas: &mut SchemaGenerator) -> Vec<Message> {
    vec![
        result("opened", "The session plays.", schema::<Opened>(schemas)),
        result(
            "closed",
            "The session is closed as asked.",
            schema::<Closed>(schemas),
        ),
    ]
}

/// Answers to a call that was rejected or failed.
fn session_errors(schemas: &mut SchemaGenerator) -> Vec<Message> {
    vec![
        error(
            "refused",
            "Refused: nothing of it ran.",
            REFUSED,
            Some((schema::<Refused>(schemas), true)),
        ),
        error(
            "failed",
            "Failed: an attempt may have run.",
            FAILED,
            Some((schema::<Failed>(schemas), true)),
        ),
        error(
            "superseded",
            "Another connection took the session up.",
            SUPERSEDED,
            None,
        ),
        error(
            "unknownSession",
            "No such session, or not this connection's.",
            UNKNOWN_SESSION,
            None,
        ),
    ]
}

/// Answers to what is no valid call.
fn protocol_errors(schemas: &mut SchemaGenerator) -> Vec<Message> {
    vec![
        error("parseError", "The text is no JSON.", PARSE_ERROR, None),
        error(
            "invalidRequest",
            "The JSON is no request.",
            INVALID_REQUEST,
            None,
        ),
        error(
            "methodNotFound",
            "There is no such method.",
            METHOD_NOT_FOUND,
            None,
        ),
        error(
            "invalidParams",
            "The method does not take these parameters; data where a name in them is not known.",
            INVALID_PARAMS,
            Some((schema::<UnknownName>(schemas), false)),
        ),
    ]
}

/// What players get without a call.
fn notifications(schemas: &mut SchemaGenerator) -> Vec<Message> {
    vec![
        notification(
            "rung",
            "The rung changes.",
            "session.rung",
            schema::<RungChanged>(schemas),
        ),
        notification(
            "end",
            "The session is over.",
            "session.end",
            schema::<Ended>(schemas),
        ),
        notification(
            "move",
            "The session moves.",
            "session.move",
            schema::<Moved>(schemas),
        ),
    ]
}
