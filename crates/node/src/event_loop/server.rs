//! A server as the event loop knows it.
use super::server_releases::ServerRelease;
use crate::health::Health;
use crate::shared::LinkId;
use crankpaddle_front::{AttemptId, Time};
use crankpaddle_node_protocol::Tag;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

/// A server of the list, or one that left it and still has sessions.
pub(super) struct Server {
    pub(super) address: SocketAddr,
    /// Whether the list in force has it.
    pub(super) is_listed: bool,
    pub(super) health: Health,
    /// Its links, the most recently used last.
    pub(super) links: Vec<LinkId>,
    /// Attempts at it, in progress or established.
    pub(super) attempts: HashMap<Tag, AttemptId>,
    /// How many of these are established.
    pub(super) established: usize,
    /// Set-ups that were abandoned, and until when a session is released if the server accepts one late.
    pub(super) abandoned: HashMap<Tag, Time>,
    /// Messages that no link accepted.
    pub(super) deferred: VecDeque<DeferredMessage>,
}

/// A message to a server, sent when a link comes up.
pub(super) enum DeferredMessage {
    Release(ServerRelease),
    Other(UnsentMessage),
}

impl DeferredMessage {
    /// Until when it may be sent.
    fn expires_at(&self) -> Time {
        match self {
            DeferredMessage::Release(release) => release.retry_until(),
            DeferredMessage::Other(message) => message.expires_at,
        }
    }
}

/// A message that no connection accepted.
pub(super) struct UnsentMessage {
    /// Until when sending it is retried.
    pub(super) expires_at: Time,
    pub(super) bytes: Vec<u8>,
}

impl Server {
    pub(super) fn new(address: SocketAddr, health: Health) -> Server {
        Server {
            address,
            is_listed: true,
            health,
            links: Vec::new(),
            attempts: HashMap::new(),
            established: 0,
            abandoned: HashMap::new(),
            deferred: VecDeque::new(),
        }
    }

    /// Removes what has expired.
    pub(super) fn remove_expired(&mut self, now: Time) {
        self.abandoned.retain(|_, expires_at| now < *expires_at);
        self.deferred.retain(|message| now < message.expires_at());
    }

    /// Whether nothing needs it any more.
    pub(super) fn is_unused(&self) -> bool {
        !self.is_listed && self.established == 0 && self.attempts.is_empty()
    }

    /// Entries of its tables.
    pub(super) fn entries(&self) -> usize {
        self.attempts.len() + self.abandoned.len() + self.deferred.len()
    }
}
