//! The codecs of viewer and server streams: complete messages, messages split at arbitrary places, garbage, and false lengths.
use crankpaddle_node_protocol::rtsp::{self, Kind, ReportField};
use crankpaddle_node_protocol::viewers::{self, InvalidField, Message};
use crankpaddle_node_protocol::{Tag, MAX_MESSAGE_BYTES};
use proptest::prelude::*;

fn tag(number: u64) -> Tag {
    Tag::parse(&format!("{number:016x}")).expect("16 hex digits")
}

/// Feeds bytes in pieces, whose sizes are used in turn and repeated, up to the first error, which is returned.
fn feed_in_pieces<E>(
    bytes: &[u8],
    piece_sizes: &[usize],
    mut feed: impl FnMut(&[u8]) -> Result<(), E>,
) -> Option<E> {
    let mut position = 0;
    for size in piece_sizes.iter().copied().cycle() {
        let end = (position + size.max(1)).min(bytes.len());
        if let Err(error) = feed(&bytes[position..end]) {
            return Some(error);
        }
        position = end;
        if position == bytes.len() {
            break;
        }
    }
    None
}

/// Decodes a viewer's stream that arrives in pieces; returns the messages up to the first error, and that error.
fn decode_viewers(
    bytes: &[u8],
    piece_sizes: &[usize],
) -> (Vec<Message>, Option<viewers::DecodeError>) {
    let (mut decoder, mut messages) = (viewers::Decoder::default(), Vec::new());
    let error = feed_in_pieces(bytes, piece_sizes, |piece| {
        decoder.feed(piece, &mut messages)
    });
    (messages, error)
}

/// As [`decode_viewers`], for a server's stream.
fn decode_servers(
    bytes: &[u8],
    piece_sizes: &[usize],
) -> (Vec<rtsp::Message>, Option<rtsp::DecodeError>) {
    let (mut decoder, mut messages) = (rtsp::Decoder::default(), Vec::new());
    let error = feed_in_pieces(bytes, piece_sizes, |piece| {
        decoder.feed(piece, &mut messages)
    });
    (messages, error)
}

/// A START message of a viewer.
fn start(tag_number: u64, extras: &str, left: &str, blob: &str) -> Vec<u8> {
    let line = serde_json::json!({"verb": "START", "tag": tag(tag_number).as_str(), "blob": blob, "opts": {
        "class": "paid", "left": left, "key": "7f3a9c21e0b4d655", "extras": extras}});
    format!("{line}\n").into_bytes()
}

/// The required fields of `extras`.
const EXTRAS: &str = "home:4;copies:3;top:4;viewer:00000000b4d65521";

/// The parsed fields of a START message with these `extras` and `left`.
fn set_up_params_of(extras: &str, left: &str) -> Result<viewers::SetUpParams, InvalidField> {
    let (messages, error) = decode_viewers(&start(1, extras, left, "x"), &[MAX_MESSAGE_BYTES]);
    assert_eq!(error, None);
    match messages.as_slice() {
        [Message::Start(start)] => start.set_up_params(),
        other => panic!("{other:?}"),
    }
}

#[test]
fn fields_of_a_set_up_are_parsed() {
    let params = set_up_params_of(
        "home:4;copies:3;top:4;viewer:00000000b4d65521;again:1;later:x",
        "1500",
    )
    .expect("in range");
    assert_eq!(
        (
            params.first_cell,
            params.cell_count,
            params.max_rung,
            params.max_wait_ms
        ),
        (4, 3, 4, 1500)
    );
    assert_eq!(
        (params.viewer, params.title),
        (0xb4d6_5521, 0x7f3a_9c21_e0b4_d655)
    );
    assert_eq!(
        (params.is_retry, params.is_migration, params.current_server),
        (true, false, None)
    );
}

#[test]
fn a_set_up_of_a_session_that_already_plays_has_a_server_and_needs_no_wait() {
    let params = set_up_params_of(&format!("{EXTRAS};at:s-00c41f7a"), "-1")
        .expect("left has no meaning for a session that already plays");
    assert_eq!(
        (params.current_server.as_deref(), params.max_wait_ms),
        (Some("s-00c41f7a"), 0)
    );
}

#[test]
fn errors_name_the_field_that_is_missing_or_out_of_range() {
    for (extras, left, field) in [
        (EXTRAS, "-1", "left"),
        (EXTRAS, "0", "left"),
        (EXTRAS, "99999999999999999999999", "left"),
        (EXTRAS, "1e3", "left"),
        (
            "home:-4;copies:3;top:4;viewer:00000000b4d65521",
            "9",
            "home",
        ),
        (
            "home:4;copies:0;top:4;viewer:00000000b4d65521",
            "9",
            "copies",
        ),
        (
            "home:4;copies:3;top:300;viewer:00000000b4d65521",
            "9",
            "top",
        ),
        (
            "home:4;copies:3;top:nan;viewer:00000000b4d65521",
            "9",
            "top",
        ),
        ("home:4;copies:3;top:4;viewer:b4d65521", "9", "viewer"),
        ("home:4;copies:3;top:4", "9", "extras"),
        ("nonsense", "9", "extras"),
    ] {
        assert_eq!(
            set_up_params_of(extras, left),
            Err(InvalidField(field)),
            "{extras} {left}"
        );
    }
}

#[test]
fn messages_before_a_malformed_line_are_decoded() {
    for malformed in [
        "\n",
        "{}\n",
        "[1,2]\n",
        "{\"verb\":\"START\",\"tag\":\"xyz\",\"opts\":{}}\n",
        "{\"verb\":\"START\",\"tag\":\"00000000000000\",\"opts\":{}}\n",
        "{\"verb\":\"START\",\"opts\":{}}\n",
        "{\"verb\":\"NOSUCH\",\"tag\":\"0000000000000001\",\"opts\":{}}\n",
        "{\"verb\":\"FINISH\",\"tag\":\"0000000000000001\",\"opts\":{}}\n",
        "{\"verb\":\"FINISH\",\"tag\":\"0000000000000001\",\"opts\":{},\"rc\":-3}\n",
        "{\"verb\":\"START\",\"tag\":\"0000000000000001\",\"opts\":{\"left\":[]}}\n",
        "{\"verb\":\"START\",\"tag\":\"0000000000000001\",\"tag\":\"0000000000000002\",\"opts\":{}}\n",
        "GET / HTTP/1.1\r\n",
        "\u{16}\u{3}\u{1}\n",
    ] {
        let mut bytes = viewers::finish(tag(7), 16, None);
        bytes.extend_from_slice(malformed.as_bytes());
        let (messages, error) = decode_viewers(&bytes, &[MAX_MESSAGE_BYTES]);
        assert_eq!(messages, [Message::Finish { tag: tag(7), cause: 16 }], "{malformed:?}");
        assert!(matches!(error, Some(viewers::DecodeError::InvalidMessage(_))), "{malformed:?}: {error:?}");
    }
}

/// Guards against a decoder that recurses as deep as its input is nested: it overflows the small stack of a coroutine.
#[test]
fn nested_fields_are_decoded_alike_at_every_depth() {
    let line = |verb: &str, opts: &str, rc: &str| {
        let tag = tag(7);
        format!("{{\"verb\":\"{verb}\",\"tag\":\"{tag}\",\"opts\":{opts},\"rc\":{rc}}}\n")
            .into_bytes()
    };
    for depth in [1, 2, 100, 110, 125, 127, 128, 129, 1000, 1200] {
        for (open, close) in [("{\"a\":", "}"), ("[", "]")] {
            let nested = open.repeat(depth) + "1" + &close.repeat(depth);
            let in_opts = format!("{{\"class\":{nested}}}");
            for malformed in [line("START", &in_opts, "0"), line("FINISH", "{}", &nested)] {
                let (messages, error) = decode_viewers(&malformed, &[MAX_MESSAGE_BYTES]);
                assert!(messages.is_empty(), "{depth} {open}");
                assert!(
                    matches!(error, Some(viewers::DecodeError::InvalidMessage(_))),
                    "{depth} {open}: {error:?}"
                );
            }
            let ignored = line("NOTICE", &in_opts, &nested);
            assert_eq!(
                decode_viewers(&ignored, &[MAX_MESSAGE_BYTES]),
                (vec![Message::Idle], None),
                "{depth} {open}"
            );
        }
    }
}

#[test]
fn a_line_without_end_is_an_error_at_the_longest_message() {
    let (messages, error) = decode_viewers(&vec![b'x'; 3 * MAX_MESSAGE_BYTES], &[1000]);
    assert_eq!(
        (messages.len(), error),
        (0, Some(viewers::DecodeError::TooLong))
    );
    let (_, error) = decode_viewers(&vec![b'x'; MAX_MESSAGE_BYTES - 1], &[1000]);
    assert_eq!(
        error, None,
        "an incomplete line below the limit may still become a message"
    );
    let longest = start(1, EXTRAS, "9", &"y".repeat(MAX_MESSAGE_BYTES - 400));
    assert!(longest.len() < MAX_MESSAGE_BYTES);
    assert_eq!(decode_viewers(&longest, &[1000]).0.len(), 1);
}

#[test]
fn messages_to_viewers_have_the_fields_of_the_protocol() {
    let parse_line = |bytes: Vec<u8>| {
        let text = String::from_utf8(bytes).expect("text");
        assert!(text.ends_with('\n') && text.matches('\n').count() == 1);
        serde_json::from_str::<serde_json::Value>(&text).expect("JSON")
    };
    let tag_text = "00000000000000ab";
    assert_eq!(
        parse_line(viewers::started(tag(0xab), "a\r\nb \"c\"\n")),
        serde_json::json!({"verb": "STARTED", "tag": tag_text, "opts": {}, "blob": "a\r\nb \"c\"\n"})
    );
    assert_eq!(
        parse_line(viewers::finish(tag(0xab), 34, Some(250))),
        serde_json::json!({"verb": "FINISH", "tag": tag_text, "opts": {"wait": "250"}, "rc": 34})
    );
    assert_eq!(
        parse_line(viewers::echoed(tag(0xab))),
        serde_json::json!({"verb": "ECHOED", "tag": tag_text, "opts": {}, "rc": 1})
    );
    assert_eq!(
        parse_line(viewers::moved(tag(0xab))),
        serde_json::json!({"verb": "MOVE", "tag": tag_text, "opts": {}})
    );
}

#[test]
fn a_set_up_for_a_server_has_these_headers_and_the_body() {
    let blob = "9d41\r\nc=IN IP4 10.4.7.9\r\n";
    let bytes = rtsp::set_up(&rtsp::ServerSetUp {
        tag: tag(0xab),
        title: "7f3a9c21e0b4d655",
        class: "paid",
        patience: 1500,
        rung: 3,
        blob,
    });
    let text = String::from_utf8(bytes).expect("text");
    assert_eq!(
        text,
        "SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nSession: 00000000000000ab\r\nSubject: paid\r\n\
         X-Patience: 1500\r\nRate-Step: 3\r\nContent-Length: 25\r\n\r\n9d41\r\nc=IN IP4 10.4.7.9\r\n"
    );
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    assert!(text(rtsp::cancel(tag(1))).starts_with("TEARDOWN rtsp://media/"));
    assert!(!text(rtsp::cancel(tag(1))).contains("Reason"));
    assert!(text(rtsp::release(tag(1), 16)).contains("\r\nReason: cause=16\r\n"));
    assert!(text(rtsp::set_rung(tag(1), 2)).contains("\r\nRate-Step: 2\r\n"));
}

/// A server's response with a load report, of which one field is malformed.
fn response(tag_number: u64, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("RTSP/1.0 200 OK\r\ncseq: 1\r\nSession: {}\r\nX-State: x0:0.75; y:zz ;x1:1.5\r\ncontent-length: {length}\r\n\r\n{body}", tag(tag_number))
        .into_bytes()
}

#[test]
fn a_response_is_decoded_with_its_load_report_and_an_unchanged_body() {
    let (messages, error) = decode_servers(&response(5, "a\r\n\r\nb\u{e9}"), &[3]);
    assert_eq!((messages.len(), error), (1, None));
    let message = &messages[0];
    assert_eq!(
        (message.kind.clone(), message.cseq, message.session),
        (Kind::Response(200), Some(1), Some(tag(5)))
    );
    let fields = [("x0", 0.75), ("x1", 1.5)].map(|(name, value)| ReportField { name, value });
    assert_eq!(message.load_report(), fields);
    assert_eq!(message.text(), Some("a\r\n\r\nb\u{e9}"));
}

#[test]
fn session_updates_and_releases_are_decoded() {
    let head = "ANNOUNCE rtsp://media/x RTSP/1.0\r\nCSeq: 9\r\nSession: 00000000000000ab\r\n";
    let bytes = format!("{head}X-Note: link_use\r\nFigure: 0.925\r\nContent-Length: 0\r\n\r\n");
    let (messages, _) = decode_servers(bytes.as_bytes(), &[MAX_MESSAGE_BYTES]);
    let (name, value) = ("link_use", 0.925);
    assert_eq!(
        messages[0].session_update(),
        Some(ReportField { name, value })
    );
    let bytes = rtsp::release(tag(3), 41);
    assert_eq!(decode_servers(&bytes, &[1]).0[0].cause(), Some(41));
    assert_eq!(
        decode_servers(&rtsp::cancel(tag(3)), &[1]).0[0].cause(),
        None
    );
}

#[test]
fn false_lengths_are_errors_at_once() {
    let head_with = |fields: &str| format!("RTSP/1.0 200 OK\r\nCSeq: 1\r\n{fields}\r\n");
    for (fields, error) in [
        ("Content-Length: 3000000000\r\n", rtsp::DecodeError::TooLong),
        (
            "Content-Length: 99999999999999999999999\r\n",
            rtsp::DecodeError::Length,
        ),
        ("Content-Length: -1\r\n", rtsp::DecodeError::Length),
        ("Content-Length: 16384\r\n", rtsp::DecodeError::TooLong),
        ("Content-Length: \r\n", rtsp::DecodeError::Length),
        ("", rtsp::DecodeError::Length),
        (
            "Content-Length: 0\r\nContent-Length: 5\r\n",
            rtsp::DecodeError::Header,
        ),
        (
            "CSeq: 2\r\nContent-Length: 0\r\n",
            rtsp::DecodeError::Header,
        ),
        (
            "no header\r\nContent-Length: 0\r\n",
            rtsp::DecodeError::Header,
        ),
    ] {
        assert_eq!(
            decode_servers(head_with(fields).as_bytes(), &[7]).1,
            Some(error),
            "{fields:?}"
        );
    }
    // The body is longer than its stated length, and the rest of it does not start like a message.
    let mut bytes = response(1, "abc");
    bytes.extend_from_slice(b"rest of the body\r\n");
    let (messages, error) = decode_servers(&bytes, &[MAX_MESSAGE_BYTES]);
    assert_eq!(
        (messages.len(), error),
        (1, Some(rtsp::DecodeError::StartLine))
    );
    assert_eq!(
        decode_servers(&vec![b'A'; 2 * MAX_MESSAGE_BYTES], &[999]).1,
        Some(rtsp::DecodeError::TooLong),
        "a line without end is an error at the longest message"
    );
    assert_eq!(
        decode_servers(b"\x00\x01\x02", &[1]).1,
        Some(rtsp::DecodeError::StartLine),
        "bytes that start no message are an error at once"
    );
}

proptest! {
    #[test]
    fn set_ups_are_decoded_with_any_blob_and_however_they_are_split(
        set_ups in prop::collection::vec((any::<u64>(), ".{0,200}"), 1..6),
        piece_sizes in prop::collection::vec(1usize..40, 1..8),
    ) {
        let mut bytes = Vec::new();
        for (tag_number, blob) in &set_ups {
            bytes.extend(start(*tag_number, EXTRAS, "800", blob));
        }
        let (messages, error) = decode_viewers(&bytes, &piece_sizes);
        prop_assert_eq!(error, None);
        prop_assert_eq!(messages.len(), set_ups.len());
        for (message, (tag_number, blob)) in messages.iter().zip(&set_ups) {
            let Message::Start(set_up) = message else { panic!("{message:?}") };
            prop_assert_eq!((set_up.tag, set_up.blob.as_deref()), (tag(*tag_number), Some(blob.as_str())));
        }
        prop_assert_eq!(decode_viewers(&bytes, &[1]).0, messages);
    }

    #[test]
    fn responses_are_decoded_however_they_are_split(
        responses in prop::collection::vec((any::<u64>(), ".{0,200}"), 1..6),
        piece_sizes in prop::collection::vec(1usize..40, 1..8),
    ) {
        let bytes: Vec<u8> = responses.iter().flat_map(|(tag_number, body)| response(*tag_number, body)).collect();
        let (messages, error) = decode_servers(&bytes, &piece_sizes);
        prop_assert_eq!(error, None);
        let decoded: Vec<_> = messages.iter().map(|message| (message.session, message.text().expect("text"))).collect();
        let sent: Vec<_> =
            responses.iter().map(|(tag_number, body)| (Some(tag(*tag_number)), body.as_str())).collect();
        prop_assert_eq!(decoded, sent);
    }

    #[test]
    fn encoded_set_ups_decode_to_the_same_fields(
        number in any::<u64>(), blob in ".{0,300}", class in "[a-z-]{1,20}", patience in any::<u64>(), rung in any::<u8>(),
    ) {
        let title = format!("{number:016x}");
        let set_up = rtsp::ServerSetUp { tag: tag(number), title: &title, class: &class, patience, rung, blob: &blob };
        let (messages, error) = decode_servers(&rtsp::set_up(&set_up), &[5]);
        prop_assert_eq!((messages.len(), error), (1, None));
        let message = &messages[0];
        prop_assert_eq!(&message.kind, &Kind::Request("SETUP".into(), format!("rtsp://media/{title}")));
        prop_assert_eq!(message.header("Subject"), Some(class.as_str()));
        prop_assert_eq!(message.header("X-Patience").map(str::to_owned), Some(patience.to_string()));
        prop_assert_eq!(message.header("Rate-Step").map(str::to_owned), Some(rung.to_string()));
        prop_assert_eq!(message.text(), Some(blob.as_str()));
    }

    #[test]
    fn garbage_decodes_the_same_however_it_is_split(
        valid_messages in 0usize..2,
        garbage in prop::collection::vec(any::<u8>(), 0..600),
        piece_sizes in prop::collection::vec(1usize..50, 1..8),
    ) {
        let mut bytes = if valid_messages == 1 { viewers::finish(tag(9), 16, None) } else { Vec::new() };
        bytes.extend_from_slice(&garbage);
        prop_assert_eq!(decode_viewers(&bytes, &piece_sizes), decode_viewers(&bytes, &[1]));
        let mut bytes = if valid_messages == 1 { response(9, "x") } else { Vec::new() };
        bytes.extend_from_slice(&garbage);
        prop_assert_eq!(decode_servers(&bytes, &piece_sizes), decode_servers(&bytes, &[1]));
    }

    #[test]
    fn a_message_with_a_changed_byte_is_one_message_at_most(
        position in 0usize..120, byte in any::<u8>(), piece_sizes in prop::collection::vec(1usize..50, 1..4),
    ) {
        let mut bytes = response(9, "some description");
        let position = position % bytes.len();
        bytes[position] = byte;
        let (messages, _) = decode_servers(&bytes, &piece_sizes);
        prop_assert!(messages.len() <= 1);
        prop_assert!(messages.iter().all(|message| message.body.len() <= bytes.len()));
    }
}
