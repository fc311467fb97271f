//! Accepting responses to set-ups that may have been cut off by their own `Content-Length`.
//!
//! A response with a `Content-Length` that is too short looks complete, and its description lacks its end. Two facts show it: the
//! bytes behind the response are no message, and the description, which consists of lines, does not end with a line break. The
//! bytes behind may arrive after the response. So a response whose last line has no end, or behind which nothing that was read
//! confirms its length, is delayed until the next message of the connection, until the connection ends, or for
//! [`MAX_DELAY`].
use crate::shared::LinkId;
use crankpaddle_front::Time;
use crankpaddle_node_protocol::rtsp;
use std::collections::BTreeMap;
use std::time::Duration;

/// How long a response is delayed at most. The protocol allows messages and events this much time to cross.
pub(super) const MAX_DELAY: Duration = Duration::from_millis(50);

/// A response that is delayed.
struct DelayedResponse {
    message: rtsp::Message,
    release_at: Time,
}

/// The responses that are delayed: at most one for each link, because the next message of the link releases it.
#[derive(Default)]
pub(super) struct DelayedResponses {
    by_link: BTreeMap<LinkId, DelayedResponse>,
}

impl DelayedResponses {
    /// Delays a response by [`MAX_DELAY`], but not beyond `deadline`, when its attempt times out.
    pub(super) fn delay(
        &mut self,
        link: LinkId,
        message: rtsp::Message,
        now: Time,
        deadline: Time,
    ) {
        let release_at = deadline.min(now + MAX_DELAY);
        self.by_link.insert(
            link,
            DelayedResponse {
                message,
                release_at,
            },
        );
    }

    /// Takes the delayed response of a link.
    pub(super) fn take(&mut self, link: LinkId) -> Option<rtsp::Message> {
        let delayed = self.by_link.remove(&link)?;
        Some(delayed.message)
    }

    /// Takes a response that was delayed for long enough.
    pub(super) fn take_due(&mut self, now: Time) -> Option<(LinkId, rtsp::Message)> {
        let (link, _) = self
            .by_link
            .iter()
            .find(|(_, delayed)| delayed.release_at <= now)?;
        let link = *link;
        Some((link, self.take(link)?))
    }

    /// When the next response is due; [`Time::MAX`] if there is none.
    pub(super) fn next_due(&self) -> Time {
        self.by_link
            .values()
            .map(|delayed| delayed.release_at)
            .min()
            .unwrap_or(Time::MAX)
    }
}

#[cfg(test)]
mod tests;
