//! What the ends of links mean for the releases that servers send on them. `unconfirmed_sessions` tells when a new link is needed.
use super::attempt::AttemptState;
use super::link::{LinkPurpose, LinkRecord};
use super::server_releases::ServerRelease;
use super::unconfirmed_sessions::ConnectionEnd;
use super::EventLoop;
use crate::shared::{LinkEnd, LinkId};
use crankpaddle_front::ServerId;
use crankpaddle_net::{clock, CloseReason, ReadEnd};
use crankpaddle_node_protocol::viewers::cause;
use std::time::Duration;

impl EventLoop {
    /// How a link has ended on which the server may have sent messages that were lost; `None` if it can't have sent any.
    pub(super) fn end_that_loses_messages(
        &self,
        link: &LinkRecord,
        end: LinkEnd,
    ) -> Option<ConnectionEnd> {
        let idle_timeout = Duration::from_nanos(self.shared.config.fleet.idle_timeout);
        let idle_time = clock::now().duration_since(link.last_received);
        let is_idle_close = !idle_timeout.is_zero() && idle_time >= idle_timeout;
        match end {
            LinkEnd::ConnectFailed(_) => None,
            LinkEnd::ByNode(_) if link.is_connecting() => None,
            LinkEnd::ByNode(_) => Some(ConnectionEnd::Announced),
            // Servers close idle connections after this time. Everything that they sent before was received.
            LinkEnd::ByServer(ReadEnd::Closed) if is_idle_close => None,
            LinkEnd::ByServer(_) | LinkEnd::Malformed => Some(ConnectionEnd::Unannounced),
        }
    }

    /// Marks the sessions whose releases the server may have sent on a link that has ended: those that were set up on it, and
    /// those whose own link has ended before. They have no link of their own in the table.
    ///
    /// To be called when the link was removed from the table.
    pub(super) fn mark_unconfirmed(&mut self, server: ServerId, end: ConnectionEnd) {
        let Some(server) = self.servers.get_mut(&server) else {
            return;
        };
        let now = clock::now();
        for id in server.attempts.values() {
            let Some(AttemptState::Established { link, .. }) =
                self.attempts.get(id).map(|attempt| attempt.state)
            else {
                continue;
            };
            let has_own_link = link.is_some_and(|link| self.links.contains_key(&link));
            if !has_own_link {
                server.unconfirmed.add(*id, end, now);
            }
        }
    }

    /// Closes the links that were opened earlier to receive releases and have not been used for a set-up, so that repeated
    /// connects do not add up.
    pub(super) fn close_unneeded_links(&mut self, newest: LinkId, server: ServerId) {
        let unneeded: Vec<LinkId> = self
            .links
            .iter()
            .filter(|(id, link)| {
                **id != newest
                    && link.server == server
                    && link.purpose == LinkPurpose::ReceiveReleases
                    && link.is_idle()
            })
            .map(|(id, _)| *id)
            .collect();
        for link in unneeded {
            self.close_link(link, CloseReason::NotNeeded);
        }
    }

    /// Ends the sessions at an unlisted server whose release may have been lost. No connection can be opened on which the server
    /// would repeat it.
    pub(super) fn end_unconfirmed(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        let lost = server.unconfirmed.take_unannounced();
        let releases: Vec<ServerRelease> = lost
            .iter()
            .filter_map(|attempt| self.attempts.get(attempt))
            .map(|attempt| ServerRelease::new(id, attempt.session_id, cause::FAILED))
            .collect();
        self.end_sessions(id, lost);
        for release in releases {
            self.release_at_server(None, release);
        }
    }
}
