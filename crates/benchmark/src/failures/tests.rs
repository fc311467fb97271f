//! Tests of the counts of failures and of their display text.
use super::*;

#[test]
fn failures_are_counted_by_cause_and_shown_with_their_ratio() {
    let mut failures = Failures::default();
    assert_eq!(
        (failures.ratio(), failures.to_string().as_str()),
        (0.0, "0 of 0 failed")
    );
    (0..97).for_each(|_| failures.record(&Ok(())));
    let refused = ClientEvent::Refused {
        id: 1,
        reason: "no_room".into(),
        retry_after_ms: None,
    };
    (0..2).for_each(|_| failures.record::<()>(&Err(SetUpFailure::from_event(&refused))));
    failures.record::<()>(&Err(SetUpFailure::connection(
        "connect",
        &io::ErrorKind::ConnectionReset.into(),
    )));
    assert!((failures.ratio() - 0.03).abs() < 1e-9);
    let shown = "3 of 100 failed; connect: connection reset: 1; refused, no_room: 2";
    assert_eq!(failures.to_string(), shown);
}
