//! The established sessions at one server, and whether the server can be reached. Pure.
//!
//! A session is lost when its server does not list it, has another incarnation, or can't be reached. Why all
//! three: a lost session that goes unnoticed occupies its capacity for ever, and its viewer is never
//! notified. The cost: a server cut off from this front alone loses sessions here that still stream there;
//! they are torn down when it is reached again.
use crate::backoff::ExponentialBackoff;
use crankpaddle_front::AttemptId;
use crankpaddle_time::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

#[cfg(test)]
mod tests;

const BACKOFF: ExponentialBackoff = ExponentialBackoff {
    initial: Duration::from_millis(50),
    max: Duration::from_secs(1),
};

#[derive(Debug)]
struct EstablishedSession {
    /// Its name at the server.
    name: String,
    established_at: Time,
}

/// What is known of one server: its incarnation, and the sessions that are established there.
#[derive(Debug, Default)]
pub(crate) struct ServerConnectionState {
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

    /// The server's incarnation, where one is known.
    pub(crate) fn incarnation(&self) -> Option<&str> {
        self.incarnation.as_deref()
    }

    /// The server's inventory gave its incarnation, which counts until its event stream gives one.
    pub(crate) fn incarnation_reported(&mut self, incarnation: &str) {
        self.incarnation
            .get_or_insert_with(|| incarnation.to_owned());
    }

    /// Whether this is another incarnation than the known one.
    pub(crate) fn is_other_incarnation(&self, incarnation: &str) -> bool {
        self.incarnation().is_some_and(|known| known != incarnation)
    }

    /// The server's event stream began with a list of the sessions that it holds, in response to a request
    /// sent at `requested_at`. Returns the sessions that are lost. A session that was established after the
    /// request may be missing from the list and is not lost.
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

    /// The sessions that were established before a request sent at `requested_at`: the lost ones where the
    /// request showed that the server can't be reached.
    pub(crate) fn sessions_before(&self, requested_at: Time) -> Vec<AttemptId> {
        self.established_before(requested_at, |_| true)
    }

    fn established_before(
        &self,
        requested_at: Time,
        is_wanted: impl Fn(&EstablishedSession) -> bool,
    ) -> Vec<AttemptId> {
        let sessions = self.sessions.iter();
        sessions
            .filter(|(_, session)| session.established_at < requested_at && is_wanted(session))
            .map(|(attempt, _)| *attempt)
            .collect()
    }
}

/// How a server's event stream failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamFailure {
    /// The connection was refused or reset: no process listens there.
    Refused,
    /// No response: the server may be slow or cut off.
    NoResponse,
    /// The stream began and ended later.
    StreamClosed,
}

/// What is done about a failed event stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FailureVerdict {
    /// The server can't be reached, so its sessions are to be ended.
    pub is_lost: bool,
    /// The pause before the next request; zero: it is sent at once.
    pub backoff: Duration,
}

/// Tracks whether a server can be reached, over consecutive requests for its event stream.
#[derive(Debug)]
pub(crate) struct ReachabilityTracker {
    last_received: Time,
    silence_timeout: Duration,
    consecutive_failures: u32,
}

impl ReachabilityTracker {
    /// `silence_timeout`: a server that sends nothing for so long is lost.
    pub(crate) fn new(now: Time, silence_timeout: Duration) -> ReachabilityTracker {
        ReachabilityTracker {
            last_received: now,
            silence_timeout,
            consecutive_failures: 0,
        }
    }

    /// The server's event stream began.
    pub(crate) fn stream_started(&mut self, now: Time) {
        self.last_received = now;
        self.consecutive_failures = 0;
    }

    /// The event stream could not be opened, or ended.
    pub(crate) fn stream_failed(&mut self, now: Time, failure: StreamFailure) -> FailureVerdict {
        let is_lost = match failure {
            StreamFailure::Refused => true,
            StreamFailure::NoResponse => {
                now.duration_since(self.last_received) >= self.silence_timeout
            }
            StreamFailure::StreamClosed => false,
        };
        let backoff = self.backoff(failure);
        self.consecutive_failures += 1;
        FailureVerdict { is_lost, backoff }
    }

    /// After a stream that had begun there is no pause: mostly the connection failed, not the server.
    fn backoff(&self, failure: StreamFailure) -> Duration {
        if failure == StreamFailure::StreamClosed && self.consecutive_failures == 0 {
            return Duration::ZERO;
        }
        BACKOFF.pause(self.consecutive_failures)
    }
}
