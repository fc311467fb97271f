//! The state of one request for a session, and of one player.
use crate::ids::{AttemptId, PlayerCall, PlayerId};
use crate::input::{OpenRequest, SendState};
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

/// An attempt that waits for a server's answer, or that established the session.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutstandingAttempt {
    pub(super) id: AttemptId,
    pub(super) server: ServerId,
    pub(super) started_at: Time,
    pub(super) send_state: SendState,
}

/// The phase of a request, with its outstanding attempt.
#[derive(Clone, Copy, Debug)]
pub(super) enum RequestPhase {
    /// The request has no answer yet. It is without an attempt only until the policy decides on it, when it is new or
    /// its last attempt has ended.
    Waiting(Option<OutstandingAttempt>),
    /// The session is established at the server of this attempt and has not ended.
    Playing(OutstandingAttempt),
    /// The request or its session has ended.
    Ended(RequestOutcome),
}

/// How an attempt or its session ended, with the server's load report.
#[derive(Debug)]
pub(super) struct AttemptEnd {
    pub(super) outcome: AttemptOutcome,
    pub(super) report: LoadReport,
}

impl AttemptEnd {
    /// Whether the session was interrupted before it ran to its end.
    pub(super) fn was_interrupted(&self) -> bool {
        self.outcome != AttemptOutcome::Completed
    }
}

/// A request for a session, from its arrival until its key is no longer retained.
pub(super) struct Request {
    /// The request as the placement policy received it.
    pub(super) session_request: SessionRequest,
    pub(super) key: String,
    /// The call that gets the answer; `None` if it was answered, or if its player disconnected.
    pub(super) call: Option<PlayerCall>,
    /// The player that the request is attached to; `None` while no connected player has it, and once it has ended.
    pub(super) player: Option<PlayerId>,
    /// Number of times that its player disconnected. It identifies the resume timer of the latest disconnect.
    pub(super) disconnects: u32,
    pub(super) phase: RequestPhase,
    /// The failure of the last attempt, which the answer states if the request fails.
    pub(super) failure: FailureReason,
    /// Whether an attempt may have run.
    pub(super) may_have_run: bool,
    pub(super) rung: u8,
    pub(super) attempt_count: u8,
    /// The end of the session, if it was received before the answer to the set-up.
    pub(super) early_end: Option<AttemptEnd>,
    /// The updates of the session that were received before the answer to the set-up.
    pub(super) early_updates: Vec<SessionUpdate>,
    /// When the viewer gives up.
    pub(super) viewer_deadline: Time,
}

impl Request {
    /// Creates a request that waits for its first attempt.
    pub(super) fn new(
        session_request: SessionRequest,
        key: String,
        call: Option<PlayerCall>,
        viewer_deadline: Time,
    ) -> Request {
        Request {
            session_request,
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

    /// The state that decides how another open request with the same key is handled.
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

/// A player with attached requests.
#[derive(Default)]
pub(super) struct Player {
    pub(super) requests: BTreeSet<RequestId>,
    /// Number of its requests that wait for an answer.
    pub(super) waiting_count: usize,
}

impl OpenRequest {
    /// Converts the request to the form that the placement policy receives.
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
