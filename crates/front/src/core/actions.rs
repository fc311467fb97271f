//! Running the placement policy and carrying its actions out.
use super::Core;
use crate::keys::RequestOutcome;
use crate::output::{Answer, FailureReason, Notification, Output, RejectReason};
use crate::overload::retry_after_from_ns;
use crate::timers::TimerEntry;
use crankpaddle::{Action, AttemptOutcome, LoadReport, RequestId};
use crankpaddle_recovery::RecoveryStage;
use std::time::Duration;

impl Core {
    /// Passes the queued events to the policy and carries out its actions, until no event is left. Actions may queue
    /// further events.
    pub(super) fn run_policy(&mut self, out: &mut Vec<Output>) {
        while let Some(event) = self.events.pop_front() {
            if let Some(observer) = &mut self.event_observer {
                observer(self.now, &event);
            }
            let mut actions = std::mem::take(&mut self.actions);
            self.policy.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.perform(action, out);
            }
            self.actions = actions;
        }
    }

    fn perform(&mut self, action: Action, out: &mut Vec<Output>) {
        match action {
            Action::StartAttempt {
                request,
                server,
                timeout,
            } => {
                let timeout = (timeout > 0).then(|| Duration::from_nanos(timeout));
                self.start_attempt(request, server, timeout, out);
            }
            Action::SetRung { request, rung } => self.set_rung(request, rung, out),
            Action::Reject {
                request,
                retry_after,
            } => self.reject(request, retry_after, out),
            Action::Fail(request) => self.fail(request, out),
            Action::CancelAttempt { request, attempt } => {
                self.cancel_attempt(request, attempt, out);
            }
            Action::MigrateSession(request) => self.migrate(request, out),
            Action::SetTimer { at, token } => self.timers.set(at, TimerEntry::PolicyTimer(token)),
            Action::HealthCheck(server) => out.push(Output::HealthCheck(server)),
            Action::SubscribeEndpoints => out.push(Output::SubscribeEndpoints),
            Action::FetchEndpoints => out.push(Output::FetchEndpoints),
            Action::Broadcast(_) => {} // Fronts do not exchange messages of the policy.
            Action::Log(line) => out.push(Output::Log(line)),
        }
    }

    fn set_rung(&mut self, id: RequestId, rung: u8, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.rung = rung;
        let Some(attempt) = request.playing_attempt() else {
            return;
        };
        out.push(Output::SetRung(attempt.id, attempt.server, rung));
        if let Some(player) = request.player {
            out.push(Output::Notify(player, id, Notification::RungChanged(rung)));
        }
    }

    /// Rejects a request. `retry_after_ns` is the Retry-After chosen by the policy, 0 for none.
    fn reject(&mut self, id: RequestId, retry_after_ns: u64, out: &mut Vec<Output>) {
        let class = self
            .requests
            .get(&id)
            .map(|request| request.session_request.class);
        if self.recovery_stage() == RecoveryStage::PaidOnly
            && class.is_some_and(|class| self.is_paid(class))
        {
            self.staged_recovery
                .paid_rejected(self.now, Duration::from_nanos(retry_after_ns));
        }
        let reason = if class.is_some_and(|class| self.is_cross_zone_forbidden(class)) {
            RejectReason::CrossZoneForbidden
        } else {
            RejectReason::NoCapacity
        };
        let rejected = Answer::Rejected {
            reason,
            retry_after: retry_after_from_ns(retry_after_ns),
        };
        self.answer_waiting(id, rejected, out);
    }

    /// Whether there is a zone from which the class must not be served.
    fn is_cross_zone_forbidden(&self, class: u8) -> bool {
        self.cross_zone_forbidden
            .iter()
            .any(|(_, forbidden_class)| *forbidden_class == class)
    }

    fn fail(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let failure = self
            .requests
            .get(&id)
            .map_or(FailureReason::NoAnswer, |request| request.failure);
        self.answer_waiting(id, Answer::Failed(failure), out);
    }

    /// Cancels the attempt with this number, unless a later attempt was started or the attempt was answered.
    fn cancel_attempt(&mut self, id: RequestId, number: u8, out: &mut Vec<Output>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.attempt_count != number.wrapping_add(1) {
            return;
        }
        let Some(attempt) = request.waiting_attempt() else {
            return;
        };
        out.push(Output::AbandonAttempt(attempt.id, attempt.server));
        self.attempt_failed(attempt.id, AttemptOutcome::Cancelled, LoadReport::new());
    }

    fn migrate(&mut self, id: RequestId, out: &mut Vec<Output>) {
        let player = self.requests.get(&id).and_then(|request| request.player);
        if !self.tear_down(id, AttemptOutcome::Cancelled, RequestOutcome::Migrated, out) {
            return;
        }
        if let Some(player) = player {
            out.push(Output::Notify(player, id, Notification::Migrate));
        }
    }
}
