//! Driving the core: inputs go in, outputs are carried out.
use super::server_releases::ServerRelease;
use super::EventLoop;
use crankpaddle_front::{AttemptId, Core, Input, Output, ServerId, Time};
use crankpaddle_net::clock;
use crankpaddle_node_protocol::{rtsp, Tag};
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Decisions that take longer are logged: answers of servers wait meanwhile.
const SLOW_DECISION: Duration = Duration::from_millis(2);
/// The session that health checks name: no viewer's set-up has it.
const HEALTH_CHECK_SESSION: &str = "0000000000000000";

impl EventLoop {
    /// Passes an input to the core; while the core's outputs are being carried out, queues it behind them. Outputs that do not
    /// depend on the policy are carried out now; the policy decides in [`EventLoop::decide`], after all messages of the inbox
    /// were handled.
    pub(super) fn notify_core(&mut self, input: Input) {
        self.pending_inputs.push_back(input);
        if !self.is_carrying_out {
            self.process_inputs();
        }
    }

    fn process_inputs(&mut self) {
        self.is_carrying_out = true;
        while let Some(input) = self.pending_inputs.pop_front() {
            self.core
                .handle_input(clock::now(), input, &mut self.outputs);
            self.publish_counts(); // Before the answer is sent: its receiver may read them.
            self.carry_out_outputs();
        }
        self.is_carrying_out = false;
    }

    /// Lets the policy decide on what was received, and timers that are due expire.
    pub(super) fn decide(&mut self) {
        let started_at = clock::now();
        self.decide_all();
        let elapsed = clock::now().duration_since(started_at);
        if elapsed >= SLOW_DECISION {
            tracing::debug!(
                elapsed_us = elapsed.as_micros(),
                pending = self.core.waiting(),
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
            self.is_carrying_out = true;
            self.dispatch_queued();
            self.is_carrying_out = false;
            // Attempts that were withdrawn or found no connection are decided on again. The loop ends: each request has a
            // bounded number of attempts.
            if self.pending_inputs.is_empty() {
                return;
            }
        }
    }

    fn with_core(&mut self, call: impl FnOnce(&mut Core, Time, &mut Vec<Output>)) {
        self.is_carrying_out = true;
        call(&mut self.core, clock::now(), &mut self.outputs);
        self.publish_counts();
        self.carry_out_outputs();
        self.is_carrying_out = false;
    }

    fn publish_counts(&self) {
        self.shared
            .waiting
            .store(self.core.waiting(), Ordering::Relaxed);
        self.shared
            .playing
            .store(self.core.playing(), Ordering::Relaxed);
    }

    fn carry_out_outputs(&mut self) {
        let mut outputs = std::mem::take(&mut self.outputs);
        for output in outputs.drain(..) {
            self.carry_out(output);
        }
        self.outputs = outputs;
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Answer(call, answer) => self.send_answer(call.player, &answer),
            Output::Notify(player, _, notification) => self.notify_viewer(player, notification),
            Output::StartSetUp {
                attempt,
                server,
                order,
                until,
                ..
            } => self.start_attempt(attempt, server, &order, until),
            Output::SessionAdopted {
                player,
                attempt,
                server,
            } => self.adopt(player, attempt, server),
            Output::FoundSessionHandled { .. } | Output::StageReached(..) => {} // Nothing is persisted here.
            Output::AbandonAttempt(attempt, server) => self.abandon_attempt(attempt, server),
            Output::SetRung(attempt, server, rung) => self.set_rung(attempt, server, rung),
            Output::TearDown(attempt, server) => self.tear_down(attempt, server),
            Output::HealthCheck(server) => self.check_health(server),
            Output::SubscribeEndpoints | Output::FetchEndpoints => {} // The directory is polled all the time.
            Output::Log(line) => tracing::info!(line, "policy log"),
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
