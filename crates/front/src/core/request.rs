//! The state of one request for a session, and of one player.
use crate::ids::{AttemptId, Call, PlayerId};
use crate::input::OpenRequest;
use crate::keys::{KeyState, RequestOutcome};
use crate::output::FailureReason;
use crankpaddle::{
    AttemptOutcome, LoadReport, RequestId, ServerId, SessionRequest, SessionUpdate, Time,
};
use crankpaddle_time::nanoseconds;
use std::collections::BTreeSet;

/// The key of a session; keys of different tenants are independent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct SessionKey {
    pub(super) tenant: u16,
    pub(super) key: String,
}

impl From<&OpenRequest> for SessionKey {
    fn from(open: &OpenRequest) -> SessionKey {
        SessionKey {
            tenant: open.tenant,
            key: open.key.clone(),
        }
    }
}

/// The attempt that waits for a server's answer, or that established the session.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutstandingAttempt {
    pub(super) id: AttemptId,
    pub(super) server: ServerId,
    pub(super) started_at: Time,
    /// The front itself defers sending it, so it has not left.
    pub(super) is_deferred: bool,
}

/// The phase of a request, with the attempt that belongs to it.
#[derive(Clone, Copy, Debug)]
pub(super) enum RequestPhase {
    /// No answer yet. Without an attempt only between the end of one and the policy's decision on it.
    Waiting(Option<OutstandingAttempt>),
    /// The session plays.
    Playing(OutstandingAttempt),
    /// The request or its session has ended.
    Ended(RequestOutcome),
}

/// The end of a session as reported by its server.
#[derive(Debug)]
pub(super) struct SessionEnd {
    pub(super) outcome: AttemptOutcome,
    pub(super) report: LoadReport,
}

impl SessionEnd {
    /// Whether the session was cut before it ran to its end.
    pub(super) fn was_cut(&self) -> bool {
        self.outcome != AttemptOutcome::Completed
    }
}

/// A request for a session, from its arrival until its key is no longer retained.
pub(super) struct Request {
    /// The request as the placement policy knows it.
    pub(super) session: SessionRequest,
    pub(super) key: String,
    /// The call that waits for the answer.
    pub(super) call: Option<Call>,
    pub(super) player: Option<PlayerId>,
    /// How often its player disconnected; a timer of an earlier disconnect no longer applies.
    pub(super) disconnects: u32,
    pub(super) phase: RequestPhase,
    /// Failure of the last attempt.
    pub(super) failure: FailureReason,
    /// Whether an attempt may have run.
    pub(super) may_have_run: bool,
    pub(super) rung: u8,
    pub(super) attempt_count: u8,
    /// The session's end, received before the answer to its set-up.
    pub(super) early_end: Option<SessionEnd>,
    /// The session's updates, received before the answer to its set-up.
    pub(super) early_updates: Vec<SessionUpdate>,
    /// When its viewer gives up.
    pub(super) viewer_deadline: Time,
}

impl Request {
    /// A request that waits for its first attempt.
    pub(super) fn new(
        session: SessionRequest,
        key: String,
        call: Option<Call>,
        viewer_deadline: Time,
    ) -> Request {
        Request {
            session,
            key,
            call,
            player: None,
            disconnects: 0,
            phase: RequestPhase::Waiting(None),
            failure: FailureReason::NoAnswer,
            may_have_run: false,
            rung: 0,
            attempt_count: 0,
            early_end: None,
            early_updates: Vec::new(),
            viewer_deadline,
        }
    }

    /// The state of the request's key.
    pub(super) fn key_state(&self) -> KeyState {
        match self.phase {
            RequestPhase::Waiting(_) => KeyState::Waiting,
            RequestPhase::Playing(_) => KeyState::Playing,
            RequestPhase::Ended(outcome) => KeyState::Ended(outcome),
        }
    }

    pub(super) fn is_waiting(&self) -> bool {
        matches!(self.phase, RequestPhase::Waiting(_))
    }

    /// The attempt that waits for a server's answer.
    pub(super) fn waiting_attempt(&self) -> Option<OutstandingAttempt> {
        match self.phase {
            RequestPhase::Waiting(attempt) => attempt,
            RequestPhase::Playing(_) | RequestPhase::Ended(_) => None,
        }
    }

    /// The attempt that established the playing session.
    pub(super) fn playing_attempt(&self) -> Option<OutstandingAttempt> {
        match self.phase {
            RequestPhase::Playing(attempt) => Some(attempt),
            RequestPhase::Waiting(_) | RequestPhase::Ended(_) => None,
        }
    }

    /// The attempt that waits for an answer or plays.
    pub(super) fn outstanding_attempt(&self) -> Option<OutstandingAttempt> {
        self.waiting_attempt().or_else(|| self.playing_attempt())
    }

    /// Number of the last attempt within the request, from 0.
    pub(super) fn last_attempt_number(&self) -> u8 {
        self.attempt_count.saturating_sub(1)
    }
}

/// A player with requests that wait or play.
#[derive(Default)]
pub(super) struct Player {
    pub(super) requests: BTreeSet<RequestId>,
    /// How many of its requests wait for an answer.
    pub(super) waiting: usize,
}

impl OpenRequest {
    /// The request as the placement policy gets it.
    pub(super) fn session_request(&self, request: RequestId, deadline: Time) -> SessionRequest {
        SessionRequest {
            request,
            viewer: self.viewer,
            class: self.class,
            tenant: self.tenant,
            title: self.title,
            first_cell: self.first_cell,
            cell_count: self.cell_count,
            max_rung: self.max_rung,
            deadline,
            duration_hint: self.duration_hint.map(nanoseconds),
            is_retry: self.is_retry,
            is_migration: self.is_migration,
        }
    }
}
