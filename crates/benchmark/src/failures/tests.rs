//! Failures are counted by cause.
use super::*;

#[test]
fn failures_are_counted_by_cause_and_shown_with_their_ratio() {
    let mut all = Failures::default();
    assert_eq!(
        (all.ratio(), all.to_string().as_str()),
        (0.0, "0 of 0 failed")
    );
    (0..97).for_each(|_| all.record(&Ok(())));
    let refused = ClientEvent::Refused {
        id: 1,
        reason: "no_room".into(),
        retry_after_ms: None,
    };
    (0..2).for_each(|_| all.record::<()>(&Err(SetUpFailure::from_event(&refused))));
    all.record::<()>(&Err(SetUpFailure::connection(
        "connect",
        &io::ErrorKind::ConnectionReset.into(),
    )));
    assert!((all.ratio() - 0.03).abs() < 1e-9);
    let shown = "3 of 100 failed; connect: connection reset: 1; refused, no_room: 2";
    assert_eq!(all.to_string(), shown);
}
