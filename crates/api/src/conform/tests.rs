//! Recorded traffic that is checked against the published documents.
use super::*;

fn checker() -> ConformanceChecker {
    ConformanceChecker::new(crate::PRESENT, crate::OPENAPI).unwrap()
}

fn report_of(text: &str) -> ConformanceReport {
    let mut checker = checker();
    checker.record(&Exchange::Text {
        call: false,
        text: text.to_owned(),
    });
    checker.report(&[])
}

#[test]
fn messages_that_no_description_allows_are_reported() {
    let good = r#"{"jsonrpc":"2.0","id":1,"error":{"code":-32001,"message":"refused","data":{"reason":"no_room","retry_after_ms":5}}}"#;
    assert_eq!(report_of(good).undescribed, Vec::<String>::new());
    for (from, to) in [
        ("no_room", "no_rooms"),
        ("\"retry_after_ms\":5", "\"retry_after_s\":5"),
        ("\"retry_after_ms\":5", "\"retry_after_ms\":\"5\""),
        ("-32001", "-32009"),
        ("\"id\":1,", ""),
        ("\"jsonrpc\":\"2.0\",", ""),
        (
            "\"data\":{\"reason\":\"no_room\",\"retry_after_ms\":5}",
            "\"data\":{}",
        ),
        ("{\"jsonrpc\"", "{\"more\":1,\"jsonrpc\""),
        ("{\"jsonrpc\"", "\"jsonrpc\""),
    ] {
        assert!(good.contains(from), "{from}");
        assert_eq!(
            report_of(&good.replacen(from, to, 1)).undescribed.len(),
            1,
            "{from} -> {to}"
        );
    }
    // Each message of a batch is checked.
    assert_eq!(
        report_of(&format!("[{good},{}]", good.replace("no_room", "none")))
            .undescribed
            .len(),
        1
    );
}

/// Records one HTTP response; returns the number of exchanges that no description allows.
fn undescribed_count(method: &str, path: &str, status: u16, media: &str, body: &str) -> usize {
    let mut checker = checker();
    checker.record(&Exchange::Http {
        method: method.to_owned(),
        path: path.to_owned(),
        status,
        media: media.to_owned(),
        body: body.to_owned(),
    });
    checker.report(&[]).undescribed.len()
}

#[test]
fn http_responses_are_checked_by_path_and_status() {
    let health = r#"{"state":"ready","waiting":0,"playing":0,"connections":1}"#;
    let problem = r#"{"type":"about:blank","title":"Not Found","status":404,"detail":"x"}"#;
    let (json, details) = ("application/json", "application/problem+json");
    assert_eq!(undescribed_count("GET", "/health", 200, json, health), 0);
    assert_eq!(
        undescribed_count("GET", "/nothing", 404, details, problem),
        0
    );
    assert_eq!(
        undescribed_count("DELETE", "/health", 405, details, problem),
        1,
        "the status in the body must be that of the response"
    );
    assert_eq!(
        undescribed_count(
            "DELETE",
            "/health",
            405,
            details,
            &problem.replace("404", "405")
        ),
        0
    );
    assert_eq!(undescribed_count("GET", "/session", 101, "", ""), 0);
    for (method, path, status, media, body) in [
        ("GET", "/health", 201, json, health.to_owned()),
        ("GET", "/health", 200, "text/plain", health.to_owned()),
        (
            "GET",
            "/health",
            200,
            json,
            health.replace("ready", "asleep"),
        ),
        (
            "GET",
            "/health",
            200,
            json,
            health.replace("}", ",\"more\":1}"),
        ),
        ("GET", "/nothing", 404, json, problem.to_owned()),
        ("DELETE", "/health", 200, json, health.to_owned()),
        ("GET", "/session", 200, "", String::new()),
    ] {
        assert_eq!(
            undescribed_count(method, path, status, media, &body),
            1,
            "{method} {path} {status} {media} {body}"
        );
    }
}

#[test]
fn described_items_that_were_never_exchanged_are_reported() {
    let end = r#"{"jsonrpc":"2.0","method":"session.end","params":{"session":"s-1","reason":"finished"}}"#;
    let unseen = report_of(end).unseen;
    assert!(!unseen.contains("end") && !unseen.contains("end.params.reason = \"finished\""));
    for item in [
        "end.params.retry_after_ms",
        "end.params.reason = \"server_lost\"",
        "rung",
        "open.params.tenant",
        "refused.error.data.reason = \"held_at_home\"",
        "batch of calls",
        "GET /health 503",
        "GET /health 503.state",
        "GET /session 101",
    ] {
        assert!(unseen.contains(item), "{item}: {unseen:#?}");
    }
}

#[test]
fn exceptions_cover_the_items_they_name_and_must_be_needed() {
    let mut checker = checker();
    let moved = r#"{"jsonrpc":"2.0","method":"session.move","params":{"session":"s-1"}}"#;
    checker.record(&Exchange::Text {
        call: false,
        text: moved.into(),
    });
    let exception = |item: &str, reason: &str| Exception {
        item: item.into(),
        reason: reason.into(),
    };
    let exceptions = [
        exception("end", "a reason"),
        exception("move", "it was seen"),
        exception("nothing of this name", "a reason"),
        exception("rung", " "),
    ];
    let report = checker.report(&exceptions);
    assert!(!report.unseen.contains("end") && !report.unseen.contains("end.params.reason"));
    assert!(report.unseen.contains("close") && report.unseen.contains("closed"));
    assert_eq!(
        report.needless_exceptions,
        ["move", "nothing of this name", "rung"]
    );
    assert!(
        !report.agrees() && !ConformanceReport::default().agrees(),
        "a report without traffic does not agree"
    );
}

#[test]
fn invalid_documents_are_rejected() {
    assert!(ConformanceChecker::new("{", "{}").is_err());
    assert!(ConformanceChecker::new(crate::PRESENT, "{}").is_err());
    let dangling =
        crate::PRESENT.replace("#/components/messages/move", "#/components/messages/mvoe");
    assert!(ConformanceChecker::new(&dangling, crate::OPENAPI).is_err());
}
