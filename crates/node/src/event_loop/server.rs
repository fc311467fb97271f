//! The event loop's record of a server.
use super::server_releases::ServerRelease;
use super::unconfirmed_sessions::UnconfirmedSessions;
use crate::health::ServerHealth;
use crate::shared::LinkId;
use crankpaddle_front::{AttemptId, Time};
use crankpaddle_node_protocol::Tag;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// A server of the endpoint list in force, or one that was removed from it and still has attempts or sessions.
pub(super) struct ServerRecord {
    pub(super) address: SocketAddr,
    /// When its process was started, as the last list that named it has it.
    pub(super) started_at: Time,
    /// Whether the endpoint list in force contains it.
    pub(super) is_listed: bool,
    pub(super) health: ServerHealth,
    /// Its links in the order of their last use, the most recent last.
    pub(super) links: Vec<LinkId>,
    /// Attempts at it by session id, in progress or established.
    pub(super) attempts: HashMap<Tag, AttemptId>,
    /// Number of `attempts` that are established.
    pub(super) established: usize,
    /// Session ids of abandoned set-ups. If the server accepts one before the given time, its session is released.
    pub(super) abandoned: HashMap<Tag, Time>,
    /// Sessions whose release may have been lost with a link.
    pub(super) unconfirmed: UnconfirmedSessions,
    /// Messages that no link accepted, in the order in which they are to be sent.
    pub(super) deferred: VecDeque<DeferredMessage>,
}

/// A message to a server that is sent when a link is connected.
pub(super) enum DeferredMessage {
    Release(ServerRelease),
    Other(UnsentMessage),
}

impl DeferredMessage {
    /// The time after which it is dropped.
    fn expires_at(&self) -> Time {
        match self {
            DeferredMessage::Release(release) => release.retry_until(),
            DeferredMessage::Other(message) => message.expires_at,
        }
    }
}

/// A message, already encoded, that no connection has accepted.
pub(super) struct UnsentMessage {
    /// The time after which sending is not retried.
    pub(super) expires_at: Time,
    pub(super) bytes: Vec<u8>,
}

impl ServerRecord {
    pub(super) fn new(address: SocketAddr, health: ServerHealth) -> ServerRecord {
        ServerRecord {
            address,
            started_at: Time::ZERO,
            is_listed: true,
            health,
            links: Vec::new(),
            attempts: HashMap::new(),
            established: 0,
            abandoned: HashMap::new(),
            unconfirmed: UnconfirmedSessions::default(),
            deferred: VecDeque::new(),
        }
    }

    /// Removes abandoned set-ups and deferred messages that have expired.
    pub(super) fn remove_expired(&mut self, now: Time) {
        self.abandoned.retain(|_, expires_at| now < *expires_at);
        self.deferred.retain(|message| now < message.expires_at());
    }

    /// Whether the record can be removed: the server is not listed and has no attempts or sessions.
    pub(super) fn is_unused(&self) -> bool {
        !self.is_listed && self.established == 0 && self.attempts.is_empty()
    }

    /// Number of entries in its tables, for the `entries` count in the log.
    pub(super) fn entry_count(&self) -> usize {
        self.attempts.len() + self.abandoned.len() + self.unconfirmed.len() + self.deferred.len()
    }
}
