//! Releases of sessions at their servers. A release is sent again if its connection ended before the server received it.
use super::delivery::DeliveryStatus;
use super::server::DeferredMessage;
use super::{EventLoop, RELEASE_RETRY_PERIOD};
use crate::shared::LinkId;
use crankpaddle_front::{ServerId, Time};
use crankpaddle_net::clock;
use crankpaddle_node_protocol::{rtsp, Tag};
use std::time::Duration;

/// A release is sent again if its connection is reset within this time after it was sent. Servers read within this time, so an
/// older release has been received, and a reset means that the server has died.
const RELEASE_RETENTION: Duration = Duration::from_secs(2);

/// The release of a session, to be sent to its server.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerRelease {
    server: ServerId,
    session_id: Tag,
    /// The protocol's cause code.
    cause: u16,
    /// The time after which it is neither sent nor sent again.
    retry_until: Time,
}

impl ServerRelease {
    /// A release to be sent now, and retried for [`RELEASE_RETRY_PERIOD`].
    pub(super) fn new(server: ServerId, session_id: Tag, cause: u16) -> ServerRelease {
        ServerRelease {
            server,
            session_id,
            cause,
            retry_until: clock::now() + RELEASE_RETRY_PERIOD,
        }
    }

    pub(super) fn retry_until(&self) -> Time {
        self.retry_until
    }
}

impl EventLoop {
    /// Sends a release on the preferred link if it is open, else on another open link, else on the next link that is connected.
    pub(super) fn release_at_server(&mut self, preferred: Option<LinkId>, release: ServerRelease) {
        let message = rtsp::release(release.session_id, release.cause);
        let Some(link_id) = self.try_send_to_server(release.server, preferred, &message) else {
            return self.defer_to_server(release.server, DeferredMessage::Release(release));
        };
        let outbox = self.links.get(&link_id).and_then(super::LinkRecord::outbox);
        if let Some(outbox) = outbox {
            let expires_at = release.retry_until.min(clock::now() + RELEASE_RETENTION);
            self.sent_to_servers
                .retain(link_id, outbox, release, expires_at);
        }
    }

    /// Sends releases again that the server may not have read on a link that it has ended.
    ///
    /// A release is dropped if the server has a newer attempt for the session, because the release would end that attempt.
    pub(super) fn resend_releases(&mut self, link: LinkId, delivery: DeliveryStatus) {
        let now = clock::now();
        for undelivered in self.sent_to_servers.take_undelivered(link, delivery) {
            let release = undelivered.message;
            let has_newer_attempt = self
                .servers
                .get(&release.server)
                .is_none_or(|server| server.attempts.contains_key(&release.session_id));
            if has_newer_attempt || now >= undelivered.expires_at {
                continue;
            }
            tracing::debug!(link_id = link.0, session_id = %release.session_id, certainty = ?undelivered.certainty, "release sent again");
            self.release_at_server(None, release);
        }
    }
}
