//! Links to servers: where a set-up is written, and what becomes of it when they break.
use super::*;

impl Link {
    /// Whether it came up and stands, as far as the kernel knows.
    fn is_up(&self) -> bool {
        self.outbox.as_ref().is_some_and(|outbox| outbox.socket().is_open())
    }
}

impl Hub {
    pub(super) fn set_up(&mut self, attempt: AttemptId, server: ServerId, order: &Order, until: Time) {
        let player = Tag::parse(&order.key).and_then(|tag| self.tags.get(&tag).copied());
        let Some((player, session)) = player.and_then(|p| Some((p, self.sessions.get_mut(&p)?))) else {
            return;
        };
        let Some(at) = self.servers.get_mut(&server) else {
            return self.tell_core(Input::SetUp(attempt, SetUp::Ended(Outcome::Moot, Report::new())));
        };
        let tag = session.tag;
        at.held.insert(tag, attempt);
        at.abandoned.remove(&tag);
        let rung = order.rung;
        let live =
            Live { player, tag, server, link: None, rung, until, sent: None, answered: false, tries: 0 };
        self.live.insert(attempt, live);
        self.dispatch(attempt);
    }

    /// Finds a link for a set-up that was not written yet. Danger: a connection may be reset right when it is new, and the
    /// server be taken for one that can't be connected to; so that is tried once more.
    pub(super) fn dispatch(&mut self, attempt: AttemptId) {
        let Some(live) = self.live.get_mut(&attempt) else { return };
        let server = live.server;
        live.tries += 1;
        if live.tries > MOST_TRIES {
            return self.set_up_ended(attempt, Outcome::ConnectFailed, Report::new());
        }
        // Each set-up has a connection of its own while there are enough: a spoilt answer then spoils no other. The one
        // used last and free; else a new one; else one that is shared.
        let free = |l: &Link| l.outbox.is_some() && l.open.is_empty() && l.stale.is_none();
        while let Some(link) = self.link_of(server, free) {
            if self.write_set_up(attempt, link) {
                return;
            }
            self.link_down(link);
        }
        let of_server = self.servers.get(&server).map_or(0, |s| s.links.len());
        let room = self.links.len() < self.shared.budget.links && of_server < MOST_LINKS;
        if room || of_server == 0 && self.drop_idle_link() {
            if let Some(link) = self.dial(server) {
                return self.wait_for(attempt, link);
            }
        }
        // Danger: while all its links are still connecting none is up; a server that is only busy being connected to would
        // be taken for one that can't be.
        let links = self.servers.get(&server).map(|s| s.links.clone()).unwrap_or_default();
        let load = |id: &LinkId| {
            self.links.get(id).map_or((false, usize::MAX), |l| (l.outbox.is_none(), l.open.len()))
        };
        let Some(least) = links.into_iter().min_by_key(load) else {
            return self.set_up_ended(attempt, Outcome::ConnectFailed, Report::new());
        };
        if load(&least).0 {
            self.wait_for(attempt, least);
        } else if !self.write_set_up(attempt, least) {
            self.set_up_ended(attempt, Outcome::ConnectFailed, Report::new());
            self.link_down(least);
        }
    }

    /// A set-up is written when this link comes up.
    fn wait_for(&mut self, attempt: AttemptId, link: LinkId) {
        self.links.entry(link).and_modify(|l| l.open.push(attempt));
        self.live.entry(attempt).and_modify(|l| l.link = Some(link));
    }

    /// A server's link of this sort, the one used last first.
    pub(super) fn link_of(&self, server: ServerId, sort: impl Fn(&Link) -> bool) -> Option<LinkId> {
        let links = &self.servers.get(&server)?.links;
        links.iter().rev().copied().find(|id| self.links.get(id).is_some_and(&sort))
    }

    /// Writes an attempt's set-up; false if not a byte of it went out.
    pub(super) fn write_set_up(&mut self, attempt: AttemptId, id: LinkId) -> bool {
        let (Some(live), Some(link)) = (self.live.get_mut(&attempt), self.links.get_mut(&id)) else {
            return false;
        };
        let (Some(outbox), Some(session)) = (&link.outbox, self.sessions.get(&live.player)) else {
            return false;
        };
        let now = clock::now();
        let class = self.shared.config.fleet.classes.get(usize::from(session.class));
        let bytes = rtsp::set_up(&rtsp::SetUp {
            tag: live.tag,
            title: &session.title,
            class: class.map_or("", String::as_str),
            patience: (live.until.0.saturating_sub(now) / MILLISECOND).max(1),
            rung: live.rung,
            blob: &session.blob,
        });
        // Danger: what is written into a connection that was just closed may have run for all one knows.
        if !outbox.socket().is_open() || !outbox.push(&bytes) {
            return false;
        }
        tracing::trace!(tag = %live.tag, server = live.server.0, link = id.0, rung = live.rung, "set-up sent");
        (live.link, live.sent) = (Some(id), Some(now));
        link.open.push(attempt);
        if let Some(server) = self.servers.get_mut(&link.server) {
            server.links.retain(|l| *l != id);
            server.links.push(id);
        }
        true
    }

    /// An attempt that was out came to nothing.
    pub(super) fn set_up_ended(&mut self, attempt: AttemptId, outcome: Outcome, report: Report) {
        if self.drop_live(attempt).is_some() {
            self.tell_core(Input::SetUp(attempt, SetUp::Ended(outcome, report)));
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
        let Some(live) = self.drop_live(attempt) else { return };
        let Some(sent) = live.sent else { return };
        if live.answered {
            return self.send_server(server, live.link, rtsp::release(live.tag, cause::CANCELLED));
        }
        let now = clock::now();
        if let Some(at) = self.servers.get_mut(&server) {
            at.abandoned.insert(live.tag, now.saturating_add(ABANDONED_FOR));
        }
        if let Some(link) = live.link.and_then(|l| self.links.get_mut(&l)) {
            let silent =
                link.heard <= sent && now.saturating_sub(sent) > self.shared.config.fleet.connect_timeout;
            link.stale = link.stale.or(silent.then_some(now));
        }
        self.send_server(server, live.link, rtsp::give_up(live.tag));
    }

    /// Sends on this link, or on another one of the server, or on the next one that comes up.
    pub(super) fn send_server(&mut self, server: ServerId, link: Option<LinkId>, bytes: Vec<u8>) {
        let own = link.filter(|l| self.links.get(l).is_some_and(Link::is_up));
        let link = own.or_else(|| self.link_of(server, Link::is_up));
        let outbox = link.and_then(|l| self.links.get(&l)).and_then(|l| l.outbox.clone());
        if outbox.is_some_and(|outbox| outbox.push(&bytes)) {
            return;
        }
        if let Some(at) = self.servers.get_mut(&server).filter(|at| at.listed) {
            at.unsent.push_back((clock::now().saturating_add(RELEASE_FOR), bytes));
        }
    }

    pub(super) fn dial(&mut self, id: ServerId) -> Option<LinkId> {
        let server = self.servers.get_mut(&id).filter(|s| s.listed)?;
        self.last_link += 1;
        let link = LinkId(self.last_link);
        server.links.insert(0, link);
        let heard = clock::now();
        self.links.insert(link, Link { server: id, outbox: None, open: Vec::new(), heard, stale: None });
        links::dial(&self.shared, link, server.address);
        Some(link)
    }

    /// Closes a link that nothing needs, so that another can be opened; false if there is none.
    pub(super) fn drop_idle_link(&mut self) -> bool {
        let spare = self.servers.values().filter(|s| s.links.len() > 1 || s.standing == 0);
        let idle = |id: &LinkId| self.links.get(id).filter(|l| l.outbox.is_some() && l.open.is_empty());
        let oldest = spare.flat_map(|s| &s.links).filter_map(|id| Some((idle(id)?.heard, *id))).min();
        oldest.map(|(_, id)| self.link_down(id)).is_some()
    }

    pub(super) fn dialed(&mut self, id: LinkId, how: Dialed, outbox: Option<Arc<Outbox>>) {
        let now = clock::now();
        let Some(link) = self.links.get_mut(&id) else {
            // It was given up meanwhile.
            return outbox.into_iter().for_each(|outbox| outbox.socket().shut());
        };
        let server = link.server;
        tracing::trace!(link = id.0, server = server.0, ?how, "connected or not");
        let lost = self.servers.get_mut(&server).is_some_and(|s| s.health.dialed(now, how));
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
            let idle = |l: &&LinkId| **l != id && self.links.get(l).is_some_and(|l| l.open.is_empty());
            let older = self.servers.get(&server).map(|s| s.links.iter().filter(idle).copied().collect());
            let older: Vec<LinkId> = older.unwrap_or_default();
            older.into_iter().for_each(|link| self.link_down(link));
        }
        let Some(link) = self.links.get_mut(&id) else { return };
        for attempt in std::mem::take(&mut link.open) {
            let live = self.live.get(&attempt).is_some_and(|l| l.link == Some(id) && l.sent.is_none());
            if live && !self.write_set_up(attempt, id) {
                self.dispatch(attempt);
            }
        }
        let unsent = self.servers.get_mut(&server).map(|s| std::mem::take(&mut s.unsent));
        for (_, bytes) in unsent.unwrap_or_default() {
            self.send_server(server, Some(id), bytes);
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
        let Some(link) = self.links.remove(&id) else { return };
        let stands = |l: &Link| l.is_up() && l.stale.is_none();
        let lives = spoilt || !link.open.is_empty() && self.link_of(link.server, stands).is_some();
        let outcome = if lives { Outcome::Error } else { Outcome::Reset };
        tracing::trace!(link = id.0, server = link.server.0, open = link.open.len(), "a link is down");
        link.outbox.iter().for_each(|outbox| outbox.socket().shut());
        let Some(server) = self.servers.get_mut(&link.server) else { return };
        server.links.retain(|l| *l != id);
        for attempt in link.open {
            let Some(live) = self.live.get(&attempt) else { continue };
            if live.sent.is_none() {
                self.set_up_ended(attempt, Outcome::ConnectFailed, Report::new()); // It never came up.
                continue;
            }
            // Danger: the answer may have been on its way, and the session would stand there without a viewer.
            let tag = live.tag;
            self.set_up_ended(attempt, outcome, Report::new());
            self.send_server(link.server, None, rtsp::release(tag, cause::CUT));
        }
        self.watch(link.server, clock::now());
    }

    /// Sees to it that a server whose words are needed is heard.
    pub(super) fn watch(&mut self, id: ServerId, now: u64) {
        let up = self.link_of(id, |l| l.outbox.is_some() && l.stale.is_none()).is_some();
        let dialing = self.link_of(id, |l| l.outbox.is_none()).is_some();
        let Some(server) = self.servers.get_mut(&id) else { return };
        let needed = server.standing > 0 || !server.unsent.is_empty();
        if server.listed && needed && !dialing && server.health.wants_dial(now, up) {
            if self.links.len() < self.shared.budget.links || self.drop_idle_link() {
                self.dial(id);
            }
        } else if !server.listed && server.links.is_empty() {
            self.lose(id);
        }
    }

    /// All that stood at a server is no more.
    pub(super) fn lose(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.unsent.clear();
        server.abandoned.clear();
        let mut lost: Vec<AttemptId> = server.held.values().copied().collect();
        lost.retain(|a| self.live.get(a).is_some_and(|l| l.answered));
        lost.sort_unstable();
        if !lost.is_empty() {
            tracing::info!(server = id.0, sessions = lost.len(), "server lost");
        }
        for attempt in lost {
            self.drop_live(attempt);
            self.tell_core(Input::Over(attempt, Outcome::Reset, Report::new()));
        }
        self.close_links(id);
    }

    pub(super) fn close_links(&mut self, id: ServerId) {
        let links = self.servers.get(&id).map(|s| s.links.clone()).unwrap_or_default();
        links.into_iter().for_each(|link| self.link_down(link));
    }

    pub(super) fn holds(&mut self, player: PlayerId, attempt: AttemptId, server: ServerId) {
        let now = clock::now();
        let Some(session) = self.sessions.get_mut(&player) else { return };
        let tag = session.tag;
        let Some(at) = self.servers.get_mut(&server) else { return };
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
