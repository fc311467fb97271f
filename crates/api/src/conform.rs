//! Whether recorded traffic and the published descriptions agree, in both directions.
//!
//! Reads the documents, never the types that they came from. A message that no description allows is a fault; so is what is
//! described and was never exchanged in a whole run: a message, a property, a value of an enum, a status. What no run can
//! show is listed with its reason.
use jsonschema::Validator;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
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
    /// As [`Verdict::unseen`] names it.
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

/// A schema that finds the document's others.
fn compiled(document: &Value, name: String, schema: &Value) -> Result<Described, String> {
    let with_components = json!({"allOf": [schema], "components": document["components"]});
    let validator =
        jsonschema::draft202012::new(&with_components).map_err(|e| format!("{name}: {e}"))?;
    Ok(Described {
        name,
        schema: schema.clone(),
        validator,
    })
}

fn at<'v>(document: &'v Value, reference: &str) -> Option<&'v Value> {
    document.pointer(reference.strip_prefix('#')?)
}

impl ConformanceChecker {
    /// Reads the two documents.
    ///
    /// # Errors
    /// One of them is no JSON, refers to nothing, or holds a schema that is none.
    pub fn new(asyncapi: &str, openapi: &str) -> Result<ConformanceChecker, String> {
        let read = |text: &str| serde_json::from_str::<Value>(text).map_err(|e| e.to_string());
        let documents = [read(asyncapi)?, read(openapi)?];
        let of_operation = |name: &str| -> Result<Vec<Described>, String> {
            let listed = documents[0]["operations"][name]["messages"].as_array();
            let listed = listed.ok_or_else(|| format!("AsyncAPI has no operation {name:?}"))?;
            let each = listed.iter().map(|message| {
                let broken = || format!("a message of {name:?} refers to nothing: {message}");
                let in_channel = message["$ref"]
                    .as_str()
                    .and_then(|r| at(&documents[0], r))
                    .ok_or_else(broken)?;
                let reference = in_channel["$ref"]
                    .as_str()
                    .and_then(|r| at(&documents[0], r))
                    .ok_or_else(broken)?;
                let called = reference["name"].as_str().ok_or_else(broken)?.to_owned();
                compiled(&documents[0], called, &reference["payload"])
            });
            each.collect()
        };
        let (calls, tells) = (of_operation("call")?, of_operation("tell")?);
        let (mut bodies, mut statuses) = (BTreeMap::new(), BTreeSet::new());
        let empty = serde_json::Map::new();
        let paths = documents[1]["paths"]
            .as_object()
            .ok_or("OpenAPI has no paths")?;
        let named = paths
            .iter()
            .map(|(path, of)| (path.clone(), &of["get"]["responses"]));
        let others = [("*".to_owned(), &documents[1]["components"]["responses"])];
        for (path, responses) in named.chain(others) {
            for (status, response) in responses.as_object().unwrap_or(&empty) {
                let content = response["content"].as_object().unwrap_or(&empty);
                if content.is_empty() {
                    statuses.insert((path.clone(), status.clone()));
                }
                for (media, of) in content {
                    let name = format!("GET {path} {status}");
                    let described = compiled(&documents[1], name, &of["schema"])?;
                    bodies.insert((path.clone(), status.clone(), media.clone()), described);
                }
            }
        }
        let (seen, strange) = (BTreeSet::new(), Vec::new());
        Ok(ConformanceChecker {
            documents,
            calls,
            notifications: tells,
            bodies,
            statuses,
            seen,
            undescribed: strange,
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

    /// All that is described, as [`Verdict::unseen`] names it.
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

/// Names what a schema describes: each property, and each value of an enum. With an instance, only what it holds.
fn walk(
    document: &Value,
    schema: &Value,
    instance: Option<&Value>,
    path: &str,
    out: &mut Vec<String>,
) {
    if let Some(referenced) = schema["$ref"].as_str().and_then(|r| at(document, r)) {
        walk(document, referenced, instance, path, out);
    }
    for word in ["allOf", "anyOf", "oneOf"] {
        for inner in schema[word].as_array().into_iter().flatten() {
            walk(document, inner, instance, path, out);
        }
    }
    // An enum's values: as such, or as constants of alternatives, each with a description of its own.
    let constants = schema["oneOf"]
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(|s| s.get("const"));
    for value in schema["enum"]
        .as_array()
        .into_iter()
        .flatten()
        .chain(constants)
    {
        if instance.is_none_or(|i| i == value) {
            out.push(format!("{path} = {value}"));
        }
    }
    for (name, inner) in schema["properties"].as_object().into_iter().flatten() {
        let inner_instance = instance.map(|i| i.get(name));
        if inner_instance != Some(None) {
            let path = format!("{path}.{name}");
            out.push(path.clone());
            walk(document, inner, inner_instance.flatten(), &path, out);
        }
    }
    if schema["items"].is_object() {
        let path = format!("{path}[]");
        match instance {
            None => walk(document, &schema["items"], None, &path, out),
            Some(list) => {
                let each = list.as_array().into_iter().flatten();
                each.for_each(|item| walk(document, &schema["items"], Some(item), &path, out));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn checker() -> ConformanceChecker {
        ConformanceChecker::new(crate::PRESENT, crate::OPENAPI).unwrap()
    }

    fn told(text: &str) -> ConformanceReport {
        let mut c = checker();
        c.take(&Exchange::Text {
            call: false,
            text: text.to_owned(),
        });
        c.verdict(&[])
    }

    #[test]
    fn what_no_description_allows_is_found() {
        let good = r#"{"jsonrpc":"2.0","id":1,"error":{"code":-32001,"message":"refused","data":{"reason":"no_room","retry_after_ms":5}}}"#;
        assert_eq!(told(good).undescribed, Vec::<String>::new());
        for (from, to) in [
            ("no_room", "no_rooms"),
            ("\"retry_after_ms\":5", "\"retry_after_s\":5"),
            ("\"retry_after_ms\":5", "\"retry_after_ms\":\"5\""),
            ("-32001", "-32009"),
            ("\"id\":1,", ""),
            ("\"jsonrpc\":\"2.0\",", ""),
            (
                "\"data\":{\"reason\":\"no_room\",\"retry_after_ms\":5}",
                "\"data\":{}",
            ),
            ("{\"jsonrpc\"", "{\"more\":1,\"jsonrpc\""),
            ("{\"jsonrpc\"", "\"jsonrpc\""),
        ] {
            assert!(good.contains(from), "{from}");
            assert_eq!(
                told(&good.replacen(from, to, 1)).undescribed.len(),
                1,
                "{from} -> {to}"
            );
        }
        // In a batch each is looked at.
        assert_eq!(
            told(&format!("[{good},{}]", good.replace("no_room", "none")))
                .undescribed
                .len(),
            1
        );
    }

    #[test]
    fn answers_over_http_are_held_against_their_path_and_status() {
        let http = |method: &str, path: &str, status, media: &str, body: &str| {
            let mut c = checker();
            let (method, path) = (method.to_owned(), path.to_owned());
            c.take(&Exchange::Http {
                method,
                path,
                status,
                media: media.to_owned(),
                body: body.to_owned(),
            });
            c.verdict(&[]).undescribed.len()
        };
        let health = r#"{"state":"ready","waiting":0,"playing":0,"connections":1}"#;
        let problem = r#"{"type":"about:blank","title":"Not Found","status":404,"detail":"x"}"#;
        let (json, details) = ("application/json", "application/problem+json");
        assert_eq!(http("GET", "/health", 200, json, health), 0);
        assert_eq!(http("GET", "/nothing", 404, details, problem), 0);
        assert_eq!(
            http("DELETE", "/health", 405, details, problem),
            1,
            "its status is another"
        );
        assert_eq!(
            http(
                "DELETE",
                "/health",
                405,
                details,
                &problem.replace("404", "405")
            ),
            0
        );
        assert_eq!(http("GET", "/session", 101, "", ""), 0);
        for (method, path, status, media, body) in [
            ("GET", "/health", 201, json, health.to_owned()),
            ("GET", "/health", 200, "text/plain", health.to_owned()),
            (
                "GET",
                "/health",
                200,
                json,
                health.replace("ready", "asleep"),
            ),
            (
                "GET",
                "/health",
                200,
                json,
                health.replace("}", ",\"more\":1}"),
            ),
            ("GET", "/nothing", 404, json, problem.to_owned()),
            ("DELETE", "/health", 200, json, health.to_owned()),
            ("GET", "/session", 200, "", String::new()),
        ] {
            assert_eq!(
                http(method, path, status, media, &body),
                1,
                "{method} {path} {status} {media} {body}"
            );
        }
    }

    #[test]
    fn what_is_described_and_was_never_exchanged_is_found_down_to_values() {
        let end = r#"{"jsonrpc":"2.0","method":"session.end","params":{"session":"s-1","reason":"finished"}}"#;
        let unseen = told(end).unseen;
        assert!(!unseen.contains("end") && !unseen.contains("end.params.reason = \"finished\""));
        for item in [
            "end.params.retry_after_ms",
            "end.params.reason = \"server_lost\"",
            "rung",
            "open.params.tenant",
            "refused.error.data.reason = \"held_at_home\"",
            "batch of calls",
            "GET /health 503",
            "GET /health 503.state",
            "GET /session 101",
        ] {
            assert!(unseen.contains(item), "{item}: {unseen:#?}");
        }
    }

    #[test]
    fn exceptions_excuse_what_they_name_and_must_be_needed() {
        let mut c = checker();
        let end = r#"{"jsonrpc":"2.0","method":"session.move","params":{"session":"s-1"}}"#;
        c.take(&Exchange::Text {
            call: false,
            text: end.into(),
        });
        let exception = |item: &str, reason: &str| Exception {
            item: item.into(),
            reason: reason.into(),
        };
        let all = [
            exception("end", "a reason"),
            exception("move", "it was seen"),
            exception("nothing of this name", "a reason"),
            exception("rung", " "),
        ];
        let verdict = c.verdict(&all);
        assert!(!verdict.unseen.contains("end") && !verdict.unseen.contains("end.params.reason"));
        assert!(verdict.unseen.contains("close") && verdict.unseen.contains("closed"));
        assert_eq!(verdict.needless, ["move", "nothing of this name", "rung"]);
        assert!(
            !verdict.agrees() && !ConformanceReport::default().agrees(),
            "a run of nothing shows nothing"
        );
    }

    #[test]
    fn broken_documents_are_refused() {
        assert!(ConformanceChecker::new("{", "{}").is_err());
        assert!(ConformanceChecker::new(crate::PRESENT, "{}").is_err());
        let dangling =
            crate::PRESENT.replace("#/components/messages/move", "#/components/messages/mvoe");
        assert!(ConformanceChecker::new(&dangling, crate::OPENAPI).is_err());
    }
}
