//! The event loop's record of a viewer's session.
use crate::viewer_connection::ConnectionId;
use crankpaddle_node_protocol::Tag;

/// A viewer's session, from its set-up request to its end.
pub(super) struct SessionRecord {
    pub(super) session_id: Tag,
    /// The connection on which the set-up was received, or on which the session was handed over.
    pub(super) connection: ConnectionId,
    /// Index of the class in the settings' list of classes.
    pub(super) class: u8,
    /// The title as the viewer sent it.
    pub(super) title: String,
    pub(super) state: SessionState,
}

/// How far a session has come.
pub(super) enum SessionState {
    /// The viewer's set-up has not been answered.
    AwaitingAnswer {
        /// The viewer's description of the session until a server accepts the set-up, then the server's.
        description: String,
    },
    /// The session plays, and no longer depends on the connection on which it was set up.
    Established,
}

/// Why a session is removed from the tables. Log lines show the variant's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RemovalReason {
    /// Its set-up was answered with a rejection or a failure.
    NotEstablished,
    /// It has ended, and its viewer is sent a notification.
    Ended,
    /// Its server reports that the viewer ended it or that it was migrated, so the viewer is sent nothing.
    EndedAtServer,
    /// It was handed over to this node after its server was lost.
    ServerLost,
    /// Its viewer cancelled or ended it by a request to this node.
    FinishedByViewer,
    /// The connection of its set-up has ended, so no answer can reach its viewer.
    ViewerDisconnected,
    /// The connection ended before the answer reached the viewer's machine.
    AnswerUndelivered,
}

impl SessionRecord {
    pub(super) fn is_established(&self) -> bool {
        matches!(self.state, SessionState::Established)
    }

    /// The description to send to the server with a set-up; empty once the session is established.
    pub(super) fn description(&self) -> &str {
        match &self.state {
            SessionState::AwaitingAnswer { description } => description,
            SessionState::Established => "",
        }
    }

    /// Replaces the viewer's description by the one in the server's response.
    pub(super) fn set_server_description(&mut self, server_description: &str) {
        if let SessionState::AwaitingAnswer { description } = &mut self.state {
            server_description.clone_into(description);
        }
    }

    /// Marks the session as established and returns the description for the answer.
    pub(super) fn establish(&mut self) -> String {
        match std::mem::replace(&mut self.state, SessionState::Established) {
            SessionState::AwaitingAnswer { description } => description,
            SessionState::Established => String::new(),
        }
    }
}
