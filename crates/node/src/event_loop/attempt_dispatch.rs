//! How a set-up leaves: looked at once more, given a connection, written.
//!
//! An attempt that the module decides on joins those that are to leave; so does one whose connection came about. They leave after
//! all that was heard has been decided on, each looked at right before: whether its viewer still waits, as far as the kernel
//! knows, and whether the module still lets it go.
use super::{
    clock, rtsp, AttemptId, AttemptOutcome, EventLoop, Input, LinkId, Live, LoadReport, Ordering,
    Peer, ServerId, SetUpOrder, SetUpResult, Tag, Time, MILLISECOND, MOST_LINKS, MOST_TRIES,
};

/// An attempt that is to leave.
pub(super) struct Leaving {
    attempt: AttemptId,
    link: Option<LinkId>, // That came about for it.
    since: u64,           // It was ready to leave.
}

/// While more of its viewer's connection is to be read, a set-up is held back for so long: a tenth of a second after a viewer
/// has gone none may begin, and what he says last may lie behind much else.
const HOLD: u64 = 50 * MILLISECOND;
/// Held back set-ups are looked at again after this time, in which all sockets get a turn.
pub(super) const LOOK_AGAIN: u64 = MILLISECOND;
/// Descriptors of links that are being closed, beyond those that may be held.
const CLOSING: usize = 8;

/// What becomes of a set-up that is ready to leave.
enum Next {
    Leaves,
    IsHeld,
    IsTakenBack,
}

impl EventLoop {
    pub(super) fn set_up(
        &mut self,
        attempt: AttemptId,
        server: ServerId,
        order: &SetUpOrder,
        until: Time,
    ) {
        let player = Tag::parse(&order.key).and_then(|tag| self.tags.get(&tag).copied());
        let Some((player, session)) = player.and_then(|p| Some((p, self.sessions.get_mut(&p)?)))
        else {
            return;
        };
        let Some(at) = self.servers.get_mut(&server) else {
            return self.tell_core(Input::SetUpCompleted(
                attempt,
                SetUpResult::Ended(AttemptOutcome::NotSent, LoadReport::new()),
            ));
        };
        let tag = session.tag;
        at.held.insert(tag, attempt);
        at.abandoned.remove(&tag);
        let rung = order.rung;
        let live = Live {
            player,
            tag,
            server,
            link: None,
            rung,
            until,
            sent: None,
            answered: false,
            tries: 0,
        };
        self.live.insert(attempt, live);
        self.is_to_leave(attempt, None);
    }

    /// It leaves once all that was heard was decided on, on this link if it is good.
    pub(super) fn is_to_leave(&mut self, attempt: AttemptId, link: Option<LinkId>) {
        self.live.entry(attempt).and_modify(|l| l.link = None);
        self.leaving.push_back(Leaving {
            attempt,
            link,
            since: clock::now(),
        });
    }

    /// Lets leave what is ready to.
    ///
    /// Danger: between the decision and the first byte a viewer may close or cancel, a server drain or restart, a turn at a cold
    /// one pass: connections take up to a second to come about, and decisions on a flood of requests a good part of one on a small
    /// share of a core. What has not left has not run, so it is taken back for nothing. Harm: what crosses a viewer's last word on
    /// the network leaves all the same.
    pub(super) fn leave(&mut self) {
        for _ in 0..self.leaving.len() {
            let Some(ready) = self.leaving.pop_front() else {
                return;
            };
            match self.next(&ready) {
                None => {} // It was given up.
                Some(Next::Leaves) => self.dispatch(ready.attempt, ready.link),
                Some(Next::IsHeld) => self.leaving.push_back(ready),
                Some(Next::IsTakenBack) => {
                    tracing::debug!(attempt = ready.attempt.0, "taken back before it left");
                    self.set_up_ended(ready.attempt, AttemptOutcome::NotSent, LoadReport::new());
                }
            }
        }
    }

    fn next(&self, ready: &Leaving) -> Option<Next> {
        let live = self.live.get(&ready.attempt).filter(|l| l.sent.is_none())?;
        let now = clock::now();
        if !self.core.may_send(Time(now), ready.attempt) {
            return Some(Next::IsTakenBack);
        }
        let conn = self.conns.get(&self.sessions.get(&live.player)?.conn)?;
        let more = conn.unheard.load(Ordering::Acquire) > 0;
        Some(match conn.outbox.socket().peer_state() {
            Peer::Ended => Next::IsHeld, // Its reader is about to find that it ended.
            Peer::Quiet if !more => Next::Leaves,
            _ if now >= ready.since.saturating_add(HOLD) => Next::Leaves,
            _ => Next::IsHeld,
        })
    }

    /// Finds a link for a set-up that was not written yet. Danger: a connection may be reset right when it is new, and the
    /// server be taken for one that can't be connected to; so that is tried once more.
    fn dispatch(&mut self, attempt: AttemptId, link: Option<LinkId>) {
        if link.is_some_and(|link| self.write_set_up(attempt, link)) {
            return;
        }
        let Some(live) = self.live.get_mut(&attempt) else {
            return;
        };
        let server = live.server;
        live.tries += 1;
        if live.tries > MOST_TRIES {
            return self.set_up_ended(attempt, AttemptOutcome::ConnectFailed, LoadReport::new());
        }
        // Each set-up has a connection of its own while there are enough: a spoilt answer then spoils no other. The one
        // used last and free; else a new one; else one that is shared.
        while let Some(link) = self.link_of(server, |l| l.is_usable() && l.open.is_empty()) {
            if self.write_set_up(attempt, link) {
                return;
            }
            self.link_down(link);
        }
        let of_server = self.servers.get(&server).map_or(0, |s| s.links.len());
        let room = self.has_room_for_link() && of_server < MOST_LINKS;
        if room || of_server == 0 && self.drop_idle_link() {
            if let Some(link) = self.dial(server) {
                return self.wait_for(attempt, link);
            }
        }
        // Danger: while all its links are still connecting none is up; a server that is only busy being connected to would
        // be taken for one that can't be. One that does not read what was written before takes nothing more: it would leave when
        // the server reads again, whatever has become of its viewer.
        let links = self
            .servers
            .get(&server)
            .map(|s| s.links.clone())
            .unwrap_or_default();
        let takes = |id: &LinkId| {
            self.links
                .get(id)
                .is_some_and(|l| l.is_connecting() || l.is_usable())
        };
        let load = |id: &LinkId| {
            self.links
                .get(id)
                .map_or((false, usize::MAX), |l| (l.is_connecting(), l.open.len()))
        };
        let Some(least) = links.into_iter().filter(takes).min_by_key(load) else {
            return self.set_up_ended(attempt, AttemptOutcome::ConnectFailed, LoadReport::new());
        };
        if load(&least).0 {
            self.wait_for(attempt, least);
        } else if !self.write_set_up(attempt, least) {
            self.set_up_ended(attempt, AttemptOutcome::ConnectFailed, LoadReport::new());
            self.link_down(least);
        }
    }

    /// Whether another connection to a server may be opened; those that are being closed hold their descriptors still.
    ///
    /// Danger: connects that were given up hold theirs until their time is over; forgotten, as where a list replaces many servers
    /// at once, they would take those of viewers.
    pub(super) fn has_room_for_link(&self) -> bool {
        let held = self.shared.links.load(Ordering::Relaxed);
        self.links.len() < self.shared.budget.links && held < self.shared.budget.links + CLOSING
    }

    /// A set-up is written when this link comes up.
    fn wait_for(&mut self, attempt: AttemptId, link: LinkId) {
        self.links.entry(link).and_modify(|l| l.open.push(attempt));
        self.live.entry(attempt).and_modify(|l| l.link = Some(link));
    }

    /// Writes an attempt's set-up; false if not a byte of it went out.
    fn write_set_up(&mut self, attempt: AttemptId, id: LinkId) -> bool {
        let (Some(live), Some(link)) = (self.live.get_mut(&attempt), self.links.get_mut(&id))
        else {
            return false;
        };
        let (Some(outbox), Some(session)) = (&link.outbox, self.sessions.get(&live.player)) else {
            return false;
        };
        let now = clock::now();
        let class = self
            .shared
            .config
            .fleet
            .classes
            .get(usize::from(session.class));
        let bytes = rtsp::set_up(&rtsp::SetUp {
            tag: live.tag,
            title: &session.title,
            class: class.map_or("", String::as_str),
            patience: (live.until.0.saturating_sub(now) / MILLISECOND).max(1),
            rung: live.rung,
            blob: &session.blob,
        });
        // Danger: what is written into a connection that was just closed may have run for all one knows.
        if !link.is_usable() || !outbox.socket().is_open() || !outbox.push(&bytes) {
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
}
