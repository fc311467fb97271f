use super::*;

fn parse_text(text: &str) -> SetUpResult {
    let (response, head_length) = Response::parse(text.as_bytes()).unwrap().unwrap();
    parse_set_up_response(&response, &text.as_bytes()[head_length..])
}

#[test]
fn only_the_full_problem_proves_that_the_set_up_never_ran() {
    let full = Problem {
        kind: FULL.into(),
        status: 503,
        ..Problem::default()
    };
    let text = String::from_utf8(full.response(&[])).unwrap();
    assert_eq!(
        parse_text(&text),
        SetUpResult::Ended(AttemptOutcome::Rejected, vec![])
    );
    for text in [
        "HTTP/1.1 503 Service Unavailable\r\n\r\n",
        "HTTP/1.1 503 x\r\n\r\n{\"type\":\"about:blank\"}",
        "HTTP/1.1 500 x\r\n\r\n",
        "HTTP/1.1 404 x\r\n\r\n",
        "HTTP/1.1 409 x\r\n\r\n",
        "HTTP/1.1 302 x\r\n\r\n",
    ] {
        assert_eq!(
            parse_text(text),
            SetUpResult::Ended(AttemptOutcome::ServerError, vec![]),
            "{text}"
        );
    }
}

#[test]
fn load_reports_come_with_responses_and_malformed_ones_are_empty() {
    let parse_with_report = |value: &str| {
        parse_text(&format!(
            "HTTP/1.1 201 Created\r\nEndpoint-Load-Metrics: {value}\r\n\r\n"
        ))
    };
    let report = vec![(LoadField::LinkDemand, 1.5), (LoadField::UplinkDemand, 0.5)];
    let text =
        "TEXT cpu_utilization=1, named_metrics.link_asked=1.5, named_metrics.uplink_asked=0.5";
    assert_eq!(parse_with_report(text), SetUpResult::Started(report));
    assert_eq!(
        parse_with_report("TEXT nonsense"),
        SetUpResult::Started(vec![])
    );
}
