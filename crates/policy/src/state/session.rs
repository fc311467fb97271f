//! Requests and sessions of one replica, and the values that decisions on them are made of.
use crate::interface::{AttemptOutcome, LoadReport, RequestId, ServerId, SessionRequest, Time};

/// Progress of a session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum SessionState {
    /// No attempt is in progress.
    #[default]
    Pending,
    /// An attempt at this server is in progress.
    Attempting(ServerId),
    /// The session is established at this server.
    Established(ServerId),
}

/// The first attempt of a request that the server may have executed.
#[derive(Clone, Copy)]
pub(crate) struct PossibleExecution {
    pub(crate) server: ServerId,
    pub(crate) sent_at: Time,
}

/// A request without a final answer, or its session.
#[derive(Default)]
pub(crate) struct SessionRecord {
    pub(crate) request: SessionRequest,
    pub(crate) rung: u8,
    pub(crate) state: SessionState,
    /// Whether the viewer left before the session ended.
    pub(crate) client_left: bool,
    /// `None` as long as no attempt can have been executed.
    pub(crate) possible_execution: Option<PossibleExecution>,
    /// When it was established; until then, when it was requested.
    pub(crate) started_at: Time,
    /// When its rung was last set; while an attempt is in progress, when that was sent.
    pub(crate) rung_set_at: Time,
    /// It is not promoted before this time.
    pub(crate) next_promotion: Time,
    /// Servers of its attempts so far, in order.
    pub(crate) attempted: Vec<ServerId>,
}

impl SessionRecord {
    /// The server of the attempt in progress or of the established session.
    pub(crate) fn server(&self) -> Option<ServerId> {
        match self.state {
            SessionState::Pending => None,
            SessionState::Attempting(server) | SessionState::Established(server) => Some(server),
        }
    }

    /// Records that an attempt is sent to a server, at this rung.
    pub(crate) fn begin_attempt(&mut self, now: Time, server: ServerId, rung: u8) {
        self.state = SessionState::Attempting(server);
        self.rung = rung;
        self.rung_set_at = now;
        self.attempted.push(server);
    }

    /// Records the success of the attempt in progress.
    pub(crate) fn establish(&mut self, now: Time) {
        if let SessionState::Attempting(server) = self.state {
            self.state = SessionState::Established(server);
        }
        self.started_at = now;
    }

    /// Records the end of the attempt in progress or of the established session.
    pub(crate) fn end_attempt(&mut self, server: ServerId, outcome: AttemptOutcome) {
        if self.possible_execution.is_none() && outcome.may_have_executed() {
            self.possible_execution = Some(PossibleExecution { server, sent_at: self.rung_set_at });
        }
        self.state = SessionState::Pending;
    }

    /// Whether it is established at a server.
    pub(crate) fn is_established(&self) -> bool {
        matches!(self.state, SessionState::Established(_))
    }

    /// Whether it is established and its viewer is still there.
    pub(crate) fn is_active(&self) -> bool {
        self.is_established() && !self.client_left
    }
}

/// Class and highest rung of a request, on which its rate depends.
#[derive(Clone, Copy)]
pub(crate) struct RequestKind {
    pub(crate) class: u8,
    pub(crate) max_rung: u8,
}

/// The end of an attempt, as reported by [`Event::AttemptEnded`](crate::Event::AttemptEnded).
pub(crate) struct EndedAttempt {
    pub(crate) request: RequestId,
    pub(crate) server: ServerId,
    pub(crate) outcome: AttemptOutcome,
    /// Whether the request has its final answer.
    pub(crate) is_final: bool,
    pub(crate) report: LoadReport,
}

/// What a server can offer to a request.
pub(crate) struct Offer {
    pub(crate) server: ServerId,
    pub(crate) rung: u8,
    /// Fill of the server plus the price of crossing zones; lower is better.
    pub(crate) cost: f64,
}

/// A possible demotion of a session by one rung.
pub(crate) struct Demotion {
    pub(crate) request: RequestId,
    /// The rung after the demotion.
    pub(crate) rung: u8,
    /// Reduction of the rate, kB per second.
    pub(crate) saved_kb: f64,
    /// Utility lost for each kB saved.
    pub(crate) cost: f64,
}
