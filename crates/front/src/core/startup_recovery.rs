//! After a power loss: who waits until what was begun is settled, and which keys of former lives ran.
use super::{jitter, Core, Request};
use crate::io::{Answer, Call, FailureReason, OpenRequest, Output, RejectReason};
use crate::keys::{KeyState, RequestOutcome};
use crate::overload::AdmissionDecision as Load;
use crate::recovery_queue::Held;
use crate::timers::Due;
use crankpaddle::{Event, Idempotency as Kind, RequestId, ServerId, SessionRequest, Time};
use crankpaddle_recovery::{Admission, ConservativeBound, RecoveryStage, StagedRecovery};

impl Core {
    /// Service returns as this says. `sound`: all paid set-ups that may have left were kept; `fleet`: how many fronts there were.
    /// Call before anything is heard.
    pub fn begin_recovery(
        &mut self,
        returning: StagedRecovery,
        sound: bool,
        fleet: ConservativeBound<u32>,
    ) {
        (self.steps_told, self.sound, self.fleet) = (returning.transitions().len(), sound, fleet);
        self.returning = returning;
        self.reckon();
        self.returning
            .next_expiry()
            .into_iter()
            .for_each(|at| self.timers.set(Time(at), Due::Stage));
    }

    /// How far service is back.
    pub fn stage(&self) -> RecoveryStage {
        self.returning.stage()
    }

    /// How service returns.
    pub fn recovery(&self) -> &StagedRecovery {
        &self.returning
    }

    /// Requests that wait until it is known what was begun.
    pub fn queued_for_recovery(&self) -> usize {
        self.held.len()
    }

    pub(super) fn is_paid(&self, class: u8) -> bool {
        self.settings
            .classes
            .get(usize::from(class))
            .map(|c| c.idempotency)
            == Some(Kind::AtMostOnce)
    }

    /// Danger: a fleet that grew beyond its configuration takes more than the whole of each limit that is cut into parts, the pace at
    /// cold servers first; and after a power loss forty fronts come back as eleven that know of each other, while the others come
    /// one by one. What peers say, and what was kept, may only make this front more careful: never is reckoned with fewer than
    /// configured, nor, until servers had time to warm, with fewer than there were. Harm: a peer that lies makes it refuse more and
    /// try less.
    pub(super) fn reckon(&mut self) {
        let heard = self.members.max(self.settings.replica_count);
        let siblings = if self.stage() < RecoveryStage::Normal {
            self.fleet.at_least(heard)
        } else {
            heard
        };
        if siblings != self.siblings {
            self.siblings = siblings;
            self.events.push_back(Event::ReplicaCountChanged(siblings));
        }
    }

    /// Takes the steps of returning service that are due.
    pub(super) fn step(&mut self, now: Time, out: &mut Vec<Output>) {
        self.returning.expire(now.0);
        self.returning
            .next_expiry()
            .into_iter()
            .for_each(|at| self.timers.set(Time(at), Due::Stage));
        let taken = &self.returning.transitions()[self.steps_told..];
        out.extend(
            taken
                .iter()
                .map(|taken| Output::StageReached(taken.stage, taken.evidence)),
        );
        self.steps_told = self.returning.transitions().len();
        self.reckon();
    }

    /// All that is known of servers was told: who was held is served.
    pub(super) fn serve(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.stage() >= RecoveryStage::PaidOnly {
            self.held
                .take_all()
                .for_each(|h| self.open(now, h.call, h.open, h.received, Some(now), out));
        }
    }

    /// How many fronts the module reckons with.
    pub fn replica_count(&self) -> u32 {
        self.siblings
    }

    /// What an open amounts to while service returns; `None`: it is served as ever.
    pub(super) fn not_yet(
        &mut self,
        now: Time,
        call: Call,
        open: &OpenRequest,
        received: Time,
    ) -> Option<Option<Answer>> {
        let paid = self.is_paid(open.class);
        match self.returning.admit(now.0, paid) {
            Admission::Serve => None,
            Admission::Queue => Some(self.hold(now, call, open, received)),
            Admission::RetryLater { after, over } => {
                let known = self.keys.get(&(open.tenant, open.key.clone()));
                if known.is_some() {
                    return None; // What plays is taken up, what ran is said to have run.
                }
                let dice = jitter(call.player.0.rotate_left(32) ^ call.number);
                let advice = after
                    .saturating_add((over as f64 * dice) as u64)
                    .min(self.settings.max_retry_after);
                Some(Some(self.not_served(open, advice)))
            }
        }
    }

    fn hold(
        &mut self,
        now: Time,
        call: Call,
        open: &OpenRequest,
        received: Time,
    ) -> Option<Answer> {
        let of_player =
            self.held.of(call.player) + self.players.get(&call.player).map_or(0, |p| p.waiting);
        if self
            .overload
            .admit(now, now, self.waiting + self.held.len(), of_player)
            == Load::TooManyPending
        {
            let advice = self.overload.retry_after(jitter(call.number));
            return Some(Answer::Rejected(RejectReason::TooManyPending, advice));
        }
        let (_, deadline) = self.patience(open, received);
        self.held.push(Held {
            call,
            open: open.clone(),
            received,
            deadline,
        });
        self.timers.set(deadline, Due::Held);
        None
    }

    /// What is said to who could not be served in time. Danger: a refusal says that nothing ran, and a former life may have run this
    /// key. Harm: where the disk was lost, a paid request that is new is told that it failed.
    pub(super) fn not_served(&self, open: &OpenRequest, advice: u64) -> Answer {
        let named = (open.tenant, open.key.clone());
        let sure = self.sound && !self.unsettled.contains(&named);
        if self.is_paid(open.class) && !sure {
            return Answer::Failed(FailureReason::NoAnswer);
        }
        Answer::Rejected(RejectReason::Recovering, advice)
    }

    /// Answers who can't wait any longer.
    pub(super) fn held_too_long(&mut self, now: Time, out: &mut Vec<Output>) {
        for held in self.held.take_due(now) {
            let advice = self
                .overload
                .retry_after(jitter(held.call.player.0 ^ held.call.number));
            out.push(Output::Answer(
                held.call,
                self.not_served(&held.open, advice),
            ));
        }
    }

    /// A paid key of a former life of which nobody said yet whether it ran.
    pub(super) fn unsettled(&mut self, tenant: u16, key: String) {
        self.unsettled.insert((tenant, key));
    }

    /// What became of a paid key of a former life: it ran (`Some`), or never did.
    pub(super) fn recovered(
        &mut self,
        tenant: u16,
        key: String,
        class: u8,
        past: Option<RequestOutcome>,
    ) {
        let named = (tenant, key);
        self.unsettled.remove(&named);
        let known = self.keys.get(&named).copied();
        let Some(past) = past else {
            // What this life has begun under the key since is none of the former one's.
            known.into_iter().for_each(|id| self.forget(id));
            return;
        };
        if known.is_some() {
            return;
        }
        self.last_request += 1;
        let id = RequestId(self.last_request);
        let ask = SessionRequest {
            request: id,
            tenant,
            class,
            ..SessionRequest::default()
        };
        let mut request = Request::new(ask, named.1.clone(), None, self.now);
        (request.standing, request.ran) = (KeyState::Ended(past), true);
        self.requests.insert(id, request);
        self.keys.insert(named, id);
        self.keep_or_forget(id);
    }

    /// A server holds a session that a former life set up: it is taken up, and waits for its viewer.
    pub(super) fn found(
        &mut self,
        now: Time,
        token: u64,
        open: OpenRequest,
        server: ServerId,
        out: &mut Vec<Output>,
    ) {
        let named = (open.tenant, open.key.clone());
        self.unsettled.remove(&named);
        let Some((id, attempt)) = self.plays_already(now, open, server) else {
            return out.push(Output::FoundSessionHandled {
                token,
                attempt: None,
                server,
            });
        };
        self.timers.set(
            Time(now.0.saturating_add(self.terms.recovered_resume_window)),
            Due::Away(id, 0),
        );
        out.push(Output::FoundSessionHandled {
            token,
            attempt: Some(attempt),
            server,
        });
    }
}
