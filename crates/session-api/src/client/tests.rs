use super::*;
use crate::answers::{answer, notice};
use crate::jsonrpc::{self, Id, Message};
use crate::methods::{session_number, Method};
use crate::Version;
use crankpaddle_front::{
    Answer, AttemptId, FailureReason, Notification, RejectReason, RequestId, ServerId,
    SessionEndReason,
};

#[test]
fn what_a_player_writes_a_front_reads() {
    let params = Open {
        key: "k1234567".into(),
        title: "t".into(),
        class: "c".into(),
        top: Some(2),
        ..Open::default()
    };
    let Message::One(Ok(call)) = jsonrpc::read(&open(5, &params)) else {
        panic!()
    };
    assert_eq!(
        Method::of(&call.method, call.params),
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
            Method::of(method, params.clone()).unwrap_err().code,
            jsonrpc::INVALID_PARAMS,
            "{params}"
        );
    }
    assert_eq!(
        Method::of("session.ope", json!({})).unwrap_err().code,
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

#[test]
fn what_a_front_writes_a_player_reads() {
    let id = Id(7.into());
    let plays = Answer::Established {
        session: RequestId(3),
        attempt: AttemptId(1),
        server: ServerId(2),
        rung: 1,
    };
    let (session, media) = ("s-3".to_owned(), "http://x/y".to_owned());
    for (said, want) in [
        (
            answer(Version::V1, &id, &plays, "http://x/y", "north"),
            ClientEvent::Plays {
                id: 7,
                session: session.clone(),
                media,
                rung: 1,
            },
        ),
        (
            answer(
                Version::V1,
                &id,
                &Answer::Rejected(RejectReason::NoCapacity, 1_500_000),
                "",
                "",
            ),
            ClientEvent::Refused {
                id: 7,
                reason: "no_room".into(),
                retry_after_ms: Some(2),
            },
        ),
        (
            answer(
                Version::V1,
                &id,
                &Answer::Failed(FailureReason::ConnectionLost),
                "",
                "",
            ),
            ClientEvent::Failed {
                id: 7,
                reason: "broken".into(),
            },
        ),
        (
            answer(Version::V1, &id, &Answer::Superseded, "", ""),
            ClientEvent::Superseded { id: 7 },
        ),
        (
            answer(Version::V1, &id, &Answer::UnknownSession, "", ""),
            ClientEvent::Unknown { id: 7 },
        ),
        (
            answer(Version::V1, &id, &Answer::Closed, "", ""),
            ClientEvent::Closed { id: 7 },
        ),
        (
            notice(RequestId(3), Notification::RungChanged(2)),
            ClientEvent::Rung {
                session: session.clone(),
                rung: 2,
            },
        ),
        (
            notice(RequestId(3), Notification::Migrate),
            ClientEvent::Move {
                session: session.clone(),
            },
        ),
        (
            notice(
                RequestId(3),
                Notification::SessionEnded(SessionEndReason::ServerLost, 0),
            ),
            ClientEvent::End {
                session,
                reason: "server_lost".into(),
                retry_after_ms: None,
            },
        ),
    ] {
        assert_eq!(read(&said.to_string()), Ok(vec![want]));
    }
    assert!(read("{}").is_err() && read("x").is_err());
    // What a newer version adds is not said to an older one.
    let at_home = Answer::Rejected(RejectReason::CrossZoneForbidden, 0);
    let reason =
        |version| answer(version, &id, &at_home, "", "")["error"]["data"]["reason"].clone();
    assert_eq!(
        (reason(Version::V1), reason(Version::V2)),
        ("no_room".into(), "held_at_home".into())
    );
    let hall = |version| answer(version, &id, &plays, "m", "north")["result"]["hall"].clone();
    assert_eq!(
        (hall(Version::V1), hall(Version::V2)),
        (Value::Null, "north".into())
    );
}
