//! Tests for well-formed and malformed HTTP requests, and for rejected WebSocket handshakes.
use crate::support::Harness;
use std::io::{Read, Write};

/// The header fields that request an upgrade to WebSocket.
const UPGRADE: &str = "upgrade: websocket\r\nconnection: upgrade\r\n";
/// The key of the example in RFC 6455, section 1.3.
const KEY: &str = "sec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\n";

/// A request, the status of its response, and a text that the response must contain.
struct HttpCase {
    request: String,
    status: &'static str,
    expected_text: &'static str,
}

fn case(request: impl Into<String>, status: &'static str, expected_text: &'static str) -> HttpCase {
    HttpCase {
        request: request.into(),
        status,
        expected_text,
    }
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
}

fn handshake(path: &str, fields: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n{UPGRADE}{fields}\r\n")
}

fn check(harness: &Harness, cases: &[HttpCase]) {
    for HttpCase {
        request,
        status,
        expected_text,
    } in cases
    {
        let response = harness.exchange(request.as_bytes());
        assert!(
            response.starts_with(&format!("HTTP/1.1 {status} ")),
            "{request}\n{response}"
        );
        assert!(response.contains(expected_text), "{request}\n{response}");
    }
}

#[test]
fn http_requests_get_their_status_and_text() {
    let harness = Harness::new(&[]);
    let delete = "DELETE /health HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let two_lengths =
        "POST /health HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n";
    let long_field = format!(
        "GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n",
        "y".repeat(20_000)
    );
    let long_body = "POST /health HTTP/1.1\r\nhost: a\r\ncontent-length: 9999999\r\n\r\n";
    check(
        &harness,
        &[
            case(get("/health"), "200", "\"state\":\"ready\""),
            case(get("/nothing"), "404", "application/problem+json"),
            case(get("/traffic"), "200", "application/json"),
            case(get("/session"), "426", "upgrade: websocket"),
            case(delete, "405", "allow: GET"),
            case("nonsense\r\n\r\n", "400", "application/problem+json"),
            case("GET / HTTP/1.1\r\n\r\n", "400", "one Host field"),
            case(long_field, "431", "problem"),
            case(two_lengths, "400", "contradict"),
            case(long_body, "413", "problem"),
        ],
    );
}

#[test]
fn malformed_handshakes_are_rejected_with_http_responses() {
    let harness = Harness::new(&[]);
    let old_version = format!("{KEY}sec-websocket-version: 12\r\n");
    let short_key = "sec-websocket-key: abc\r\nsec-websocket-version: 13\r\n";
    let valid = format!("{KEY}sec-websocket-version: 13\r\n");
    let unknown_subprotocol =
        format!("{KEY}sec-websocket-version: 13\r\nsec-websocket-protocol: chat\r\n");
    check(
        &harness,
        &[
            case(
                handshake("/session", &old_version),
                "426",
                "sec-websocket-version: 13",
            ),
            case(handshake("/session", short_key), "400", "16 bytes"),
            case(handshake("/else", &valid), "404", "/session"),
            case(
                handshake("/session", &unknown_subprotocol),
                "400",
                "subprotocol",
            ),
        ],
    );
}

/// Sends two requests and the example handshake of RFC 6455, section 1.3, without a subprotocol, over one connection.
#[test]
fn a_handshake_follows_other_requests_on_one_connection() {
    let harness = Harness::new(&[]);
    let mut stream = harness.connect();
    let health = "GET /health HTTP/1.1\r\nhost: a\r\n\r\n";
    let handshake = handshake("/session", &format!("{KEY}sec-websocket-version: 13\r\n"));
    stream
        .write_all(format!("{health}{health}{handshake}").as_bytes())
        .unwrap();
    let mut received = String::new();
    let mut buffer = [0; 4096];
    while !received.contains("s3pPLMBiTxaQ9kYGzzhZRbK+xOo=") {
        let count = stream.read(&mut buffer).unwrap();
        assert!(count > 0, "{received}");
        received.push_str(&String::from_utf8_lossy(&buffer[..count]));
    }
    assert_eq!(
        (
            received.matches("200 OK").count(),
            received.contains("sec-websocket-protocol")
        ),
        (2, false)
    );
}
