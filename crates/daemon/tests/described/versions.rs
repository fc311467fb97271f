//! Tests for the negotiation of the API version in the handshake.
use crate::support::Harness;
use std::io::{Read, Write};

#[test]
fn the_first_known_version_that_the_client_offers_is_chosen() {
    let harness = Harness::new(&[]);
    for (offered, chosen) in [
        (
            "session.v2.jsonrpc, session.v1.jsonrpc",
            Some("session.v2.jsonrpc"),
        ),
        (
            "session.v1.jsonrpc, session.v2.jsonrpc",
            Some("session.v1.jsonrpc"),
        ),
        (
            "session.v9.jsonrpc, session.v1.jsonrpc",
            Some("session.v1.jsonrpc"),
        ),
        ("session.v9.jsonrpc", None),
    ] {
        let head = format!(
            "GET /session HTTP/1.1\r\nhost: a\r\nupgrade: websocket\r\nconnection: upgrade\r\nsec-websocket-version: 13\r\n\
             sec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\nsec-websocket-protocol: {offered}\r\n\r\n"
        );
        let mut stream = harness.connect();
        stream.write_all(head.as_bytes()).unwrap();
        let mut buffer = [0u8; 1024];
        let count = stream.read(&mut buffer).unwrap();
        let response = String::from_utf8_lossy(&buffer[..count]).into_owned();
        match chosen {
            Some(chosen) => {
                assert!(
                    response.starts_with("HTTP/1.1 101 ")
                        && response.contains(&format!("sec-websocket-protocol: {chosen}\r\n")),
                    "{response}"
                );
            }
            None => assert!(response.starts_with("HTTP/1.1 400 "), "{response}"),
        }
    }
}
