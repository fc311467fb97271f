//! Checks whether recorded traffic and the published descriptions agree, in both directions.
//!
//! The check reads the documents, and not the types from which they are generated. It reports each message that no description
//! allows, and each described item that the traffic does not contain: a message, a property, a value of an enum, a status.
//! Items that no run can exchange are listed as exceptions with a reason.
mod documents;

use crate::errors::ApiError;
use documents::{collect_items, messages_of, BodyKey, Responses, StatusKey};
use jsonschema::Validator;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;
use std::fmt;

/// Key of the responses that any path may give.
const ANY_PATH: &str = "*";
/// Names of the items for JSON-RPC batches. The documents can't describe batches, but traffic must contain them.
const BATCH_OF_CALLS: &str = "batch of calls";
const BATCH_OF_ANSWERS: &str = "batch of answers";

/// A WebSocket message, or an HTTP request with its response, as recorded at a socket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Exchange {
    /// A text frame of a WebSocket.
    Text {
        /// Whether the player sent it, not the front.
        call: bool,
        /// Content of the frame.
        text: String,
    },
    /// An HTTP request and its response.
    Http {
        /// Method of the request.
        method: String,
        /// Path of the request, with its query.
        path: String,
        /// Status of the response.
        status: u16,
        /// Media type of the response; empty if it has no body.
        media: String,
        /// Body of the response.
        body: String,
    },
}

/// A described item that need not be exchanged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exception {
    /// The item, as [`ConformanceReport::unseen`] names it.
    pub item: String,
    /// Why no run exchanges the item; must not be blank.
    pub reason: String,
}

impl Exception {
    /// Whether the exception names this item, or an item that contains it.
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
    pub needless_exceptions: Vec<String>,
    /// Number of messages and responses that were checked.
    pub checked_count: usize,
}

impl ConformanceReport {
    /// Whether traffic and descriptions agree in both directions. A run without traffic proves nothing and does not agree.
    #[must_use]
    pub fn agrees(&self) -> bool {
        self.checked_count > 0
            && self.undescribed.is_empty()
            && self.unseen.is_empty()
            && self.needless_exceptions.is_empty()
    }
}

impl fmt::Display for ConformanceReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for exchange in &self.undescribed {
            writeln!(formatter, "not described: {exchange}")?;
        }
        for item in &self.unseen {
            writeln!(formatter, "described but never exchanged: {item}")?;
        }
        for item in &self.needless_exceptions {
            writeln!(formatter, "needless exception: {item}")?;
        }
        write!(
            formatter,
            "{} messages and responses checked",
            self.checked_count
        )
    }
}

/// A described message or response body, with its compiled schema.
struct Described {
    name: String,
    schema: Value,
    validator: Validator,
}

impl Described {
    /// The items of this description that the value contains, or all of them without a value.
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
    front_messages: Vec<Described>,
    responses: Responses,
    seen: BTreeSet<String>,
    undescribed: Vec<String>,
    checked_count: usize,
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
            front_messages: messages_of(&asyncapi, "tell")?,
            responses: Responses::read(&openapi)?,
            asyncapi,
            openapi,
            seen: BTreeSet::new(),
            undescribed: Vec::new(),
            checked_count: 0,
        })
    }

    /// Whether exactly one described call matches this one.
    #[must_use]
    pub fn allows_call(&self, call: &Value) -> bool {
        let matching = self.calls.iter();
        let matching = matching.filter(|described| described.validator.is_valid(call));
        matching.count() == 1
    }

    /// Checks one recorded exchange.
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
                .push(format!("the front sent invalid JSON ({error}): {text}")),
        }
    }

    fn record_message(&mut self, is_call: bool, message: &Value) {
        self.checked_count += 1;
        let candidates = if is_call {
            &self.calls
        } else {
            &self.front_messages
        };
        let matching: Vec<&Described> = candidates
            .iter()
            .filter(|described| described.validator.is_valid(message))
            .collect();
        if let [described] = matching[..] {
            self.seen
                .extend(described.items(&self.asyncapi, Some(message)));
            return;
        }
        // A call may be invalid; the front's answer to it is checked.
        if is_call && matching.is_empty() {
            return;
        }
        let names: Vec<&str> = matching
            .iter()
            .map(|described| described.name.as_str())
            .collect();
        self.undescribed.push(format!(
            "{} described messages match ({}): {message}",
            matching.len(),
            names.join(", ")
        ));
    }

    fn record_response(&mut self, method: &str, path: &str, status: u16, media: &str, body: &str) {
        self.checked_count += 1;
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
                    "{method} {path} {status}: the body does not match its schema: {body}"
                )),
            }
            return;
        }
        self.undescribed.push(format!(
            "{method} {path}: status {status} with media type {media:?} is not described"
        ));
    }

    /// The names of all described items, as [`ConformanceReport::unseen`] has them.
    fn items(&self) -> BTreeSet<String> {
        let mut items: BTreeSet<String> =
            [BATCH_OF_CALLS, BATCH_OF_ANSWERS].map(str::to_owned).into();
        for described in self.calls.iter().chain(&self.front_messages) {
            items.extend(described.items(&self.asyncapi, None));
        }
        for described in self.responses.bodies.values() {
            items.extend(described.items(&self.openapi, None));
        }
        items.extend(self.responses.statuses.iter().map(StatusKey::item));
        items
    }

    /// Returns the result for all exchanges that were recorded.
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
            needless_exceptions: needless.map(|exception| exception.item.clone()).collect(),
            checked_count: self.checked_count,
        }
    }
}

/// The value of a body that is checked against its schema. `None` if its media type is JSON but it is not valid JSON.
fn parse_body(media: &str, body: &str) -> Option<Value> {
    if media.contains("json") {
        return serde_json::from_str(body).ok();
    }
    Some(Value::String(body.to_owned()))
}

#[cfg(test)]
mod tests;
