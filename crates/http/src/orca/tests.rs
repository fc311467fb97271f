use super::*;

#[test]
fn text_and_json_reports_are_parsed_to_the_same_metrics() {
    let text = parse("TEXT cpu_utilization=0.3, named_metrics.link_asked=1.25").unwrap();
    let json = parse(r#"JSON {"cpu_utilization":0.3,"named_metrics":{"link_asked":1.25},"x":"y"}"#)
        .unwrap();
    assert_eq!(
        text,
        [
            ("cpu_utilization".into(), 0.3),
            ("named_metrics.link_asked".into(), 1.25)
        ]
    );
    assert_eq!(text, json);
    assert_eq!(
        parse(&write(&[("a", 0.5)])).unwrap(),
        [("a".to_owned(), 0.5)]
    );
}

#[test]
fn malformed_reports_are_errors() {
    for text in ["BIN AAAA", "TEXT a", "TEXT a=x", "TEXT a=inf", "JSON {", ""] {
        assert!(parse(text).is_err(), "{text}");
    }
}

/// Guards against the overflow of a coroutine's stack by the load report of a faulty server.
#[test]
fn a_report_that_is_nested_deeper_than_its_format_is_an_error() {
    let nested = |depth: usize| {
        format!(
            r#"JSON {}"x":1{}"#,
            r#"{"a":"#.repeat(depth - 1) + "{",
            "}".repeat(depth)
        )
    };
    assert_eq!(parse(&nested(2)).unwrap(), [("a.x".to_owned(), 1.0)]);
    for depth in [3, 110, 127, 10_000] {
        let error = parse(&nested(depth)).unwrap_err();
        assert!(
            matches!(error, LoadReportError::TooDeep(_)),
            "{depth}: {error}"
        );
    }
}
