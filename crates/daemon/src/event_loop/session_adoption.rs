//! Adoption of sessions that a previous incarnation established and that servers still hold.
use super::durable_state::{FoundSession, RecoveryPhase};
use super::EventLoop;
use crate::config_lookup::{index_of, is_paid_class, tenant_index};
use crankpaddle_front::{AttemptId, Input, OpenRequest, ServerId, SessionUpdate, SetUpOrder};
use crankpaddle_net::clock;
use crankpaddle_recovery::intents::RETAINED_WHILE_ACTIVE;
use crankpaddle_recovery::reconciliation::InventorySession;
use crankpaddle_recovery::{Intent, IntentOutcome};
use std::sync::Arc;

/// Leading hexadecimal digits of a billing key that serve as the viewer number, which has 64 bits. The inventory does
/// not state the viewer of a found session.
const VIEWER_DIGITS: usize = 16;

impl EventLoop {
    /// Handles a session of a previous incarnation that a server holds: adopts it now, or when service resumes.
    pub(super) fn session_found(&mut self, found: FoundSession) {
        let Some(durable) = &mut self.durable else {
            return;
        };
        match &mut durable.phase {
            RecoveryPhase::Reconciling(deferred) => deferred.sessions.push(found),
            RecoveryPhase::Resumed => self.adopt_found_session(found),
        }
    }

    /// Offers a found session to the core, or tears it down if its class, tenant or title is no longer configured.
    pub(super) fn adopt_found_session(&mut self, found: FoundSession) {
        if let Some(open) = self.open_request(&found.session) {
            return self.offer_found_session(found, open);
        }
        tracing::warn!(
            server_id = found.server.0,
            class = found.session.class,
            title = found.session.title,
            reason = "its class, tenant or title is not configured",
            "session of a previous incarnation torn down"
        );
        self.tear_down_found_session(found.server, &found.session.name);
    }

    /// Reconstructs the request that led to a found session, as far as the inventory states it; `None` if its class,
    /// tenant or title is not configured.
    fn open_request(&self, session: &InventorySession) -> Option<OpenRequest> {
        let config = &self.shared.config;
        let class = index_of(&config.classes, &session.class)?;
        let tenant = tenant_index(config, &session.key.tenant)?;
        let title = config.titles.get(&session.title)?;
        let bill = &session.key.bill;
        let viewer_digits = bill.get(..VIEWER_DIGITS).unwrap_or("0");
        Some(OpenRequest {
            key: bill.clone(),
            viewer: u64::from_str_radix(viewer_digits, 16).unwrap_or(0),
            class: class as u8,
            tenant,
            title: title.number,
            first_cell: title.first_cell,
            cell_count: title.copies,
            max_rung: u8::MAX,
            ..OpenRequest::default()
        })
    }

    fn offer_found_session(&mut self, found: FoundSession, open: OpenRequest) {
        let Some(durable) = &mut self.durable else {
            return;
        };
        let server = found.server;
        durable.last_token += 1;
        let token = durable.last_token;
        durable.sessions_in_adoption.insert(token, found);
        self.handle_core_input(Input::SessionFound {
            token,
            open,
            server,
        });
    }

    pub(super) fn tear_down_found_session(&self, server: ServerId, session_name: &str) {
        let state = self.servers.get(&server);
        if let Some(link) = state.and_then(|state| state.link.as_ref()) {
            link.tear_down(&self.shared, session_name);
        }
    }

    /// Handles the core's decision on a found session: adopted as `attempt`, or rejected if that is `None`.
    pub(super) fn found_session_handled(&mut self, token: u64, attempt: Option<AttemptId>) {
        let Some(durable) = &mut self.durable else {
            return;
        };
        let Some(found) = durable.sessions_in_adoption.remove(&token) else {
            return;
        };
        match attempt {
            Some(attempt) => self.adopt_session(attempt, found),
            None => self.tear_down_found_session(found.server, &found.session.name),
        }
    }

    fn adopt_session(&mut self, attempt: AttemptId, found: FoundSession) {
        let FoundSession { server, session } = found;
        let state = self.servers.get(&server);
        let Some(link) = state.and_then(|state| state.link.clone()) else {
            return; // Without a link the session can be neither controlled nor torn down.
        };
        tracing::info!(
            attempt_id = attempt.0,
            server_id = server.0,
            rung = session.rung,
            "session adopted"
        );
        link.attempt_added(&self.shared);
        self.attempt_ids.insert(session.name.clone(), attempt);
        let now = clock::now();
        let order = self.adopted_order(&session);
        self.traffic.attempt_started(attempt, 0, server, &order);
        self.traffic.controller.session_established(attempt.0, now);
        let state = self.servers.entry(server).or_default();
        state
            .connection
            .session_started(attempt, session.name.clone(), now);
        if is_paid_class(&self.shared.config, usize::from(order.class)) {
            self.write_adopted_intent(server, &session);
        }
        let rung = session.rung;
        self.track_attempt(attempt, server, session.name, link, Arc::default());
        self.handle_core_input(Input::SessionUpdated(attempt, SessionUpdate::Rung(rung)));
    }

    /// Reconstructs the order of the set-up that led to a found session.
    fn adopted_order(&self, session: &InventorySession) -> SetUpOrder {
        let config = &self.shared.config;
        let class = index_of(&config.classes, &session.class).unwrap_or(0);
        let title = config.titles.get(&session.title);
        SetUpOrder {
            key: session.key.bill.clone(),
            class: class as u8,
            tenant: tenant_index(config, &session.key.tenant).unwrap_or(0),
            title: title.map_or(0, |title| title.number),
            rung: session.rung,
        }
    }

    fn write_adopted_intent(&mut self, server: ServerId, session: &InventorySession) {
        let server_incarnation = self.incarnation_of(server);
        let Some(durable) = &mut self.durable else {
            return;
        };
        let intent = Intent {
            class: session.class.clone(),
            server: server.0,
            attempt_name: session.name.clone(),
            server_incarnation,
            outcome: IntentOutcome::Established,
            retained_until: RETAINED_WHILE_ACTIVE,
        };
        let write = durable.ledger.insert_recovered(session.key.clone(), intent);
        durable.write([write]);
    }
}
