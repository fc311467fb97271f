//! Counters of datagrams and of detected anomalies.
use crate::error::DecodeError;

/// Counters since the start of the member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Datagrams received that could be decoded.
    pub datagrams_received: u64,
    /// Dropped: malformed.
    pub malformed: u64,
    /// Dropped: of another protocol version.
    pub other_version: u64,
    /// Dropped: another fleet's, or damaged.
    pub other_fleet: u64,
    /// Dropped: addressed to another member.
    pub misaddressed: u64,
    /// Dropped: sent by a previous incarnation of the sender.
    pub previous_incarnation: u64,
    /// Not answered: the sender exceeded its rate limit.
    pub rate_limited: u64,
    /// Not sent: the budget was used up.
    pub over_budget: u64,
    /// Updates or entries in this member's name that it never made; they were corrected.
    pub forged: u64,
    /// Encounters with another process that uses this member's name.
    pub name_conflicts: u64,
    /// Members that this member declared dead.
    pub declared_dead: u64,
}

impl Counters {
    /// All datagrams received and dropped.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.malformed
            + self.other_version
            + self.other_fleet
            + self.misaddressed
            + self.previous_incarnation
    }

    /// Each counter but the datagrams sent and received, with the metric name that operators know it by. The names are
    /// published: they stay.
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
