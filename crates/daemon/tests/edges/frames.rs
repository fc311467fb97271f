//! Tests for malformed and unusual WebSocket frames.
use crate::support::{Harness, FREE};
use crankpaddle_session_api::client::ClientEvent;
use std::io::Write;
use tungstenite::protocol::frame::coding::CloseCode;
use tungstenite::Message;

/// The code with which the front closes a WebSocket after it received these bytes.
fn close_code_after(harness: &Harness, bytes: &[u8]) -> CloseCode {
    let mut player = harness.connect_player();
    player.socket.get_mut().write_all(bytes).unwrap();
    loop {
        match player.socket.read() {
            Ok(Message::Close(Some(frame))) => return frame.code,
            Ok(_) => {}
            Err(error) => panic!("no close frame: {error}"),
        }
    }
}

/// A client's frame, masked with zeros. `first_byte` holds the FIN bit, the reserved bits and the opcode.
fn frame(first_byte: u8, payload: &[u8]) -> Vec<u8> {
    let mut bytes = vec![first_byte];
    match payload.len() {
        length @ 0..126 => bytes.push(0x80 | length as u8),
        length @ 126..65536 => {
            bytes.extend([0x80 | 126, (length >> 8) as u8, length as u8]);
        }
        length => bytes.extend([&[0x80 | 127][..], &(length as u64).to_be_bytes()].concat()),
    }
    bytes.extend([0; 4]);
    bytes.extend(payload);
    bytes
}

#[test]
fn malformed_frames_close_their_connection_with_the_right_code_and_affect_no_other() {
    let harness = Harness::new(&[]);
    let mut other = harness.connect_player();
    for (description, bytes, code) in [
        ("unmasked", vec![0x81, 2, b'{', b'}'], CloseCode::Protocol),
        ("reserved bits", frame(0xf1, b"{}"), CloseCode::Protocol),
        ("reserved opcode", frame(0x83, b"{}"), CloseCode::Protocol),
        (
            "a continuation without a first frame",
            frame(0x80, b"{}"),
            CloseCode::Protocol,
        ),
        ("a fragmented ping", frame(0x09, b""), CloseCode::Protocol),
        (
            "a ping with more than 125 bytes",
            frame(0x89, &[0; 126]),
            CloseCode::Protocol,
        ),
        (
            "a text that is not UTF-8",
            frame(0x81, &[0xff, 0xfe]),
            CloseCode::Invalid,
        ),
        ("binary", frame(0x82, b"{}"), CloseCode::Unsupported),
        ("oversized", frame(0x81, &[b' '; 70_000]), CloseCode::Size),
        (
            "oversized in two fragments",
            [frame(0x01, &[b' '; 60_000]), frame(0x80, &[b' '; 60_000])].concat(),
            CloseCode::Size,
        ),
    ] {
        assert_eq!(close_code_after(&harness, &bytes), code, "{description}");
    }
    let (_, event) = other.open_and_wait("unharmed-by-it", FREE);
    assert!(matches!(event, ClientEvent::Plays { .. }), "{event:?}");
}

#[test]
fn fragments_pings_and_closes_follow_the_protocol() {
    let harness = Harness::new(&[]);
    let mut player = harness.connect_player();
    let text = br#"{"jsonrpc":"2.0","id":7,"method":"session.close","params":{"session":"s-0"}}"#;
    let (first, second) = text.split_at(20);
    let mixed = [
        frame(0x01, first),
        frame(0x89, b"are you there"),
        frame(0x80, second),
    ]
    .concat();
    // Sent byte by byte, so that no read gets a complete frame.
    for byte in mixed {
        player.socket.get_mut().write_all(&[byte]).unwrap();
    }
    assert_eq!(
        player.socket.read().unwrap(),
        Message::Pong("are you there".into())
    );
    assert_eq!(player.receive(), ClientEvent::Unknown { id: 7 });
    player.socket.close(None).unwrap();
    assert!(matches!(
        player.socket.read(),
        Ok(Message::Close(_)) | Err(tungstenite::Error::ConnectionClosed)
    ));
}

#[test]
fn a_connection_lost_within_a_frame_affects_no_other() {
    let harness = Harness::new(&[]);
    let mut other = harness.connect_player();
    let broken: Vec<_> = (0..20).map(|_| harness.connect_player()).collect();
    for player in &broken {
        let mut stream = player.socket.get_ref();
        stream.write_all(&[0x81, 0xfe, 0x10]).unwrap(); // An incomplete frame header.
    }
    drop(broken);
    let (_, event) = other.open_and_wait("unharmed", FREE);
    assert!(matches!(event, ClientEvent::Plays { .. }), "{event:?}");
}
