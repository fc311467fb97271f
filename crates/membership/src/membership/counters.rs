//! Counters of datagrams and of detected anomalies.
use crate::error::DecodeError;

/// Counters since the start of the member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent, of all kinds.
    pub datagrams_sent: u64,
    /// Bytes of the datagrams sent.
    pub bytes_sent: u64,
    /// Received datagrams that could be decoded, including those that were dropped after that.
    pub datagrams_received: u64,
    /// Received datagrams that were dropped because they are malformed.
    pub malformed: u64,
    /// Received datagrams that were dropped because their protocol version is not supported.
    pub other_version: u64,
    /// Received datagrams that were dropped because their checksum does not match: they are another fleet's, or were corrupted.
    pub other_fleet: u64,
    /// Received datagrams that were dropped because they are addressed to another member.
    pub misaddressed: u64,
    /// Received datagrams that were dropped because a previous incarnation of the sender sent them.
    pub previous_incarnation: u64,
    /// Requests that were not answered because their sender exceeded its rate limit.
    pub rate_limited: u64,
    /// Datagrams that were not sent because the send budget did not allow them.
    pub over_budget: u64,
    /// Received updates or entries in this member's name that it never made. This member overrides them with its own.
    pub forged: u64,
    /// Datagrams or updates of another process that uses this member's name.
    pub name_conflicts: u64,
    /// How often this member declared another one dead.
    pub declared_dead: u64,
}

impl Counters {
    /// The number of received datagrams that were dropped for any reason.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.malformed
            + self.other_version
            + self.other_fleet
            + self.misaddressed
            + self.previous_incarnation
    }

    /// Each counter, except the datagrams sent and received, with the name of its metric. The names are published to operators
    /// and must not change, although some differ from the names of the fields.
    #[must_use]
    pub fn named(&self) -> [(&'static str, u64); 11] {
        [
            ("bytes_sent", self.bytes_sent),
            ("dropped_garbage", self.malformed),
            ("dropped_other_version", self.other_version),
            ("dropped_other_fleet", self.other_fleet),
            ("dropped_stray", self.misaddressed),
            ("dropped_old_life", self.previous_incarnation),
            ("not_answered_flood", self.rate_limited),
            ("not_sent_budget", self.over_budget),
            ("forged", self.forged),
            ("name_conflicts", self.name_conflicts),
            ("accused", self.declared_dead),
        ]
    }

    pub(super) fn record_decode_error(&mut self, error: DecodeError) {
        match error {
            DecodeError::Malformed => self.malformed += 1,
            DecodeError::UnsupportedVersion => self.other_version += 1,
            DecodeError::ChecksumMismatch => self.other_fleet += 1,
        }
    }
}
