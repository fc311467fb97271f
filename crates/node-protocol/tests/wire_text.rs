//! The exact bytes that a front node sends to viewers, servers and the directory, and what each kind of message that they send
//! decodes to. Names in the code may change, but the literals here may not, as they are the protocol.
use crankpaddle_node_protocol::rtsp::{Kind, ReportField};
use crankpaddle_node_protocol::viewers::Message;
use crankpaddle_node_protocol::{directory, rtsp, viewers, Tag};

fn tag() -> Tag {
    Tag::parse("00000000000000aB").expect("16 hex digits")
}

#[test]
fn messages_to_viewers_have_these_bytes() {
    let table = [
        (
            "started",
            viewers::started(tag(), "a\r\nb \"c\"\n\u{e9}"),
            r#"{"blob":"a\r\nb \"c\"\né","opts":{},"tag":"00000000000000aB","verb":"STARTED"}"#,
        ),
        (
            "finish",
            viewers::finish(tag(), 16, None),
            r#"{"opts":{},"rc":16,"tag":"00000000000000aB","verb":"FINISH"}"#,
        ),
        (
            "finish with wait",
            viewers::finish(tag(), 34, Some(250)),
            r#"{"opts":{"wait":"250"},"rc":34,"tag":"00000000000000aB","verb":"FINISH"}"#,
        ),
        (
            "finished",
            viewers::finished(tag()),
            r#"{"opts":{},"tag":"00000000000000aB","verb":"FINISHED"}"#,
        ),
        (
            "echoed",
            viewers::echoed(tag()),
            r#"{"opts":{},"rc":1,"tag":"00000000000000aB","verb":"ECHOED"}"#,
        ),
        (
            "moved",
            viewers::moved(tag()),
            r#"{"opts":{},"tag":"00000000000000aB","verb":"MOVE"}"#,
        ),
    ];
    for (name, bytes, expected) in table {
        assert_eq!(
            String::from_utf8(bytes).expect("text"),
            format!("{expected}\n"),
            "{name}"
        );
    }
}

#[test]
fn messages_to_servers_have_these_bytes() {
    let table = [
        ("set-up without body", rtsp::set_up(&rtsp::ServerSetUp {
            tag: tag(), title: "7f3a9c21e0b4d655", class: "paid", patience: 0, rung: 0, blob: "",
        }), "SETUP rtsp://media/7f3a9c21e0b4d655 RTSP/1.0\r\nCSeq: 1\r\nSession: 00000000000000aB\r\nSubject: paid\r\nX-Patience: 0\r\nRate-Step: 0\r\nContent-Length: 0\r\n\r\n"),
        ("cancel", rtsp::cancel(tag()), "TEARDOWN rtsp://media/00000000000000aB RTSP/1.0\r\nCSeq: 2\r\nSession: 00000000000000aB\r\nContent-Length: 0\r\n\r\n"),
        ("release", rtsp::release(tag(), 16), "TEARDOWN rtsp://media/00000000000000aB RTSP/1.0\r\nCSeq: 2\r\nSession: 00000000000000aB\r\nReason: cause=16\r\nContent-Length: 0\r\n\r\n"),
        ("rung change", rtsp::set_rung(tag(), 2), "SET_PARAMETER rtsp://media/00000000000000aB RTSP/1.0\r\nCSeq: 4\r\nSession: 00000000000000aB\r\nRate-Step: 2\r\nContent-Length: 0\r\n\r\n"),
        ("health check", rtsp::health_check(tag()), "OPTIONS rtsp://media/load RTSP/1.0\r\nCSeq: 3\r\nSession: 00000000000000aB\r\nContent-Length: 0\r\n\r\n"),
        ("acknowledgement", rtsp::acknowledge(9, Some(tag())), "RTSP/1.0 200 OK\r\nCSeq: 9\r\nSession: 00000000000000aB\r\nContent-Length: 0\r\n\r\n"),
        ("acknowledgement without session", rtsp::acknowledge(9, None), "RTSP/1.0 200 OK\r\nCSeq: 9\r\nContent-Length: 0\r\n\r\n"),
    ];
    for (name, bytes, expected) in table {
        assert_eq!(String::from_utf8(bytes).expect("text"), expected, "{name}");
    }
}

#[test]
fn the_query_to_the_directory_has_these_bytes() {
    let query = directory::query(0x1234).expect("encodes");
    assert_eq!(
        query,
        b"\x12\x34\x00\x00\x00\x01\x00\x00\x00\x00\x00\x00\x05_work\x04_tcp\x05fleet\x05local\x00\x00\x21\x00\x01"
    );
    assert_eq!(directory::message_id(&query), Some(0x1234));
}

/// Decodes a line of a viewer, which must hold exactly one message.
fn decode_viewer_line(line: &str) -> Message {
    let (mut decoder, mut messages) = (viewers::Decoder::default(), Vec::new());
    decoder
        .feed(line.as_bytes(), &mut messages)
        .expect("a message");
    assert_eq!(messages.len(), 1, "{line}");
    messages.remove(0)
}

#[test]
fn messages_of_viewers_decode_to_these_values() {
    let idle = |verb| {
        (
            format!(r#"{{"verb":"{verb}","tag":"00000000000000aB","rc":1}}"#),
            Message::Idle,
        )
    };
    let table = [
        (
            r#"{"verb":"FINISH","tag":"00000000000000aB","opts":{},"rc":31}"#.to_owned(),
            Message::Finish {
                tag: tag(),
                cause: 31,
            },
        ),
        (
            r#"{"verb":"ECHO","tag":"00000000000000aB"}"#.to_owned(),
            Message::Echo(tag()),
        ),
        idle("PENDING"),
        idle("FINISHED"),
        idle("NOTICE"),
        idle("ECHOED"),
    ];
    for (line, expected) in table {
        assert_eq!(decode_viewer_line(&format!("{line}\n")), expected, "{line}");
    }
}

#[test]
fn a_start_message_decodes_to_these_fields() {
    let line = concat!(
        r#"{"verb":"START","tag":"00000000000000aB","blob":"v=0\r\n","opts":{"class":"paid","tenant":"t1","left":1500,"#,
        r#""retry":"1","hint":"2.5e3","key":"7f3a9c21e0b4d655","#,
        r#""extras":"home:4;copies:3;top:2;viewer:00000000b4d65521;again:0;moved:1;at:s-00c41f7a"}}"#,
        "\n"
    );
    let Message::Start(start) = decode_viewer_line(line) else {
        panic!("not a START message")
    };
    assert_eq!((start.tag, start.blob.as_deref()), (tag(), Some("v=0\r\n")));
    assert_eq!(start.opts["left"], "1500");
    let params = start.set_up_params().expect("in range");
    assert_eq!(
        (
            params.class.as_str(),
            params.tenant.as_deref(),
            params.max_wait_ms
        ),
        ("paid", Some("t1"), 1500)
    );
    assert_eq!(
        (
            params.is_retry,
            params.is_migration,
            params.duration_hint_ms
        ),
        (true, true, Some(2500.0))
    );
    assert_eq!(
        (params.title_text.as_str(), params.title),
        ("7f3a9c21e0b4d655", 0x7f3a_9c21_e0b4_d655)
    );
    assert_eq!(
        (
            params.first_cell,
            params.cell_count,
            params.max_rung,
            params.viewer
        ),
        (4, 3, 2, 0xb4d6_5521)
    );
    assert_eq!(params.current_server.as_deref(), Some("s-00c41f7a"));
}

/// Decodes the text of a server, which must hold exactly one message.
fn decode_server_text(text: &str) -> rtsp::Message {
    let (mut decoder, mut messages) = (rtsp::Decoder::default(), Vec::new());
    decoder
        .feed(text.as_bytes(), &mut messages)
        .expect("a message");
    assert_eq!(messages.len(), 1, "{text}");
    messages.remove(0)
}

#[test]
fn messages_of_servers_decode_to_these_fields() {
    let request = |method: &str, address: &str| Kind::Request(method.into(), address.into());
    let session = "Session: 00000000000000aB\r\nContent-Length: 0\r\n";
    let table = [
        (
            format!("RTSP/1.0 200 OK\r\nCSeq: 1\r\n{session}\r\n"),
            Kind::Response(200),
            1,
        ),
        (
            format!("RTSP/1.0 453 Not Enough Bandwidth\r\nCSeq: 1\r\n{session}\r\n"),
            Kind::Response(453),
            1,
        ),
        (
            format!("TEARDOWN rtsp://media/x RTSP/1.0\r\nCSeq: 2\r\n{session}\r\n"),
            request("TEARDOWN", "rtsp://media/x"),
            2,
        ),
        (
            format!("OPTIONS rtsp://media/load RTSP/1.0\r\nCSeq: 3\r\n{session}\r\n"),
            request("OPTIONS", "rtsp://media/load"),
            3,
        ),
        (
            format!("ANNOUNCE rtsp://media/x RTSP/1.0\r\nCSeq: 4\r\n{session}\r\n"),
            request("ANNOUNCE", "rtsp://media/x"),
            4,
        ),
    ];
    for (text, kind, cseq) in table {
        let message = decode_server_text(&text);
        assert_eq!(
            (&message.kind, message.cseq, message.session),
            (&kind, Some(cseq), Some(tag())),
            "{text}"
        );
        assert_eq!(message.is_release(), text.starts_with("TEARDOWN"), "{text}");
        assert_eq!((message.headers, message.body), (vec![], vec![]), "{text}");
    }
}

fn report_field(name: &str, value: f64) -> ReportField<'_> {
    ReportField { name, value }
}

#[test]
fn headers_and_body_of_a_servers_message_are_kept_unchanged() {
    let message = decode_server_text(
        "TEARDOWN rtsp://media/x RTSP/1.0\r\nReason: cause=41\r\nX-State: x0:0.25;x1:-1\r\nX-Note: link_use\r\nFigure: 0.5\r\n\
         Content-Length: 3\r\n\r\nabc",
    );
    assert_eq!((message.cseq, message.session), (None, None));
    let headers = [
        ("Reason", "cause=41"),
        ("X-State", "x0:0.25;x1:-1"),
        ("X-Note", "link_use"),
        ("Figure", "0.5"),
    ];
    assert_eq!(
        message.headers,
        headers.map(|(name, value)| (name.to_owned(), value.to_owned()))
    );
    assert_eq!(
        (message.cause(), message.session_update()),
        (Some(41), Some(report_field("link_use", 0.5)))
    );
    assert_eq!(
        message.load_report(),
        [report_field("x0", 0.25), report_field("x1", -1.0)]
    );
    assert_eq!(message.body, b"abc");
}
