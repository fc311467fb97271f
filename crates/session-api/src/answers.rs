//! What a front answers and tells.
use crate::jsonrpc::{self, Error, Id};
use crate::messages::{
    Closed, EndReason, Ended, Failed, FailedReason, Moved, Opened, Refused, RefusedReason,
    RungChanged,
};
use crate::methods::session_name;
use crate::Version;
use crankpaddle_front::{
    Answer, FailureReason, Notification, RejectReason, RequestId, SessionEndReason,
};
use serde::Serialize;
use serde_json::Value;

/// Refused: nothing of it ran, it may be sent again anywhere.
pub const REFUSED: i64 = -32001;
/// Failed: an attempt may have run.
pub const FAILED: i64 = -32002;
/// Another connection took the session up.
pub const SUPERSEDED: i64 = -32003;
/// No such session, or not this connection's.
pub const UNKNOWN_SESSION: i64 = -32004;

/// A refusal's reason on the wire. A version that does not know a reason is told the nearest that it knows.
fn refusal(why: RejectReason, version: Version) -> RefusedReason {
    match (why, version) {
        (RejectReason::CrossZoneForbidden, Version::V2) => RefusedReason::HeldAtHome,
        (RejectReason::NoCapacity | RejectReason::CrossZoneForbidden, _) => RefusedReason::NoRoom,
        (RejectReason::Overload | RejectReason::Recovering, _) => RefusedReason::Overload,
        (RejectReason::TooManyPending, _) => RefusedReason::TooManyOpen,
        (RejectReason::ShuttingDown, _) => RefusedReason::Stopping,
    }
}

fn failure(why: FailureReason) -> FailedReason {
    match why {
        FailureReason::NoAnswer => FailedReason::NoAnswer,
        FailureReason::ServerError => FailedReason::ServerError,
        FailureReason::ConnectionLost => FailedReason::Broken,
        FailureReason::Cancelled => FailedReason::Withdrawn,
        FailureReason::KeySpent => FailedReason::KeySpent,
    }
}

fn over(why: SessionEndReason) -> EndReason {
    match why {
        SessionEndReason::Finished => EndReason::Finished,
        SessionEndReason::ServerLost => EndReason::ServerLost,
        SessionEndReason::Superseded => EndReason::TakenOver,
        SessionEndReason::ShuttingDown => EndReason::Stopping,
    }
}

/// Milliseconds on the wire; none where there is no advice.
fn advice(nanoseconds: u64) -> Option<u64> {
    (nanoseconds > 0).then(|| nanoseconds.div_ceil(1_000_000))
}

fn value(of: impl Serialize) -> Value {
    serde_json::to_value(of).unwrap_or_default()
}

/// The answer to a call; `media` and `hall` are where a session that plays is fetched from.
pub fn answer(version: Version, id: &Id, answer: &Answer, media: &str, hall: &str) -> Value {
    let (code, message, data) = match answer {
        Answer::Established { session, rung, .. } => {
            let hall = (version == Version::V2).then(|| hall.to_owned());
            let (session, media) = (session_name(session.0), media.to_owned());
            return jsonrpc::result(
                id,
                value(Opened {
                    session,
                    media,
                    rung: *rung,
                    hall,
                }),
            );
        }
        Answer::Closed => return jsonrpc::result(id, value(Closed { closed: true })),
        Answer::Rejected(why, stay_away) => {
            let refused = Refused {
                reason: refusal(*why, version),
                retry_after_ms: advice(*stay_away),
            };
            (REFUSED, "refused", Some(value(refused)))
        }
        Answer::Failed(why) => (
            FAILED,
            "failed",
            Some(value(Failed {
                reason: failure(*why),
            })),
        ),
        Answer::Superseded => (SUPERSEDED, "taken up by another connection", None),
        Answer::UnknownSession => (UNKNOWN_SESSION, "no such session", None),
    };
    jsonrpc::error(
        id,
        &Error {
            code,
            message: message.into(),
            data,
        },
    )
}

/// What a player is told.
pub fn notice(session: RequestId, notice: Notification) -> Value {
    let session = session_name(session.0);
    match notice {
        Notification::RungChanged(rung) => {
            jsonrpc::notification("session.rung", value(RungChanged { session, rung }))
        }
        Notification::SessionEnded(why, stay_away) => {
            let ended = Ended {
                session,
                reason: over(why),
                retry_after_ms: advice(stay_away),
            };
            jsonrpc::notification("session.end", value(ended))
        }
        Notification::Migrate => jsonrpc::notification("session.move", value(Moved { session })),
    }
}
