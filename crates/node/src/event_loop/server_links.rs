//! Links to servers: where a set-up is written, and what becomes of it when they break.
use super::{
    cause, clock, rtsp, server_connector, Arc, AttemptId, AttemptOutcome, Dialed, EventLoop, Input,
    Link, LinkId, Live, LoadReport, PlayerId, ServerId, SetUpResult, Time, WriteBuffer,
    ABANDONED_FOR, RELEASE_FOR,
};

impl Link {
    /// Whether it came up and stands, as far as the kernel knows.
    fn is_up(&self) -> bool {
        self.outbox
            .as_ref()
            .is_some_and(|outbox| outbox.socket().is_open())
    }

    pub(super) fn is_connecting(&self) -> bool {
        self.outbox.is_none()
    }

    /// Whether a set-up that is written to it reaches its server now: the server answers, and has read what came before.
    pub(super) fn is_usable(&self) -> bool {
        self.stale.is_none() && self.outbox.as_ref().is_some_and(|outbox| outbox.is_empty())
    }

    /// Whether some of what was written to it has not been sent.
    fn holds_unsent(&self) -> bool {
        self.outbox
            .as_ref()
            .is_some_and(|outbox| !outbox.is_empty() || outbox.socket().unsent() > 0)
    }
}

impl EventLoop {
    /// A server's link of this sort, the one used last first.
    pub(super) fn link_of(&self, server: ServerId, sort: impl Fn(&Link) -> bool) -> Option<LinkId> {
        let links = &self.servers.get(&server)?.links;
        links
            .iter()
            .rev()
            .copied()
            .find(|id| self.links.get(id).is_some_and(&sort))
    }

    /// An attempt that was out came to nothing.
    pub(super) fn set_up_ended(
        &mut self,
        attempt: AttemptId,
        outcome: AttemptOutcome,
        report: LoadReport,
    ) {
        if self.drop_live(attempt).is_some() {
            self.tell_core(Input::SetUpCompleted(
                attempt,
                SetUpResult::Ended(outcome, report),
            ));
        }
    }

    /// Takes an attempt out of all that knows it.
    pub(super) fn drop_live(&mut self, attempt: AttemptId) -> Option<Live> {
        let live = self.live.remove(&attempt)?;
        tracing::trace!(tag = %live.tag, server = live.server.0, answered = live.answered, "attempt over");
        if let Some(server) = self.servers.get_mut(&live.server) {
            if server.held.get(&live.tag) == Some(&attempt) {
                server.held.remove(&live.tag);
            }
            server.standing -= usize::from(live.answered);
        }
        if let Some(link) = live.link.and_then(|l| self.links.get_mut(&l)) {
            link.open.retain(|a| *a != attempt);
        }
        Some(live)
    }

    /// An attempt is given up. Its server may answer all the same.
    pub(super) fn abandon(&mut self, attempt: AttemptId, server: ServerId) {
        let Some(live) = self.drop_live(attempt) else {
            return;
        };
        let Some(sent) = live.sent else { return };
        if live.answered {
            return self.send_server(server, live.link, rtsp::release(live.tag, cause::CANCELLED));
        }
        // Danger: before a server that does not read, a set-up lies here or with the kernel and would begin when the server reads
        // again, long after its viewer has gone. Closing gives up all that is open on a connection, so the close says it.
        // Harm: where others wait on the same connection it leaves behind them.
        let alone = |l: &&Link| l.open.is_empty() && l.holds_unsent();
        let unsent = live
            .link
            .filter(|id| self.links.get(id).filter(alone).is_some());
        if let Some(id) = unsent {
            self.links
                .get(&id)
                .and_then(|l| l.outbox.as_ref())
                .inspect(|outbox| outbox.socket().reset());
            return self.link_down(id);
        }
        let now = clock::now();
        if let Some(at) = self.servers.get_mut(&server) {
            at.abandoned
                .insert(live.tag, now.saturating_add(ABANDONED_FOR));
        }
        if let Some(link) = live.link.and_then(|l| self.links.get_mut(&l)) {
            let silent = link.heard <= sent
                && now.saturating_sub(sent) > self.shared.config.fleet.connect_timeout;
            link.stale = link.stale.or(silent.then_some(now));
        }
        self.send_server(server, live.link, rtsp::cancel(live.tag));
    }

    /// Sends on this link, or on another one of the server, or on the next one that comes up.
    pub(super) fn send_server(&mut self, server: ServerId, link: Option<LinkId>, bytes: Vec<u8>) {
        let own = link.filter(|l| self.links.get(l).is_some_and(Link::is_up));
        let link = own.or_else(|| self.link_of(server, Link::is_up));
        let outbox = link
            .and_then(|l| self.links.get(&l))
            .and_then(|l| l.outbox.clone());
        if outbox.is_some_and(|outbox| outbox.push(&bytes)) {
            return;
        }
        if let Some(at) = self.servers.get_mut(&server).filter(|at| at.listed) {
            at.unsent
                .push_back((clock::now().saturating_add(RELEASE_FOR), bytes));
        }
    }

    pub(super) fn dial(&mut self, id: ServerId) -> Option<LinkId> {
        let server = self.servers.get_mut(&id).filter(|s| s.listed)?;
        self.last_link += 1;
        let link = LinkId(self.last_link);
        server.links.insert(0, link);
        let heard = clock::now();
        let dialed = Link {
            server: id,
            outbox: None,
            open: Vec::new(),
            heard,
            stale: None,
            dialed: heard,
        };
        self.links.insert(link, dialed);
        server_connector::dial(&self.shared, link, server.address);
        Some(link)
    }

    /// Closes a link that nothing needs, so that another can be opened; false if there is none.
    pub(super) fn drop_idle_link(&mut self) -> bool {
        let spare = self
            .servers
            .values()
            .filter(|s| s.links.len() > 1 || s.standing == 0);
        let idle = |id: &LinkId| {
            self.links
                .get(id)
                .filter(|l| l.outbox.is_some() && l.open.is_empty())
        };
        let oldest = spare
            .flat_map(|s| &s.links)
            .filter_map(|id| Some((idle(id)?.heard, *id)))
            .min();
        oldest.map(|(_, id)| self.link_down(id)).is_some()
    }

    pub(super) fn dialed(&mut self, id: LinkId, how: Dialed, outbox: Option<Arc<WriteBuffer>>) {
        let now = clock::now();
        let Some(link) = self.links.get_mut(&id) else {
            // It was given up meanwhile.
            return outbox
                .into_iter()
                .for_each(|outbox| outbox.socket().close());
        };
        let server = link.server;
        tracing::trace!(link = id.0, server = server.0, ?how, "connected or not");
        let lost = self
            .servers
            .get_mut(&server)
            .is_some_and(|s| s.health.dialed(now, how));
        if outbox.is_none() {
            self.link_down(id);
            let up = self.link_of(server, |l| l.outbox.is_some()).is_some();
            // Danger: a process that closes its listener first may still run its sessions; its links tell.
            if lost && !(up && how == Dialed::Refused) {
                self.lose(server);
            }
            return;
        }
        (link.outbox, link.heard) = (outbox, now);
        if link.open.is_empty() {
            // It was only to see whether the server lives. Older ones with nothing out on them go: whatever made it
            // silent, this one is known to be good.
            let idle =
                |l: &&LinkId| **l != id && self.links.get(l).is_some_and(|l| l.open.is_empty());
            let older = self
                .servers
                .get(&server)
                .map(|s| s.links.iter().filter(idle).copied().collect());
            let older: Vec<LinkId> = older.unwrap_or_default();
            older.into_iter().for_each(|link| self.link_down(link));
        }
        self.released_to_leave(id);
        let unsent = self
            .servers
            .get_mut(&server)
            .map(|s| std::mem::take(&mut s.unsent));
        for (_, bytes) in unsent.unwrap_or_default() {
            self.send_server(server, Some(id), bytes);
        }
    }

    /// What waits for a link to come up leaves on it, or on another.
    fn released_to_leave(&mut self, id: LinkId) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let waits = |l: &Live| l.link == Some(id) && l.sent.is_none();
        let waiting: Vec<AttemptId> = link
            .open
            .iter()
            .copied()
            .filter(|a| self.live.get(a).is_some_and(waits))
            .collect();
        link.open.retain(|a| !waiting.contains(a));
        waiting
            .into_iter()
            .for_each(|attempt| self.is_to_leave(attempt, Some(id)));
    }

    fn connecting(&self, id: ServerId) -> Vec<LinkId> {
        let links = self.servers.get(&id).map(|s| s.links.iter().copied());
        let connecting = |id: &LinkId| self.links.get(id).is_some_and(Link::is_connecting);
        links.into_iter().flatten().filter(connecting).collect()
    }

    /// What waits for a connection to this server is decided on anew, before it comes up.
    pub(super) fn waits_no_more(&mut self, id: ServerId) {
        self.connecting(id)
            .into_iter()
            .for_each(|link| self.released_to_leave(link));
    }

    /// Connects to a server that are under way are of no use any more: what waits for them looks for another way. Danger: the
    /// address may be another server's by now, and a set-up would reach one that it may not go to.
    pub(super) fn stop_connecting(&mut self, id: ServerId) {
        for link in self.connecting(id) {
            self.released_to_leave(link);
            self.link_down(link);
        }
    }

    /// The list tells that a server began another life at `began`, or `elsewhere`: what ran in the one before is no more.
    ///
    /// Danger: a machine that vanished and came back says nothing of its former life, and its new one is heard, so that sessions
    /// of the former would stand here for ever; set-ups and releases would go out on connections to what is no more. And the list
    /// may be late: what was set up in the new life before it was told goes on. Harm: a server whose clock is ahead of ours by
    /// more than its start was late loses the sessions set up within that.
    pub(super) fn another_life(&mut self, id: ServerId, began: u64, elsewhere: bool) {
        if elsewhere {
            self.stop_connecting(id);
        }
        let former = |at: u64| elsewhere || at < began;
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.unsent.clear();
        let (links, held) = (
            server.links.clone(),
            server.held.values().copied().collect::<Vec<_>>(),
        );
        let stood = |a: &AttemptId| {
            self.live
                .get(a)
                .is_some_and(|l| l.answered && former(l.sent.unwrap_or(0)))
        };
        let mut stood: Vec<AttemptId> = held.into_iter().filter(stood).collect();
        stood.sort_unstable();
        self.are_over(id, stood);
        for link in links {
            if self
                .links
                .get(&link)
                .is_some_and(|l| !l.is_connecting() && former(l.dialed))
            {
                self.link_down(link);
            }
        }
    }

    pub(super) fn link_down(&mut self, id: LinkId) {
        self.link_ended(id, false);
    }

    /// A link is no more: what was out on it broke off, each once. `spoilt`: what came on it could not be read.
    ///
    /// Danger: a connection that breaks is how a process dies, and the module then takes its server for cold; but one
    /// connection may break, or bring noise, while the process lives. It is seen to live by what it just sent or by another
    /// connection that stands; then the set-up ends as one that the server failed. Either may have run. Harm: where a
    /// dying process closes its connections one by one, the first may be laid to the connection alone.
    pub(super) fn link_ended(&mut self, id: LinkId, spoilt: bool) {
        let Some(link) = self.links.remove(&id) else {
            return;
        };
        let stands = |l: &Link| l.is_up() && l.stale.is_none();
        let lives = spoilt || !link.open.is_empty() && self.link_of(link.server, stands).is_some();
        let outcome = if lives {
            AttemptOutcome::ServerError
        } else {
            AttemptOutcome::Reset
        };
        tracing::trace!(
            link = id.0,
            server = link.server.0,
            open = link.open.len(),
            "a link is down"
        );
        link.outbox
            .iter()
            .for_each(|outbox| outbox.socket().close());
        let Some(server) = self.servers.get_mut(&link.server) else {
            return;
        };
        server.links.retain(|l| *l != id);
        for attempt in link.open {
            let Some(live) = self.live.get(&attempt) else {
                continue;
            };
            if live.sent.is_none() {
                self.set_up_ended(attempt, AttemptOutcome::ConnectFailed, LoadReport::new()); // It never came up.
                continue;
            }
            // Danger: the answer may have been on its way, and the session would stand there without a viewer.
            let tag = live.tag;
            self.set_up_ended(attempt, outcome, LoadReport::new());
            self.send_server(link.server, None, rtsp::release(tag, cause::CUT));
        }
        self.watch(link.server, clock::now());
    }

    /// Sees to it that a server whose words are needed is heard.
    pub(super) fn watch(&mut self, id: ServerId, now: u64) {
        let up = self
            .link_of(id, |l| l.outbox.is_some() && l.stale.is_none())
            .is_some();
        let dialing = self.link_of(id, |l| l.outbox.is_none()).is_some();
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        let needed = server.standing > 0 || !server.unsent.is_empty();
        if server.listed && needed && !dialing && server.health.wants_dial(now, up) {
            if self.has_room_for_link() || self.drop_idle_link() {
                self.dial(id);
            }
        } else if !server.listed && server.links.is_empty() {
            self.lose(id);
        }
    }

    /// All that stood at a server is no more.
    pub(super) fn lose(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.unsent.clear();
        server.abandoned.clear();
        let mut lost: Vec<AttemptId> = server.held.values().copied().collect();
        lost.retain(|a| self.live.get(a).is_some_and(|l| l.answered));
        lost.sort_unstable();
        self.are_over(id, lost);
        self.close_links(id);
    }

    /// Sessions that stood at a server are no more.
    fn are_over(&mut self, id: ServerId, lost: Vec<AttemptId>) {
        if !lost.is_empty() {
            tracing::info!(server = id.0, sessions = lost.len(), "server lost");
        }
        for attempt in lost {
            self.drop_live(attempt);
            self.tell_core(Input::SessionEnded(
                attempt,
                AttemptOutcome::Reset,
                LoadReport::new(),
            ));
        }
    }

    pub(super) fn close_links(&mut self, id: ServerId) {
        let links = self
            .servers
            .get(&id)
            .map(|s| s.links.clone())
            .unwrap_or_default();
        links.into_iter().for_each(|link| self.link_down(link));
    }

    pub(super) fn holds(&mut self, player: PlayerId, attempt: AttemptId, server: ServerId) {
        let now = clock::now();
        let Some(session) = self.sessions.get_mut(&player) else {
            return;
        };
        let tag = session.tag;
        let Some(at) = self.servers.get_mut(&server) else {
            return;
        };
        at.held.insert(tag, attempt);
        at.standing += 1;
        at.health.begins(now);
        let until = Time(now);
        let live = Live {
            player,
            tag,
            server,
            link: None,
            rung: 0,
            until,
            sent: Some(now),
            answered: true,
            tries: 0,
        };
        self.live.insert(attempt, live);
    }
}
