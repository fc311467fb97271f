//! A link: one connection to a server.
use crankpaddle_front::{AttemptId, ServerId, Time};
use crankpaddle_net::{CloseReason, WriteBuffer};
use std::sync::Arc;
use std::time::Duration;

/// A connection to a server, from the connect on.
pub(super) struct Link {
    pub(super) server: ServerId,
    pub(super) state: LinkState,
    /// Attempts without an answer on it, or waiting for it to come up.
    pub(super) pending: Vec<AttemptId>,
    /// When something last came on it; the start of the connect before anything did.
    pub(super) last_received: Time,
    /// When the connect was started.
    pub(super) connect_started_at: Time,
}

/// How far a link has come.
pub(super) enum LinkState {
    /// The connect has not completed.
    Connecting,
    /// It is up; that it ended may not have been noticed yet.
    Connected {
        outbox: Arc<WriteBuffer>,
        /// Since when it is not to be used, because an attempt on it timed out in silence.
        unresponsive_since: Option<Time>,
    },
}

impl Link {
    pub(super) fn connecting(server: ServerId, now: Time) -> Link {
        Link {
            server,
            state: LinkState::Connecting,
            pending: Vec::new(),
            last_received: now,
            connect_started_at: now,
        }
    }

    pub(super) fn set_connected(&mut self, outbox: Arc<WriteBuffer>, now: Time) {
        self.state = LinkState::Connected {
            outbox,
            unresponsive_since: None,
        };
        self.last_received = now;
    }

    pub(super) fn outbox(&self) -> Option<&Arc<WriteBuffer>> {
        match &self.state {
            LinkState::Connecting => None,
            LinkState::Connected { outbox, .. } => Some(outbox),
        }
    }

    pub(super) fn is_connecting(&self) -> bool {
        matches!(self.state, LinkState::Connecting)
    }

    /// Whether it came up and is open, as far as the kernel knows.
    pub(super) fn is_open(&self) -> bool {
        self.outbox()
            .is_some_and(|outbox| outbox.socket().is_open())
    }

    /// Whether it came up and no attempt on it has timed out in silence since something was received.
    pub(super) fn is_responsive(&self) -> bool {
        matches!(
            self.state,
            LinkState::Connected {
                unresponsive_since: None,
                ..
            }
        )
    }

    /// Whether a set-up that is written to it reaches its server now: the server answers, and has read what came before.
    pub(super) fn is_usable(&self) -> bool {
        self.is_responsive() && self.outbox().is_some_and(|outbox| outbox.is_empty())
    }

    /// Whether it is up and nothing on it waits for an answer.
    pub(super) fn is_idle(&self) -> bool {
        !self.is_connecting() && self.pending.is_empty()
    }

    /// Whether some of what was written to it has not been sent.
    pub(super) fn has_unsent(&self) -> bool {
        self.outbox()
            .is_some_and(|outbox| !outbox.is_empty() || outbox.socket().unsent() > 0)
    }

    /// Something was received on it, so it is responsive.
    pub(super) fn record_received(&mut self, now: Time) {
        self.last_received = now;
        if let LinkState::Connected {
            unresponsive_since, ..
        } = &mut self.state
        {
            *unresponsive_since = None;
        }
    }

    /// An attempt on it timed out in silence; the first such time counts.
    pub(super) fn mark_unresponsive(&mut self, now: Time) {
        if let LinkState::Connected {
            unresponsive_since, ..
        } = &mut self.state
        {
            unresponsive_since.get_or_insert(now);
        }
    }

    /// Whether it is unresponsive for longer than `duration` and nothing waits on it.
    pub(super) fn is_expired(&self, now: Time, duration: Duration) -> bool {
        let LinkState::Connected {
            unresponsive_since: Some(since),
            ..
        } = self.state
        else {
            return false;
        };
        self.pending.is_empty() && now > since + duration
    }

    /// Closes its socket, if it has one.
    pub(super) fn close(&self, reason: CloseReason) {
        if let Some(outbox) = self.outbox() {
            outbox.socket().close(reason);
        }
    }
}
