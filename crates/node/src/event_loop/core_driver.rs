//! Passes inputs to the core and executes the outputs that it returns.
use super::server_releases::ServerRelease;
use super::EventLoop;
use crankpaddle_front::{AttemptId, Core, Input, Output, ServerId, Time};
use crankpaddle_net::clock;
use crankpaddle_node_protocol::{rtsp, Tag};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Decisions that take at least this long are logged, because servers' responses wait meanwhile.
const SLOW_DECISION_THRESHOLD: Duration = Duration::from_millis(2);
/// The session id in health checks. No viewer's set-up uses it.
const HEALTH_CHECK_SESSION: &str = "0000000000000000";

impl EventLoop {
    /// Passes an input to the core, or queues it if the core's outputs are being executed.
    ///
    /// Outputs that do not depend on the policy are executed at once. The policy decides in [`EventLoop::decide`], after all
    /// messages of the inbox were handled.
    pub(super) fn notify_core(&mut self, input: Input) {
        self.pending_inputs.push_back(input);
        if !self.is_executing_outputs {
            self.process_inputs();
        }
    }

    fn process_inputs(&mut self) {
        self.is_executing_outputs = true;
        while let Some(input) = self.pending_inputs.pop_front() {
            self.core
                .handle_input(clock::now(), input, &mut self.outputs);
            self.publish_counts(); // A viewer that gets the answer may read the counts, so they are updated first.
            self.execute_outputs();
        }
        self.is_executing_outputs = false;
    }

    /// Expires timers that are due, and lets the policy decide on all inputs that were received.
    pub(super) fn decide(&mut self) {
        let started_at = clock::now();
        self.decide_all();
        let elapsed = clock::now().duration_since(started_at);
        if elapsed >= SLOW_DECISION_THRESHOLD {
            tracing::debug!(
                elapsed_us = elapsed.as_micros(),
                pending = self.core.waiting_requests(),
                "slow decision"
            );
        }
    }

    fn decide_all(&mut self) {
        self.with_core(Core::expire);
        loop {
            while !self.pending_inputs.is_empty() {
                self.process_inputs();
                self.with_core(Core::decide);
            }
            self.is_executing_outputs = true;
            self.dispatch_queued();
            self.is_executing_outputs = false;
            // Attempts that were withdrawn or found no connection are decided on again. The loop ends because the number of
            // attempts of a request is limited.
            if self.pending_inputs.is_empty() {
                return;
            }
        }
    }

    fn with_core(&mut self, call: impl FnOnce(&mut Core, Time, &mut Vec<Output>)) {
        self.is_executing_outputs = true;
        call(&mut self.core, clock::now(), &mut self.outputs);
        self.publish_counts();
        self.execute_outputs();
        self.is_executing_outputs = false;
    }

    fn publish_counts(&self) {
        self.shared
            .waiting
            .store(self.core.waiting_requests(), Ordering::Relaxed);
        self.shared
            .playing
            .store(self.core.playing_sessions(), Ordering::Relaxed);
    }

    fn execute_outputs(&mut self) {
        let mut outputs = std::mem::take(&mut self.outputs);
        for output in outputs.drain(..) {
            self.execute_output(output);
        }
        self.outputs = outputs;
    }

    fn execute_output(&mut self, output: Output) {
        match output {
            Output::Answer(call, answer) => self.send_answer(call.player, &answer),
            Output::Notify(player, _, notification) => self.notify_viewer(player, notification),
            Output::StartSetUp {
                attempt,
                server,
                order,
                deadline,
                ..
            } => self.start_attempt(attempt, server, &order, deadline),
            Output::SessionAdopted {
                player,
                attempt,
                server,
            } => self.adopt(player, attempt, server),
            Output::FoundSessionHandled { .. } | Output::StageReached(..) => {} // For fronts that persist sessions.
            Output::AbandonAttempt(attempt, server) => self.abandon_attempt(attempt, server),
            Output::SetRung(attempt, server, rung) => self.set_rung(attempt, server, rung),
            Output::TearDown(attempt, server) => self.tear_down(attempt, server),
            Output::HealthCheck(server) => self.check_health(server),
            Output::SubscribeEndpoints | Output::FetchEndpoints => {} // The directory is polled in any case.
            Output::Log(line) => tracing::info!(line, "placement policy message"),
        }
    }

    fn set_rung(&mut self, attempt: AttemptId, server: ServerId, rung: u8) {
        let Some(record) = self.attempts.get(&attempt) else {
            return;
        };
        let link = record.state.link();
        let message = rtsp::set_rung(record.session_id, rung);
        self.send_to_server(server, link, message);
    }

    fn tear_down(&mut self, attempt: AttemptId, server: ServerId) {
        let Some(record) = self.remove_attempt(attempt) else {
            return;
        };
        let release = ServerRelease::new(server, record.session_id, self.release_cause);
        self.release_at_server(record.state.link(), release);
    }

    fn check_health(&mut self, server: ServerId) {
        if let Some(session_id) = Tag::parse(HEALTH_CHECK_SESSION) {
            self.send_to_server(server, None, rtsp::health_check(session_id));
        }
    }
}
