//! The results, errors and notifications that a front sends.
use crate::jsonrpc::{self, Error, Id};
use crate::messages::{
    Closed, EndReason, Ended, Failed, FailedReason, Moved, Opened, Refused, RefusedReason,
    RungChanged,
};
use crate::methods::session_name;
use crate::SessionApiVersion;
use crankpaddle_front::{
    Answer, FailureReason, Notification, RejectReason, RequestId, SessionEndReason,
};
use serde::Serialize;
use serde_json::Value;
use std::time::Duration;

/// Error code: the request was rejected. No attempt of it ran, so it may be retried at any front. The documents of the
/// API call this refused.
pub const REFUSED: i64 = -32001;
/// Error code: the request failed. An attempt of it may have run.
pub const FAILED: i64 = -32002;
/// Error code: another connection resumed the session.
pub const SUPERSEDED: i64 = -32003;
/// Error code: there is no such session, or it belongs to another connection.
pub const UNKNOWN_SESSION: i64 = -32004;

const NANOSECONDS_PER_MILLISECOND: u128 = 1_000_000;

/// The reason as sent to the player. In a version that lacks it, it is replaced by the most similar one.
fn refused_reason(reason: RejectReason, version: SessionApiVersion) -> RefusedReason {
    match (reason, version) {
        (RejectReason::CrossZoneForbidden, SessionApiVersion::V2) => {
            RefusedReason::CrossZoneForbidden
        }
        (RejectReason::NoCapacity | RejectReason::CrossZoneForbidden, _) => {
            RefusedReason::NoCapacity
        }
        (RejectReason::Overload | RejectReason::Recovering, _) => RefusedReason::Overload,
        (RejectReason::TooManyPending, _) => RefusedReason::TooManyPending,
        (RejectReason::ShuttingDown, _) => RefusedReason::ShuttingDown,
    }
}

fn failed_reason(reason: FailureReason) -> FailedReason {
    match reason {
        FailureReason::NoAnswer => FailedReason::NoAnswer,
        FailureReason::ServerError => FailedReason::ServerError,
        FailureReason::ConnectionLost => FailedReason::ConnectionLost,
        FailureReason::Cancelled => FailedReason::Cancelled,
        FailureReason::KeySpent => FailedReason::KeySpent,
    }
}

fn end_reason(reason: SessionEndReason) -> EndReason {
    match reason {
        SessionEndReason::Finished => EndReason::Finished,
        SessionEndReason::ServerLost => EndReason::ServerLost,
        SessionEndReason::Superseded => EndReason::Superseded,
        SessionEndReason::ShuttingDown => EndReason::ShuttingDown,
    }
}

/// The Retry-After in milliseconds, rounded up; `None` if the front gives no advice.
fn retry_after_ms(retry_after: Option<Duration>) -> Option<u64> {
    let milliseconds = retry_after?
        .as_nanos()
        .div_ceil(NANOSECONDS_PER_MILLISECOND);
    Some(u64::try_from(milliseconds).unwrap_or(u64::MAX))
}

fn to_json(message: impl Serialize) -> Value {
    serde_json::to_value(message).unwrap_or_default()
}

fn error(id: &Id, code: i64, message: &str, data: Option<Value>) -> Value {
    let error = Error {
        code,
        message: message.to_owned(),
        data,
    };
    jsonrpc::error(id, &error)
}

/// Where an established session plays.
#[derive(Clone, Copy, Debug, Default)]
pub struct SessionLocation<'a> {
    /// The URL of the session's media.
    pub media: &'a str,
    /// The name of the zone that serves the session.
    pub zone: &'a str,
}

/// Builds the answer to a call. `location` is used only if the session is established.
#[must_use]
pub fn answer(
    version: SessionApiVersion,
    id: &Id,
    answer: &Answer,
    location: SessionLocation<'_>,
) -> Value {
    match answer {
        Answer::Established { session, rung, .. } => {
            let opened = Opened {
                session: session_name(session.0),
                media: location.media.to_owned(),
                rung: *rung,
                hall: (version == SessionApiVersion::V2).then(|| location.zone.to_owned()),
            };
            jsonrpc::result(id, to_json(opened))
        }
        Answer::Closed => jsonrpc::result(id, to_json(Closed { closed: true })),
        Answer::Rejected {
            reason,
            retry_after,
        } => {
            let refused = Refused {
                reason: refused_reason(*reason, version),
                retry_after_ms: retry_after_ms(*retry_after),
            };
            error(id, REFUSED, "refused", Some(to_json(refused)))
        }
        Answer::Failed(reason) => {
            let failed = Failed {
                reason: failed_reason(*reason),
            };
            error(id, FAILED, "failed", Some(to_json(failed)))
        }
        Answer::Superseded => error(id, SUPERSEDED, "taken up by another connection", None),
        Answer::UnknownSession => error(id, UNKNOWN_SESSION, "no such session", None),
    }
}

/// Builds a notification to the player of a session.
#[must_use]
pub fn notification(session: RequestId, notification: Notification) -> Value {
    let session = session_name(session.0);
    match notification {
        Notification::RungChanged(rung) => {
            jsonrpc::notification("session.rung", to_json(RungChanged { session, rung }))
        }
        Notification::SessionEnded {
            reason,
            retry_after,
        } => {
            let ended = Ended {
                session,
                reason: end_reason(reason),
                retry_after_ms: retry_after_ms(retry_after),
            };
            jsonrpc::notification("session.end", to_json(ended))
        }
        Notification::Migrate => jsonrpc::notification("session.move", to_json(Moved { session })),
    }
}
