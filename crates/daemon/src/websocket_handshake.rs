//! The WebSocket opening handshake (RFC 6455, section 4.2), and the negotiation of the session API's version.
use crate::http_responses::CLOSE;
use crankpaddle_http::head::{self, Request};
use crankpaddle_http::problem::Problem;
use crankpaddle_session_api::SessionApiVersion;
use tungstenite::handshake;

/// The only version of the WebSocket protocol that is supported, that of RFC 6455.
const WEBSOCKET_VERSION: &str = "13";
/// Length of 16 bytes in base64, including the padding.
const KEY_LENGTH: usize = 24;
/// The base64 padding of 16 bytes.
const KEY_PADDING: &str = "==";

/// The version of the session API that a handshake selected, with the response that accepts it.
pub(crate) struct AcceptedHandshake {
    pub version: SessionApiVersion,
    /// The bytes of the response.
    pub response: Vec<u8>,
}

/// Whether a request is for an upgrade to WebSocket.
pub(crate) fn is_upgrade(request: &Request) -> bool {
    request.fields.has_token("upgrade", "websocket")
        && request.fields.has_token("connection", "upgrade")
}

/// Accepts a handshake if it is valid. A player that offers no subprotocol gets the first version of the session API.
///
/// # Errors
/// The bytes of the response that rejects the handshake.
pub(crate) fn accept(request: &Request) -> Result<AcceptedHandshake, Vec<u8>> {
    if request.path().0 != "/session" {
        return Err(rejection(404, "WebSocket is spoken at /session"));
    }
    if request.method != "GET" || request.minor_version == 0 {
        return Err(rejection(400, "a WebSocket handshake is a GET of HTTP/1.1"));
    }
    if request.fields.get("sec-websocket-version") != Some(WEBSOCKET_VERSION) {
        return Err(rejection(426, "WebSocket version 13 is spoken here"));
    }
    let key = handshake_key(request)
        .ok_or_else(|| rejection(400, "Sec-WebSocket-Key is 16 bytes in base64, once"))?;
    let subprotocol = subprotocol(request)?;
    let accept_key = handshake::derive_accept_key(key.as_bytes());
    let mut fields = vec![
        ("upgrade", "websocket"),
        ("connection", "Upgrade"),
        ("sec-websocket-accept", &accept_key),
    ];
    if let Some(version) = subprotocol {
        fields.push(("sec-websocket-protocol", version.subprotocol()));
    }
    Ok(AcceptedHandshake {
        version: subprotocol.unwrap_or(SessionApiVersion::V1),
        response: head::response(101, &fields, b""),
    })
}

/// The handshake's key; `None` if it is missing, malformed or given more than once.
fn handshake_key(request: &Request) -> Option<&str> {
    let mut keys = request.fields.all("sec-websocket-key");
    let key = keys.next()?;
    let is_single = keys.next().is_none();
    let digits = key.strip_suffix(KEY_PADDING)?;
    let is_base64 =
        |character: char| character.is_ascii_alphanumeric() || character == '+' || character == '/';
    let is_valid = key.len() == KEY_LENGTH && digits.chars().all(is_base64);
    (is_single && is_valid).then_some(key)
}

/// The version negotiated from the offered subprotocols; `None` if none is offered.
///
/// # Errors
/// The bytes of the response that rejects the handshake, if subprotocols are offered but none of them is served.
fn subprotocol(request: &Request) -> Result<Option<SessionApiVersion>, Vec<u8>> {
    let offers = request.fields.all("sec-websocket-protocol");
    let chosen = SessionApiVersion::negotiate(offers.flat_map(|field| field.split(',')));
    let has_offers = request.fields.get("sec-websocket-protocol").is_some();
    if has_offers && chosen.is_none() {
        let known = SessionApiVersion::SERVED
            .map(SessionApiVersion::subprotocol)
            .join(", ");
        let detail = format!("no known subprotocol is offered; known: {known}");
        return Err(rejection(400, &detail));
    }
    Ok(chosen)
}

/// The response that rejects a handshake. Status 426 also states the supported version of WebSocket.
fn rejection(status: u16, detail: &str) -> Vec<u8> {
    let mut fields = vec![CLOSE];
    if status == 426 {
        fields.push(("sec-websocket-version", WEBSOCKET_VERSION));
    }
    Problem::new(status, detail).response(&fields)
}
