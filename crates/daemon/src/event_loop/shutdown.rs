//! Graceful shutdown: draining, stopping sessions, and the end of the event loop.
use super::EventLoop;
use crankpaddle_front::Input;
use crankpaddle_net::clock;
use crankpaddle_time::Time;
use std::thread::JoinHandle;
use std::time::Duration;

/// Longest time that stopping takes: players and servers get the last messages within it.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// The progress of the graceful shutdown.
#[derive(Clone, Copy)]
pub(super) enum ShutdownStage {
    Running,
    /// New requests are rejected; pending ones are answered until the deadline.
    Draining {
        deadline: Time,
    },
    /// Sessions were ended; teardowns are sent and players' connections closed until the deadline.
    Stopping {
        deadline: Time,
    },
}

impl ShutdownStage {
    pub(super) fn deadline(self) -> Time {
        match self {
            ShutdownStage::Running => Time::MAX,
            ShutdownStage::Draining { deadline } | ShutdownStage::Stopping { deadline } => deadline,
        }
    }

    pub(super) fn is_stopping(self) -> bool {
        matches!(self, ShutdownStage::Stopping { .. })
    }
}

impl EventLoop {
    /// Handles [`crate::message::EventLoopMessage::DrainRequested`]; a second request changes nothing.
    pub(super) fn start_draining(&mut self) {
        if !matches!(self.shutdown, ShutdownStage::Running) {
            return;
        }
        tracing::info!(
            waiting = self.core.waiting_requests(),
            playing = self.core.playing_sessions(),
            "draining started"
        );
        self.shared.start_draining();
        let deadline = clock::now() + self.shared.limits().drain_timeout;
        self.shutdown = ShutdownStage::Draining { deadline };
        self.handle_core_input(Input::Drain);
    }

    /// Ends sessions and closes players' connections once all requests are answered or the drain's deadline
    /// has passed.
    pub(super) fn advance_shutdown(&mut self) {
        let ShutdownStage::Draining { deadline } = self.shutdown else {
            return;
        };
        let now = clock::now();
        if self.core.waiting_requests() > 0 && now < deadline {
            return;
        }
        tracing::info!(playing = self.core.playing_sessions(), "stopping sessions");
        self.shutdown = ShutdownStage::Stopping {
            deadline: now + STOP_TIMEOUT,
        };
        self.handle_core_input(Input::Stop);
        for player in self.players.values() {
            player.close();
        }
    }

    /// Whether the shutdown is over: everything was sent, or the deadline has passed.
    pub(super) fn is_finished(&self) -> bool {
        let ShutdownStage::Stopping { deadline } = self.shutdown else {
            return false;
        };
        let all_sent = self.players.is_empty() && !self.shared.has_pending_controls();
        all_sent || clock::now() >= deadline
    }

    /// Queues the last writes to disk and returns the threads that perform them. The shutdown is recorded as clean if
    /// no request and no session is left.
    pub(super) fn finish(mut self) -> Vec<JoinHandle<()>> {
        while self.traffic.settle_step() {}
        self.save_traffic_report();
        tracing::info!("front stopped");
        let is_clean = self.core.waiting_requests() == 0 && self.core.playing_sessions() == 0;
        let store_thread = self.durable.and_then(|durable| durable.finish(is_clean));
        [
            self.list_writer.finish(),
            self.traffic_writer.finish(),
            store_thread,
        ]
        .into_iter()
        .flatten()
        .collect()
    }
}
