//! Messages to viewers: answers to their set-ups, and notifications that their sessions have ended.
use super::client_requests::retry_after_ms;
use super::delivery::{Certainty, DeliveryStatus};
use super::session::RemovalReason;
use super::{ConnectionId, EventLoop, UnsentMessage, RELEASE_RETRY_PERIOD};
use crankpaddle_front::{Answer, Notification, PlayerId, RejectReason, SessionEndReason};
use crankpaddle_net::clock;
use crankpaddle_node_protocol::viewers::{self, cause};
use crankpaddle_node_protocol::Tag;

impl EventLoop {
    /// Sends a message on a viewer's connection; false if the connection is closed or its buffer can't take the message.
    pub(super) fn send_to_viewer(&self, connection: ConnectionId, bytes: &[u8]) -> bool {
        let is_accepted = self
            .connections
            .get(&connection)
            .is_some_and(|connection| connection.is_open() && connection.outbox.push(bytes));
        if !is_accepted {
            tracing::debug!(
                connection_id = connection.0,
                "message not accepted by viewer connection"
            );
        }
        is_accepted
    }

    pub(super) fn send_answer(&mut self, player: PlayerId, answer: &Answer) {
        let session = self.sessions.get(&player);
        tracing::debug!(
            session_id = session.map(|session| display(session.session_id)),
            connection_id = session.map(|session| session.connection.0),
            answer = ?answer.log_text(),
            "set-up answered"
        );
        match answer {
            Answer::Established { .. } => self.send_established(player),
            Answer::Rejected {
                reason,
                retry_after,
            } => {
                self.send_finish(
                    player,
                    rejection_cause(*reason),
                    retry_after.and_then(retry_after_ms),
                );
            }
            Answer::Failed(_) => self.send_finish(player, cause::FAILED, None),
            // Viewers of this node do not resume or close sessions by their key, so these answers do not occur.
            Answer::Superseded | Answer::Closed | Answer::UnknownSession => {}
        }
    }

    fn send_established(&mut self, player: PlayerId) {
        let Some(session) = self.sessions.get_mut(&player) else {
            return;
        };
        let connection = session.connection;
        let description = session.establish();
        let message = viewers::started(session.session_id, &description);
        self.set_up_answered(connection);
        self.session_connections.retain(|id| *id != connection);
        self.session_connections.push(connection);
        if self.send_to_viewer(connection, &message) {
            self.retain_answer(connection, player);
        } else {
            self.end_session(player, RemovalReason::AnswerUndelivered);
        }
    }

    fn send_finish(&mut self, player: PlayerId, cause: u16, retry_after_ms: Option<u64>) {
        let Some(session) = self.remove_session(player, RemovalReason::NotEstablished) else {
            return;
        };
        let message = viewers::finish(session.session_id, cause, retry_after_ms);
        self.send_to_viewer(session.connection, &message);
    }

    pub(super) fn notify_viewer(&mut self, player: PlayerId, notification: Notification) {
        let Some(session_id) = self.sessions.get(&player).map(|session| session.session_id) else {
            return;
        };
        let Some(message) = notification_message(session_id, &notification) else {
            return;
        };
        let Some(session) = self.remove_session(player, RemovalReason::Ended) else {
            return;
        };
        tracing::debug!(%session_id, connection_id = session.connection.0, notification = ?notification.log_text(), "session ended");
        self.send_notification(session.connection, message);
    }

    /// Sends a notification on the session's own connection or, if that is closed, on another.
    pub(super) fn send_notification(&mut self, connection: ConnectionId, bytes: Vec<u8>) {
        let expires_at = clock::now() + RELEASE_RETRY_PERIOD;
        if let Some(connection) = self.connections.get(&connection) {
            connection.extend_output_deadline(expires_at);
        }
        let message = UnsentMessage { expires_at, bytes };
        if self.send_to_viewer(connection, &message.bytes) {
            return self.retain_notification(connection, message);
        }
        self.send_on_other_connection(message);
    }

    /// Sends a notification on a connection that is not the session's own, or keeps it to be retried.
    ///
    /// Only connections on which a session was established are used, the most recent first. Any other may belong to an
    /// unrelated client, which would drop the notification.
    fn send_on_other_connection(&mut self, message: UnsentMessage) {
        let mut candidates = self.session_connections.iter().rev().copied();
        match candidates.find(|candidate| self.send_to_viewer(*candidate, &message.bytes)) {
            Some(connection) => self.retain_notification(connection, message),
            None => self.unsent_notifications.push_back(message),
        }
    }

    /// Retains a notification that a connection has accepted, so that it can be sent again if it is not delivered.
    pub(super) fn retain_notification(&mut self, connection: ConnectionId, message: UnsentMessage) {
        if let Some(viewer) = self.connections.get(&connection) {
            let expires_at = message.expires_at;
            self.sent_to_viewers.retain(
                connection,
                &viewer.outbox,
                SentMessage::Notification(message.bytes),
                expires_at,
            );
        }
    }

    fn retain_answer(&mut self, connection: ConnectionId, player: PlayerId) {
        if let Some(viewer) = self.connections.get(&connection) {
            self.sent_to_viewers.retain(
                connection,
                &viewer.outbox,
                SentMessage::Established(player),
                clock::now() + RELEASE_RETRY_PERIOD,
            );
        }
    }

    /// Handles the messages that a connection had accepted and that may not have reached the viewer when it ended.
    ///
    /// Notifications are sent again: a duplicate does no harm, but a viewer that never gets one takes its session for playing.
    /// A session whose answer did not reach its viewer's machine is released, as if the viewer had left right before the
    /// answer.
    pub(super) fn resend_undelivered(
        &mut self,
        connection: ConnectionId,
        delivery: DeliveryStatus,
    ) {
        for undelivered in self.sent_to_viewers.take_undelivered(connection, delivery) {
            let certainty = undelivered.certainty;
            match undelivered.message {
                SentMessage::Notification(bytes) => {
                    tracing::debug!(
                        connection_id = connection.0,
                        ?certainty,
                        "notification sent again"
                    );
                    self.send_on_other_connection(UnsentMessage {
                        expires_at: undelivered.expires_at,
                        bytes,
                    });
                }
                SentMessage::Established(player) if certainty == Certainty::Missing => {
                    self.end_session(player, RemovalReason::AnswerUndelivered);
                }
                SentMessage::Established(_) => {} // The viewer may have read the answer, so the session goes on.
            }
        }
    }
}

/// A message that a viewer's connection has accepted, retained in case it is not delivered.
pub(super) enum SentMessage {
    /// The answer that this player's session is established.
    Established(PlayerId),
    /// The encoded notification that a session has ended.
    Notification(Vec<u8>),
}

fn rejection_cause(reason: RejectReason) -> u16 {
    match reason {
        RejectReason::NoCapacity | RejectReason::CrossZoneForbidden => cause::NO_CAPACITY,
        RejectReason::Overload
        | RejectReason::TooManyPending
        | RejectReason::ShuttingDown
        | RejectReason::Recovering => cause::CONGESTION,
    }
}

/// The encoded message for a notification; `None` if the protocol has no message for it.
fn notification_message(session_id: Tag, notification: &Notification) -> Option<Vec<u8>> {
    match notification {
        Notification::RungChanged(_) => None,
        Notification::SessionEnded {
            reason: SessionEndReason::Finished,
            ..
        } => Some(viewers::finish(session_id, cause::NORMAL, None)),
        Notification::SessionEnded { .. } => Some(viewers::finish(session_id, cause::FAILED, None)),
        Notification::Migrate => Some(viewers::moved(session_id)),
    }
}
