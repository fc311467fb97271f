use super::*;

fn read(bytes: &[u8], step: usize) -> Vec<Event> {
    let (mut reader, mut events) = (Reader::default(), Vec::new());
    for piece in bytes.chunks(step) {
        reader.feed(piece, &mut events).unwrap();
    }
    events
}

#[test]
fn streams_are_read_in_any_pieces_and_with_any_line_ends() {
    let text = "\u{feff}: hello\nevent: a\nid: 7\ndata: x\ndata:y\nretry: 5\n\n:\n\ndata\n\nid: 8\n\ndata: z\n\nevent: cut";
    let event = |name: &str, data: &str, id: &str| Event {
        name: name.into(),
        data: data.into(),
        id: id.into(),
    };
    let want = [
        event("a", "x\ny", "7"),
        event("", "", "7"),
        event("", "z", "8"),
    ];
    for step in 1..12 {
        assert_eq!(read(text.as_bytes(), step), want);
        assert_eq!(read(text.replace('\n', "\r\n").as_bytes(), step), want);
        assert_eq!(read(text.replace('\n', "\r").as_bytes(), step), want);
    }
}

#[test]
fn written_events_are_read_back() {
    let bytes = [
        write("note", "3", "{\"a\":1}\nb"),
        HEARTBEAT.to_vec(),
        write("", "", "c"),
    ]
    .concat();
    let events = read(&bytes, 5);
    assert_eq!(
        (events[0].name.as_str(), events[0].data.as_str()),
        ("note", "{\"a\":1}\nb")
    );
    assert_eq!((events[1].data.as_str(), events[1].id.as_str()), ("c", "3"));
}

#[test]
fn an_endless_event_is_rejected_and_heartbeats_never_add_up() {
    let mut reader = Reader::default();
    let line = vec![b'x'; MAX_EVENT_BYTES];
    assert!(reader.feed(&line, &mut vec![]).is_ok() && reader.feed(b"y", &mut vec![]).is_err());
    let mut reader = Reader::default();
    for _ in 0..MAX_EVENT_BYTES {
        reader.feed(b":h\n", &mut vec![]).unwrap();
    }
}
