//! Parsing and writing of JSON-RPC 2.0 messages, as specified in <https://www.jsonrpc.org/specification>.
use crankpaddle_http::json;
use serde::Serialize;
use serde_json::{json, Map, Value};

/// Error code: the text is not JSON.
pub const PARSE_ERROR: i64 = -32700;
/// Error code: the JSON is not a valid request object.
pub const INVALID_REQUEST: i64 = -32600;
/// Error code: there is no such method.
pub const METHOD_NOT_FOUND: i64 = -32601;
/// Error code: the method does not accept these parameters.
pub const INVALID_PARAMS: i64 = -32602;
/// Error code: an internal error of the front.
pub const INTERNAL_ERROR: i64 = -32603;

/// Levels of the deepest message: a batch, its messages, their parameters, and a value in these. The last level lets a value of
/// the wrong type get an error of its own.
pub const MAX_DEPTH: usize = 4;

/// The id of a call, which is a string, a number or null. The answer repeats it as it was received.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Id(pub Value);

impl Id {
    /// The id in the answer to a text whose id could not be determined.
    #[must_use]
    pub fn null() -> Id {
        Id(Value::Null)
    }
}

/// The error object of an answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Error {
    /// The error code, one of the constants of this module or of [`answers`](crate::answers).
    pub code: i64,
    /// A short description for people.
    pub message: String,
    /// Further data, whose form depends on the code; `None` if there is none.
    pub data: Option<Value>,
}

impl Error {
    /// Creates an error without data.
    pub fn new(code: i64, message: impl Into<String>) -> Error {
        Error {
            code,
            message: message.into(),
            data: None,
        }
    }
}

/// A call of a method. Without an id it is a notification and gets no answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The id that the answer repeats; `None` for a notification.
    pub id: Option<Id>,
    /// The name of the method.
    pub method: String,
    /// The parameters of the method; null if there are none.
    pub params: Value,
}

/// One member of a text: a valid call, or the id and the error of the answer to an invalid one.
pub type Member = Result<Call, (Id, Error)>;

/// The content of one text: a single call or a batch. Calls in it may be invalid.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// A call outside a batch, or the error to answer it with.
    Single(Member),
    /// A batch of at least one member. Its answers are sent together.
    Batch(Vec<Member>),
}

fn invalid_request(id: Id, message: &str) -> (Id, Error) {
    (id, Error::new(INVALID_REQUEST, message))
}

/// Parses a text. An invalid one yields members with errors, which the caller sends as answers.
#[must_use]
pub fn read(text: &str) -> Message {
    if let Err(error) = json::check_depth(text, MAX_DEPTH) {
        return Message::Single(Err(invalid_request(Id::null(), &error.to_string())));
    }
    match serde_json::from_str(text) {
        Err(error) => {
            let error = Error::new(PARSE_ERROR, format!("not JSON: {error}"));
            Message::Single(Err((Id::null(), error)))
        }
        Ok(Value::Array(members)) if members.is_empty() => {
            Message::Single(Err(invalid_request(Id::null(), "an empty batch")))
        }
        Ok(Value::Array(members)) => Message::Batch(members.into_iter().map(read_member).collect()),
        Ok(value) => Message::Single(read_member(value)),
    }
}

fn read_member(value: Value) -> Member {
    let Value::Object(mut fields) = value else {
        return Err(invalid_request(Id::null(), "a request is an object"));
    };
    let id = match fields.remove("id") {
        None => None,
        Some(id @ (Value::String(_) | Value::Number(_) | Value::Null)) => Some(Id(id)),
        Some(_) => {
            let message = "an id is a string, a number or null";
            return Err(invalid_request(Id::null(), message));
        }
    };
    let answer_id = id.clone().unwrap_or_else(Id::null);
    let invalid = |message: &str| Err(invalid_request(answer_id.clone(), message));
    if fields.get("jsonrpc") != Some(&Value::String("2.0".into())) {
        return invalid("jsonrpc is \"2.0\"");
    }
    let Some(Value::String(method)) = fields.remove("method") else {
        return invalid("method is a string");
    };
    let params = fields.remove("params").unwrap_or(Value::Null);
    if !matches!(params, Value::Object(_) | Value::Array(_) | Value::Null) {
        return invalid("params are an object or an array");
    }
    Ok(Call { id, method, params })
}

/// Builds an answer with a result.
#[must_use]
pub fn result(id: &Id, result: Value) -> Value {
    json!({"jsonrpc": "2.0", "id": id, "result": result})
}

/// Builds an answer with an error.
#[must_use]
pub fn error(id: &Id, error: &Error) -> Value {
    let mut object = Map::new();
    object.insert("code".into(), error.code.into());
    object.insert("message".into(), error.message.clone().into());
    if let Some(data) = &error.data {
        object.insert("data".into(), data.clone());
    }
    json!({"jsonrpc": "2.0", "id": id, "error": object})
}

/// Builds a notification, which has no id and gets no answer.
#[must_use]
pub fn notification(method: &str, params: Value) -> Value {
    json!({"jsonrpc": "2.0", "method": method, "params": params})
}

#[cfg(test)]
mod tests;
