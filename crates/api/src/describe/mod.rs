//! Generates the published documents from the codec's types.
mod asyncapi;
mod bodies;
mod fleet;
mod messages;
mod openapi;

pub use bodies::{Health, Members, OwnStanding, Peer, PeerState, PeerTurn, State};
pub use fleet::{Fleet, ReturnStep, ServiceStage, ShutdownKind, StepReason, StoreState};

use asyncapi::asyncapi;
use crankpaddle_session_api::Version;
use openapi::openapi;
use schemars::generate::SchemaSettings;
use schemars::{JsonSchema, SchemaGenerator};
use serde_json::Value;

/// The release of a version's description. Its last number changes with each change of the texts.
fn release(version: Version) -> &'static str {
    match version {
        Version::V1 => "1.0.0",
        Version::V2 => "2.0.0",
    }
}

/// The number of a version, as `x-since` states it.
fn number(version: Version) -> u64 {
    match version {
        Version::V1 => 1,
        Version::V2 => 2,
    }
}

/// Removes what later versions added from a schema: properties and values that state in `x-since` which version added them.
fn prune(value: &mut Value, version: u64) {
    let is_later = |part: &Value| {
        part["x-since"]
            .as_u64()
            .is_some_and(|since| since > version)
    };
    match value {
        Value::Object(fields) => {
            if let Some(Value::Object(properties)) = fields.get_mut("properties") {
                properties.retain(|_, property| !is_later(property));
            }
            for word in ["oneOf", "anyOf"] {
                if let Some(Value::Array(alternatives)) = fields.get_mut(word) {
                    alternatives.retain(|alternative| !is_later(alternative));
                }
            }
            fields.values_mut().for_each(|inner| prune(inner, version));
        }
        Value::Array(all) => all.iter_mut().for_each(|inner| prune(inner, version)),
        _ => {}
    }
}

/// The path of the shared schemas in both documents.
const SCHEMAS: &str = "/components/schemas";

fn generator() -> SchemaGenerator {
    SchemaSettings::draft2020_12()
        .with(|settings| settings.definitions_path = SCHEMAS.into())
        .into_generator()
}

fn schema<T: JsonSchema>(generator: &mut SchemaGenerator) -> Value {
    generator.subschema_for::<T>().to_value()
}

/// The schema of a type without its document, to be narrowed where it is used.
fn plain<T: JsonSchema>() -> Value {
    let mut schema = generator().into_root_schema_for::<T>().to_value();
    if let Some(fields) = schema.as_object_mut() {
        for word in ["$schema", "$defs", "components"] {
            fields.remove(word);
        }
    }
    schema
}

/// The committed form of a document: sorted, indented, with one newline at its end.
fn text(document: &Value) -> String {
    serde_json::to_string_pretty(document).unwrap_or_default() + "\n"
}

/// All published files, with their names.
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
