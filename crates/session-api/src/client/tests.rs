use super::*;
use crate::answers::{answer, notification, SessionLocation};
use crate::jsonrpc::{self, Id, Message};
use crate::methods::{session_number, Method};
use crate::SessionApiVersion;
use crankpaddle_front::{
    Answer, AttemptId, FailureReason, Notification, RejectReason, RequestId, ServerId,
    SessionEndReason,
};
use std::time::Duration;

#[test]
fn a_front_parses_the_calls_that_a_player_writes() {
    let params = Open {
        key: "k1234567".into(),
        title: "t".into(),
        class: "c".into(),
        top: Some(2),
        ..Open::default()
    };
    let Message::Single(Ok(call)) = jsonrpc::read(&open(5, &params)) else {
        panic!()
    };
    assert_eq!(
        Method::parse(&call.method, call.params),
        Ok(Method::Open(params))
    );
    for (method, params) in [
        (
            "session.open",
            json!({"key": "k1234567", "title": "t", "class": "c", "colour": 1}),
        ),
        (
            "session.open",
            json!({"key": "short", "title": "t", "class": "c"}),
        ),
        ("session.open", json!({"key": "k1234567", "title": "t"})),
        ("session.close", json!(null)),
        ("session.resume", json!({"key": "x".repeat(129)})),
    ] {
        assert_eq!(
            Method::parse(method, params.clone()).unwrap_err().code,
            jsonrpc::INVALID_PARAMS,
            "{params}"
        );
    }
    assert_eq!(
        Method::parse("session.ope", json!({})).unwrap_err().code,
        jsonrpc::METHOD_NOT_FOUND
    );
    assert_eq!(
        (
            session_number("s-12"),
            session_number("s-+1"),
            session_number("12")
        ),
        (Some(12), None, None)
    );
}

const CALL_ID: u64 = 7;

fn established() -> Answer {
    Answer::Established {
        session: RequestId(3),
        attempt: AttemptId(1),
        server: ServerId(2),
        rung: 1,
    }
}

/// The answer of a front to the call with id [`CALL_ID`].
fn answer_to_call(
    version: SessionApiVersion,
    core_answer: &Answer,
    media: &str,
    zone: &str,
) -> Value {
    answer(
        version,
        &Id(CALL_ID.into()),
        core_answer,
        SessionLocation { media, zone },
    )
}

fn assert_parsed_as(message: &Value, expected: ClientEvent) {
    assert_eq!(read(&message.to_string()).unwrap(), vec![expected]);
}

#[test]
fn a_player_parses_the_answers_that_a_front_writes() {
    let plays = ClientEvent::Plays {
        id: CALL_ID,
        session: "s-3".to_owned(),
        media: "http://x/y".to_owned(),
        rung: 1,
    };
    let rejected = ClientEvent::Refused {
        id: CALL_ID,
        reason: "no_room".into(),
        retry_after_ms: Some(2),
    };
    let failed = ClientEvent::Failed {
        id: CALL_ID,
        reason: "broken".into(),
    };
    for (written, expected) in [
        (established(), plays),
        (
            Answer::Rejected {
                reason: RejectReason::NoCapacity,
                retry_after: Some(Duration::from_nanos(1_500_000)),
            },
            rejected,
        ),
        (Answer::Failed(FailureReason::ConnectionLost), failed),
        (Answer::Superseded, ClientEvent::Superseded { id: CALL_ID }),
        (Answer::UnknownSession, ClientEvent::Unknown { id: CALL_ID }),
        (Answer::Closed, ClientEvent::Closed { id: CALL_ID }),
    ] {
        let message = answer_to_call(SessionApiVersion::V1, &written, "http://x/y", "north");
        assert_parsed_as(&message, expected);
    }
}

#[test]
fn a_player_parses_the_notifications_that_a_front_writes() {
    let session = "s-3".to_owned();
    let ended = Notification::SessionEnded {
        reason: SessionEndReason::ServerLost,
        retry_after: None,
    };
    for (written, expected) in [
        (
            Notification::RungChanged(2),
            ClientEvent::Rung {
                session: session.clone(),
                rung: 2,
            },
        ),
        (
            Notification::Migrate,
            ClientEvent::Move {
                session: session.clone(),
            },
        ),
        (
            ended,
            ClientEvent::End {
                session,
                reason: "server_lost".into(),
                retry_after_ms: None,
            },
        ),
    ] {
        assert_parsed_as(&notification(RequestId(3), written), expected);
    }
}

#[test]
fn texts_that_are_not_messages_of_a_front_are_errors() {
    assert!(read("{}").is_err());
    assert!(read("x").is_err());
}

#[test]
fn the_previous_version_contains_no_additions_of_the_current_one() {
    let rejected = Answer::Rejected {
        reason: RejectReason::CrossZoneForbidden,
        retry_after: None,
    };
    let reason =
        |version| answer_to_call(version, &rejected, "", "")["error"]["data"]["reason"].clone();
    assert_eq!(
        (reason(SessionApiVersion::V1), reason(SessionApiVersion::V2)),
        ("no_room".into(), "held_at_home".into())
    );
    let zone =
        |version| answer_to_call(version, &established(), "m", "north")["result"]["hall"].clone();
    assert_eq!(
        (zone(SessionApiVersion::V1), zone(SessionApiVersion::V2)),
        (Value::Null, "north".into())
    );
}
