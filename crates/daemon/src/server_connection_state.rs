//! The established sessions at one server, and whether the server can be reached. This module performs no I/O.
//!
//! A session is lost when its server does not list it, has another incarnation, or can't be reached. All three are
//! checked because a lost session that goes unnoticed occupies its capacity forever, and its viewer is never
//! notified. The cost: if a server is only cut off from this front, sessions that still stream there are ended here;
//! they are torn down when the server can be reached again.
use crate::backoff::ExponentialBackoff;
use crankpaddle_front::AttemptId;
use crankpaddle_time::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// Backoff between requests for the event stream of a server.
const BACKOFF: ExponentialBackoff = ExponentialBackoff {
    initial: Duration::from_millis(50),
    max: Duration::from_secs(1),
};

#[derive(Debug)]
struct EstablishedSession {
    /// The session's name at the server.
    name: String,
    established_at: Time,
}

/// The known incarnation of one server, and the sessions that are established there.
#[derive(Debug, Default)]
pub(crate) struct ServerConnectionState {
    /// `None` until the server's event stream or inventory states it.
    incarnation: Option<String>,
    sessions: BTreeMap<AttemptId, EstablishedSession>,
}

impl ServerConnectionState {
    pub(crate) fn session_started(&mut self, attempt: AttemptId, name: String, now: Time) {
        let session = EstablishedSession {
            name,
            established_at: now,
        };
        self.sessions.insert(attempt, session);
    }

    pub(crate) fn session_ended(&mut self, attempt: AttemptId) {
        self.sessions.remove(&attempt);
    }

    pub(crate) fn has_session(&self, attempt: AttemptId) -> bool {
        self.sessions.contains_key(&attempt)
    }

    /// The server's incarnation; `None` if it is not known yet.
    pub(crate) fn incarnation(&self) -> Option<&str> {
        self.incarnation.as_deref()
    }

    /// Sets the incarnation that the server's inventory stated, unless one is known already.
    pub(crate) fn incarnation_reported(&mut self, incarnation: &str) {
        self.incarnation
            .get_or_insert_with(|| incarnation.to_owned());
    }

    /// Whether this differs from the known incarnation; false if none is known.
    pub(crate) fn is_other_incarnation(&self, incarnation: &str) -> bool {
        self.incarnation().is_some_and(|known| known != incarnation)
    }

    /// Handles the start of the server's event stream, which lists the sessions that the server holds. Returns the
    /// sessions that are lost. A session established after `requested_at`, the time of the request for the stream, may
    /// be missing from the list and does not count as lost.
    pub(crate) fn stream_started(
        &mut self,
        incarnation: &str,
        session_names: &[String],
        requested_at: Time,
    ) -> Vec<AttemptId> {
        let is_other = self.is_other_incarnation(incarnation);
        self.incarnation = Some(incarnation.to_owned());
        let listed: BTreeSet<&str> = session_names.iter().map(String::as_str).collect();
        self.established_before(requested_at, |session| {
            is_other || !listed.contains(session.name.as_str())
        })
    }

    /// The sessions that were established before `requested_at`. If a request sent at that time showed that the server
    /// can't be reached, they are the lost ones.
    pub(crate) fn sessions_before(&self, requested_at: Time) -> Vec<AttemptId> {
        self.established_before(requested_at, |_| true)
    }

    fn established_before(
        &self,
        requested_at: Time,
        is_included: impl Fn(&EstablishedSession) -> bool,
    ) -> Vec<AttemptId> {
        let sessions = self.sessions.iter();
        sessions
            .filter(|(_, session)| session.established_at < requested_at && is_included(session))
            .map(|(attempt, _)| *attempt)
            .collect()
    }
}

/// How a server's event stream failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamFailure {
    /// The connection was refused or reset: no process listens on the port.
    Refused,
    /// No valid response arrived: the server may be slow or cut off.
    NoResponse,
    /// The stream started and ended later.
    StreamClosed,
}

/// What to do after an event stream failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RetryDecision {
    /// Whether the server counts as unreachable, so that its sessions are ended.
    pub is_server_lost: bool,
    /// The pause before the next request; zero if it is sent at once.
    pub backoff: Duration,
}

/// Tracks whether a server can be reached, over consecutive requests for its event stream.
#[derive(Debug)]
pub(crate) struct ReachabilityTracker {
    /// When the event stream last started, or when the tracker was created.
    last_started_at: Time,
    silence_timeout: Duration,
    consecutive_failures: u32,
}

impl ReachabilityTracker {
    /// Creates a tracker. A server that does not respond is lost once `silence_timeout` has passed since its event
    /// stream last started.
    pub(crate) fn new(now: Time, silence_timeout: Duration) -> ReachabilityTracker {
        ReachabilityTracker {
            last_started_at: now,
            silence_timeout,
            consecutive_failures: 0,
        }
    }

    /// Records that the server's event stream started.
    pub(crate) fn stream_started(&mut self, now: Time) {
        self.last_started_at = now;
        self.consecutive_failures = 0;
    }

    /// Records that the event stream could not be opened, or ended, and decides how to go on.
    pub(crate) fn stream_failed(&mut self, now: Time, failure: StreamFailure) -> RetryDecision {
        let is_server_lost = match failure {
            StreamFailure::Refused => true,
            StreamFailure::NoResponse => {
                now.duration_since(self.last_started_at) >= self.silence_timeout
            }
            StreamFailure::StreamClosed => false,
        };
        let backoff = self.backoff(failure);
        self.consecutive_failures += 1;
        RetryDecision {
            is_server_lost,
            backoff,
        }
    }

    /// The pause before the next request. There is none after a stream that had started, because then usually only the
    /// connection failed, not the server.
    fn backoff(&self, failure: StreamFailure) -> Duration {
        if failure == StreamFailure::StreamClosed && self.consecutive_failures == 0 {
            return Duration::ZERO;
        }
        BACKOFF.pause(self.consecutive_failures)
    }
}
