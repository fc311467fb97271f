//! Generates the published documents from the types that the codec reads and writes.
mod asyncapi;
mod bodies;
mod fleet;
mod messages;
mod openapi;

pub use bodies::{Health, Members, OwnStanding, Peer, PeerState, PeerTurn, State};
pub use fleet::{Fleet, ReturnStep, ServiceStage, ShutdownKind, StepReason, StoreState};

use asyncapi::asyncapi;
use crankpaddle_session_api::SessionApiVersion;
use openapi::openapi;
use schemars::generate::SchemaSettings;
use schemars::{JsonSchema, SchemaGenerator};
use serde_json::Value;

/// The version number of a version's description. Its last part changes with each change of the texts.
fn document_version(version: SessionApiVersion) -> &'static str {
    match version {
        SessionApiVersion::V1 => "1.0.0",
        SessionApiVersion::V2 => "2.0.0",
    }
}

/// The number of an API version, as `x-since` gives it.
fn version_number(version: SessionApiVersion) -> u64 {
    match version {
        SessionApiVersion::V1 => 1,
        SessionApiVersion::V2 => 2,
    }
}

/// Removes from a schema what later versions added: properties and enum values with a later version in `x-since`.
fn remove_later_additions(value: &mut Value, version: u64) {
    let is_later = |element: &Value| {
        element["x-since"]
            .as_u64()
            .is_some_and(|since| since > version)
    };
    match value {
        Value::Object(fields) => {
            if let Some(Value::Object(properties)) = fields.get_mut("properties") {
                properties.retain(|_, property| !is_later(property));
            }
            for keyword in ["oneOf", "anyOf"] {
                if let Some(Value::Array(alternatives)) = fields.get_mut(keyword) {
                    alternatives.retain(|alternative| !is_later(alternative));
                }
            }
            fields
                .values_mut()
                .for_each(|inner| remove_later_additions(inner, version));
        }
        Value::Array(elements) => elements
            .iter_mut()
            .for_each(|inner| remove_later_additions(inner, version)),
        _ => {}
    }
}

/// Path of the shared schemas in both documents.
const SCHEMAS_PATH: &str = "/components/schemas";

fn generator() -> SchemaGenerator {
    SchemaSettings::draft2020_12()
        .with(|settings| settings.definitions_path = SCHEMAS_PATH.into())
        .into_generator()
}

/// The schema of a type, with references to the shared schemas.
fn schema<T: JsonSchema>(generator: &mut SchemaGenerator) -> Value {
    generator.subschema_for::<T>().to_value()
}

/// The schema of a type without references to shared schemas, so that its use can restrict it further.
fn inline_schema<T: JsonSchema>() -> Value {
    let mut schema = generator().into_root_schema_for::<T>().to_value();
    if let Some(fields) = schema.as_object_mut() {
        for keyword in ["$schema", "$defs", "components"] {
            fields.remove(keyword);
        }
    }
    schema
}

/// The text of a document as it is committed: sorted and indented JSON with a newline at its end.
fn document_text(document: &Value) -> String {
    serde_json::to_string_pretty(document).unwrap_or_default() + "\n"
}

/// Generates all published files. Returns their names and contents.
pub fn files() -> Vec<(&'static str, String)> {
    let (current, openapi) = (asyncapi(SessionApiVersion::V2), openapi());
    let page = crate::page::render_page(&current, &openapi);
    vec![
        ("session.v2.asyncapi.json", document_text(&current)),
        (
            "session.v1.asyncapi.json",
            document_text(&asyncapi(SessionApiVersion::V1)),
        ),
        ("openapi.json", document_text(&openapi)),
        ("index.html", page),
    ]
}

#[cfg(test)]
mod tests;
