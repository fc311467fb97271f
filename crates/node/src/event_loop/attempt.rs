//! One attempt to set up a session at a server.
use crate::shared::LinkId;
use crankpaddle_front::{PlayerId, ServerId, Time};
use crankpaddle_node_protocol::Tag;

/// An attempt that is in progress, or whose session is established.
pub(super) struct AttemptRecord {
    pub(super) player: PlayerId,
    pub(super) session_id: Tag,
    pub(super) server: ServerId,
    pub(super) rung: u8,
    /// When the attempt times out.
    pub(super) deadline: Time,
    /// How often a link has been looked for, up to `MAX_CONNECT_ATTEMPTS`.
    pub(super) connect_attempts: u32,
    pub(super) state: AttemptState,
}

/// How far an attempt has come.
#[derive(Clone, Copy)]
pub(super) enum AttemptState {
    /// It waits in the dispatch queue. Nothing was written, so it can't have run.
    Queued,
    /// It waits for this link to connect. Nothing was written, so it can't have run.
    AwaitingLink(LinkId),
    /// Its set-up was written, and the server has not answered it.
    Sent { link: LinkId, sent_at: Time },
    /// The server accepted it. An adopted session was not set up on a link of this process, so it has none.
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

    /// Whether it waits for this link to connect.
    pub(super) fn is_awaiting_link(self, id: LinkId) -> bool {
        matches!(self, AttemptState::AwaitingLink(link) if link == id)
    }

    /// Whether its set-up was written on this link and has no answer.
    pub(super) fn is_awaiting_answer_on(self, id: LinkId) -> bool {
        matches!(self, AttemptState::Sent { link, .. } if link == id)
    }

    /// Whether its session is established and `predicate` holds for the time at which its set-up was sent.
    pub(super) fn is_established_and_sent(self, predicate: impl Fn(Time) -> bool) -> bool {
        matches!(self, AttemptState::Established { sent_at, .. } if predicate(sent_at))
    }

    /// The state after the server has accepted the set-up. Only a set-up that was sent changes its state.
    pub(super) fn to_established(self) -> AttemptState {
        match self {
            AttemptState::Sent { link, sent_at } => AttemptState::Established {
                link: Some(link),
                sent_at,
            },
            other => other,
        }
    }
}
