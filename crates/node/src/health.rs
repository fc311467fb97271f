//! Failure detection for servers with sessions, based on what is received from them and on the outcome of connects.
//!
//! When a process dies, the kernel resets its connections; when a machine fails, nothing more is received from it. A server
//! with sessions sends updates every few seconds, so one that is silent for longer is checked by a connect: a server that
//! accepts it is alive, even if it hangs.
//!
//! Without this check, sessions at a failed machine would never end here. A machine may also be slow to accept connections while it
//! serves those that it has. So if there are open links, a response is requested on them before the server counts as lost.
use crankpaddle_time::Time;
use std::time::Duration;

/// Silence that is tolerated in addition to the interval between updates.
const SILENCE_GRACE: Duration = Duration::from_millis(500);
/// Interval between updates if the settings name none.
const DEFAULT_UPDATE_INTERVAL: Duration = Duration::from_secs(4);
/// Number of consecutive connects without a response after which a machine is considered failed.
const MAX_UNANSWERED_CONNECTS: u32 = 2;
/// How long a response on an open link is waited for after connects had none. The protocol lets connections come up a second late.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without further connects after one that was refused or could not be tried.
const CONNECT_BACKOFF: Duration = Duration::from_millis(200);
/// Lower bound of the connect timeout, whatever the settings name.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(50);
/// Upper bound of the connect timeout, whatever the settings name.
const MAX_CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a connect failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ConnectFailure {
    /// No process listens at the address, so the server process has ended.
    Refused,
    /// Nothing was received within the timeout.
    NoResponse,
    /// This machine could not start the connect, which tells nothing about the server.
    Local,
}

/// The state of failure detection for one server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerHealth {
    /// A server that is silent for longer is checked by a connect.
    max_silence: Duration,
    last_received: Time,
    /// Number of consecutive connects without a response.
    unanswered_connects: u32,
    /// The time before which no connect is made.
    backoff_until: Time,
    /// When a response was requested on the open links, if nothing was received since.
    probed_at: Option<Time>,
}

impl ServerHealth {
    /// The state for a server that is first listed at `now`. `update_interval` is the interval between its updates, if the
    /// settings name one.
    pub(crate) fn new(now: Time, update_interval: Option<Duration>) -> ServerHealth {
        let interval = update_interval.unwrap_or(DEFAULT_UPDATE_INTERVAL);
        ServerHealth {
            max_silence: interval.saturating_add(SILENCE_GRACE),
            last_received: now,
            unanswered_connects: 0,
            backoff_until: Time::ZERO,
            probed_at: None,
        }
    }

    /// Records that something was received from the server.
    pub(crate) fn record_received(&mut self, now: Time) {
        self.last_received = now;
        self.unanswered_connects = 0;
        self.probed_at = None;
    }

    /// Whether nothing was received for longer than between two updates.
    pub(crate) fn is_silent(&self, now: Time) -> bool {
        now.duration_since(self.last_received) > self.max_silence
    }

    /// Records that a response is requested on the open links; false if one was requested before and nothing was received since.
    pub(crate) fn begin_probe(&mut self, now: Time) -> bool {
        let is_new = self.probed_at.is_none();
        self.probed_at.get_or_insert(now);
        is_new
    }

    /// Records that the server was lost. What is found of it from now on counts anew.
    pub(crate) fn server_lost(&mut self) {
        self.unanswered_connects = 0;
        self.probed_at = None;
    }

    /// Whether nothing was received for [`PROBE_TIMEOUT`] after a response was requested: the server is lost.
    pub(crate) fn has_missed_probe(&self, now: Time) -> bool {
        self.probed_at
            .is_some_and(|probed_at| now > probed_at + PROBE_TIMEOUT)
    }

    /// Records that a session was established at the server. Silence before that does not count, because a server without
    /// sessions sends nothing.
    pub(crate) fn session_established(&mut self, now: Time) {
        self.last_received = self.last_received.max(now);
    }

    /// Whether to connect in order to receive messages about the sessions at the server. `has_link` tells whether there is a
    /// connection already.
    pub(crate) fn should_connect(&self, now: Time, has_link: bool) -> bool {
        self.may_connect(now) && (!has_link || self.is_silent(now))
    }

    /// Whether a connect may be made at `now`, after the last one that was refused or could not be tried.
    pub(crate) fn may_connect(&self, now: Time) -> bool {
        now >= self.backoff_until
    }

    /// Records the outcome of a connect; true if the sessions at the server are lost.
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
                self.unanswered_connects += 1;
                self.unanswered_connects >= MAX_UNANSWERED_CONNECTS
            }
        }
    }
}

/// The connect timeout: the one in the settings, within bounds.
pub(crate) fn connect_timeout(setting: Duration) -> Duration {
    setting.clamp(MIN_CONNECT_TIMEOUT, MAX_CONNECT_TIMEOUT)
}

#[cfg(test)]
mod tests;
