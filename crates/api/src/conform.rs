//! Whether recorded traffic and the published descriptions agree, in both directions.
//!
//! Reads the documents, never the types that they came from. A message that no description allows is a fault; so is what is
//! described and was never exchanged in a whole run: a message, a property, a value of an enum, a status. What no run can
//! show is listed with its reason.
mod documents;

use crate::errors::ApiError;
use documents::{messages_of, walk, Responses};
use jsonschema::Validator;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// One thing that went over a socket.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Exchange {
    /// A text frame of a WebSocket.
    Text {
        /// Whether the player sent it.
        call: bool,
        /// It.
        text: String,
    },
    /// A request and its answer.
    Http {
        /// Its method.
        method: String,
        /// Its path.
        path: String,
        /// The answer's status.
        status: u16,
        /// The answer's media type; empty where it has none.
        media: String,
        /// The answer's body.
        body: String,
    },
}

/// What is described and has not been seen for a reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exception {
    /// As [`ConformanceReport::unseen`] names it.
    pub item: String,
    /// Why no run shows it.
    pub reason: String,
}

/// What a run showed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ConformanceReport {
    /// Exchanges that no description allows.
    pub undescribed: Vec<String>,
    /// What is described and was never exchanged.
    pub unseen: BTreeSet<String>,
    /// Exceptions for what was seen, or is not described at all.
    pub needless: Vec<String>,
    /// Messages and answers that were looked at.
    pub looked_at: usize,
}

impl ConformanceReport {
    /// Whether both directions agree.
    pub fn agrees(&self) -> bool {
        self.looked_at > 0
            && self.undescribed.is_empty()
            && self.unseen.is_empty()
            && self.needless.is_empty()
    }
}

impl fmt::Display for ConformanceReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.undescribed
            .iter()
            .try_for_each(|what| writeln!(f, "not described: {what}"))?;
        self.unseen
            .iter()
            .try_for_each(|what| writeln!(f, "described and never exchanged: {what}"))?;
        self.needless
            .iter()
            .try_for_each(|what| writeln!(f, "needless exception: {what}"))?;
        write!(f, "{} messages and answers looked at", self.looked_at)
    }
}

/// A message or a body with its schema.
struct Described {
    name: String,
    schema: Value,
    validator: Validator,
}

/// Holds traffic against documents.
pub struct ConformanceChecker {
    documents: [Value; 2], // AsyncAPI and OpenAPI.
    calls: Vec<Described>,
    notifications: Vec<Described>,
    bodies: BTreeMap<(String, String, String), Described>, // By path, status, media type.
    statuses: BTreeSet<(String, String)>,                  // Without a body.
    seen: BTreeSet<String>,
    undescribed: Vec<String>,
    looked_at: usize,
}

impl ConformanceChecker {
    /// Reads the two documents.
    ///
    /// # Errors
    /// One of them is no JSON, refers to nothing, or holds a schema that is none.
    pub fn new(asyncapi: &str, openapi: &str) -> Result<ConformanceChecker, ApiError> {
        let documents: [Value; 2] = [
            serde_json::from_str(asyncapi)?,
            serde_json::from_str(openapi)?,
        ];
        let calls = messages_of(&documents[0], "call")?;
        let notifications = messages_of(&documents[0], "tell")?;
        let responses = Responses::of(&documents[1])?;
        Ok(ConformanceChecker {
            documents,
            calls,
            notifications,
            bodies: responses.bodies,
            statuses: responses.statuses,
            seen: BTreeSet::new(),
            undescribed: Vec::new(),
            looked_at: 0,
        })
    }

    /// Whether a call is one that is described.
    pub fn allows_call(&self, call: &Value) -> bool {
        self.calls
            .iter()
            .filter(|d| d.validator.is_valid(call))
            .count()
            == 1
    }

    /// Takes what went over a socket.
    pub fn take(&mut self, exchange: &Exchange) {
        match exchange {
            Exchange::Text { call, text } => self.text(*call, text),
            Exchange::Http {
                method,
                path,
                status,
                media,
                body,
            } => self.answer(method, path, *status, media, body),
        }
    }

    fn text(&mut self, call: bool, text: &str) {
        match serde_json::from_str(text) {
            Ok(Value::Array(members)) if !members.is_empty() => {
                self.seen.insert(format!(
                    "batch of {}",
                    if call { "calls" } else { "answers" }
                ));
                members.iter().for_each(|member| self.message(call, member));
            }
            Ok(value) => self.message(call, &value),
            // What a player gets wrong is answered, not described.
            Err(_) if call => {}
            Err(e) => self
                .undescribed
                .push(format!("the front sent no JSON ({e}): {text}")),
        }
    }

    fn message(&mut self, call: bool, value: &Value) {
        self.looked_at += 1;
        let among = if call {
            &self.calls
        } else {
            &self.notifications
        };
        let fits: Vec<&Described> = among
            .iter()
            .filter(|d| d.validator.is_valid(value))
            .collect();
        let [fit] = fits[..] else {
            // A wrong call is the player's own; the answer to it is what is described.
            if !call || fits.len() > 1 {
                let names: Vec<&str> = fits.iter().map(|d| d.name.as_str()).collect();
                self.undescribed.push(format!(
                    "{} messages fit ({}): {value}",
                    fits.len(),
                    names.join(", ")
                ));
            }
            return;
        };
        let mut seen = vec![fit.name.clone()];
        walk(
            &self.documents[0],
            &fit.schema,
            Some(value),
            &fit.name,
            &mut seen,
        );
        self.seen.extend(seen);
    }

    fn answer(&mut self, method: &str, path: &str, status: u16, media: &str, body: &str) {
        self.looked_at += 1;
        let plain = path.split('?').next().unwrap_or("");
        let status = status.to_string();
        let own = (method == "GET").then_some(plain).into_iter();
        for place in own.chain(["*"]) {
            if media.is_empty() && self.statuses.contains(&(place.to_owned(), status.clone())) {
                self.seen.insert(format!("GET {place} {status}"));
                return;
            }
            let key = (place.to_owned(), status.clone(), media.to_owned());
            let Some(described) = self.bodies.get(&key) else {
                continue;
            };
            let json = media.contains("json");
            let value = if json {
                serde_json::from_str(body).ok()
            } else {
                Some(Value::String(body.to_owned()))
            };
            let Some(value) = value.filter(|v| described.validator.is_valid(v)) else {
                self.undescribed.push(format!(
                    "{method} {path} {status}: the body is another: {body}"
                ));
                return;
            };
            let mut seen = vec![described.name.clone()];
            walk(
                &self.documents[1],
                &described.schema,
                Some(&value),
                &described.name,
                &mut seen,
            );
            self.seen.extend(seen);
            return;
        }
        self.undescribed.push(format!(
            "{method} {path}: status {status} with {media:?} is not described"
        ));
    }

    /// All that is described, as [`ConformanceReport::unseen`] names it.
    pub fn items(&self) -> BTreeSet<String> {
        let mut all: BTreeSet<String> = ["batch of calls", "batch of answers"]
            .map(str::to_owned)
            .into();
        let of = |document: &Value, d: &Described, all: &mut BTreeSet<String>| {
            let mut items = vec![d.name.clone()];
            walk(document, &d.schema, None, &d.name, &mut items);
            all.extend(items);
        };
        self.calls
            .iter()
            .chain(&self.notifications)
            .for_each(|d| of(&self.documents[0], d, &mut all));
        self.bodies
            .values()
            .for_each(|d| of(&self.documents[1], d, &mut all));
        all.extend(
            self.statuses
                .iter()
                .map(|(path, status)| format!("GET {path} {status}")),
        );
        all
    }

    /// What all that was taken shows.
    pub fn verdict(&self, exceptions: &[Exception]) -> ConformanceReport {
        let items = self.items();
        // An exception excuses what stands within it too.
        let within = |item: &str, e: &Exception| {
            item.strip_prefix(e.item.as_str())
                .is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', ' ', '[']))
        };
        let unseen = items
            .difference(&self.seen)
            .filter(|item| !exceptions.iter().any(|e| within(item, e)));
        let needless = |e: &&Exception| {
            self.seen.contains(&e.item) || !items.contains(&e.item) || e.reason.trim().is_empty()
        };
        ConformanceReport {
            undescribed: self.undescribed.clone(),
            unseen: unseen.cloned().collect(),
            needless: exceptions
                .iter()
                .filter(needless)
                .map(|e| e.item.clone())
                .collect(),
            looked_at: self.looked_at,
        }
    }
}

#[cfg(test)]
mod tests;
