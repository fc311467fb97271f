use super::*;
use serde_json::json;

fn id(number: u64) -> Id {
    Id(number.into())
}

#[test]
fn an_answer_outside_a_batch_is_sent_at_once_and_only_for_a_pending_call() {
    let mut calls = PendingCalls::default();
    calls.add_pending(1, id(7), None);
    assert!(calls.answer(2, None, |_| json!("x")).is_empty());
    assert_eq!(
        calls.answer(1, Some(5), |id| json!({"id": id})),
        [json!({"id": 7})]
    );
    assert!(calls.answer(1, None, |_| json!("again")).is_empty());
    assert_eq!(calls.notify(5, json!("rung")), Some(json!("rung")));
}

#[test]
fn notifications_of_a_session_follow_the_batch_that_announces_it() {
    let mut calls = PendingCalls::default();
    calls.begin(1, 3);
    calls.add_pending(1, id(1), Some(1));
    calls.add_pending(2, id(2), Some(1));
    assert!(calls
        .answer_directly(Some(1), None, json!("malformed"))
        .is_empty());
    assert!(calls.answer(1, Some(9), |_| json!("plays")).is_empty());
    assert_eq!(calls.notify(9, json!("rung")), None);
    assert_eq!(
        calls.notify(8, json!("other")),
        Some(json!("other")),
        "a notification of another session is not deferred"
    );
    assert_eq!(calls.notify(9, json!("end")), None);
    let messages = calls.answer(2, None, |_| json!("refused"));
    assert_eq!(
        messages,
        [
            json!(["malformed", "plays", "refused"]),
            json!("rung"),
            json!("end")
        ]
    );
    assert_eq!(calls.notify(9, json!("later")), Some(json!("later")));
}

#[test]
fn concurrent_batches_are_independent() {
    let mut calls = PendingCalls::default();
    for batch in [1, 2] {
        calls.begin(batch, 2);
        calls.add_pending(batch * 10, id(batch), Some(batch));
        calls.add_pending(batch * 10 + 1, id(batch), Some(batch));
    }
    calls.answer(10, Some(1), |_| json!(1));
    calls.answer(20, Some(2), |_| json!(2));
    assert_eq!(calls.notify(1, json!("a")), None);
    assert_eq!(calls.answer(21, None, |_| json!(3)), [json!([2, 3])]);
    assert_eq!(
        calls.answer(11, None, |_| json!(4)),
        [json!([1, 4]), json!("a")]
    );
    calls.begin(3, 0);
    assert_eq!(
        calls.answer_directly(Some(3), None, json!("x")),
        [json!("x")],
        "a batch that expects no answers is not tracked"
    );
}
