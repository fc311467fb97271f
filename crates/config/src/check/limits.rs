//! The section `limits`: bounds of the core and of the sockets.
use super::ConfigChecker;
use crate::{schema, Limits};
use crankpaddle_front::CoreConfig;
use std::time::Duration;

const MAX_PENDING: u32 = 10_000_000;
const MAX_PENDING_PER_PLAYER: u32 = 1_000_000;
const MAX_RETAINED_KEYS: u32 = 10_000_000;
const MAX_CONNECTIONS: u32 = 10_000_000;

impl ConfigChecker<'_, '_> {
    /// The core's configuration; `max_wait` by class, in nanoseconds.
    pub(super) fn core(
        &mut self,
        limits: &schema::Limits,
        store: Option<&schema::Store>,
        max_wait: Vec<u64>,
    ) -> CoreConfig {
        let answer_margin = self.time("limits.answer_margin", limits.answer_margin());
        self.answer_margin_fits(answer_margin, &max_wait);
        CoreConfig {
            max_wait: max_wait.into_iter().map(Duration::from_nanos).collect(),
            answer_margin: Duration::from_nanos(answer_margin),
            resume_window: Duration::from_nanos(self.time("limits.resume", limits.resume())),
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
            key_retention: Duration::from_nanos(self.time("limits.keep_keys", limits.keep_keys())),
            max_retained_keys: self.count(
                "limits.keys_kept",
                limits.keys_kept(),
                1,
                MAX_RETAINED_KEYS,
            ) as usize,
        }
    }

    fn answer_margin_fits(&mut self, answer_margin: u64, max_wait: &[u64]) {
        for (i, max_wait) in max_wait.iter().enumerate() {
            self.must(
                answer_margin <= max_wait / 2,
                &format!("class[{i}].give_up"),
                "is under twice limits.answer_margin(): no time is left to set a session up",
            );
        }
    }

    /// How long a session that a server held over a restart waits for its viewer.
    fn recovered_resume_window(&mut self, store: Option<&schema::Store>) -> Duration {
        store.map_or(Duration::ZERO, |store| {
            Duration::from_nanos(self.time("store[0].back", store.back()))
        })
    }

    pub(super) fn limits(&mut self, limits: &schema::Limits) -> Limits {
        let connections = limits.connections();
        Limits {
            connections: self.count("limits.connections", connections, 1, MAX_CONNECTIONS) as usize,
            message: self.size("limits.message", limits.message()),
            unread: self.size("limits.unread", limits.unread()),
            idle: self.time("limits.idle", limits.idle()),
            handshake: self.time("limits.handshake", limits.handshake()),
            connect: self.time("limits.connect", limits.connect()),
            pool_idle: self.time("limits.pool_idle", limits.pool_idle()),
            silence: self.time("limits.silence", limits.silence()),
            drain: self.time("limits.drain", limits.drain()),
        }
    }
}
