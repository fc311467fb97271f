//! The stream codecs: complete messages, byte by byte, garbage, and false lengths.
use crankpaddle_node_protocol::rtsp::{self, Figure, Kind};
use crankpaddle_node_protocol::viewers::{self, InvalidField, Message};
use crankpaddle_node_protocol::{Tag, MAX_MESSAGE_BYTES};
use proptest::prelude::*;

fn tag(n: u64) -> Tag {
    Tag::parse(&format!("{n:016x}")).expect("16 hex digits")
}

/// Feeds bytes in pieces of these sizes, again and again, up to the first error, which it returns.
fn feed_in_pieces<E>(
    bytes: &[u8],
    pieces: &[usize],
    mut feed: impl FnMut(&[u8]) -> Result<(), E>,
) -> Option<E> {
    let mut at = 0;
    for size in pieces.iter().copied().cycle() {
        let end = (at + size.max(1)).min(bytes.len());
        if let Err(error) = feed(&bytes[at..end]) {
            return Some(error);
        }
        at = end;
        if at == bytes.len() {
            break;
        }
    }
    None
}

/// The messages up to the first error, and that error.
fn decode_viewers(bytes: &[u8], pieces: &[usize]) -> (Vec<Message>, Option<viewers::DecodeError>) {
    let (mut decoder, mut out) = (viewers::Decoder::default(), Vec::new());
    let error = feed_in_pieces(bytes, pieces, |piece| decoder.feed(piece, &mut out));
    (out, error)
}

fn decode_servers(
    bytes: &[u8],
    pieces: &[usize],
) -> (Vec<rtsp::Message>, Option<rtsp::DecodeError>) {
    let (mut decoder, mut out) = (rtsp::Decoder::default(), Vec::new());
    let error = feed_in_pieces(bytes, pieces, |piece| decoder.feed(piece, &mut out));
    (out, error)
}

fn start(n: u64, extras: &str, left: &str, blob: &str) -> Vec<u8> {
    let line = serde_json::json!({"verb": "START", "tag": tag(n).as_str(), "blob": blob, "opts": {
        "class": "paid", "left": left, "key": "7f3a9c21e0b4d655", "extras": extras}});
    format!("{line}\n").into_bytes()
}

const EXTRAS: &str = "home:4;copies:3;top:4;viewer:00000000b4d65521";

fn set_up_params_of(extras: &str, left: &str) -> Result<viewers::SetUpParams, InvalidField> {
    let (messages, error) = decode_viewers(&start(1, extras, left, "x"), &[MAX_MESSAGE_BYTES]);
    assert_eq!(error, None);
    match messages.as_slice() {
        [Message::Start(start)] => start.set_up_params(),
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_set_up_is_read_with_its_figures() {
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
fn a_set_up_of_a_session_that_plays_already_names_its_server_and_no_time() {
    let params =
        set_up_params_of(&format!("{EXTRAS};at:s-00c41f7a"), "-1").expect("its time means nothing");
    assert_eq!(
        (params.current_server.as_deref(), params.max_wait_ms),
        (Some("s-00c41f7a"), 0)
    );
}

#[test]
fn figures_out_of_range_or_missing_are_named() {
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
fn a_malformed_line_ends_the_stream_after_the_messages_before_it() {
    for bad in [
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
        bytes.extend_from_slice(bad.as_bytes());
        let (messages, error) = decode_viewers(&bytes, &[MAX_MESSAGE_BYTES]);
        assert_eq!(messages, [Message::Finish { tag: tag(7), cause: 16 }], "{bad:?}");
        assert!(matches!(error, Some(viewers::DecodeError::NoMessage(_))), "{bad:?}: {error:?}");
    }
}

#[test]
fn an_endless_line_ends_at_the_bound() {
    let (messages, error) = decode_viewers(&vec![b'x'; 3 * MAX_MESSAGE_BYTES], &[1000]);
    assert_eq!(
        (messages.len(), error),
        (0, Some(viewers::DecodeError::TooLong))
    );
    let (_, error) = decode_viewers(&vec![b'x'; MAX_MESSAGE_BYTES - 1], &[1000]);
    assert_eq!(error, None, "not whole, and it may still become a message");
    let longest = start(1, EXTRAS, "9", &"y".repeat(MAX_MESSAGE_BYTES - 400));
    assert!(longest.len() < MAX_MESSAGE_BYTES);
    assert_eq!(decode_viewers(&longest, &[1000]).0.len(), 1);
}

#[test]
fn messages_to_viewers_are_those_that_the_platform_names() {
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    let read = |bytes: Vec<u8>| {
        let text = text(bytes);
        assert!(text.ends_with('\n') && text.matches('\n').count() == 1);
        serde_json::from_str::<serde_json::Value>(&text).expect("JSON")
    };
    let t = "00000000000000ab";
    assert_eq!(
        read(viewers::started(tag(0xab), "a\r\nb \"c\"\n")),
        serde_json::json!({"verb": "STARTED", "tag": t, "opts": {}, "blob": "a\r\nb \"c\"\n"})
    );
    assert_eq!(
        read(viewers::finish(tag(0xab), 34, Some(250))),
        serde_json::json!({"verb": "FINISH", "tag": t, "opts": {"wait": "250"}, "rc": 34})
    );
    assert_eq!(
        read(viewers::echoed(tag(0xab))),
        serde_json::json!({"verb": "ECHOED", "tag": t, "opts": {}, "rc": 1})
    );
    assert_eq!(
        read(viewers::moved(tag(0xab))),
        serde_json::json!({"verb": "MOVE", "tag": t, "opts": {}})
    );
}

#[test]
fn a_set_up_for_a_server_has_exactly_the_form() {
    let blob = "9d41\r\nc=IN IP4 10.4.7.9\r\n";
    let bytes = rtsp::set_up(&rtsp::SetUp {
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

fn response(n: u64, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("RTSP/1.0 200 OK\r\ncseq: 1\r\nSession: {}\r\nX-State: x0:0.75; y:zz ;x1:1.5\r\ncontent-length: {length}\r\n\r\n{body}", tag(n))
        .into_bytes()
}

#[test]
fn a_response_is_read_with_its_load_report_and_its_body_unchanged() {
    let (messages, error) = decode_servers(&response(5, "a\r\n\r\nb\u{e9}"), &[3]);
    assert_eq!((messages.len(), error), (1, None));
    let m = &messages[0];
    assert_eq!(
        (m.kind.clone(), m.cseq, m.session),
        (Kind::Response(200), Some(1), Some(tag(5)))
    );
    let figures = [("x0", 0.75), ("x1", 1.5)].map(|(name, value)| Figure { name, value });
    assert_eq!(m.load_report(), figures);
    assert_eq!(m.text(), Some("a\r\n\r\nb\u{e9}"));
}

#[test]
fn updates_and_releases_are_read() {
    let head = "ANNOUNCE rtsp://media/x RTSP/1.0\r\nCSeq: 9\r\nSession: 00000000000000ab\r\n";
    let bytes = format!("{head}X-Note: link_use\r\nFigure: 0.925\r\nContent-Length: 0\r\n\r\n");
    let (messages, _) = decode_servers(bytes.as_bytes(), &[MAX_MESSAGE_BYTES]);
    let (name, value) = ("link_use", 0.925);
    assert_eq!(messages[0].session_update(), Some(Figure { name, value }));
    let bytes = rtsp::release(tag(3), 41);
    assert_eq!(decode_servers(&bytes, &[1]).0[0].cause(), Some(41));
    assert_eq!(
        decode_servers(&rtsp::cancel(tag(3)), &[1]).0[0].cause(),
        None
    );
}

#[test]
fn false_lengths_are_never_waited_for() {
    let with = |length: &str| format!("RTSP/1.0 200 OK\r\nCSeq: 1\r\n{length}\r\n");
    for (head, error) in [
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
            decode_servers(with(head).as_bytes(), &[7]).1,
            Some(error),
            "{head:?}"
        );
    }
    // A body longer than its length: the rest of it does not begin like a message.
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
        "a line without end"
    );
    assert_eq!(
        decode_servers(b"\x00\x01\x02", &[1]).1,
        Some(rtsp::DecodeError::StartLine),
        "noise is seen at once"
    );
}

proptest! {
    #[test]
    fn set_ups_come_through_whatever_they_say_and_however_they_are_cut(
        set_ups in prop::collection::vec((any::<u64>(), ".{0,200}"), 1..6),
        pieces in prop::collection::vec(1usize..40, 1..8),
    ) {
        let mut bytes = Vec::new();
        for (n, blob) in &set_ups {
            bytes.extend(start(*n, EXTRAS, "800", blob));
        }
        let (messages, error) = decode_viewers(&bytes, &pieces);
        prop_assert_eq!(error, None);
        prop_assert_eq!(messages.len(), set_ups.len());
        for (message, (n, blob)) in messages.iter().zip(&set_ups) {
            let Message::Start(s) = message else { panic!("{message:?}") };
            prop_assert_eq!((s.tag, s.blob.as_deref()), (tag(*n), Some(blob.as_str())));
        }
        prop_assert_eq!(decode_viewers(&bytes, &[1]).0, messages);
    }

    #[test]
    fn answers_come_through_however_they_are_cut(
        answers in prop::collection::vec((any::<u64>(), ".{0,200}"), 1..6),
        pieces in prop::collection::vec(1usize..40, 1..8),
    ) {
        let bytes: Vec<u8> = answers.iter().flat_map(|(n, body)| response(*n, body)).collect();
        let (messages, error) = decode_servers(&bytes, &pieces);
        prop_assert_eq!(error, None);
        let read: Vec<_> = messages.iter().map(|m| (m.session, m.text().expect("text"))).collect();
        let sent: Vec<_> = answers.iter().map(|(n, body)| (Some(tag(*n)), body.as_str())).collect();
        prop_assert_eq!(read, sent);
    }

    #[test]
    fn what_a_server_reads_is_what_the_node_wrote(
        n in any::<u64>(), blob in ".{0,300}", class in "[a-z-]{1,20}", patience in any::<u64>(), rung in any::<u8>(),
    ) {
        let title = format!("{n:016x}");
        let set_up = rtsp::SetUp { tag: tag(n), title: &title, class: &class, patience, rung, blob: &blob };
        let (messages, error) = decode_servers(&rtsp::set_up(&set_up), &[5]);
        prop_assert_eq!((messages.len(), error), (1, None));
        let m = &messages[0];
        prop_assert_eq!(&m.kind, &Kind::Request("SETUP".into(), format!("rtsp://media/{title}")));
        prop_assert_eq!(m.header("Subject"), Some(class.as_str()));
        prop_assert_eq!(m.header("X-Patience").map(str::to_owned), Some(patience.to_string()));
        prop_assert_eq!(m.header("Rate-Step").map(str::to_owned), Some(rung.to_string()));
        prop_assert_eq!(m.text(), Some(blob.as_str()));
    }

    #[test]
    fn garbage_is_a_fault_or_waits_and_is_the_same_however_it_is_cut(
        good in 0usize..2,
        noise in prop::collection::vec(any::<u8>(), 0..600),
        pieces in prop::collection::vec(1usize..50, 1..8),
    ) {
        let mut bytes = if good == 1 { viewers::finish(tag(9), 16, None) } else { Vec::new() };
        bytes.extend_from_slice(&noise);
        prop_assert_eq!(decode_viewers(&bytes, &pieces), decode_viewers(&bytes, &[1]));
        let mut bytes = if good == 1 { response(9, "x") } else { Vec::new() };
        bytes.extend_from_slice(&noise);
        prop_assert_eq!(decode_servers(&bytes, &pieces), decode_servers(&bytes, &[1]));
    }

    #[test]
    fn a_message_with_bytes_changed_is_read_or_refused_never_more(
        at in 0usize..120, byte in any::<u8>(), pieces in prop::collection::vec(1usize..50, 1..4),
    ) {
        let mut bytes = response(9, "some description");
        let at = at % bytes.len();
        bytes[at] = byte;
        let (messages, _) = decode_servers(&bytes, &pieces);
        prop_assert!(messages.len() <= 1);
        prop_assert!(messages.iter().all(|m| m.body.len() <= bytes.len()));
    }
}
