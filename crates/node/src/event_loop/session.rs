//! A viewer's session as the event loop knows it.
use crate::viewer_connection::ConnectionId;
use crankpaddle_node_protocol::Tag;

/// A viewer's session, from its set-up request to its end.
pub(super) struct Session {
    pub(super) session_id: Tag,
    /// The connection that the set-up came on; the default for adopted sessions, which have none.
    pub(super) connection: ConnectionId,
    /// Index of the class in the settings.
    pub(super) class: u8,
    /// The title as the viewer sent it.
    pub(super) title: String,
    pub(super) state: SessionState,
}

/// How far a session has come.
pub(super) enum SessionState {
    /// The set-up has no answer yet.
    AwaitingAnswer {
        /// The viewer's description until a server answers, then the server's.
        description: String,
    },
    /// The session plays; it belongs to no connection any more.
    Established,
}

/// Why a session is removed from the tables; logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RemovalReason {
    /// Its set-up was answered with a rejection or a failure.
    NotEstablished,
    /// It has ended, and its viewer is notified.
    Ended,
    /// Its server reports that its viewer has ended it, or that it was migrated: the viewer is sent nothing.
    EndedAtServer,
    /// Its viewer cancelled it or ended it here.
    FinishedByViewer,
    /// The connection that its set-up came on has ended, so no answer can reach its viewer.
    ViewerDisconnected,
    /// The connection ended before the answer had reached its viewer's machine.
    AnswerUndelivered,
}

impl Session {
    pub(super) fn is_established(&self) -> bool {
        matches!(self.state, SessionState::Established)
    }

    /// The description that a set-up carries to the server.
    pub(super) fn description(&self) -> &str {
        match &self.state {
            SessionState::AwaitingAnswer { description } => description,
            SessionState::Established => "",
        }
    }

    /// Replaces the viewer's description by the one that the server answered with.
    pub(super) fn set_answered_description(&mut self, text: &str) {
        if let SessionState::AwaitingAnswer { description } = &mut self.state {
            text.clone_into(description);
        }
    }

    /// Marks the session as established and hands out the description to answer with.
    pub(super) fn establish(&mut self) -> String {
        match std::mem::replace(&mut self.state, SessionState::Established) {
            SessionState::AwaitingAnswer { description } => description,
            SessionState::Established => String::new(),
        }
    }
}
