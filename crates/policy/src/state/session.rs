//! Requests and sessions of one replica, and what may be done with them.
use crate::interface::{AttemptOutcome, LoadReport, RequestId, ServerId, SessionRequest, Time};

/// Where a session stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum SessionState {
    /// No attempt is out.
    #[default]
    Pending,
    /// An attempt is out at this server.
    Attempting(ServerId),
    /// It is established at this server.
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
pub(crate) struct Session {
    pub(crate) request: SessionRequest,
    pub(crate) rung: u8,
    pub(crate) state: SessionState,
    /// Whether the viewer left.
    pub(crate) client_left: bool,
    pub(crate) possible_execution: Option<PossibleExecution>,
    /// When it was established; until then, when it was requested.
    pub(crate) started_at: Time,
    /// When its rung was last set, at first by the attempt that is out.
    pub(crate) rung_set_at: Time,
    /// It is not promoted before this time.
    pub(crate) next_promotion: Time,
    /// Servers of its attempts so far.
    pub(crate) attempted: Vec<ServerId>,
}

impl Session {
    /// The server of its attempt or of the established session.
    pub(crate) fn server(&self) -> Option<ServerId> {
        match self.state {
            SessionState::Pending => None,
            SessionState::Attempting(server) | SessionState::Established(server) => Some(server),
        }
    }

    /// An attempt is sent to a server, at this rung.
    pub(crate) fn begin_attempt(&mut self, now: Time, server: ServerId, rung: u8) {
        self.state = SessionState::Attempting(server);
        self.rung = rung;
        self.rung_set_at = now;
        self.attempted.push(server);
    }

    /// The attempt that is out has succeeded.
    pub(crate) fn establish(&mut self, now: Time) {
        if let SessionState::Attempting(server) = self.state {
            self.state = SessionState::Established(server);
        }
        self.started_at = now;
    }

    /// The attempt, or the established session, has ended like this.
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

/// Class and best rung of a request: what its rate depends on.
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

/// What a server offers to a request.
pub(crate) struct Offer {
    pub(crate) server: ServerId,
    pub(crate) rung: u8,
    /// Fill of the server, with what it costs to cross zones.
    pub(crate) cost: f64,
}

/// A possible demotion of a session by one rung.
pub(crate) struct Demotion {
    pub(crate) request: RequestId,
    /// The rung after it.
    pub(crate) rung: u8,
    pub(crate) saved_kb: f64,
    /// Utility that is lost for each kB saved.
    pub(crate) cost: f64,
}
