//! Sessions at a server whose release may have been lost with a connection that has ended.
//!
//! A server sends a release on the connection of the set-up, otherwise on any open one, and once more on the next connection that
//! is opened to it. If a connection was reset on its way, the server may notice that only when it sends the next message on it,
//! which is lost then. Whatever that message was, another connection has to be opened after it, and nobody tells when. So new
//! connections are opened from time to time, until the server has sent something about the session: it uses another connection
//! for the session then, and has not released it.
use crankpaddle_front::{AttemptId, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// The longest time from a lost release to the next connection to its server. A viewer must be told of the end of its session
/// within 8 s, of which 3 s are left for a connect that completes late or has to be repeated.
const MAX_REFRESH_INTERVAL: Duration = Duration::from_secs(5);

/// Whether a server knows of the end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionEnd {
    /// This node closed it, which the server learns at once. Only messages that crossed the close are lost, so one new connection
    /// is enough.
    Announced,
    /// It ended at this node, and the server may still use it.
    Unannounced,
}

/// How a session lost the connection on which its release is expected.
struct Loss {
    end: ConnectionEnd,
    lost_at: Time,
}

/// The sessions at one server whose release may have been lost.
#[derive(Default)]
pub(super) struct UnconfirmedSessions {
    losses: BTreeMap<AttemptId, Loss>,
    /// When the next connection is to be opened. Meaningful only while there are such sessions.
    refresh_at: Time,
}

/// A random interval up to [`MAX_REFRESH_INTERVAL`], so that nodes that lost their connections at the same time do not connect at
/// the same time.
fn refresh_interval() -> Duration {
    rand::random_range(MAX_REFRESH_INTERVAL / 2..=MAX_REFRESH_INTERVAL)
}

impl UnconfirmedSessions {
    /// Adds a session that has lost its connection at `now`.
    pub(super) fn add(&mut self, attempt: AttemptId, end: ConnectionEnd, now: Time) {
        if self.losses.is_empty() {
            self.refresh_at = now + refresh_interval();
        }
        let loss = self
            .losses
            .entry(attempt)
            .or_insert(Loss { end, lost_at: now });
        loss.lost_at = now;
        if end == ConnectionEnd::Unannounced {
            loss.end = end;
        }
    }

    /// Removes a session that has ended, or of which the server has sent something.
    pub(super) fn remove(&mut self, attempt: AttemptId) {
        self.losses.remove(&attempt);
    }

    /// Whether a new connection is to be opened.
    pub(super) fn is_refresh_due(&self, now: Time) -> bool {
        !self.losses.is_empty() && now >= self.refresh_at
    }

    /// Records that a connection was opened whose connect was started at `connect_started_at`. The server repeats on it the
    /// releases that it sent before.
    pub(super) fn connection_opened(&mut self, connect_started_at: Time) {
        if self.losses.is_empty() {
            return;
        }
        self.losses.retain(|_, loss| {
            loss.end == ConnectionEnd::Unannounced || loss.lost_at >= connect_started_at
        });
        self.refresh_at = connect_started_at + refresh_interval();
    }

    /// Takes the sessions whose server may still use a connection that has ended, and forgets all others.
    pub(super) fn take_unannounced(&mut self) -> Vec<AttemptId> {
        let losses = std::mem::take(&mut self.losses);
        let unannounced = losses
            .into_iter()
            .filter(|(_, loss)| loss.end == ConnectionEnd::Unannounced);
        unannounced.map(|(attempt, _)| attempt).collect()
    }

    /// Number of these sessions.
    pub(super) fn len(&self) -> usize {
        self.losses.len()
    }
}

#[cfg(test)]
mod tests;
