//! Dispatches messages to their handlers, and handles those from players, operators and peers.
use super::EventLoop;
use crate::message::EventLoopMessage;
use crate::player::PlayerConnection;
use crankpaddle_config::Config;
use crankpaddle_front::{Input, PlayerId};
use crankpaddle_net::clock;
use std::sync::Arc;

impl EventLoop {
    pub(super) fn handle_message(&mut self, message: EventLoopMessage) {
        match message {
            EventLoopMessage::PlayerConnected { player } => self.player_connected(player),
            EventLoopMessage::PlayerRequest { input } => self.player_requested(input),
            EventLoopMessage::PlayerDisconnected { player } => self.player_disconnected(player),
            EventLoopMessage::SetUpCompleted { attempt, result } => {
                self.set_up_completed(attempt, result);
            }
            EventLoopMessage::Server { server, message } => {
                self.shared.server_message_dequeued();
                self.handle_server_message(server, message);
            }
            EventLoopMessage::BudgetsChanged { config } => self.budgets_changed(&config),
            EventLoopMessage::TrafficReportRequested { reply } => {
                let _ = reply.send(self.traffic.report()); // The requester may be gone.
            }
            EventLoopMessage::EndpointListReceived { kind, list } => {
                self.endpoint_list_received(kind, &list);
            }
            EventLoopMessage::EndpointListUnavailable => self.endpoint_list_unavailable(),
            EventLoopMessage::IntentWritten {
                attempt,
                is_durable,
            } => self.intent_written(attempt, is_durable),
            EventLoopMessage::FleetStatusRequested { reply } => {
                let _ = reply.send(self.fleet_status()); // The requester may be gone.
            }
            EventLoopMessage::FleetSizeChanged { fronts } => {
                self.handle_core_input(Input::FleetSizeChanged(fronts));
            }
            EventLoopMessage::DrainRequested => self.start_draining(),
        }
    }

    fn player_connected(&mut self, player: Arc<PlayerConnection>) {
        self.players.insert(player.id, player);
    }

    fn player_requested(&mut self, input: Input) {
        self.shared.request_dequeued();
        if let Input::Open { request, .. } = &input {
            self.traffic
                .controller
                .session_requested(request.class, clock::now());
            self.apply_cross_zone_policy();
        }
        self.handle_core_input(input);
    }

    fn player_disconnected(&mut self, player: PlayerId) {
        self.players.remove(&player);
        self.handle_core_input(Input::PlayerDisconnected(player));
    }

    fn budgets_changed(&mut self, config: &Config) {
        tracing::info!(budgets = config.budgets.len(), "traffic budgets changed");
        self.traffic.change_budgets(config);
        self.apply_cross_zone_policy();
    }
}
