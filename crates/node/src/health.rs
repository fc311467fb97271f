//! What a server's messages and silence mean for the sessions that are established there.
//!
//! A process that dies resets its connections; a machine that vanishes sends nothing. A server with sessions sends something
//! every few seconds (updates on its link), so one that is silent for longer is checked by connecting to it: whoever accepts
//! is alive, also when it hangs.
//!
//! Why: sessions of a vanished machine would stay here for ever. The price: on a network that drops two connects in a row,
//! sessions that play are given up.
use std::time::Duration;

/// Silence that is tolerated beyond the time between two updates, nanoseconds.
const SILENCE_GRACE: u64 = 500_000_000;
/// Time between updates where the settings name none, nanoseconds.
const DEFAULT_UPDATE_INTERVAL: u64 = 4_000_000_000;
/// Connects without a response, one after the other, that prove that a machine vanished.
const MAX_MISSED_CONNECTS: u32 = 2;
/// Backoff after a failed connect, nanoseconds.
const CONNECT_BACKOFF: u64 = 200_000_000;
/// A connect may take so long at least, whatever the settings name, nanoseconds.
const MIN_CONNECT_TIMEOUT: u64 = 50_000_000;
/// A connect may take so long at most, whatever the settings name, nanoseconds.
const MAX_CONNECT_TIMEOUT: u64 = 2_000_000_000;

/// Why a connect failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectFailure {
    /// Nobody listens there: the process is dead.
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
    max_silence: u64,
    last_received: u64,
    missed_connects: u32,
    /// No connect before this time.
    backoff_until: u64,
}

impl Health {
    /// A server that is new at `now`; `update_interval`: time between its updates, 0 where the settings name none.
    pub(crate) fn new(now: u64, update_interval: u64) -> Health {
        let interval = if update_interval == 0 {
            DEFAULT_UPDATE_INTERVAL
        } else {
            update_interval
        };
        Health {
            max_silence: interval.saturating_add(SILENCE_GRACE),
            last_received: now,
            missed_connects: 0,
            backoff_until: 0,
        }
    }

    /// Something was received from it.
    pub(crate) fn record_received(&mut self, now: u64) {
        self.last_received = now;
        self.missed_connects = 0;
    }

    /// A session is established there: silence before that is no sign of anything.
    pub(crate) fn session_established(&mut self, now: u64) {
        self.last_received = self.last_received.max(now);
    }

    /// Whether to connect, so as to learn of the sessions there. `has_link`: there is a connection already.
    pub(crate) fn wants_connect(&self, now: u64, has_link: bool) -> bool {
        let is_silent = now.saturating_sub(self.last_received) > self.max_silence;
        now >= self.backoff_until && (!has_link || is_silent)
    }

    /// A connect completed; true if the sessions there are lost.
    pub(crate) fn connect_completed(
        &mut self,
        now: u64,
        outcome: Result<(), ConnectFailure>,
    ) -> bool {
        match outcome {
            Ok(()) => {
                self.record_received(now);
                false
            }
            Err(ConnectFailure::Refused) => {
                self.backoff_until = now.saturating_add(CONNECT_BACKOFF);
                true
            }
            Err(ConnectFailure::Local) => {
                self.backoff_until = now.saturating_add(CONNECT_BACKOFF);
                false
            }
            Err(ConnectFailure::NoResponse) => {
                self.missed_connects += 1;
                self.missed_connects >= MAX_MISSED_CONNECTS
            }
        }
    }
}

/// How long a connect may take, from the settings' nanoseconds.
pub(crate) fn connect_timeout(setting: u64) -> Duration {
    Duration::from_nanos(setting.clamp(MIN_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT))
}

#[cfg(test)]
mod tests;
