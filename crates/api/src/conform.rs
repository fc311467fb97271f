//! Checks whether recorded traffic and the published descriptions agree, in both directions.
//!
//! The check reads the documents, never the types from which they are generated. A message that no description allows is a fault. So
//! is a described item that a complete run never exchanges: a message, a property, a value of an enum, a status. Items that no run
//! can exchange are listed as exceptions with a reason.
mod documents;

use crate::errors::ApiError;
use documents::{collect_items, messages_of, BodyKey, Responses, StatusKey};
use jsonschema::Validator;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt;

/// The path under which the documents describe responses that any path may give.
const ANY_PATH: &str = "*";
/// Items for JSON-RPC batches, which no document describes.
const BATCH_OF_CALLS: &str = "batch of calls";
const BATCH_OF_ANSWERS: &str = "batch of answers";

/// A message or a request and its response, as recorded at a socket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Exchange {
    /// A text frame of a WebSocket.
    Text {
        /// Whether the player sent it.
        call: bool,
        /// The content of the frame.
        text: String,
    },
    /// An HTTP request and its response.
    Http {
        /// The request's method.
        method: String,
        /// The request's path.
        path: String,
        /// The response's status.
        status: u16,
        /// The response's media type; empty if it has none.
        media: String,
        /// The response's body.
        body: String,
    },
}

/// A described item that need not be exchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exception {
    /// The item, as [`ConformanceReport::unseen`] names it.
    pub item: String,
    /// Why no run exchanges it.
    pub reason: String,
}

impl Exception {
    /// Whether the exception is for this item or for one that contains it.
    fn covers(&self, item: &str) -> bool {
        item.strip_prefix(self.item.as_str())
            .is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', ' ', '[']))
    }
}

/// The result of a check.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConformanceReport {
    /// Exchanges that no description allows.
    pub undescribed: Vec<String>,
    /// Described items that were never exchanged.
    pub unseen: BTreeSet<String>,
    /// Exceptions for items that were exchanged or are not described, and exceptions without a reason.
    pub needless: Vec<String>,
    /// The number of messages and responses that were checked.
    pub looked_at: usize,
}

impl ConformanceReport {
    /// Whether traffic and descriptions agree in both directions. A run without traffic shows nothing, so it does not agree.
    #[must_use]
    pub fn agrees(&self) -> bool {
        self.looked_at > 0
            && self.undescribed.is_empty()
            && self.unseen.is_empty()
            && self.needless.is_empty()
    }
}

impl fmt::Display for ConformanceReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for exchange in &self.undescribed {
            writeln!(formatter, "not described: {exchange}")?;
        }
        for item in &self.unseen {
            writeln!(formatter, "described and never exchanged: {item}")?;
        }
        for item in &self.needless {
            writeln!(formatter, "needless exception: {item}")?;
        }
        write!(
            formatter,
            "{} messages and answers looked at",
            self.looked_at
        )
    }
}

/// A described message or body.
struct Described {
    name: String,
    schema: Value,
    validator: Validator,
}

impl Described {
    /// The items of this description that the value exchanges; with `None` all of them.
    fn items(&self, document: &Value, value: Option<&Value>) -> Vec<String> {
        let mut items = vec![self.name.clone()];
        collect_items(document, &self.schema, value, &self.name, &mut items);
        items
    }
}

/// Checks recorded traffic against the two published documents.
pub struct ConformanceChecker {
    asyncapi: Value,
    openapi: Value,
    /// Messages that players send.
    calls: Vec<Described>,
    /// Messages that fronts send.
    notifications: Vec<Described>,
    responses: Responses,
    seen: BTreeSet<String>,
    undescribed: Vec<String>,
    looked_at: usize,
}

impl ConformanceChecker {
    /// Reads the two documents.
    ///
    /// # Errors
    /// A document is not JSON, has a dangling reference, or contains an invalid schema.
    pub fn new(asyncapi: &str, openapi: &str) -> Result<ConformanceChecker, ApiError> {
        let asyncapi: Value = serde_json::from_str(asyncapi)?;
        let openapi: Value = serde_json::from_str(openapi)?;
        Ok(ConformanceChecker {
            calls: messages_of(&asyncapi, "call")?,
            notifications: messages_of(&asyncapi, "tell")?,
            responses: Responses::read(&openapi)?,
            asyncapi,
            openapi,
            seen: BTreeSet::new(),
            undescribed: Vec::new(),
            looked_at: 0,
        })
    }

    /// Whether exactly one described call allows this one.
    #[must_use]
    pub fn allows_call(&self, call: &Value) -> bool {
        let allowing = self.calls.iter();
        let allowing = allowing.filter(|described| described.validator.is_valid(call));
        allowing.count() == 1
    }

    /// Checks a recorded exchange.
    pub fn record(&mut self, exchange: &Exchange) {
        match exchange {
            Exchange::Text { call, text } => self.record_text(*call, text),
            Exchange::Http {
                method,
                path,
                status,
                media,
                body,
            } => self.record_response(method, path, *status, media, body),
        }
    }

    fn record_text(&mut self, is_call: bool, text: &str) {
        match serde_json::from_str(text) {
            Ok(Value::Array(members)) if !members.is_empty() => {
                let batch = if is_call {
                    BATCH_OF_CALLS
                } else {
                    BATCH_OF_ANSWERS
                };
                self.seen.insert(batch.to_owned());
                for member in &members {
                    self.record_message(is_call, member);
                }
            }
            Ok(value) => self.record_message(is_call, &value),
            // A call may be malformed; the front's answer to it is checked.
            Err(_) if is_call => {}
            Err(error) => self
                .undescribed
                .push(format!("the front sent no JSON ({error}): {text}")),
        }
    }

    fn record_message(&mut self, is_call: bool, message: &Value) {
        self.looked_at += 1;
        let candidates = if is_call {
            &self.calls
        } else {
            &self.notifications
        };
        let allowing: Vec<&Described> = candidates
            .iter()
            .filter(|described| described.validator.is_valid(message))
            .collect();
        if let [described] = allowing[..] {
            self.seen
                .extend(described.items(&self.asyncapi, Some(message)));
            return;
        }
        // A call may be invalid; the front's answer to it is checked.
        if is_call && allowing.is_empty() {
            return;
        }
        let names: Vec<&str> = allowing
            .iter()
            .map(|described| described.name.as_str())
            .collect();
        self.undescribed.push(format!(
            "{} messages fit ({}): {message}",
            allowing.len(),
            names.join(", ")
        ));
    }

    fn record_response(&mut self, method: &str, path: &str, status: u16, media: &str, body: &str) {
        self.looked_at += 1;
        let path_without_query = path.split('?').next().unwrap_or("");
        let own_path = (method == "GET").then_some(path_without_query);
        for described_path in own_path.into_iter().chain([ANY_PATH]) {
            let status_key = StatusKey {
                path: described_path.to_owned(),
                status: status.to_string(),
            };
            if media.is_empty() && self.responses.statuses.contains(&status_key) {
                self.seen.insert(status_key.item());
                return;
            }
            let body_key = BodyKey {
                status: status_key,
                media: media.to_owned(),
            };
            let Some(described) = self.responses.bodies.get(&body_key) else {
                continue;
            };
            match parse_body(media, body).filter(|value| described.validator.is_valid(value)) {
                Some(value) => self
                    .seen
                    .extend(described.items(&self.openapi, Some(&value))),
                None => self.undescribed.push(format!(
                    "{method} {path} {status}: the body is another: {body}"
                )),
            }
            return;
        }
        self.undescribed.push(format!(
            "{method} {path}: status {status} with {media:?} is not described"
        ));
    }

    /// All described items, as [`ConformanceReport::unseen`] names them.
    fn items(&self) -> BTreeSet<String> {
        let mut items: BTreeSet<String> =
            [BATCH_OF_CALLS, BATCH_OF_ANSWERS].map(str::to_owned).into();
        for described in self.calls.iter().chain(&self.notifications) {
            items.extend(described.items(&self.asyncapi, None));
        }
        for described in self.responses.bodies.values() {
            items.extend(described.items(&self.openapi, None));
        }
        items.extend(self.responses.statuses.iter().map(StatusKey::item));
        items
    }

    /// The result for all recorded exchanges.
    #[must_use]
    pub fn report(&self, exceptions: &[Exception]) -> ConformanceReport {
        let items = self.items();
        let is_excepted = |item: &str| exceptions.iter().any(|exception| exception.covers(item));
        let unseen = items.difference(&self.seen);
        let unseen = unseen.filter(|item| !is_excepted(item));
        let is_needless = |exception: &&Exception| {
            self.seen.contains(&exception.item)
                || !items.contains(&exception.item)
                || exception.reason.trim().is_empty()
        };
        let needless = exceptions.iter().filter(is_needless);
        ConformanceReport {
            undescribed: self.undescribed.clone(),
            unseen: unseen.cloned().collect(),
            needless: needless.map(|exception| exception.item.clone()).collect(),
            looked_at: self.looked_at,
        }
    }
}

/// The value that a body is checked as; `None` if its media type is JSON and it is not.
fn parse_body(media: &str, body: &str) -> Option<Value> {
    if media.contains("json") {
        return serde_json::from_str(body).ok();
    }
    Some(Value::String(body.to_owned()))
}

#[cfg(test)]
mod tests;
