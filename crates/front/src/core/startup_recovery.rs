//! Staged recovery after a power loss: the requests that wait for reconciliation, and the assumed number of fronts.
use super::request::SessionKey;
use super::Core;
use crate::input::OpenRequest;
use crate::jitter::jitter;
use crate::output::{Answer, FailureReason, Output, RejectReason};
use crate::overload::{retry_after_from_ns, AdmissionDecision};
use crate::recovery_queue::{QueuedOpen, ReceivedOpen};
use crate::timers::TimerEntry;
use crankpaddle::Event;
use crankpaddle_recovery::{ConservativeBound, RecoveryAdmission, RecoveryStage, StagedRecovery};
use crankpaddle_time::nanoseconds;
use std::time::Duration;

/// How an open request is handled while the front recovers.
pub(super) enum RecoveryDecision {
    /// The request is served as usual.
    Serve,
    /// The request was added to the recovery queue.
    Queued,
    /// The request gets this answer at once.
    Answered(Answer),
}

impl Core {
    /// Starts a staged recovery. Must be called before the first input.
    ///
    /// `intents_complete` states whether the persisted state lists all paid set-ups that a previous incarnation may
    /// have sent. `previous_fronts` is the number of fronts before the restart.
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

    /// The current stage of the staged recovery.
    #[must_use]
    pub fn recovery_stage(&self) -> RecoveryStage {
        self.staged_recovery.stage()
    }

    /// The state of the staged recovery, with the transitions that it made so far.
    #[must_use]
    pub fn staged_recovery(&self) -> &StagedRecovery {
        &self.staged_recovery
    }

    /// Number of requests in the recovery queue, which wait for reconciliation.
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

    /// Computes the number of fronts among which the policy divides the limits.
    ///
    /// Peers and persisted state can only increase the number. It is never smaller than configured nor, until the
    /// servers had time to warm up, smaller than before the power loss.
    ///
    /// A fleet that has grown beyond its configuration would exceed each limit that is divided into quotas, first the
    /// rate of set-ups at servers in slow start. After a power loss, forty fronts may come back as eleven that know of
    /// each other, while the others follow one by one. The disadvantage is that a peer that reports a wrong count makes
    /// this front reject more requests and start fewer attempts.
    fn update_replica_count(&mut self) {
        let known = self.known_fronts.max(self.settings.replica_count);
        let replica_count = if self.recovery_stage() < RecoveryStage::Normal {
            self.previous_fronts.at_least(known)
        } else {
            known
        };
        if replica_count != self.replica_count {
            self.replica_count = replica_count;
            self.emit(Event::ReplicaCountChanged(replica_count));
        }
    }

    /// Advances the staged recovery to the stages that are due, and reports each stage that it reached.
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

    /// Serves the queued requests, once everything that reconciliation found was passed to the core.
    pub(super) fn serve_queued(&mut self, out: &mut Vec<Output>) {
        if self.recovery_stage() < RecoveryStage::PaidOnly {
            return;
        }
        for queued in self.recovery_queue.take_all() {
            self.open(queued.received_open, self.now, out);
        }
    }

    /// Decides how to handle an open request while the front recovers.
    pub(super) fn admit_during_recovery(
        &mut self,
        received_open: &ReceivedOpen,
    ) -> RecoveryDecision {
        let is_paid = self.is_paid(received_open.open.class);
        match self.staged_recovery.admit(self.now, is_paid) {
            RecoveryAdmission::Serve => RecoveryDecision::Serve,
            RecoveryAdmission::Queue => self.queue_for_recovery(received_open),
            RecoveryAdmission::RetryLater { min_delay, spread } => {
                if self
                    .keys
                    .contains_key(&SessionKey::from(&received_open.open))
                {
                    // Its key is known: a playing session is reattached, and an ended one is answered by its outcome.
                    return RecoveryDecision::Serve;
                }
                let jitter =
                    jitter(received_open.call.player.0.rotate_left(32) ^ received_open.call.number);
                let retry_after_ns = nanoseconds(min_delay)
                    .saturating_add((nanoseconds(spread) as f64 * jitter) as u64)
                    .min(self.settings.max_retry_after);
                let answer =
                    self.unserved_answer(&received_open.open, retry_after_from_ns(retry_after_ns));
                RecoveryDecision::Answered(answer)
            }
        }
    }

    fn queue_for_recovery(&mut self, received_open: &ReceivedOpen) -> RecoveryDecision {
        let call = received_open.call;
        let pending = self.waiting_requests();
        let pending_of_player =
            self.recovery_queue.count_of(call.player) + self.waiting_count_of(call.player);
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
        let deadlines = self.answer_deadlines(&received_open.open, received_open.received_at);
        self.recovery_queue.push(QueuedOpen {
            received_open: received_open.clone(),
            deadline: deadlines.answer_deadline,
        });
        self.timers
            .set(deadlines.answer_deadline, TimerEntry::RecoveryQueue);
        RecoveryDecision::Queued
    }

    /// The answer to a request that is not served during the recovery.
    ///
    /// A rejection would state that nothing ran, but a previous incarnation may have run a paid request with this key.
    /// Such a request is answered as failed. The disadvantage is that after the loss of the disk each new paid request
    /// is answered as failed.
    fn unserved_answer(&self, open: &OpenRequest, retry_after: Option<Duration>) -> Answer {
        let is_known_not_to_have_run =
            self.intents_complete && !self.unresolved_keys.contains(&SessionKey::from(open));
        if self.is_paid(open.class) && !is_known_not_to_have_run {
            Answer::Failed(FailureReason::NoAnswer)
        } else {
            Answer::Rejected {
                reason: RejectReason::Recovering,
                retry_after,
            }
        }
    }

    /// Answers a request that left the recovery queue without being served.
    pub(super) fn answer_queued(&self, received_open: &ReceivedOpen, out: &mut Vec<Output>) {
        let call = received_open.call;
        let retry_after = self
            .overload
            .retry_after(jitter(call.player.0 ^ call.number));
        let answer = self.unserved_answer(&received_open.open, retry_after);
        out.push(Output::Answer(call, answer));
    }

    /// Answers the queued requests whose deadlines have come.
    pub(super) fn answer_due_in_queue(&mut self, out: &mut Vec<Output>) {
        for queued in self.recovery_queue.take_due(self.now) {
            self.answer_queued(&queued.received_open, out);
        }
    }
}
