//! The OpenAPI 3.1 document of the HTTP resources beside the session API.
use super::bodies::{Health, Members};
use super::fleet::Fleet;
use super::{document_version, generator, inline_schema, schema};
use crankpaddle_cross_zone_traffic::report::TrafficReport;
use crankpaddle_http::problem::Problem;
use crankpaddle_session_api::SessionApiVersion;
use schemars::SchemaGenerator;
use serde_json::{json, Map, Value};

/// A response with a body of one media type.
fn body_response(description: &str, media: &str, schema: &Value) -> Value {
    json!({"description": description, "content": {media: {"schema": schema}}})
}

/// A response that is a published document.
fn document_response(description: &str, media: &str) -> Value {
    json!({"description": description, "content": {media: {"schema": {}}}})
}

/// A response with problem details. Its status is fixed, and a retry time is described only if the front sends one.
fn problem_response(status: u16, description: &str) -> Value {
    let mut schema = inline_schema::<Problem>();
    schema["properties"]["status"] = json!({"const": status});
    let retry_after = schema["properties"]
        .as_object_mut()
        .and_then(|properties| properties.remove("retry_after_ms"));
    // The front sends a retry time with a problem whose description asks the client to come back.
    let has_retry_time = status == 503 && description.contains("come back");
    if let (Some(retry_after), true) = (retry_after, has_retry_time) {
        schema["properties"]["retry_after_ms"] = retry_after;
    }
    body_response(description, crankpaddle_http::problem::MEDIA_TYPE, &schema)
}

/// The schema of the body of `/health` in one state.
fn health_schema(state: &str) -> Value {
    let mut schema = inline_schema::<Health>();
    schema["properties"]["state"] = json!({"const": state});
    schema
}

/// The paths that report the state of a front.
fn state_paths(schemas: &mut SchemaGenerator) -> Value {
    json!({
        "/health": {"get": {
            "summary": "Whether the front takes players.",
            "responses": {
                "200": body_response("It does.", "application/json", &health_schema("ready")),
                "503": body_response("It drains.", "application/json", &health_schema("draining")),
            },
        }},
        "/traffic": {"get": {
            "summary": "Bytes between halls, by flow, and the budgets for them.",
            "responses": {
                "200": body_response("The report.", "application/json", &schema::<TrafficReport>(schemas)),
                "503": problem_response(503, "The front has more to do than to report."),
            },
        }},
        "/members": {"get": {
            "summary": "The other fronts, as this one sees them.",
            "responses": {
                "200": body_response("What it knows of them.", "application/json", &schema::<Members>(schemas)),
                "404": problem_response(404, "It has no peers in its configuration."),
                "503": problem_response(503, "The front has more to do than to tell."),
            },
        }},
        "/fleet": {"get": {
            "summary": "What the front knows of its past and the fleet's, and how far service is back after a start.",
            "responses": {
                "200": body_response("What it knows.", "application/json", &schema::<Fleet>(schemas)),
                "404": problem_response(404, "It has no store in its configuration."),
                "503": problem_response(503, "The front has more to do than to tell."),
            },
        }},
    })
}

/// The paths of the session API and of its descriptions.
fn session_paths() -> Value {
    json!({
        "/session": {"get": {
            "summary": "The opening handshake of WebSocket; what goes over it is described by AsyncAPI.",
            "responses": {
                "101": {"description": "WebSocket from here on."},
                "400": problem_response(400, "The handshake is malformed, or offers no version that is served."),
                "426": problem_response(426, "This is spoken over WebSocket, version 13."),
                "503": problem_response(503, "As many connections as there may be; come back after a while."),
            },
        }},
        "/api/session.v2.asyncapi.json": {"get": {
            "summary": "The description of the present version's WebSocket messages.",
            "responses": {"200": document_response("AsyncAPI 3.0.", "application/json")},
        }},
        "/api/session.v1.asyncapi.json": {"get": {
            "summary": "The description of the previous version's WebSocket messages.",
            "responses": {"200": document_response("AsyncAPI 3.0.", "application/json")},
        }},
        "/api/openapi.json": {"get": {
            "summary": "This description.",
            "responses": {"200": document_response("OpenAPI 3.1.", "application/json")},
        }},
        "/api": {"get": {
            "summary": "Both descriptions as a page to read.",
            "responses": {"200": document_response("A page that needs nothing else.", "text/html")},
        }},
    })
}

/// The responses that any path may give.
fn common_responses() -> Value {
    json!({
        "400": problem_response(400, "The request is malformed."),
        "404": problem_response(404, "Nothing is there."),
        "405": problem_response(405, "Only GET is known here."),
        "413": problem_response(413, "The body is too large."),
        "431": problem_response(431, "The fields are too large."),
    })
}

/// Generates the OpenAPI 3.1 document.
pub(super) fn openapi() -> Value {
    let mut schemas = generator();
    let mut paths = Map::new();
    for group in [state_paths(&mut schemas), session_paths()] {
        paths.extend(group.as_object().cloned().unwrap_or_default());
    }
    json!({
        "openapi": "3.1.0",
        "info": {
            "title": "crankpaddle HTTP beside the session API",
            "version": document_version(SessionApiVersion::V2),
            "description": "Errors are problem details (RFC 9457). Whatever is not described here is answered with 404, \
                another method than GET with 405, a malformed request with 400, 413 or 431, each as a problem.",
        },
        "servers": [{"url": "http://localhost"}],
        "paths": paths,
        "components": {
            "schemas": schemas.take_definitions(true),
            "responses": common_responses(),
        },
    })
}
