use super::*;

/// The framing of a request with these header fields.
fn framing_of(fields: &str) -> Result<Framing, HttpError> {
    let text = format!("POST /x HTTP/1.1\r\nhost: a\r\n{fields}\r\n");
    Request::parse(text.as_bytes())
        .unwrap()
        .expect("a complete head")
        .0
        .framing()
}

#[test]
fn bodies_are_framed_unambiguously_or_rejected() {
    assert_eq!(framing_of(""), Ok(Framing::Length(0)));
    assert_eq!(framing_of("content-length: 7\r\n"), Ok(Framing::Length(7)));
    assert_eq!(
        framing_of("content-length: 7\r\ncontent-length: 7\r\n"),
        Ok(Framing::Length(7))
    );
    assert_eq!(
        framing_of("transfer-encoding: chunked\r\n"),
        Ok(Framing::Chunked)
    );
    for (fields, status) in [
        ("content-length: 7\r\ncontent-length: 8\r\n", 400),
        ("content-length: 7\r\ntransfer-encoding: chunked\r\n", 400),
        ("content-length: +7\r\n", 400),
        ("content-length: 7, 7\r\n", 400),
        ("content-length: 99999999999999999999\r\n", 400),
        ("transfer-encoding: gzip, chunked\r\n", 501),
    ] {
        assert_eq!(framing_of(fields).unwrap_err().status(), status, "{fields}");
    }
}

#[test]
fn malformed_heads_are_rejected_with_their_status() {
    for (text, status) in [
        ("GET / HTTP/1.1\r\n\r\n", 400),
        ("GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n", 400),
        ("GET / HTTP/2.0\r\nhost: a\r\n\r\n", 505),
        ("GET / HTTP/1.1\r\nhost : a\r\n\r\n", 400),
        ("\x01\x02 garbage\r\n\r\n", 400),
    ] {
        assert_eq!(
            Request::parse(text.as_bytes()).unwrap_err().status(),
            status,
            "{text:?}"
        );
    }
    let with_too_many_fields = format!(
        "GET / HTTP/1.1\r\nhost: a\r\n{}\r\n",
        "x: y\r\n".repeat(MAX_FIELDS)
    );
    assert_eq!(
        Request::parse(with_too_many_fields.as_bytes())
            .unwrap_err()
            .status(),
        431
    );
    let too_long = format!(
        "GET / HTTP/1.1\r\nhost: a\r\nx: {}",
        "y".repeat(MAX_HEAD_BYTES)
    );
    assert_eq!(
        Request::parse(too_long.as_bytes()).unwrap_err().status(),
        431
    );
    assert_eq!(Request::parse(b"GET / HT"), Ok(None));
}

#[test]
fn keep_alive_follows_the_version_and_the_connection_field() {
    let keeps_alive = |text: &str| {
        Request::parse(text.as_bytes())
            .unwrap()
            .unwrap()
            .0
            .keeps_alive()
    };
    assert!(keeps_alive("GET / HTTP/1.1\r\nhost: a\r\n\r\n"));
    assert!(!keeps_alive(
        "GET / HTTP/1.1\r\nhost: a\r\nconnection: Close\r\n\r\n"
    ));
    assert!(!keeps_alive("GET / HTTP/1.0\r\n\r\n"));
    assert!(keeps_alive(
        "GET / HTTP/1.0\r\nconnection: x, keep-alive\r\n\r\n"
    ));
}
