use super::*;

const LINK: LinkId = LinkId(7);

fn response() -> rtsp::Message {
    rtsp::Message {
        kind: rtsp::Kind::Response(rtsp::status::OK),
        cseq: Some(rtsp::cseq::SET_UP),
        session: None,
        headers: Vec::new(),
        body: b"cut o".to_vec(),
    }
}

fn at(milliseconds: u64) -> Time {
    Time::ZERO + Duration::from_millis(milliseconds)
}

#[test]
fn a_response_is_due_after_the_longest_delay_and_only_once() {
    let mut delayed = DelayedResponses::default();
    assert_eq!(delayed.next_due(), Time::MAX);
    delayed.delay(LINK, response(), at(100), at(5000));
    assert_eq!(delayed.next_due(), at(100) + MAX_DELAY);
    assert!(delayed.take_due(at(99) + MAX_DELAY).is_none());
    let due = delayed.take_due(at(100) + MAX_DELAY);
    assert_eq!(due, Some((LINK, response())));
    assert!(delayed.take_due(at(5000)).is_none() && delayed.take(LINK).is_none());
}

/// Guards against a response that is still delayed when its attempt times out: its viewer would be told that the set-up failed.
#[test]
fn a_response_is_due_when_its_attempt_times_out() {
    let mut delayed = DelayedResponses::default();
    delayed.delay(LINK, response(), at(100), at(110));
    delayed.delay(LinkId(8), response(), at(100), at(5000));
    assert_eq!(delayed.next_due(), at(110));
    assert_eq!(delayed.take_due(at(110)), Some((LINK, response())));
    assert!(
        delayed.take_due(at(110)).is_none(),
        "the other one is not due"
    );
    assert_eq!(delayed.take(LinkId(8)), Some(response()));
}
