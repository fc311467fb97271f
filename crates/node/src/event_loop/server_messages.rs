//! What servers say.
use super::{
    cause, clock, count, cseq, rtsp, AttemptId, AttemptOutcome, EventLoop, Input, Kind, LinkId,
    Live, LoadReport, Msg, ServerId, SessionUpdate, SetUpResult, Tag,
};

impl EventLoop {
    pub(super) fn server(&mut self, id: LinkId, message: &rtsp::Message) {
        let now = clock::now();
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        (link.heard, link.stale) = (now, None);
        let server = link.server;
        let Some(at) = self.servers.get_mut(&server) else {
            return;
        };
        at.health.heard(now);
        let held = message.session.and_then(|tag| at.held.get(&tag).copied());
        tracing::trace!(link = id.0, server = server.0, tag = ?message.session, kind = ?message.kind, cseq = message.cseq,
            headers = ?message.headers, known = held.is_some(), "a server says");
        match &message.kind {
            Kind::Response(100..=199) => {}
            Kind::Response(status) => match message.cseq {
                Some(cseq::SET_UP) => self.set_up_answered(id, server, held, *status, message),
                Some(cseq::OPTIONS) => {
                    let outcome = if *status == 200 {
                        AttemptOutcome::Completed
                    } else {
                        AttemptOutcome::ServerError
                    };
                    let report = self.report(message);
                    self.tell_core(Input::HealthCheckCompleted(server, outcome, report));
                }
                _ => {} // A release was heard.
            },
            Kind::Request(method, _) => match method.as_str() {
                "ANNOUNCE" => {
                    let note = message.note().and_then(|(name, figure)| note(name, figure));
                    if let (Some(attempt), Some(note)) = (held, note) {
                        self.tell_core(Input::SessionUpdated(attempt, note));
                    }
                }
                "TEARDOWN" => {
                    let cseq = message.cseq.unwrap_or(cseq::TEAR_DOWN);
                    self.send_server(server, Some(id), rtsp::acknowledge(cseq, message.session));
                    if let Some(attempt) = held {
                        self.released(attempt, message);
                    }
                }
                _ => {}
            },
        }
    }

    fn set_up_answered(
        &mut self,
        link: LinkId,
        server: ServerId,
        held: Option<AttemptId>,
        status: u16,
        message: &rtsp::Message,
    ) {
        let now = clock::now();
        let out = |l: &Live| !l.answered && l.link == Some(link);
        let Some(attempt) = held.filter(|a| self.live.get(a).is_some_and(out)) else {
            // One that was given up and is set up all the same must not go on. Anything else under an id that nobody
            // waits for, or a second copy, is dropped.
            let tag = message.session.filter(|_| held.is_none() && status == 200);
            let at = self.servers.get_mut(&server);
            let late = tag
                .zip(at)
                .and_then(|(tag, at)| at.abandoned.remove(&tag).map(|_| tag));
            if let Some(tag) = late {
                return self.send_server(server, Some(link), rtsp::release(tag, cause::CANCELLED));
            }
            return count(&self.shared.shed.stray);
        };
        let report = self.report(message);
        if status != 200 {
            let outcome = match status {
                453 => AttemptOutcome::Rejected,
                454 => AttemptOutcome::NotSent,
                504 => AttemptOutcome::Reset,
                _ => AttemptOutcome::ServerError,
            };
            return self.set_up_ended(attempt, outcome, report);
        }
        let Some(text) = message.text() else {
            // It ran, but what it says can't be passed on in a viewer's line.
            count(&self.shared.shed.broken_links);
            return self.link_ended(link, true);
        };
        // Danger: what the viewer is told must be the server's words on every way out of here that says it stands; on the one
        // for sessions that were over already it was the viewer's own words back, and the session counted as never answered.
        let player = self.live.get(&attempt).map(|live| live.player);
        if let Some(session) = player.and_then(|player| self.sessions.get_mut(&player)) {
            session.blob = text.to_owned();
        }
        // Danger: a session may be over when its answer is read: a viewer leaves a stream that is served far too little at
        // once, and the release comes right behind the answer. 'It stands' would then reach a viewer who has gone, which
        // counts as no answer at all. Harm: only what was read together is seen.
        if let Some((outcome, last)) = self.release_behind(server, message.session) {
            self.tell_core(Input::SessionEnded(attempt, outcome, last));
            self.tell_core(Input::SetUpCompleted(attempt, SetUpResult::Started(report)));
            self.drop_live(attempt);
            return;
        }
        let Some(live) = self.live.get_mut(&attempt) else {
            return;
        };
        live.answered = true;
        if let Some(link) = self.links.get_mut(&link) {
            link.open.retain(|a| *a != attempt);
        }
        if let Some(at) = self.servers.get_mut(&server) {
            at.standing += 1;
            at.health.begins(now);
        }
        self.tell_core(Input::SetUpCompleted(attempt, SetUpResult::Started(report)));
    }

    /// The release of this session by its server, if it was read together with what is being heard now.
    fn release_behind(
        &self,
        server: ServerId,
        session: Option<Tag>,
    ) -> Option<(AttemptOutcome, LoadReport)> {
        let of_server = |link| self.links.get(link).is_some_and(|l| l.server == server);
        let read = self.read.iter().filter_map(|msg| match msg {
            Msg::Server(link, messages) if of_server(link) => Some(messages),
            _ => None,
        });
        let release = read
            .flatten()
            .find(|m| m.session == session && m.is_release())?;
        Some((over(release), self.report(release)))
    }

    /// A server releases a session.
    fn released(&mut self, attempt: AttemptId, message: &rtsp::Message) {
        let Some(live) = self.live.get(&attempt) else {
            return;
        };
        let (player, report) = (live.player, self.report(message));
        if !live.answered {
            return self.set_up_ended(attempt, AttemptOutcome::Reset, report);
        }
        let outcome = over(message);
        self.drop_live(attempt);
        if outcome == AttemptOutcome::Cancelled {
            self.forget(player); // Its viewer ended it, or it was moved: no release is owed.
        }
        self.tell_core(Input::SessionEnded(attempt, outcome, report));
    }

    /// The figures of a message's report that the settings name, in their order.
    fn report(&self, message: &rtsp::Message) -> LoadReport {
        let figures = message.state();
        let fields = &self.shared.config.fleet.fields;
        let figure = |name: &str| figures.iter().find(|(n, _)| *n == name).map(|(_, v)| *v);
        fields
            .iter()
            .filter_map(|(name, field)| Some((*field, figure(name)?)))
            .collect()
    }
}

/// How a session that stood came to its end.
fn over(release: &rtsp::Message) -> AttemptOutcome {
    match release.cause() {
        Some(cause::NORMAL) => AttemptOutcome::Completed,
        Some(cause::CANCELLED) => AttemptOutcome::Cancelled,
        _ => AttemptOutcome::Reset,
    }
}

fn note(name: &str, figure: f64) -> Option<SessionUpdate> {
    Some(match name {
        "served" => SessionUpdate::DeliveryRatio(figure),
        "at_rung" => SessionUpdate::Rung(figure.clamp(0.0, 255.0).round() as u8),
        "link_use" => SessionUpdate::LinkDemand(figure),
        "rack_use" => SessionUpdate::UplinkDemand(figure),
        _ => return None,
    })
}
