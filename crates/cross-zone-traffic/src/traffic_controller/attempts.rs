//! Tracks the attempts to set up sessions whose bytes are not fully counted: those in progress, those that became sessions,
//! and failed ones that wait for their final count.
use crate::usage_accounting::{Flow, Purpose};
use crankpaddle_time::Time;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// How long to wait for the final count of a failed attempt.
const FINAL_COUNT_TIMEOUT: Duration = Duration::from_secs(30);

/// An attempt to set up a session, with the properties by which its bytes are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StartedAttempt {
    /// Id of the attempt, and of the session if it succeeds. Ids are never reused.
    pub id: u64,
    /// Number of the attempt within its request: 0 for the first one, more for retries.
    pub number: u8,
    /// Id of the server.
    pub server: u32,
    /// Number of the class, an index into the configured classes.
    pub class: u8,
    /// Number of the tenant, an index into the configured tenants; 0 if none are configured.
    pub tenant: u16,
    /// Number of the title group.
    pub group: u16,
    /// Rung at which the session starts.
    pub rung: u8,
}

/// How an attempt or session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The server is expected to send a final count.
    Completed,
    /// The server was lost and sends no final count. A session counts as active until the last message from its server.
    ServerLost,
}

/// An attempt that has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct ActiveAttempt {
    pub(super) started: StartedAttempt,
    pub(super) flow: Flow,
    pub(super) is_established: bool,
}

/// An attempt that failed and waits for its final count.
#[derive(Clone, Copy, Debug)]
struct FailedAttempt {
    flow: Flow,
    ended_at: Time,
}

/// The attempts of a front whose bytes are not fully counted, by attempt id.
#[derive(Clone, Debug, Default)]
pub(super) struct UncountedAttempts {
    active: HashMap<u64, ActiveAttempt>,
    failed: BTreeMap<u64, FailedAttempt>,
}

impl UncountedAttempts {
    pub(super) fn insert(&mut self, started: StartedAttempt, flow: Flow) {
        let attempt = ActiveAttempt {
            started,
            flow,
            is_established: false,
        };
        self.active.insert(started.id, attempt);
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

    /// Keeps an attempt that failed until its final count arrives or [`FINAL_COUNT_TIMEOUT`] has passed.
    pub(super) fn await_final_count(&mut self, id: u64, flow: Flow, now: Time) {
        let flow = Flow {
            purpose: Purpose::FailedAttempt,
            ..flow
        };
        let ended_at = now;
        self.failed.insert(id, FailedAttempt { flow, ended_at });
    }

    /// Removes a failed attempt whose final count arrived and returns its flow; `None` if the attempt is not a failed one.
    pub(super) fn take_failed(&mut self, id: u64) -> Option<Flow> {
        self.failed.remove(&id).map(|attempt| attempt.flow)
    }

    /// Removes the failed attempts whose final count did not arrive in time.
    pub(super) fn remove_expired(&mut self, now: Time) {
        self.failed
            .retain(|_, attempt| now.duration_since(attempt.ended_at) < FINAL_COUNT_TIMEOUT);
    }
}
