//! The AsyncAPI 3.0 documents of the session API.
use super::messages::{messages, Message, MessageSender};
use super::{document_version, generator, remove_later_additions, version_number};
use crankpaddle_session_api::SessionApiVersion;
use serde_json::{json, Map, Value};

/// References to the messages of one sender, as an operation lists them.
fn references(messages: &[Message], sender: MessageSender) -> Vec<Value> {
    messages
        .iter()
        .filter(|message| message.sender == sender)
        .map(|message| json!({"$ref": format!("#/channels/session/messages/{}", message.name)}))
        .collect()
}

/// Generates the AsyncAPI 3.0 document of a version.
pub(super) fn asyncapi(version: SessionApiVersion) -> Value {
    let mut schemas = generator();
    let messages = messages(&mut schemas);
    let mut components = Map::new();
    let mut in_channel = Map::new();
    for message in &messages {
        let described = json!({
            "name": message.name, "summary": message.summary, "contentType": "application/json", "payload": message.payload,
        });
        components.insert(message.name.to_owned(), described);
        in_channel.insert(
            message.name.to_owned(),
            json!({"$ref": format!("#/components/messages/{}", message.name)}),
        );
    }
    let mut document = json!({
        "asyncapi": "3.0.0",
        "info": {
            "title": "crankpaddle session API",
            "version": document_version(version),
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
            "call": {"action": "receive", "channel": {"$ref": "#/channels/session"}, "messages": references(&messages, MessageSender::Player)},
            "tell": {"action": "send", "channel": {"$ref": "#/channels/session"}, "messages": references(&messages, MessageSender::Front)},
        },
        "components": {"messages": components, "schemas": schemas.take_definitions(true)},
    });
    remove_later_additions(&mut document, version_number(version));
    document
}
