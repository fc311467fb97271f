//! How many links to servers may be open, and which are closed so that others can be opened.
use super::link::LinkPurpose;
use super::EventLoop;
use crate::shared::LinkId;
use crankpaddle_front::ServerId;
use crankpaddle_net::CloseReason;
use std::sync::atomic::Ordering;

/// Descriptors that links being closed may hold in addition to the budget.
const MAX_CLOSING_LINKS: usize = 8;

impl EventLoop {
    /// Whether another link may be opened.
    ///
    /// The descriptors of links that are being closed are limited too, because a cancelled connect keeps its descriptor until
    /// it times out. When an endpoint list replaces many servers at once, such descriptors would otherwise use up those
    /// reserved for viewers.
    pub(super) fn has_link_capacity(&self) -> bool {
        let descriptors = self.shared.link_descriptors.load(Ordering::Relaxed);
        let budget = self.shared.budget.max_links;
        self.links.len() < budget && descriptors < budget + MAX_CLOSING_LINKS
    }

    /// Closes an idle link so that one to `server` can be opened for `purpose`; false if there is none that may be closed.
    ///
    /// Another server's link is not closed to receive releases: that server would need a new one for its own releases.
    pub(super) fn close_link_for(&mut self, server: ServerId, purpose: LinkPurpose) -> bool {
        match purpose {
            LinkPurpose::ReceiveReleases => self.close_idle_link_of(server),
            LinkPurpose::CheckLiveness | LinkPurpose::Send => self.close_idle_link(),
        }
    }

    /// Closes the idle link that has received nothing for the longest time, so that another can be opened; false if there is
    /// none. A server with established sessions keeps its last link.
    fn close_idle_link(&mut self) -> bool {
        let expendable = self
            .servers
            .values()
            .filter(|server| server.links.len() > 1 || server.established == 0)
            .flat_map(|server| &server.links);
        let oldest = self.oldest_idle_link(expendable);
        self.close_for_descriptor(oldest)
    }

    /// Closes the idle link of a server that has received nothing for the longest time, so that another can be opened to it; false
    /// if there is none.
    fn close_idle_link_of(&mut self, server: ServerId) -> bool {
        let links = self.servers.get(&server).map(|server| &server.links);
        let oldest = self.oldest_idle_link(links.into_iter().flatten());
        self.close_for_descriptor(oldest)
    }

    fn oldest_idle_link<'a>(&self, links: impl Iterator<Item = &'a LinkId>) -> Option<LinkId> {
        let idle_link = |id: &LinkId| {
            let link = self.links.get(id)?;
            link.is_idle().then_some((link.last_received, *id))
        };
        links.filter_map(idle_link).min().map(|(_, id)| id)
    }

    fn close_for_descriptor(&mut self, link: Option<LinkId>) -> bool {
        if let Some(link) = link {
            self.close_link(link, CloseReason::DescriptorNeeded);
        }
        link.is_some()
    }
}
