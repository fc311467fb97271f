//! The event loop's record of a link, which is one connection to a server.
use crankpaddle_front::{AttemptId, ServerId, Time};
use crankpaddle_net::{CloseReason, WriteBuffer};
use std::sync::Arc;
use std::time::Duration;

/// A connection to a server, from the start of the connect to the close.
pub(super) struct LinkRecord {
    pub(super) server: ServerId,
    pub(super) state: LinkState,
    pub(super) purpose: LinkPurpose,
    /// Attempts that wait for it to connect, or that were sent on it and have no answer.
    pub(super) pending: Vec<AttemptId>,
    /// When something was last received on it. Until then the time when it was connected, or when the connect was started.
    pub(super) last_received: Time,
    /// When the connect was started. A new incarnation of the server makes links stale that are older than it.
    pub(super) connect_started_at: Time,
}

/// Why a link was opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LinkPurpose {
    /// To send a set-up or a deferred message.
    Send,
    /// To check whether a silent server is alive.
    CheckLiveness,
    /// To receive releases that may have been lost with another link.
    ReceiveReleases,
}

/// How far a link has come.
pub(super) enum LinkState {
    /// The connect is in progress.
    Connecting,
    /// The connect succeeded. The connection may have ended since without this being noticed.
    Connected {
        outbox: Arc<WriteBuffer>,
        /// When an attempt on it first timed out while nothing was received. Unresponsive links get no set-ups.
        unresponsive_since: Option<Time>,
    },
}

impl LinkRecord {
    pub(super) fn connecting(server: ServerId, purpose: LinkPurpose, now: Time) -> LinkRecord {
        LinkRecord {
            server,
            state: LinkState::Connecting,
            purpose,
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

    /// Whether it is connected and open, as far as the kernel knows.
    pub(super) fn is_open(&self) -> bool {
        self.outbox()
            .is_some_and(|outbox| outbox.socket().is_open())
    }

    /// Whether it is connected, and no attempt on it has timed out since something was last received.
    pub(super) fn is_responsive(&self) -> bool {
        matches!(
            self.state,
            LinkState::Connected {
                unresponsive_since: None,
                ..
            }
        )
    }

    /// Whether a set-up can be written to it: the server is responsive, and the kernel has accepted all earlier bytes.
    pub(super) fn is_usable(&self) -> bool {
        self.is_responsive() && self.outbox().is_some_and(|outbox| outbox.is_empty())
    }

    /// Whether it is connected and no attempt on it waits for an answer.
    pub(super) fn is_idle(&self) -> bool {
        !self.is_connecting() && self.pending.is_empty()
    }

    /// Whether some bytes that were written to it are still in the node's or the kernel's send buffer.
    pub(super) fn has_unsent(&self) -> bool {
        self.outbox()
            .is_some_and(|outbox| !outbox.is_empty() || outbox.socket().unsent_bytes() > 0)
    }

    /// Records that something was received on it, which makes it responsive.
    pub(super) fn record_received(&mut self, now: Time) {
        self.last_received = now;
        if let LinkState::Connected {
            unresponsive_since, ..
        } = &mut self.state
        {
            *unresponsive_since = None;
        }
    }

    /// Records that an attempt on it timed out while nothing was received. Later calls keep the first time.
    pub(super) fn mark_unresponsive(&mut self, now: Time) {
        if let LinkState::Connected {
            unresponsive_since, ..
        } = &mut self.state
        {
            unresponsive_since.get_or_insert(now);
        }
    }

    /// Whether it has been unresponsive for longer than `duration` and no attempt waits on it.
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

    /// Closes its socket; does nothing while the connect is in progress.
    pub(super) fn close(&self, reason: CloseReason) {
        if let Some(outbox) = self.outbox() {
            outbox.socket().close(reason);
        }
    }
}
