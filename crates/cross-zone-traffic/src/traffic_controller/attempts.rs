//! The traffic of attempts to set sessions up: in progress, established, or failed and not counted yet.
use crate::usage_accounting::{Flow, Purpose};
use crankpaddle_time::Time;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// How long the final count of a failed attempt is waited for.
const FINAL_COUNT_TIMEOUT: Duration = Duration::from_secs(30);

/// An attempt to set a session up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptUsage {
    /// The attempt's id, which is never reused.
    pub id: u64,
    /// Its number within its request, from 0.
    pub number: u8,
    /// Its server.
    pub server: u32,
    /// Class number.
    pub class: u8,
    /// Tenant number.
    pub tenant: u16,
    /// Number of the title group.
    pub group: u16,
    /// The rung that it starts at.
    pub rung: u8,
}

/// How an attempt or session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Its server is expected to send a final count.
    Completed,
    /// Its server is lost and sends no final count; a session counts as active until the server was last received from.
    ServerLost,
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct ActiveAttempt {
    pub(super) usage: AttemptUsage,
    pub(super) flow: Flow,
    pub(super) is_established: bool,
}

/// An attempt that failed and whose final count is awaited.
#[derive(Clone, Copy, Debug)]
struct FailedAttempt {
    flow: Flow,
    ended_at: Time,
}

/// The attempts of a front whose traffic is not fully counted.
#[derive(Clone, Debug, Default)]
pub(super) struct Attempts {
    active: HashMap<u64, ActiveAttempt>,
    failed: BTreeMap<u64, FailedAttempt>,
}

impl Attempts {
    pub(super) fn insert(&mut self, usage: AttemptUsage, flow: Flow) {
        let attempt = ActiveAttempt {
            usage,
            flow,
            is_established: false,
        };
        self.active.insert(usage.id, attempt);
    }

    pub(super) fn get(&self, id: u64) -> Option<&ActiveAttempt> {
        self.active.get(&id)
    }

    pub(super) fn is_established(&self, id: u64) -> bool {
        self.get(id).is_some_and(|attempt| attempt.is_established)
    }

    /// Marks an attempt as established and returns it.
    pub(super) fn establish(&mut self, id: u64) -> Option<ActiveAttempt> {
        let attempt = self.active.get_mut(&id)?;
        attempt.is_established = true;
        Some(*attempt)
    }

    /// Removes an attempt that ended.
    pub(super) fn remove(&mut self, id: u64) -> Option<ActiveAttempt> {
        self.active.remove(&id)
    }

    /// Awaits the final count of an attempt that failed.
    pub(super) fn await_final_count(&mut self, id: u64, flow: Flow, now: Time) {
        let flow = Flow {
            purpose: Purpose::FailedAttempt,
            ..flow
        };
        let ended_at = now;
        self.failed.insert(id, FailedAttempt { flow, ended_at });
    }

    /// The flow of a failed attempt whose final count arrived.
    pub(super) fn take_failed(&mut self, id: u64) -> Option<Flow> {
        self.failed.remove(&id).map(|attempt| attempt.flow)
    }

    /// Removes the failed attempts whose final count is no longer awaited.
    pub(super) fn remove_expired(&mut self, now: Time) {
        self.failed
            .retain(|_, attempt| now.duration_since(attempt.ended_at) < FINAL_COUNT_TIMEOUT);
    }
}
