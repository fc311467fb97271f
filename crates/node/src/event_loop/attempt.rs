//! One attempt to set a session up at a server.
use crate::shared::LinkId;
use crankpaddle_front::{PlayerId, ServerId, Time};
use crankpaddle_node_protocol::Tag;

/// An attempt that is in progress, or whose session plays.
pub(super) struct Attempt {
    pub(super) player: PlayerId,
    pub(super) session_id: Tag,
    pub(super) server: ServerId,
    pub(super) rung: u8,
    /// When the attempt times out.
    pub(super) deadline: Time,
    /// How often a link was searched for it.
    pub(super) connect_attempts: u32,
    pub(super) state: AttemptState,
}

/// How far an attempt has come.
#[derive(Clone, Copy)]
pub(super) enum AttemptState {
    /// It waits in the dispatch queue; nothing was written, so it can't have run.
    Queued,
    /// It waits for this link to come up; nothing was written.
    AwaitingLink(LinkId),
    /// Its set-up was written and has no answer.
    Sent { link: LinkId, sent_at: Time },
    /// The server accepted it. Adopted sessions have no link of their own.
    Established { link: Option<LinkId>, sent_at: Time },
}

impl AttemptState {
    /// The link that the attempt waits for or was sent on.
    pub(super) fn link(self) -> Option<LinkId> {
        match self {
            AttemptState::Queued => None,
            AttemptState::AwaitingLink(link) | AttemptState::Sent { link, .. } => Some(link),
            AttemptState::Established { link, .. } => link,
        }
    }

    /// Whether its set-up was written, so that it may have run.
    pub(super) fn is_sent(self) -> bool {
        matches!(
            self,
            AttemptState::Sent { .. } | AttemptState::Established { .. }
        )
    }

    pub(super) fn is_established(self) -> bool {
        matches!(self, AttemptState::Established { .. })
    }

    /// Whether it waits for this link to come up.
    pub(super) fn is_awaiting_link(self, id: LinkId) -> bool {
        matches!(self, AttemptState::AwaitingLink(link) if link == id)
    }

    /// Whether its set-up was written on this link and has no answer.
    pub(super) fn is_awaiting_answer_on(self, id: LinkId) -> bool {
        matches!(self, AttemptState::Sent { link, .. } if link == id)
    }

    /// Whether its session was established by a set-up that was sent at a time of which this holds.
    pub(super) fn is_established_and_sent(self, when: impl Fn(Time) -> bool) -> bool {
        matches!(self, AttemptState::Established { sent_at, .. } if when(sent_at))
    }

    /// The state after the server accepted the set-up.
    pub(super) fn accepted(self) -> AttemptState {
        match self {
            AttemptState::Sent { link, sent_at } => AttemptState::Established {
                link: Some(link),
                sent_at,
            },
            other => other,
        }
    }
}
