//! Releases of sessions at their servers, sent again where the connection that took one ended before the server had it.
use super::delivery::Delivery;
use super::server::DeferredMessage;
use super::{EventLoop, RELEASE_RETRY_PERIOD};
use crate::shared::LinkId;
use crankpaddle_front::{ServerId, Time};
use crankpaddle_net::clock;
use crankpaddle_node_protocol::{rtsp, Tag};
use std::time::Duration;

/// How long after it was sent a release is sent again if its connection is reset. Servers read within that time, so an older one
/// has arrived, and a reset means that the server has died.
const RELEASE_RETENTION: Duration = Duration::from_secs(2);

/// The release of a session at its server.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServerRelease {
    server: ServerId,
    session_id: Tag,
    /// The protocol's cause.
    cause: u16,
    /// Until when it is sent, or sent again.
    retry_until: Time,
}

impl ServerRelease {
    /// A release that is due now.
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
    /// Releases a session at its server, on this link, or on another, or on the next one that comes up.
    pub(super) fn release_at_server(&mut self, preferred: Option<LinkId>, release: ServerRelease) {
        let message = rtsp::release(release.session_id, release.cause);
        let Some(link_id) = self.try_send_to_server(release.server, preferred, &message) else {
            return self.defer_to_server(release.server, DeferredMessage::Release(release));
        };
        let outbox = self.links.get(&link_id).and_then(super::Link::outbox);
        if let Some(outbox) = outbox {
            let expires_at = release.retry_until.min(clock::now() + RELEASE_RETENTION);
            self.sent_to_servers
                .retain(link_id, outbox, release, expires_at);
        }
    }

    /// A link has ended by its server: releases that the server may not have read are sent again.
    ///
    /// Not if there is a newer attempt of the session: it would be cut.
    pub(super) fn resend_releases(&mut self, link: LinkId, delivery: Delivery) {
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
