//! Adoption of sessions that were under way when this node started.
//!
//! A viewer hands such a session over by a set-up that names its server. The server may have died or started anew since: then the
//! session is over, and nobody but this node can tell its viewer.
use super::attempt::{AttemptRecord, AttemptState};
use super::client_requests::ValidSetUp;
use super::endpoint_list::server_id_from_name;
use super::session::{RemovalReason, SessionRecord, SessionState};
use super::{ConnectionId, EventLoop};
use crate::budget::ResourceBudget;
use crate::shared::increment;
use crankpaddle_front::{AttemptId, Input, OpenRequest, PlayerId, ServerId, Time};
use crankpaddle_net::clock;
use crankpaddle_node_protocol::viewers::{self, cause};
use crankpaddle_node_protocol::Tag;
use std::collections::BTreeSet;
use std::time::Duration;

/// How long the endpoint list may be behind. A session at a server that it does not name for this long is over.
const MAX_LIST_DELAY: Duration = Duration::from_secs(6);

/// What the endpoint list tells about the server of a session that is handed over.
enum ServerKnowledge {
    /// It has been running since before this node started, so the session plays.
    Running(ServerId),
    /// It has left the list, or was started anew, since this node started.
    Lost,
    /// It is listed, but does not fit the settings, so that nothing is known of its sessions.
    Incompatible,
    /// No list has named it. It may be named by the next one.
    Unknown,
}

/// A session at a server that no list has named yet.
pub(super) struct PendingAdoption {
    player: PlayerId,
    server_name: String,
    open: OpenRequest,
    /// When the session is taken for over.
    expires_at: Time,
}

/// The sessions that wait for their server to be listed, and what decides on a session that is handed over.
pub(super) struct Adoptions {
    node_started_at: Time,
    /// The servers of the list with which this node started.
    initial_servers: BTreeSet<ServerId>,
    pending: Vec<PendingAdoption>,
    max_pending: usize,
    /// Sessions in all beyond which none is adopted.
    max_sessions: usize,
}

impl Adoptions {
    pub(super) fn new(
        node_started_at: Time,
        initial_servers: BTreeSet<ServerId>,
        budget: &ResourceBudget,
    ) -> Adoptions {
        Adoptions {
            node_started_at,
            initial_servers,
            pending: Vec::new(),
            max_pending: budget.max_pending_set_ups,
            max_sessions: budget.max_sessions,
        }
    }

    /// Whether a session waits for its server to be listed.
    pub(super) fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }
}

impl EventLoop {
    /// Adopts a session that was under way when this node started, or tells its viewer that it is over.
    pub(super) fn adopt_session(
        &mut self,
        connection: ConnectionId,
        session_id: Tag,
        server_name: &str,
        request: ValidSetUp,
    ) {
        let ValidSetUp { params, open } = request;
        let knowledge = self.server_knowledge(server_name);
        if let ServerKnowledge::Incompatible = knowledge {
            tracing::debug!(%session_id, server_name, "session not adopted, its server does not fit the settings");
            return;
        }
        let has_capacity = self.sessions.len() < self.adoptions.max_sessions;
        let player = self.insert_session(SessionRecord {
            session_id,
            connection,
            class: open.class,
            title: params.title_text,
            state: SessionState::Established,
        });
        if !has_capacity {
            increment(&self.shared.drop_counters.adoptions);
            return self.reject_adoption(player);
        }
        match knowledge {
            ServerKnowledge::Running(server) => self.adopt_at_server(player, open, server),
            ServerKnowledge::Unknown
                if self.adoptions.pending.len() < self.adoptions.max_pending =>
            {
                tracing::debug!(%session_id, server_name, "adoption waits for its server to be listed");
                self.adoptions.pending.push(PendingAdoption {
                    player,
                    server_name: server_name.to_owned(),
                    open,
                    expires_at: clock::now() + MAX_LIST_DELAY,
                });
            }
            _ => self.reject_adoption(player),
        }
    }

    fn adopt_at_server(&mut self, player: PlayerId, open: OpenRequest, server: ServerId) {
        self.notify_core(Input::AdoptSession {
            player,
            open,
            server,
        });
    }

    fn server_knowledge(&self, name: &str) -> ServerKnowledge {
        if self.is_incompatible(name) {
            return ServerKnowledge::Incompatible;
        }
        let id = server_id_from_name(name);
        match self.listed_server_start(name) {
            Some(started_at) if started_at <= self.adoptions.node_started_at => {
                ServerKnowledge::Running(id)
            }
            None if !self.adoptions.initial_servers.contains(&id) => ServerKnowledge::Unknown,
            _ => ServerKnowledge::Lost,
        }
    }

    /// Tells the viewer of a session that was handed over that the session is over.
    fn reject_adoption(&mut self, player: PlayerId) {
        let Some(session) = self.remove_session(player, RemovalReason::ServerLost) else {
            return;
        };
        let message = viewers::finish(session.session_id, cause::FAILED, None);
        self.send_notification(session.connection, message);
    }

    /// Decides anew on the sessions that wait for their server to be listed.
    pub(super) fn retry_adoptions(&mut self, now: Time) {
        for adoption in std::mem::take(&mut self.adoptions.pending) {
            if !self.sessions.contains_key(&adoption.player) {
                continue; // Its viewer has ended it.
            }
            match self.server_knowledge(&adoption.server_name) {
                ServerKnowledge::Running(server) => {
                    self.adopt_at_server(adoption.player, adoption.open, server);
                }
                ServerKnowledge::Unknown if now < adoption.expires_at => {
                    self.adoptions.pending.push(adoption);
                }
                _ => self.reject_adoption(adoption.player),
            }
        }
    }

    /// Adds the attempt of an adopted session, which plays at a server already, to the tables.
    ///
    /// It was set up before this node started. So it is over if the server turns out to have been started later.
    pub(super) fn adopt(&mut self, player: PlayerId, attempt: AttemptId, server: ServerId) {
        let now = clock::now();
        let Some(session_id) = self.sessions.get(&player).map(|session| session.session_id) else {
            return;
        };
        let Some(server_record) = self.servers.get_mut(&server) else {
            return;
        };
        server_record.attempts.insert(session_id, attempt);
        server_record.established += 1;
        server_record.health.session_established(now);
        let record = AttemptRecord {
            player,
            session_id,
            server,
            rung: 0,
            deadline: now,
            connect_attempts: 0,
            state: AttemptState::Established {
                link: None,
                sent_at: self.adoptions.node_started_at,
            },
        };
        self.attempts.insert(attempt, record);
    }
}
