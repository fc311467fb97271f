use super::*;

#[test]
fn failures_are_counted_by_cause_and_told_with_their_share() {
    let mut all = Failures::default();
    assert_eq!(
        (all.share(), all.to_string().as_str()),
        (0.0, "0 of 0 failed")
    );
    (0..97).for_each(|_| all.note(&Ok(())));
    let refused = ClientEvent::Refused {
        id: 1,
        reason: "no_room".into(),
        retry_after_ms: None,
    };
    (0..2).for_each(|_| all.note::<()>(&Err(cause_of_answer(&refused))));
    all.note::<()>(&Err(cause_of_error(
        "connect",
        &io::ErrorKind::ConnectionReset.into(),
    )));
    assert!((all.share() - 0.03).abs() < 1e-9);
    let told = "3 of 100 failed; connect: connection reset: 1; refused, no_room: 2";
    assert_eq!(all.to_string(), told);
}
