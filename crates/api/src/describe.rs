//! The published documents, made from the codec's own types.
//!
//! Field, variant and type names of the types that derive `JsonSchema` here are names of the published JSON and its
//! schemas (`api/*.json`), so they keep the words of the first release.
use crankpaddle_cross_zone_traffic::report::TrafficReport;
use crankpaddle_http::problem::Problem;
use crankpaddle_session_api::answers::{FAILED, REFUSED, SUPERSEDED, UNKNOWN_SESSION};
use crankpaddle_session_api::jsonrpc::{
    INVALID_PARAMS, INVALID_REQUEST, METHOD_NOT_FOUND, PARSE_ERROR,
};
use crankpaddle_session_api::messages::{
    Closed, Ended, Failed, Moved, Opened, Refused, RungChanged, UnknownName,
};
use crankpaddle_session_api::methods::{Close, Open, Resume};
use crankpaddle_session_api::Version;
use schemars::generate::SchemaSettings;
use schemars::{JsonSchema, SchemaGenerator};
use serde::{Deserialize, Serialize};
use serde_json::{json, Map, Value};
use std::collections::BTreeMap;

/// The release that is described, by version; its last number changes with each change of words.
fn release(version: Version) -> &'static str {
    match version {
        Version::V1 => "1.0.0",
        Version::V2 => "2.0.0",
    }
}

/// The number of a version, as `x-since` counts.
fn number(version: Version) -> u64 {
    match version {
        Version::V1 => 1,
        Version::V2 => 2,
    }
}

/// Takes out of a schema what later versions added: properties and values that say since when they are there.
fn prune(value: &mut Value, version: u64) {
    let later = |v: &Value| v["x-since"].as_u64().is_some_and(|since| since > version);
    match value {
        Value::Object(fields) => {
            if let Some(Value::Object(properties)) = fields.get_mut("properties") {
                properties.retain(|_, property| !later(property));
            }
            for word in ["oneOf", "anyOf"] {
                if let Some(Value::Array(alternatives)) = fields.get_mut(word) {
                    alternatives.retain(|alternative| !later(alternative));
                }
            }
            fields.values_mut().for_each(|inner| prune(inner, version));
        }
        Value::Array(all) => all.iter_mut().for_each(|inner| prune(inner, version)),
        _ => {}
    }
}

/// Where schemas stand in both documents.
const SCHEMAS: &str = "/components/schemas";

/// `GET /health`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Health {
    /// Whether it takes players.
    pub state: State,
    /// Requests without an answer.
    pub waiting: u64,
    /// Sessions that play.
    pub playing: u64,
    /// Connections.
    pub connections: u64,
}

/// A front as another one sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Peer {
    /// Its name among the fronts.
    pub name: String,
    /// Where it says that it is reached.
    pub address: String,
    /// What it is taken for.
    pub state: PeerState,
    /// Since how many milliseconds.
    pub since_ms: u64,
    /// Who found it so.
    pub by: String,
    /// How long its last answer took, microseconds; absent: it was not asked yet.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rtt_us: Option<u64>,
}

/// What a front is taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum PeerState {
    /// It answers.
    Alive,
    /// It did not answer somebody, and may refute that.
    Suspect,
    /// It did not refute in time.
    Gone,
    /// It said that it leaves.
    Left,
}

/// How a front stands with the others, as it sees itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum OwnStanding {
    /// There is nobody to hear.
    Alone,
    /// It hears whom it asks.
    Connected,
    /// Its timers were late, or half of those it asked did not answer.
    Doubtful,
    /// It hears nobody.
    CutOff,
    /// Another process has its name.
    Replaced,
}

/// How far service is back after a start.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema,
)]
#[serde(rename_all = "snake_case")]
pub enum ServiceStage {
    /// Nothing is known.
    #[default]
    Dark,
    /// What was kept is being read.
    Reading,
    /// Servers are asked what became of what was begun.
    Settling,
    /// Paid classes are served.
    Paid,
    /// All are served; servers may still be cold.
    All,
    /// As ever.
    Normal,
}

/// Why a step back was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum StepReason {
    /// The process started.
    Started,
    /// The former life had ended in order.
    EndedInOrder,
    /// The disk began to be read.
    DiskThere,
    /// All that was kept is read.
    Read,
    /// Each server told, or can't be reached.
    ServersTold,
    /// No paid request was turned away for a while.
    PaidServed,
    /// Servers had time to warm.
    Warm,
    /// The step's time was over.
    Time,
}

/// A step of returning service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct ReturnStep {
    /// To where.
    pub stage: ServiceStage,
    /// Why.
    pub why: StepReason,
    /// How long ago, milliseconds.
    pub ago_ms: u64,
}

/// How the former life of a front ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Former {
    /// Nothing was kept of one: it was the first, or the disk was lost.
    #[default]
    Unknown,
    /// In order.
    EndedInOrder,
    /// The process ended without a word.
    Killed,
    /// Its host was booted since.
    PowerLost,
}

/// Whether what must outlive a power loss is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum StoreState {
    /// It is.
    #[default]
    Written,
    /// The last write failed; nothing paid is set up until one succeeds.
    Failing,
    /// The disk failed at the start; nothing paid is set up.
    Unusable,
}

/// What a front knows of its past and the fleet's.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Fleet {
    /// Its own name, the same in all its lives.
    pub name: String,
    /// How often it started.
    pub epoch: u64,
    /// How its former life ended.
    pub former: Former,
    /// How far service is back.
    pub stage: ServiceStage,
    /// How it came there, in order.
    pub steps: Vec<ReturnStep>,
    /// Requests that wait until it is known what was begun.
    pub held: u64,
    /// Paid set-ups of former lives of which no server has told what became.
    pub unsettled: u64,
    /// Servers that told.
    pub servers_told: u64,
    /// Servers that can't be reached; they are asked again.
    pub servers_out_of_reach: u64,
    /// Servers that are being asked.
    pub servers_asked: u64,
    /// Paid keys that are kept.
    pub kept: u64,
    /// So many fronts are reckoned with in all that is cut into parts.
    pub reckoned_fronts: u32,
    /// Whether it can be written.
    pub store: StoreState,
}

/// What a front knows of the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct Members {
    /// Its own name.
    pub name: String,
    /// Where it says to the others that it is reached.
    #[serde(default)]
    pub address: String,
    /// Its own standing.
    pub standing: OwnStanding,
    /// The others, by name.
    pub members: Vec<Peer>,
    /// Datagrams sent, heard, and dropped for any reason, since its start.
    pub sent: u64,
    /// See `sent`.
    pub heard: u64,
    /// See `sent`.
    pub dropped: u64,
    /// What else was counted since its start, by name.
    #[serde(default)]
    pub counted: BTreeMap<String, u64>,
    /// The latest changes, in order; at most 256.
    #[serde(default)]
    pub turns: Vec<PeerTurn>,
}

/// A front came to be taken for something else.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[schemars(deny_unknown_fields)]
pub struct PeerTurn {
    /// How many there were since the start, with this one; a gap tells of some that are no longer told.
    pub number: u64,
    /// Before how many milliseconds.
    pub ago_ms: u64,
    /// Which front.
    pub name: String,
    /// What for.
    pub state: PeerState,
    /// Who found it so.
    pub by: String,
    /// Whether it is another process than before.
    pub restarted: bool,
}

/// Whether a front takes players.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It does.
    Ready,
    /// It takes nothing new.
    Draining,
}

fn generator() -> SchemaGenerator {
    SchemaSettings::draft2020_12()
        .with(|s| s.definitions_path = SCHEMAS.into())
        .into_generator()
}

fn schema<T: JsonSchema>(generator: &mut SchemaGenerator) -> Value {
    generator.subschema_for::<T>().to_value()
}

/// A type's own schema, to be narrowed where it is used.
fn plain<T: JsonSchema>() -> Value {
    let mut schema = generator().into_root_schema_for::<T>().to_value();
    if let Some(fields) = schema.as_object_mut() {
        ["$schema", "$defs", "components"]
            .iter()
            .for_each(|word| drop(fields.remove(*word)));
    }
    schema
}

/// Which way a message goes.
#[derive(Clone, Copy, PartialEq, Eq)]
enum MessageKind {
    Call,
    Notification,
}

/// A message and its whole payload.
struct Message {
    name: &'static str,
    summary: &'static str,
    way: MessageKind,
    payload: Value,
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
        way: MessageKind::Call,
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
        way: MessageKind::Notification,
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
        way: MessageKind::Notification,
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
        way: MessageKind::Notification,
        payload,
    }
}

fn messages(g: &mut SchemaGenerator) -> Vec<Message> {
    vec![
        call(
            "open",
            "Asks for a session, once for each key.",
            "session.open",
            schema::<Open>(g),
        ),
        call(
            "resume",
            "Takes a session, or the wait for it, up again.",
            "session.resume",
            schema::<Resume>(g),
        ),
        call(
            "close",
            "Ends a session of this connection.",
            "session.close",
            schema::<Close>(g),
        ),
        result("opened", "The session plays.", schema::<Opened>(g)),
        result(
            "closed",
            "The session is closed as asked.",
            schema::<Closed>(g),
        ),
        error(
            "refused",
            "Refused: nothing of it ran.",
            REFUSED,
            Some((schema::<Refused>(g), true)),
        ),
        error(
            "failed",
            "Failed: an attempt may have run.",
            FAILED,
            Some((schema::<Failed>(g), true)),
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
            Some((schema::<UnknownName>(g), false)),
        ),
        notification(
            "rung",
            "The rung changes.",
            "session.rung",
            schema::<RungChanged>(g),
        ),
        notification(
            "end",
            "The session is over.",
            "session.end",
            schema::<Ended>(g),
        ),
        notification(
            "move",
            "The session moves.",
            "session.move",
            schema::<Moved>(g),
        ),
    ]
}

/// The AsyncAPI 3.0 document of a version.
pub fn asyncapi(version: Version) -> Value {
    let mut g = generator();
    let messages = messages(&mut g);
    let mut named = Map::new();
    let mut in_channel = Map::new();
    for m in &messages {
        let described = json!({
            "name": m.name, "summary": m.summary, "contentType": "application/json", "payload": m.payload,
        });
        named.insert(m.name.to_owned(), described);
        in_channel.insert(
            m.name.to_owned(),
            json!({"$ref": format!("#/components/messages/{}", m.name)}),
        );
    }
    let of = |way: MessageKind| -> Vec<Value> {
        let there = messages.iter().filter(|m| m.way == way);
        there
            .map(|m| json!({"$ref": format!("#/channels/session/messages/{}", m.name)}))
            .collect()
    };
    let mut document = json!({
        "asyncapi": "3.0.0",
        "info": {
            "title": "crankpaddle session API",
            "version": release(version),
            "description": "JSON-RPC 2.0 over WebSocket. A text frame holds one message, or a batch: an array of calls, \
                answered by one array when all are answered. A notice of a session follows the answer that makes it \
                known. A call without an id gets no answer, and none of the methods does anything without one but \
                session.close. A connection that is lost takes its session up again with session.resume, or with \
                session.open and the same key, within the front's resume time; after that the session is over. The \
                versions are named by subprotocol; what a version does not know is told to it as the nearest that it \
                knows.",
        },
        "servers": {"front": {"host": "localhost", "protocol": "ws"}},
        "defaultContentType": "application/json",
        "channels": {"session": {
            "address": "/session",
            "messages": in_channel,
            "bindings": {"ws": {"method": "GET", "headers": {"type": "object", "properties": {
                "Sec-WebSocket-Protocol": {"type": "string", "const": version.subprotocol()},
            }}}},
        }},
        "operations": {
            "call": {"action": "receive", "channel": {"$ref": "#/channels/session"}, "messages": of(MessageKind::Call)},
            "tell": {"action": "send", "channel": {"$ref": "#/channels/session"}, "messages": of(MessageKind::Notification)},
        },
        "components": {"messages": named, "schemas": g.take_definitions(true)},
    });
    prune(&mut document, number(version));
    document
}

/// The OpenAPI 3.1 document.
pub fn openapi() -> Value {
    let mut g = generator();
    let (health, traffic, problem) = (
        plain::<Health>(),
        schema::<TrafficReport>(&mut g),
        plain::<Problem>(),
    );
    let members = schema::<Members>(&mut g);
    let fleet = schema::<Fleet>(&mut g);
    let body = |what: &str, media: &str, schema: &Value| json!({"description": what, "content": {media: {"schema": schema}}});
    // Each answer as it is: its own status, and advice only where there is some.
    let refusal = |status: u16, what: &str| {
        let mut own = problem.clone();
        own["properties"]["status"] = json!({"const": status});
        let advised = own["properties"]
            .as_object_mut()
            .and_then(|p| p.remove("retry_after_ms"));
        if let (Some(advised), (503, true)) = (advised, (status, what.contains("come back"))) {
            own["properties"]["retry_after_ms"] = advised;
        }
        body(what, crankpaddle_http::problem::MEDIA_TYPE, &own)
    };
    let standing = |state: &str| {
        let mut own = health.clone();
        own["properties"]["state"] = json!({"const": state});
        own
    };
    let document =
        |what: &str, media: &str| json!({"description": what, "content": {media: {"schema": {}}}});
    let paths = json!({
        "/health": {"get": {
            "summary": "Whether the front takes players.",
            "responses": {
                "200": body("It does.", "application/json", &standing("ready")),
                "503": body("It drains.", "application/json", &standing("draining")),
            },
        }},
        "/traffic": {"get": {
            "summary": "Bytes between halls, by flow, and the budgets for them.",
            "responses": {
                "200": body("The report.", "application/json", &traffic),
                "503": refusal(503, "The front has more to do than to report."),
            },
        }},
        "/members": {"get": {
            "summary": "The other fronts, as this one sees them.",
            "responses": {
                "200": body("What it knows of them.", "application/json", &members),
                "404": refusal(404, "It has no peers in its configuration."),
                "503": refusal(503, "The front has more to do than to tell."),
            },
        }},
        "/fleet": {"get": {
            "summary": "What the front knows of its past and the fleet's, and how far service is back after a start.",
            "responses": {
                "200": body("What it knows.", "application/json", &fleet),
                "404": refusal(404, "It has no store in its configuration."),
                "503": refusal(503, "The front has more to do than to tell."),
            },
        }},
        "/session": {"get": {
            "summary": "The opening handshake of WebSocket; what goes over it is described by AsyncAPI.",
            "responses": {
                "101": {"description": "WebSocket from here on."},
                "400": refusal(400, "The handshake is malformed, or offers no version that is served."),
                "426": refusal(426, "This is spoken over WebSocket, version 13."),
                "503": refusal(503, "As many connections as there may be; come back after a while."),
            },
        }},
        "/api/session.v2.asyncapi.json": {"get": {
            "summary": "The description of the present version's WebSocket messages.",
            "responses": {"200": document("AsyncAPI 3.0.", "application/json")},
        }},
        "/api/session.v1.asyncapi.json": {"get": {
            "summary": "The description of the previous version's WebSocket messages.",
            "responses": {"200": document("AsyncAPI 3.0.", "application/json")},
        }},
        "/api/openapi.json": {"get": {
            "summary": "This description.",
            "responses": {"200": document("OpenAPI 3.1.", "application/json")},
        }},
        "/api": {"get": {
            "summary": "Both descriptions as a page to read.",
            "responses": {"200": document("A page that needs nothing else.", "text/html")},
        }},
    });
    json!({
        "openapi": "3.1.0",
        "info": {
            "title": "crankpaddle HTTP beside the session API",
            "version": release(Version::V2),
            "description": "Errors are problem details (RFC 9457). Whatever is not described here is answered with 404, \
                another method than GET with 405, a malformed request with 400, 413 or 431, each as a problem.",
        },
        "servers": [{"url": "http://localhost"}],
        "paths": paths,
        "components": {
            "schemas": g.take_definitions(true),
            "responses": {
                "400": refusal(400, "The request is malformed."),
                "404": refusal(404, "Nothing is there."),
                "405": refusal(405, "Only GET is known here."),
                "413": refusal(413, "The body is too large."),
                "431": refusal(431, "The fields are too large."),
            },
        },
    })
}

/// A document as it is committed: sorted, indented, one newline at its end.
pub fn text(document: &Value) -> String {
    serde_json::to_string_pretty(document).unwrap_or_default() + "\n"
}

/// All that is published, by the name of its file.
pub fn files() -> Vec<(&'static str, String)> {
    let (present, openapi) = (asyncapi(Version::V2), openapi());
    let page = crate::page::html(&present, &openapi);
    vec![
        ("session.v2.asyncapi.json", text(&present)),
        ("session.v1.asyncapi.json", text(&asyncapi(Version::V1))),
        ("openapi.json", text(&openapi)),
        ("index.html", page),
    ]
}

#[cfg(test)]
mod tests;
