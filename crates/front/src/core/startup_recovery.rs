//! Staged recovery after a power loss: which requests wait for reconciliation, and how many fronts are assumed.
use super::request::SessionKey;
use super::Core;
use crate::input::OpenRequest;
use crate::jitter::jitter;
use crate::output::{Answer, FailureReason, Output, RejectReason};
use crate::overload::{retry_after, AdmissionDecision};
use crate::recovery_queue::{OpenCall, QueuedOpen};
use crate::timers::TimerEntry;
use crankpaddle::Event;
use crankpaddle_recovery::{ConservativeBound, RecoveryAdmission, RecoveryStage, StagedRecovery};
use crankpaddle_time::nanoseconds;
use std::time::Duration;

/// How an open is handled while the front recovers.
pub(super) enum RecoveryDecision {
    /// It is served as usual.
    Serve,
    /// It waits in the recovery queue.
    Queued,
    /// It is answered at once.
    Answered(Answer),
}

impl Core {
    /// Starts with a staged recovery; to be called before the first input. `intents_complete`: all paid set-ups that
    /// may have left were persisted; `previous_fronts`: how many fronts there were.
    pub fn begin_recovery(
        &mut self,
        staged_recovery: StagedRecovery,
        intents_complete: bool,
        previous_fronts: ConservativeBound<u32>,
    ) {
        self.reported_transitions = staged_recovery.transitions().len();
        self.intents_complete = intents_complete;
        self.previous_fronts = previous_fronts;
        self.staged_recovery = staged_recovery;
        self.update_replica_count();
        self.set_stage_timer();
    }

    /// The stage of the recovery.
    #[must_use]
    pub fn stage(&self) -> RecoveryStage {
        self.staged_recovery.stage()
    }

    /// The staged recovery.
    #[must_use]
    pub fn recovery(&self) -> &StagedRecovery {
        &self.staged_recovery
    }

    /// Number of requests that wait for reconciliation.
    #[must_use]
    pub fn queued_for_recovery(&self) -> usize {
        self.recovery_queue.len()
    }

    pub(super) fn fleet_size_changed(&mut self, known_fronts: u32) {
        self.known_fronts = known_fronts;
        self.update_replica_count();
    }

    pub(super) fn endpoints_known(&mut self, out: &mut Vec<Output>) {
        self.staged_recovery.endpoints_known(self.now);
        self.advance_recovery(out);
    }

    pub(super) fn reconciliation_completed(&mut self, out: &mut Vec<Output>) {
        self.staged_recovery.reconciliation_completed(self.now);
        self.advance_recovery(out);
    }

    /// Computes the number of fronts that the policy divides the limits by.
    ///
    /// Peers and persisted state only ever increase it: it is never smaller than configured nor, until servers had time
    /// to warm up, smaller than before the power loss.
    ///
    /// Why: a fleet that has grown beyond its configuration exceeds each limit that is divided into quotas, first the
    /// rate of set-ups at servers in slow start. And after a power loss, forty fronts come back as eleven that know of
    /// each other, while the others follow one by one. The price: a peer that reports a wrong count makes this front
    /// reject more and attempt less.
    fn update_replica_count(&mut self) {
        let known = self.known_fronts.max(self.settings.replica_count);
        let replica_count = if self.stage() < RecoveryStage::Normal {
            self.previous_fronts.at_least(known)
        } else {
            known
        };
        if replica_count != self.replica_count {
            self.replica_count = replica_count;
            self.emit(Event::ReplicaCountChanged(replica_count));
        }
    }

    /// Advances the staged recovery as far as it is due, and reports the stages that it reached.
    pub(super) fn advance_recovery(&mut self, out: &mut Vec<Output>) {
        self.staged_recovery.expire(self.now);
        self.set_stage_timer();
        let transitions = self.staged_recovery.transitions();
        for transition in &transitions[self.reported_transitions..] {
            let reached = Output::StageReached(transition.stage, transition.evidence);
            out.push(reached);
        }
        self.reported_transitions = transitions.len();
        self.update_replica_count();
    }

    fn set_stage_timer(&mut self) {
        if let Some(at) = self.staged_recovery.next_expiry() {
            self.timers.set(at, TimerEntry::RecoveryStage);
        }
    }

    /// Serves the queued requests, once everything that reconciliation found was handed in.
    pub(super) fn serve_queued(&mut self, out: &mut Vec<Output>) {
        if self.stage() < RecoveryStage::PaidOnly {
            return;
        }
        for queued in self.recovery_queue.take_all() {
            self.open(queued.opening, self.now, out);
        }
    }

    /// Decides on an open while the front recovers.
    pub(super) fn admit_during_recovery(&mut self, opening: &OpenCall) -> RecoveryDecision {
        let is_paid = self.is_paid(opening.open.class);
        match self.staged_recovery.admit(self.now, is_paid) {
            RecoveryAdmission::Serve => RecoveryDecision::Serve,
            RecoveryAdmission::Queue => self.queue_for_recovery(opening),
            RecoveryAdmission::RetryLater { after, over } => {
                if self.keys.contains_key(&SessionKey::from(&opening.open)) {
                    // What plays is reattached, and what ran is answered as such.
                    return RecoveryDecision::Serve;
                }
                let jitter = jitter(opening.call.player.0.rotate_left(32) ^ opening.call.number);
                let retry_after_ns = nanoseconds(after)
                    .saturating_add((nanoseconds(over) as f64 * jitter) as u64)
                    .min(self.settings.max_retry_after);
                let answer = self.not_served(&opening.open, retry_after(retry_after_ns));
                RecoveryDecision::Answered(answer)
            }
        }
    }

    fn queue_for_recovery(&mut self, opening: &OpenCall) -> RecoveryDecision {
        let call = opening.call;
        let pending = self.waiting();
        let pending_of_player =
            self.recovery_queue.count_of(call.player) + self.waiting_of(call.player);
        let admission = self
            .overload
            .admit(self.now, self.now, pending, pending_of_player);
        if admission == AdmissionDecision::TooManyPending {
            let answer = Answer::Rejected {
                reason: RejectReason::TooManyPending,
                retry_after: self.overload.retry_after(jitter(call.number)),
            };
            return RecoveryDecision::Answered(answer);
        }
        let limits = self.answer_limits(&opening.open, opening.received_at);
        self.recovery_queue.push(QueuedOpen {
            opening: opening.clone(),
            deadline: limits.deadline,
        });
        self.timers.set(limits.deadline, TimerEntry::RecoveryQueue);
        RecoveryDecision::Queued
    }

    /// The answer to a request that could not be served in time. Why not always a rejection: it states that nothing
    /// ran, and a previous incarnation may have run this key. The price: where the disk was lost, a new paid request is
    /// answered as failed.
    fn not_served(&self, open: &OpenRequest, retry_after: Option<Duration>) -> Answer {
        let is_known =
            self.intents_complete && !self.unresolved_keys.contains(&SessionKey::from(open));
        if self.is_paid(open.class) && !is_known {
            Answer::Failed(FailureReason::NoAnswer)
        } else {
            Answer::Rejected {
                reason: RejectReason::Recovering,
                retry_after,
            }
        }
    }

    /// Answers a request that left the recovery queue without being served.
    pub(super) fn answer_queued(&self, opening: &OpenCall, out: &mut Vec<Output>) {
        let call = opening.call;
        let retry_after = self
            .overload
            .retry_after(jitter(call.player.0 ^ call.number));
        let answer = self.not_served(&opening.open, retry_after);
        out.push(Output::Answer(call, answer));
    }

    /// Answers the queued requests that can wait no longer.
    pub(super) fn answer_due_in_queue(&mut self, out: &mut Vec<Output>) {
        for queued in self.recovery_queue.take_due(self.now) {
            self.answer_queued(&queued.opening, out);
        }
    }
}
