//! What is to be done, carried out.
use super::{EventLoop, Live};
use crate::attempt_sender::Out;
use crate::shared::Msg;
use crankpaddle_front::{
    Answer, AttemptId, Call, Input, Notification, Output, PlayerId, RequestId, ServerId,
    SetUpOrder, SetUpResult,
};
use crankpaddle_net::clock;
use crankpaddle_server_protocol::sessions;
use crankpaddle_session_api::answers;
use std::sync::atomic::Ordering;
use std::sync::Arc;

impl EventLoop {
    pub(super) fn carry_out(&mut self) {
        let mut effects = std::mem::take(&mut self.effects);
        for effect in effects.drain(..) {
            match effect {
                Output::Answer(call, answer) => self.answer(call, &answer),
                Output::Notify(player, session, notice) => self.notify(player, session, notice),
                Output::StartSetUp {
                    attempt,
                    request,
                    number,
                    server,
                    order,
                    ..
                } => {
                    self.set_up(attempt, request, number, server, &order);
                }
                Output::SessionAdopted { .. } => {} // Nothing is adopted here.
                Output::FoundSessionHandled { token, attempt, .. } => self.found(token, attempt),
                Output::StageReached(stage, why) => self.stepped(stage, why),
                Output::AbandonAttempt(attempt, server) => {
                    tracing::info!(attempt = attempt.0, server = server.0, "abandoned");
                    if let Some(live) = self.release(attempt, false) {
                        live.out.abandon();
                        // It may have been set up all the same, or still be.
                        live.link.tear_down(&self.shared, &live.name);
                    }
                }
                Output::SetRung(attempt, server, rung) => {
                    tracing::info!(attempt = attempt.0, server = server.0, rung, "rung");
                    self.traffic
                        .desk
                        .rung_changed(attempt.0, rung, clock::now());
                    if let Some(live) = self.live.get(&attempt) {
                        live.link.set_rung(&self.shared, &live.name, rung);
                    }
                }
                Output::TearDown(attempt, server) => {
                    tracing::debug!(attempt = attempt.0, server = server.0, "torn down");
                    if let Some(live) = self.release(attempt, false) {
                        live.link.tear_down(&self.shared, &live.name);
                    }
                }
                // The list comes unasked, and servers are not probed: the settings say so.
                Output::HealthCheck(_) | Output::SubscribeEndpoints | Output::FetchEndpoints => {}
                Output::Log(line) => tracing::debug!(line, "module"),
            }
        }
        self.effects = effects;
    }

    pub(super) fn answer(&mut self, call: Call, answer: &Answer) {
        let (mut media, mut hall) = (String::new(), "");
        match answer {
            Answer::Established {
                session,
                attempt,
                server,
                rung,
            } => {
                if let Some(live) = self.live.get(attempt) {
                    media = format!(
                        "http://{}{}",
                        live.link.address,
                        sessions::media_path(&live.name)
                    );
                    hall = self.traffic.hall(live.server);
                }
                let (request, attempt, server) = (session.0, attempt.0, server.0);
                tracing::info!(
                    request,
                    attempt,
                    server,
                    rung,
                    player = call.player.0,
                    "plays"
                );
            }
            Answer::Closed => tracing::debug!(player = call.player.0, call = call.number, "closed"),
            other => {
                tracing::info!(player = call.player.0, call = call.number, answer = ?other, "answered");
            }
        }
        if let Some(player) = self.players.get(&call.player) {
            let session = if let Answer::Established { session, .. } = answer {
                Some(*session)
            } else {
                None
            };
            let version = player.version;
            player.answer(call.number, session, |id| {
                answers::answer(version, id, answer, &media, hall)
            });
        }
    }

    pub(super) fn notify(&mut self, player: PlayerId, session: RequestId, notice: Notification) {
        tracing::debug!(player = player.0, request = session.0, ?notice, "told");
        if let Some(player) = self.players.get(&player) {
            player.notify(session, answers::notice(session, notice));
        }
    }

    pub(super) fn set_up(
        &mut self,
        attempt: AttemptId,
        request: RequestId,
        number: u8,
        server: ServerId,
        order: &SetUpOrder,
    ) {
        let (id, rung, request) = (server.0, order.rung, request.0);
        tracing::info!(
            request,
            attempt = attempt.0,
            number,
            server = id,
            rung,
            class = order.class,
            "set-up"
        );
        let Some(link) = self.servers.get(&server).and_then(|s| s.link.clone()) else {
            // Listed without an address here: nothing can be sent.
            let moot = SetUpResult::Ended(crankpaddle_front::AttemptOutcome::NotSent, Vec::new());
            self.shared
                .tell(Msg::Server(Input::SetUpCompleted(attempt, moot)));
            return;
        };
        let config = &self.shared.config;
        let name = self.shared.names.attempt(attempt);
        let of_names = |names: &[String], n: usize| names.get(n).cloned().unwrap_or_default();
        let body = sessions::SetUpBody {
            front: self.shared.names.front().to_owned(),
            bill: order.key.clone(),
            title: self.titles.get(&order.title).cloned().unwrap_or_default(),
            class: of_names(&config.classes, usize::from(order.class)),
            tenant: of_names(&config.tenants, usize::from(order.tenant)),
            rung: order.rung,
            zone: of_names(&config.zones, usize::from(config.settings.zone)),
        };
        let bytes = sessions::set_up(&link.address.to_string(), &name, &body);
        let out = Arc::new(Out::default());
        link.held.fetch_add(1, Ordering::AcqRel);
        link.subscribe(&self.shared);
        self.names.insert(name.clone(), attempt);
        self.traffic.attempt(attempt, number, server, order);
        let address = link.address;
        self.live.insert(
            attempt,
            Live {
                server,
                name,
                link,
                out: out.clone(),
            },
        );
        self.send(attempt, server, order, address, bytes, out);
    }
}
