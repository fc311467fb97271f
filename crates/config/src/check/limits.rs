//! Checks the section `limits`: limits of the core and of the sockets.
use super::ConfigChecker;
use crate::{schema, Limits};
use crankpaddle_front::CoreConfig;
use std::time::Duration;

const MAX_PENDING: u32 = 10_000_000;
const MAX_PENDING_PER_PLAYER: u32 = 1_000_000;
const MAX_RETAINED_KEYS: u32 = 10_000_000;
const MAX_CONNECTIONS: u32 = 10_000_000;

impl ConfigChecker<'_, '_> {
    /// Returns the core's configuration. `max_wait` is indexed by class number.
    pub(super) fn core(
        &mut self,
        limits: &schema::Limits,
        store: Option<&schema::Store>,
        max_wait: Vec<Duration>,
    ) -> CoreConfig {
        let answer_margin = self.duration("limits.answer_margin", limits.answer_margin());
        self.check_answer_margin(answer_margin, &max_wait);
        CoreConfig {
            max_wait,
            answer_margin,
            resume_window: self.duration("limits.resume", limits.resume()),
            recovered_resume_window: self.recovered_resume_window(store),
            max_pending: self.count(
                "limits.open_requests",
                limits.open_requests(),
                1,
                MAX_PENDING,
            ) as usize,
            max_pending_per_player: self.count(
                "limits.open_requests_per_connection",
                limits.open_requests_per_connection(),
                1,
                MAX_PENDING_PER_PLAYER,
            ) as usize,
            key_retention: self.duration("limits.keep_keys", limits.keep_keys()),
            max_retained_keys: self.count(
                "limits.keys_kept",
                limits.keys_kept(),
                1,
                MAX_RETAINED_KEYS,
            ) as usize,
        }
    }

    /// Checks that the margin is at most half of each class's maximum wait.
    fn check_answer_margin(&mut self, answer_margin: Duration, max_wait: &[Duration]) {
        for (index, max_wait) in max_wait.iter().enumerate() {
            self.require(
                answer_margin <= *max_wait / 2,
                &format!("class[{index}].give_up"),
                "is under twice limits.answer_margin: too little time is left to set a session up",
            );
        }
    }

    /// Returns how long a session that outlived a restart of the front waits for its viewer; zero without a store.
    fn recovered_resume_window(&mut self, store: Option<&schema::Store>) -> Duration {
        store.map_or(Duration::ZERO, |store| {
            self.duration("store[0].back", store.back())
        })
    }

    pub(super) fn limits(&mut self, limits: &schema::Limits) -> Limits {
        let connections = limits.connections();
        Limits {
            max_connections: self.count("limits.connections", connections, 1, MAX_CONNECTIONS)
                as usize,
            max_message_bytes: self.size("limits.message", limits.message()),
            max_unsent_bytes: self.size("limits.unread", limits.unread()),
            idle_timeout: self.duration("limits.idle", limits.idle()),
            handshake_timeout: self.duration("limits.handshake", limits.handshake()),
            connect_timeout: self.duration("limits.connect", limits.connect()),
            pool_idle_timeout: self.duration("limits.pool_idle", limits.pool_idle()),
            silence_timeout: self.duration("limits.silence", limits.silence()),
            drain_timeout: self.duration("limits.drain", limits.drain()),
        }
    }
}
