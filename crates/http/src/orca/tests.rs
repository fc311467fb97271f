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
