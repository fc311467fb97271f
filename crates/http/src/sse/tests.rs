use super::*;

/// Decodes a stream that arrives in pieces of `piece_bytes` bytes.
fn decode(bytes: &[u8], piece_bytes: usize) -> Vec<Event> {
    let (mut decoder, mut events) = (EventDecoder::default(), Vec::new());
    for piece in bytes.chunks(piece_bytes) {
        decoder.feed(piece, &mut events).unwrap();
    }
    events
}

#[test]
fn streams_are_decoded_in_any_pieces_and_with_any_line_breaks() {
    let text = "\u{feff}: hello\nevent: a\nid: 7\ndata: x\ndata:y\nretry: 5\n\n:\n\ndata\n\nid: 8\n\ndata: z\n\nevent: cut";
    let event = |name: &str, data: &str, id: &str| Event {
        name: name.into(),
        data: data.into(),
        id: id.into(),
    };
    let expected = [
        event("a", "x\ny", "7"),
        event("", "", "7"),
        event("", "z", "8"),
    ];
    for piece_bytes in 1..12 {
        assert_eq!(decode(text.as_bytes(), piece_bytes), expected);
        let with_crlf = text.replace('\n', "\r\n");
        assert_eq!(decode(with_crlf.as_bytes(), piece_bytes), expected);
        let with_cr = text.replace('\n', "\r");
        assert_eq!(decode(with_cr.as_bytes(), piece_bytes), expected);
    }
}

#[test]
fn encoded_events_are_decoded_back() {
    let bytes = [
        write("note", "3", "{\"a\":1}\nb"),
        HEARTBEAT.to_vec(),
        write("", "", "c"),
    ]
    .concat();
    let events = decode(&bytes, 5);
    assert_eq!(
        (events[0].name.as_str(), events[0].data.as_str()),
        ("note", "{\"a\":1}\nb")
    );
    assert_eq!((events[1].data.as_str(), events[1].id.as_str()), ("c", "3"));
}

#[test]
fn an_event_without_end_is_rejected_and_heartbeats_do_not_count() {
    let mut decoder = EventDecoder::default();
    let line = vec![b'x'; MAX_EVENT_BYTES];
    assert!(decoder.feed(&line, &mut vec![]).is_ok() && decoder.feed(b"y", &mut vec![]).is_err());
    let mut decoder = EventDecoder::default();
    for _ in 0..MAX_EVENT_BYTES {
        decoder.feed(b":h\n", &mut vec![]).unwrap();
    }
}
