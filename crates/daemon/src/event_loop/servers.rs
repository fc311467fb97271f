//! What servers and the list service say.
use super::{EventLoop, Live};
use crate::links::Link;
use crankpaddle_front::keys;
use crankpaddle_front::{
    AttemptId, Endpoint, EndpointListKind, Input, Lifecycle, ServerId, SetUpResult, Time,
};
use crankpaddle_net::clock;
use crankpaddle_recovery::intents::AttemptResult;
use crankpaddle_server_protocol::event_stream::StreamStart;
use crankpaddle_server_protocol::list::{self, EndpointListBody};
use std::sync::atomic::Ordering;

impl EventLoop {
    /// A server's stream says its first word. Danger: while the list is late or gone a front sends a server that has just started as much
    /// as a warm one, and pushes it over (seen in the smoke day on two busy cores: five set-ups of one front within a second of the
    /// start; and where a hall lost its power together with the list service: two fronts that held nothing at a server met it a
    /// second after its start). So another life than the one that was known is a start, and a life of which none was known is as old as
    /// the server says; and while nobody tells of starts, all servers are listened to. Harm: a server that does not tell its age, and
    /// was not heard of since it started long ago, is taken for cold until the list tells its start.
    pub(super) fn lives(&mut self, server: ServerId, hello: &StreamStart) {
        let Some(state) = self.servers.get(&server) else {
            return;
        };
        let (known, other) = (
            state.contact.boot().is_some(),
            state.contact.is_other_life(&hello.boot),
        );
        let now = clock::now();
        let age = hello.age_ms.map(|age| age.saturating_mul(1_000_000));
        let started = match (known, age) {
            (true, _) if !other => return,
            (_, Some(age)) => now.saturating_sub(age),
            (true, None) => now,
            (false, None) => return,
        };
        if other {
            tracing::info!(server = server.0, "restarted");
        }
        self.started(server, started);
    }

    /// A server started at that time, by its own word: if that is later than what is known, it is colder.
    pub(super) fn started(&mut self, server: ServerId, at: u64) {
        let entry: Vec<list::EndpointEntry> = self
            .held
            .servers()
            .iter()
            .filter(|e| e.id == server.0)
            .cloned()
            .collect();
        let mut listings = self.listings(&entry);
        listings
            .iter_mut()
            .for_each(|listing| listing.started_at = listing.started_at.max(Time(at)));
        self.tell_core(Input::EndpointList(EndpointListKind::Delta, listings));
    }

    pub(super) fn set_up_came_out(&mut self, input: Input) {
        if let Input::SetUpCompleted(attempt, came_out) = &input {
            let Some(live) = self.live.get(attempt) else {
                return;
            };
            tracing::debug!(
                attempt = attempt.0,
                server = live.server.0,
                ?came_out,
                "set-up came out"
            );
            let (name, how) = (live.name.clone(), came(came_out));
            self.came_out(*attempt, &name, how);
            let Some(live) = self.live.get(attempt) else {
                return;
            };
            if let SetUpResult::Started(_) = came_out {
                let (name, now) = (live.name.clone(), clock::now());
                let state = self.servers.entry(live.server).or_default();
                state.contact.started(*attempt, name, now);
                self.traffic.desk.session_established(attempt.0, now);
            } else {
                if let SetUpResult::Ended(crankpaddle_front::AttemptOutcome::ConnectFailed, _) =
                    came_out
                {
                    self.traffic.desk.server_lost(live.server.0);
                }
                self.release(*attempt, false);
            }
        }
        self.tell_core(input);
    }

    pub(super) fn last_word(&mut self, attempt: AttemptId, sent: u64) {
        self.traffic
            .desk
            .final_bytes_counted(attempt.0, sent, clock::now());
    }

    pub(super) fn over_at_server(
        &mut self,
        attempt: AttemptId,
        outcome: crankpaddle_front::AttemptOutcome,
        lost: bool,
    ) {
        self.tell_core(Input::SessionEnded(attempt, outcome, Vec::new()));
        // An end that overtook its answer belongs to an attempt that is still out; it is released with that.
        let plays = self.live.get(&attempt).map(|l| l.server);
        let plays = plays
            .and_then(|s| self.servers.get(&s))
            .is_some_and(|s| s.contact.plays(attempt));
        if plays {
            self.release(attempt, lost);
        }
    }

    pub(super) fn lose(&mut self, attempts: Vec<AttemptId>) {
        for attempt in attempts {
            self.over_at_server(attempt, crankpaddle_front::AttemptOutcome::Reset, true);
        }
    }

    /// An attempt or session is no more at its server; `lost`: the server is gone with it.
    pub(super) fn release(&mut self, attempt: AttemptId, lost: bool) -> Option<Live> {
        let live = self.live.remove(&attempt)?;
        self.names.remove(&live.name);
        self.came_out(attempt, &live.name, AttemptResult::Ended);
        self.traffic
            .desk
            .attempt_ended(attempt.0, lost, clock::now());
        if let Some(state) = self.servers.get_mut(&live.server) {
            state.contact.ended(attempt);
        }
        if live.link.held.fetch_sub(1, Ordering::AcqRel) == 1 {
            live.link.idle_since.store(clock::now(), Ordering::Release);
        }
        Some(live)
    }

    pub(super) fn list(&mut self, kind: EndpointListKind, list: &EndpointListBody) {
        if !self.held.apply(kind, list) {
            return;
        }
        self.cache.keep(self.held.text());
        tracing::info!(
            ?kind,
            serial = list.serial,
            entries = list.servers.len(),
            "list"
        );
        let listings = self.listings(&list.servers);
        self.roster(kind, listings);
    }

    pub(super) fn listings(&self, entries: &[list::EndpointEntry]) -> Vec<Endpoint> {
        let config = &self.shared.config;
        let read = |entry: &list::EndpointEntry| {
            let listing = entry.to_endpoint(&config.zones, &config.kinds);
            if listing.is_none() {
                tracing::warn!(
                    server = entry.id,
                    zone = entry.zone,
                    kind = entry.kind,
                    "unknown zone or kind"
                );
            }
            listing
        };
        entries.iter().filter_map(read).collect()
    }

    pub(super) fn roster(&mut self, kind: EndpointListKind, listings: Vec<Endpoint>) {
        for listing in &listings {
            let address = self
                .held
                .servers()
                .iter()
                .find(|e| e.id == listing.server.0)
                .map(|e| e.address);
            let state = self.servers.entry(listing.server).or_default();
            self.traffic.desk.endpoint_listed(
                listing.server.0,
                listing.zone,
                listing.lifecycle != Lifecycle::Removed,
            );
            let known = state.link.as_ref().map(|l| l.address);
            if let Some(address) =
                address.filter(|a| known != Some(*a) && listing.lifecycle != Lifecycle::Removed)
            {
                state.link = Some(Link::new(&self.shared, listing.server, address));
            }
        }
        if matches!(kind, EndpointListKind::Full | EndpointListKind::Cached) {
            let named = listings.iter().map(|l| l.server.0).collect();
            self.traffic.desk.retain_endpoints(&named);
        }
        if !self.waits_for_servers(kind, &listings) {
            self.tell_core(Input::EndpointList(kind, listings));
        }
    }
}

/// What the outcome of a set-up proves.
fn came(came_out: &SetUpResult) -> AttemptResult {
    match came_out {
        SetUpResult::Started(_) => AttemptResult::Established,
        SetUpResult::Ended(outcome, _) if keys::never_ran(*outcome) => AttemptResult::NeverRan,
        SetUpResult::Ended(..) => AttemptResult::Ended,
    }
}
