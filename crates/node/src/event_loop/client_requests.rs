//! What viewers say and are told.
use super::{
    cause, clock, count, viewers, Answer, Call, ConnId, EventLoop, Input, Message, Notification,
    OpenRequest, Ordering, PlayerId, RejectReason, Session, SessionEndReason, SetUpParams, Tag,
    Time, LEFT_SLACK, MILLISECOND, RELEASE_FOR,
};

impl EventLoop {
    pub(super) fn viewer(&mut self, conn: ConnId, message: Message, read: u64) {
        match message {
            Message::Start(start) => self.start(conn, &start, read),
            Message::Finish { tag, cause } => self.finish(conn, tag, cause),
            Message::Echo(tag) => drop(self.say(conn, &viewers::echoed(tag))),
            Message::Idle => {}
        }
    }

    pub(super) fn start(&mut self, conn: ConnId, start: &viewers::SetUp, read: u64) {
        let tag = start.tag;
        let ask = start
            .set_up_params()
            .and_then(|ask| self.open(tag, &ask).map(|open| (ask, open)));
        if self.tags.contains_key(&tag) {
            // One that is adopted may name what is held. Else: danger, an answer by this id would be taken for that of
            // the set-up that has it, so no word is said.
            if !matches!(&ask, Ok((ask, _)) if ask.at.is_some()) {
                count(&self.shared.shed.twice);
                self.shut(conn);
            }
            return;
        }
        let (ask, open) = match ask {
            Ok(read) => read,
            Err(field) => {
                tracing::debug!(%tag, field, opts = ?start.opts, "a set-up that can't be read");
                count(&self.shared.shed.out_of_range);
                self.say(conn, &viewers::finish(tag, cause::INVALID, None));
                return;
            }
        };
        let blob = start.blob.clone().unwrap_or_default();
        let mut session = Session {
            tag,
            conn,
            class: open.class,
            title: ask.key,
            blob,
            stands: false,
        };
        if let Some(at) = &ask.at {
            let Some(server) = self.listed(at) else {
                return;
            };
            (session.conn, session.blob, session.stands) = (ConnId::default(), String::new(), true);
            let player = self.enter(session);
            return self.tell_core(Input::Adopt {
                player,
                open,
                server,
            });
        }
        let Some(of) = self.conns.get(&conn) else {
            return;
        };
        if of.open.load(Ordering::Relaxed) >= self.shared.budget.open_per_connection {
            count(&self.shared.shed.crowded);
            let advice = self.shared.config.fleet.settings.max_retry_after;
            self.say(conn, &viewers::finish(tag, cause::CONGESTION, wait(advice)));
            return;
        }
        of.open.fetch_add(1, Ordering::AcqRel);
        of.owe_until(read.saturating_add(open.max_wait));
        tracing::trace!(%tag, conn = conn.0, ask = ?start.opts, "asked");
        let player = self.enter(session);
        let call = Call { player, number: 0 };
        self.tell_core(Input::Open {
            call,
            open,
            received: Time(read),
        });
    }

    /// A session is known by its tag from now on; the player that it is to the core.
    fn enter(&mut self, session: Session) -> PlayerId {
        self.last_player += 1;
        let player = PlayerId(self.last_player);
        self.tags.insert(session.tag, player);
        self.sessions.insert(player, session);
        player
    }

    /// A set-up in the core's terms, or the field that is out of range.
    pub(super) fn open(&self, tag: Tag, ask: &SetUpParams) -> Result<OpenRequest, &'static str> {
        let fleet = &self.shared.config.fleet;
        let class = fleet
            .classes
            .iter()
            .position(|c| *c == ask.class)
            .ok_or("class")?;
        let tenant = match &ask.tenant {
            // Danger: taken for the first of them, it would be counted to who did not ask.
            None if fleet.tenants.is_empty() => 0,
            None => return Err("tenant"),
            Some(name) => fleet
                .tenants
                .iter()
                .position(|t| t == name)
                .ok_or("tenant")?,
        };
        let settings = &fleet.settings;
        let patience = ask.left.saturating_mul(MILLISECOND);
        if ask.at.is_none() && patience > fleet.deadlines[class].saturating_add(LEFT_SLACK) {
            return Err("left");
        }
        if ask.home >= settings.cells {
            return Err("home");
        }
        if ask.copies > settings.cells {
            return Err("copies");
        }
        if usize::from(ask.top) >= settings.rung_kb.len() {
            return Err("top");
        }
        Ok(OpenRequest {
            key: tag.as_str().to_owned(),
            viewer: ask.viewer,
            class: class as u8,
            tenant: tenant as u16,
            title: ask.title,
            first_cell: ask.home,
            cell_count: ask.copies,
            max_rung: ask.top,
            max_wait: patience,
            duration_hint: ask.hint.map(|ms| (ms * MILLISECOND as f64) as u64),
            is_retry: ask.again,
            is_migration: ask.moved,
        })
    }

    pub(super) fn finish(&mut self, conn: ConnId, tag: Tag, why: u16) {
        tracing::trace!(%tag, conn = conn.0, why, "a viewer ends");
        if let Some(player) = self.tags.get(&tag).copied() {
            let Some(session) = self.sessions.get(&player) else {
                return;
            };
            // Only who waits for the answer may give the set-up up; a session that stands belongs to no connection.
            if session.stands || session.conn == conn {
                self.release_cause = why;
                self.end(player);
                self.release_cause = cause::CANCELLED;
            }
        }
        self.say(conn, &viewers::finished(tag));
    }

    /// The viewer wants nothing more of this session.
    pub(super) fn end(&mut self, player: PlayerId) {
        self.forget(player);
        self.tell_core(Input::Leave(player));
    }

    pub(super) fn gone(&mut self, conn: ConnId) {
        tracing::trace!(conn = conn.0, "a viewer's connection is gone");
        let Some(gone) = self.conns.remove(&conn) else {
            return;
        };
        self.served.retain(|c| *c != conn);
        if gone.open.load(Ordering::Relaxed) == 0 {
            return; // Most that go: all sessions need not be looked at for each.
        }
        let waits = self
            .sessions
            .iter()
            .filter(|(_, s)| s.conn == conn && !s.stands)
            .map(|(p, _)| *p);
        let waits: Vec<PlayerId> = waits.collect();
        // No answer can reach these any more.
        waits.into_iter().for_each(|player| self.end(player));
    }

    pub(super) fn forget(&mut self, player: PlayerId) -> Option<Session> {
        let session = self.sessions.remove(&player)?;
        self.tags.remove(&session.tag);
        if !session.stands {
            self.answered_on(session.conn);
        }
        Some(session)
    }

    pub(super) fn answered_on(&self, conn: ConnId) {
        if let Some(conn) = self.conns.get(&conn) {
            conn.open.fetch_sub(1, Ordering::AcqRel);
            conn.used.store(clock::now(), Ordering::Relaxed);
        }
    }

    /// False if the connection is gone.
    pub(super) fn say(&mut self, conn: ConnId, bytes: &[u8]) -> bool {
        self.conns
            .get(&conn)
            .is_some_and(|conn| !conn.outbox.socket().is_closed() && conn.outbox.push(bytes))
    }

    pub(super) fn shut(&mut self, conn: ConnId) {
        if let Some(conn) = self.conns.get(&conn) {
            conn.outbox.socket().close();
        }
    }

    pub(super) fn answer(&mut self, player: PlayerId, answer: &Answer) {
        tracing::trace!(tag = ?self.sessions.get(&player).map(|s| s.tag), ?answer, "answered");
        match answer {
            Answer::Established { .. } => {
                let Some(session) = self.sessions.get_mut(&player) else {
                    return;
                };
                let (conn, bytes) = (session.conn, viewers::started(session.tag, &session.blob));
                session.stands = true;
                session.blob = String::new();
                self.answered_on(conn);
                self.served.retain(|c| *c != conn);
                self.served.push(conn);
                self.say(conn, &bytes);
            }
            Answer::Rejected(why, advice) => {
                let Some(session) = self.forget(player) else {
                    return;
                };
                let why = match why {
                    RejectReason::NoCapacity | RejectReason::CrossZoneForbidden => cause::NO_ROOM,
                    RejectReason::Overload
                    | RejectReason::TooManyPending
                    | RejectReason::ShuttingDown
                    | RejectReason::Recovering => cause::CONGESTION,
                };
                self.say(
                    session.conn,
                    &viewers::finish(session.tag, why, wait(*advice)),
                );
            }
            Answer::Failed(_) => {
                let Some(session) = self.forget(player) else {
                    return;
                };
                self.say(
                    session.conn,
                    &viewers::finish(session.tag, cause::CUT, None),
                );
            }
            // Nobody resumes or closes a session by its key here.
            Answer::Superseded | Answer::Closed | Answer::UnknownSession => {}
        }
    }

    pub(super) fn notify(&mut self, player: PlayerId, notice: Notification) {
        let bytes = |tag| match notice {
            Notification::RungChanged(_) => None, // Viewers are not told of rungs.
            Notification::SessionEnded(SessionEndReason::Finished, _) => {
                Some(viewers::finish(tag, cause::NORMAL, None))
            }
            Notification::SessionEnded(_, _) => Some(viewers::finish(tag, cause::CUT, None)),
            Notification::Migrate => Some(viewers::moved(tag)),
        };
        let Some(bytes) = self.sessions.get(&player).and_then(|s| bytes(s.tag)) else {
            return;
        };
        let Some(session) = self.forget(player) else {
            return;
        };
        tracing::trace!(tag = %session.tag, conn = session.conn.0, ?notice, "a session is over");
        self.tell_viewers(session.conn, bytes);
    }

    /// Says that a session is over, on its connection or on another. Danger: one that never had a session may be a
    /// stranger's, and the word would be lost there; so only those that had one are used, the latest first.
    pub(super) fn tell_viewers(&mut self, conn: ConnId, bytes: Vec<u8>) {
        if let Some(conn) = self.conns.get(&conn) {
            conn.owe_until(clock::now().saturating_add(RELEASE_FOR));
        }
        if self.say(conn, &bytes) {
            return;
        }
        let others: Vec<ConnId> = self.served.iter().rev().copied().collect();
        if !others.into_iter().any(|other| self.say(other, &bytes)) {
            self.unsaid
                .push_back((clock::now().saturating_add(RELEASE_FOR), bytes));
        }
    }
}

/// Advice to stay away, in the milliseconds in which viewers are told; none where there is none.
fn wait(advice: u64) -> Option<u64> {
    Some(advice / MILLISECOND).filter(|wait| *wait > 0)
}
