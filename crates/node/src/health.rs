//! Failure detection: what a server's messages and silence mean for the sessions that are established there.
//!
//! When a process dies, the kernel resets its connections; when a machine fails, nothing more is received from it. A server
//! with sessions sends updates every few seconds, so one that is silent for longer is checked by a connect: a server that
//! accepts it is alive, even if it hangs.
//!
//! Why: sessions at a failed machine would otherwise never end here. The cost: on a network that drops two connects in a row,
//! sessions that still play are ended.
use crankpaddle_time::Time;
use std::time::Duration;

/// Silence that is tolerated beyond the time between two updates.
const SILENCE_GRACE: Duration = Duration::from_millis(500);
/// Time between updates where the settings name none.
const DEFAULT_UPDATE_INTERVAL: Duration = Duration::from_secs(4);
/// Connects in a row without a response after which a machine is taken for failed.
const MAX_MISSED_CONNECTS: u32 = 2;
/// Backoff after a failed connect.
const CONNECT_BACKOFF: Duration = Duration::from_millis(200);
/// A connect may take so long at least, whatever the settings name.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
/// A connect may take so long at most, whatever the settings name.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a connect failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectFailure {
    /// No process listens there: the server is dead.
    Refused,
    /// Nothing was received in time.
    NoResponse,
    /// This machine could not even try, which proves nothing about the server.
    Local,
}

/// What is known of one server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Health {
    /// Silence for longer than this makes the server be checked.
    max_silence: Duration,
    last_received: Time,
    missed_connects: u32,
    /// No connect before this time.
    backoff_until: Time,
}

impl Health {
    /// A server that is new at `now`; `update_interval`: time between its updates, if the settings name one.
    pub(crate) fn new(now: Time, update_interval: Option<Duration>) -> Health {
        let interval = update_interval.unwrap_or(DEFAULT_UPDATE_INTERVAL);
        Health {
            max_silence: interval.saturating_add(SILENCE_GRACE),
            last_received: now,
            missed_connects: 0,
            backoff_until: Time::ZERO,
        }
    }

    /// Something was received from it.
    pub(crate) fn record_received(&mut self, now: Time) {
        self.last_received = now;
        self.missed_connects = 0;
    }

    /// A session is established there. Silence before that does not count: a server without sessions sends nothing.
    pub(crate) fn session_established(&mut self, now: Time) {
        self.last_received = self.last_received.max(now);
    }

    /// Whether to connect, to receive messages about the sessions there. `has_link`: there is a connection already.
    pub(crate) fn wants_connect(&self, now: Time, has_link: bool) -> bool {
        let is_silent = now.duration_since(self.last_received) > self.max_silence;
        now >= self.backoff_until && (!has_link || is_silent)
    }

    /// A connect completed; true if the sessions there are lost.
    pub(crate) fn connect_completed(
        &mut self,
        now: Time,
        outcome: Result<(), ConnectFailure>,
    ) -> bool {
        match outcome {
            Ok(()) => {
                self.record_received(now);
                false
            }
            Err(ConnectFailure::Refused) => {
                self.backoff_until = now + CONNECT_BACKOFF;
                true
            }
            Err(ConnectFailure::Local) => {
                self.backoff_until = now + CONNECT_BACKOFF;
                false
            }
            Err(ConnectFailure::NoResponse) => {
                self.missed_connects += 1;
                self.missed_connects >= MAX_MISSED_CONNECTS
            }
        }
    }
}

/// How long a connect may take: what the settings name, within bounds.
pub(crate) fn connect_timeout(setting: Duration) -> Duration {
    setting.clamp(MIN_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT)
}

#[cfg(test)]
mod tests;
