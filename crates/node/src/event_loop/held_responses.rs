//! Accepting responses to set-ups that may have been cut off by their own `Content-Length`.
//!
//! A response with a `Content-Length` that is too short looks complete, and its description lacks its end. Two facts show it: the
//! bytes behind the response are no message, and the description, which consists of lines, does not end with a line break. The
//! bytes behind may arrive after the response. So a response whose last line has no end, or behind which nothing that was read
//! confirms its length, is held until the next message of the connection, until the connection ends, or for
//! [`MAX_HOLD`].
use crate::shared::LinkId;
use crankpaddle_front::Time;
use crankpaddle_node_protocol::rtsp;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a response is held at most. The protocol allows messages and events this much time to cross.
pub(super) const MAX_HOLD: Duration = Duration::from_millis(50);

/// A response that is held.
struct HeldResponse {
    message: rtsp::Message,
    release_at: Time,
}

/// The responses that are held: at most one for each link, because the next message of the link releases it.
#[derive(Default)]
pub(super) struct HeldResponses {
    by_link: BTreeMap<LinkId, HeldResponse>,
}

impl HeldResponses {
    /// Holds a response for [`MAX_HOLD`], but not beyond `deadline`, when its attempt times out.
    pub(super) fn hold(&mut self, link: LinkId, message: rtsp::Message, now: Time, deadline: Time) {
        let release_at = deadline.min(now + MAX_HOLD);
        self.by_link.insert(
            link,
            HeldResponse {
                message,
                release_at,
            },
        );
    }

    /// Takes the response that is held for a link.
    pub(super) fn take(&mut self, link: LinkId) -> Option<rtsp::Message> {
        let held = self.by_link.remove(&link)?;
        Some(held.message)
    }

    /// Takes a response that was held for long enough.
    pub(super) fn take_due(&mut self, now: Time) -> Option<(LinkId, rtsp::Message)> {
        let (link, _) = self
            .by_link
            .iter()
            .find(|(_, held)| held.release_at <= now)?;
        let link = *link;
        Some((link, self.take(link)?))
    }

    /// When the next response is due; [`Time::MAX`] if none is held.
    pub(super) fn next_due(&self) -> Time {
        self.by_link
            .values()
            .map(|held| held.release_at)
            .min()
            .unwrap_or(Time::MAX)
    }
}

#[cfg(test)]
mod tests;
