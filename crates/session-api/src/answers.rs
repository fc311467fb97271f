//! What a front answers and tells.
use crate::jsonrpc::{self, Error, Id};
use crate::messages::{
    Closed, EndReason, Ended, Failed, FailedReason, Moved, Opened, Refused, RefusedReason,
    RungChanged,
};
use crate::methods::session_name;
use crate::Version;
use crankpaddle_front::{Answer, Failure, Notice, OverReason, Refusal, RequestId};
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
fn refusal(why: Refusal, version: Version) -> RefusedReason {
    match (why, version) {
        (Refusal::HeldAtHome, Version::V2) => RefusedReason::HeldAtHome,
        (Refusal::NoRoom | Refusal::HeldAtHome, _) => RefusedReason::NoRoom,
        (Refusal::Overload | Refusal::Returning, _) => RefusedReason::Overload,
        (Refusal::TooManyOpen, _) => RefusedReason::TooManyOpen,
        (Refusal::Stopping, _) => RefusedReason::Stopping,
    }
}

fn failure(why: Failure) -> FailedReason {
    match why {
        Failure::NoAnswer => FailedReason::NoAnswer,
        Failure::ServerError => FailedReason::ServerError,
        Failure::Broken => FailedReason::Broken,
        Failure::Withdrawn => FailedReason::Withdrawn,
        Failure::KeySpent => FailedReason::KeySpent,
    }
}

fn over(why: OverReason) -> EndReason {
    match why {
        OverReason::Finished => EndReason::Finished,
        OverReason::ServerLost => EndReason::ServerLost,
        OverReason::TakenOver => EndReason::TakenOver,
        OverReason::Stopping => EndReason::Stopping,
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
        Answer::Plays { session, rung, .. } => {
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
        Answer::Refused(why, stay_away) => {
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
        Answer::Unknown => (UNKNOWN_SESSION, "no such session", None),
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
pub fn notice(session: RequestId, notice: Notice) -> Value {
    let session = session_name(session.0);
    match notice {
        Notice::Rung(rung) => {
            jsonrpc::notification("session.rung", value(RungChanged { session, rung }))
        }
        Notice::Over(why, stay_away) => {
            let ended = Ended {
                session,
                reason: over(why),
                retry_after_ms: advice(stay_away),
            };
            jsonrpc::notification("session.end", value(ended))
        }
        Notice::Move => jsonrpc::notification("session.move", value(Moved { session })),
    }
}
