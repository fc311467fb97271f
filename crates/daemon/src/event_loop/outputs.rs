//! Performs the core's decisions: answers, notifications, set-ups, rung changes and teardowns.
use super::{EventLoop, LiveAttempt};
use crate::attempt_sender::{AttemptHandle, SetUpRequest};
use crate::config_lookup::name_at;
use crate::message::EventLoopMessage;
use crate::server_link::ServerLink;
use crankpaddle_cross_zone_traffic::traffic_controller::AttemptEnd;
use crankpaddle_front::{
    Answer, AttemptId, AttemptOutcome, Notification, Output, PlayerCall, PlayerId, RequestId,
    ServerId, SetUpOrder, SetUpResult,
};
use crankpaddle_net::clock;
use crankpaddle_server_protocol::sessions;
use crankpaddle_session_api::answers::{self, SessionLocation};
use std::sync::Arc;

/// A set-up that the core ordered.
struct OrderedSetUp {
    attempt: AttemptId,
    request: RequestId,
    /// The attempt's number within its request.
    attempt_number: u8,
    server: ServerId,
    order: SetUpOrder,
}

impl EventLoop {
    /// Performs the queued outputs in their order. If performing one makes the core queue more, they are performed
    /// before the next one, by a nested call of this method.
    pub(super) fn perform_outputs(&mut self) {
        let mut outputs = std::mem::take(&mut self.outputs);
        for output in outputs.drain(..) {
            self.perform_output(output);
        }
        self.outputs = outputs; // Reuses the allocation.
    }

    fn perform_output(&mut self, output: Output) {
        match output {
            Output::Answer(call, answer) => self.answer_call(call, &answer),
            Output::Notify(player, session, notification) => {
                self.notify_player(player, session, notification);
            }
            Output::StartSetUp {
                attempt,
                request,
                number,
                server,
                order,
                ..
            } => self.start_set_up(&OrderedSetUp {
                attempt,
                request,
                attempt_number: number,
                server,
                order,
            }),
            Output::SessionAdopted { .. } => {} // Follows only from inputs that this crate never sends.
            Output::FoundSessionHandled { token, attempt, .. } => {
                self.found_session_handled(token, attempt);
            }
            Output::StageReached(stage, evidence) => self.recovery_stage_reached(stage, evidence),
            Output::AbandonAttempt(attempt, server) => self.abandon_attempt(attempt, server),
            Output::SetRung(attempt, server, rung) => self.set_rung(attempt, server, rung),
            Output::TearDown(attempt, server) => self.tear_down(attempt, server),
            // Endpoint lists arrive without a request, and health checks are disabled in the settings.
            Output::HealthCheck(_) | Output::SubscribeEndpoints | Output::FetchEndpoints => {}
            Output::Log(line) => tracing::debug!(line, "placement policy message"),
        }
    }

    fn answer_call(&mut self, call: PlayerCall, answer: &Answer) {
        log_answer(call, answer);
        let mut established = None;
        let mut media_url = String::new();
        let mut zone = "";
        if let Answer::Established {
            session, attempt, ..
        } = answer
        {
            established = Some(*session);
            if let Some(live) = self.attempts.get(attempt) {
                let path = sessions::media_path(&live.name);
                media_url = format!("http://{}{path}", live.link.address);
                zone = self.traffic.zone_name(live.server);
            }
        }
        let location = SessionLocation {
            media: &media_url,
            zone,
        };
        if let Some(player) = self.players.get(&call.player) {
            let version = player.version;
            player.answer(call.number, established, |id| {
                answers::answer(version, id, answer, location)
            });
        }
    }

    fn notify_player(&mut self, player: PlayerId, session: RequestId, notification: Notification) {
        tracing::debug!(
            player_id = player.0,
            request_id = session.0,
            notification = ?notification.log_text(),
            "player notified"
        );
        if let Some(player) = self.players.get(&player) {
            player.notify(session, answers::notification(session, notification));
        }
    }

    fn start_set_up(&mut self, set_up: &OrderedSetUp) {
        let OrderedSetUp {
            attempt,
            server,
            order,
            ..
        } = set_up;
        tracing::info!(
            request_id = set_up.request.0,
            attempt_id = attempt.0,
            attempt_number = set_up.attempt_number,
            server_id = server.0,
            rung = order.rung,
            class = order.class,
            "set-up started"
        );
        let state = self.servers.get(server);
        let Some(link) = state.and_then(|state| state.link.clone()) else {
            // No endpoint list gave the server's address, so nothing can be sent.
            self.shared.send(EventLoopMessage::SetUpCompleted {
                attempt: *attempt,
                result: SetUpResult::Ended(AttemptOutcome::NotSent, Vec::new()),
            });
            return;
        };
        let name = self.shared.names.attempt_name(*attempt);
        let body = self.set_up_body(order);
        let request = SetUpRequest {
            address: link.address,
            bytes: sessions::set_up(&link.address.to_string(), &name, &body),
            handle: Arc::default(),
        };
        let handle = request.handle.clone();
        link.attempt_added(&self.shared);
        self.attempt_ids.insert(name.clone(), *attempt);
        self.traffic
            .attempt_started(*attempt, set_up.attempt_number, *server, order);
        self.track_attempt(*attempt, *server, name, link, handle);
        self.send_attempt(*attempt, *server, order, request);
    }

    pub(super) fn track_attempt(
        &mut self,
        attempt: AttemptId,
        server: ServerId,
        name: String,
        link: Arc<ServerLink>,
        handle: Arc<AttemptHandle>,
    ) {
        let live = LiveAttempt {
            server,
            name,
            link,
            handle,
        };
        self.attempts.insert(attempt, live);
    }

    fn set_up_body(&self, order: &SetUpOrder) -> sessions::SetUpBody {
        let config = &self.shared.config;
        let title = self.title_names.get(&order.title);
        sessions::SetUpBody {
            front: self.shared.names.front_name().to_owned(),
            bill: order.key.clone(),
            title: title.cloned().unwrap_or_default(),
            class: name_at(&config.classes, usize::from(order.class)),
            tenant: name_at(&config.tenants, usize::from(order.tenant)),
            rung: order.rung,
            zone: name_at(&config.zones, usize::from(config.settings.zone)),
        }
    }

    fn abandon_attempt(&mut self, attempt: AttemptId, server: ServerId) {
        tracing::info!(
            attempt_id = attempt.0,
            server_id = server.0,
            "attempt abandoned"
        );
        if let Some(live) = self.release(attempt, AttemptEnd::Completed) {
            live.handle.abandon();
            // The server may have set up the session before it saw the connection close, or may still do so.
            live.link.tear_down(&self.shared, &live.name);
        }
    }

    fn set_rung(&mut self, attempt: AttemptId, server: ServerId, rung: u8) {
        tracing::info!(
            attempt_id = attempt.0,
            server_id = server.0,
            rung,
            "rung changed"
        );
        self.traffic
            .controller
            .rung_changed(attempt.0, rung, clock::now());
        if let Some(live) = self.attempts.get(&attempt) {
            live.link.set_rung(&self.shared, &live.name, rung);
        }
    }

    fn tear_down(&mut self, attempt: AttemptId, server: ServerId) {
        tracing::debug!(
            attempt_id = attempt.0,
            server_id = server.0,
            "session torn down"
        );
        if let Some(live) = self.release(attempt, AttemptEnd::Completed) {
            live.link.tear_down(&self.shared, &live.name);
        }
    }
}

fn log_answer(call: PlayerCall, answer: &Answer) {
    let player_id = call.player.0;
    let call_id = call.number;
    match answer {
        Answer::Established {
            session,
            attempt,
            server,
            rung,
        } => tracing::info!(
            request_id = session.0,
            attempt_id = attempt.0,
            server_id = server.0,
            rung,
            player_id,
            "session established"
        ),
        Answer::Closed => tracing::debug!(player_id, call_id, "session closed"),
        other => tracing::info!(player_id, call_id, answer = ?other.log_text(), "request answered"),
    }
}
