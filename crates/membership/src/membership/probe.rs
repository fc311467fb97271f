//! Probes. A member is first probed directly, then through helpers, and becomes suspect if it answers neither.
use super::dissemination::Message;
use super::gossip_queue::GossipItem;
use super::{Membership, MembershipOutput};
use crate::local_health::LocalHealth;
use crate::member_state::MemberState;
use crate::wire::Body;
use crankpaddle_time::Time;

/// The phase of a probe.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ProbePhase {
    /// A direct acknowledgement is awaited until this time.
    AwaitingDirectAck { until: Time },
    /// The direct acknowledgement is overdue, and helpers were asked to probe the target.
    AwaitingIndirectAck,
    /// The target acknowledged the probe, directly or through a helper.
    Acknowledged,
}

/// The probe that this member has in progress.
#[derive(Clone)]
pub(super) struct Probe {
    target: String,
    sequence: u32,
    sent_at: Time,
    phase: ProbePhase,
    ends_at: Time,
    /// The number of helpers that were asked.
    helpers: usize,
    /// The number of helpers that sent a nack.
    nacks: usize,
}

impl Probe {
    /// When the probe must be advanced next.
    pub(super) fn next_expiry(&self) -> Time {
        match self.phase {
            ProbePhase::AwaitingDirectAck { until } => until,
            ProbePhase::AwaitingIndirectAck | ProbePhase::Acknowledged => self.ends_at,
        }
    }

    fn is_acknowledged(&self) -> bool {
        self.phase == ProbePhase::Acknowledged
    }

    fn has_missed_direct_ack(&self, now: Time) -> bool {
        matches!(self.phase, ProbePhase::AwaitingDirectAck { until } if now >= until)
    }
}

impl Membership {
    /// Advances the probe in progress, and begins the next one when it is due.
    pub(super) fn run_probe(&mut self, now: Time, out: &mut Vec<MembershipOutput>) {
        self.request_indirect_probes(now, out);
        if let Some(probe) = self.probe.take_if(|probe| now >= probe.ends_at) {
            self.finish_probe(now, &probe, out);
            self.next_probe_at = now;
        }
        if self.probe.is_none() && now >= self.next_probe_at {
            self.begin_probe(now, out);
        }
    }

    fn begin_probe(&mut self, now: Time, out: &mut Vec<MembershipOutput>) {
        self.next_probe_at = now + self.config.probe_interval;
        let Some(target) = self.next_probe_target() else {
            return;
        };
        let sequence = self.next_sequence();
        // The ping to a suspect carries the suspicion, so that the suspect can refute it at once.
        let items: Vec<GossipItem> = match self.members.state(&target) {
            Some(MemberState::Suspect) => vec![GossipItem::Member(target.clone())],
            _ => Vec::new(),
        };
        let ping = Body::Ping { sequence };
        if !self.send_to_member(now, &target, Message::new(&ping).with_items(&items), out) {
            return;
        }
        let multiplier = self.local_health_monitor.multiplier();
        let timeout = self.config.probe_timeout.saturating_mul(multiplier);
        let duration = self.config.probe_interval.saturating_mul(multiplier);
        let ends_at = now + duration;
        self.probe = Some(Probe {
            target,
            sequence,
            sent_at: now,
            phase: ProbePhase::AwaitingDirectAck {
                until: (now + timeout).min(ends_at),
            },
            ends_at,
            helpers: 0,
            nacks: 0,
        });
    }

    /// The next active member of the probe round; `None` if no member is active.
    fn next_probe_target(&mut self) -> Option<String> {
        loop {
            if let Some(name) = self.probe_round.pop() {
                if self.members.is_active(&name) {
                    return Some(name);
                }
                continue;
            }
            // Each round probes every active member once in a new random order, which bounds the time until a death is
            // detected.
            self.probe_round = self.choose_members(usize::MAX, "");
            if self.probe_round.is_empty() {
                return None;
            }
        }
    }

    /// Asks helpers to probe the target once its direct acknowledgement is overdue.
    fn request_indirect_probes(&mut self, now: Time, out: &mut Vec<MembershipOutput>) {
        let Some(probe) = self
            .probe
            .as_mut()
            .filter(|probe| probe.has_missed_direct_ack(now))
        else {
            return;
        };
        probe.phase = ProbePhase::AwaitingIndirectAck;
        let (target, sequence) = (probe.target.clone(), probe.sequence);
        let request = Body::PingRequest {
            sequence,
            target: target.clone(),
        };
        let mut helpers = 0;
        for helper in self.choose_members(self.config.indirect_probes, &target) {
            if self.send_to_member(now, &helper, Message::new(&request), out) {
                helpers += 1;
            }
        }
        // The target is also probed directly once more, since a lost datagram is more likely than a death.
        let ping = Body::Ping { sequence };
        let items = [GossipItem::Member(target.clone())];
        self.send_to_member(now, &target, Message::new(&ping).with_items(&items), out);
        if let Some(probe) = &mut self.probe {
            probe.helpers = helpers;
        }
    }

    /// Evaluates a probe that ended; without an acknowledgement the target becomes suspect.
    fn finish_probe(&mut self, now: Time, probe: &Probe, out: &mut Vec<MembershipOutput>) {
        self.local_health_monitor
            .record_probe(probe.is_acknowledged());
        if probe.is_acknowledged() {
            return;
        }
        // A missing nack shows that this member is likely to be the one that can't be reached. Without this check a member
        // whose own link is bad would suspect all others.
        if probe.nacks < probe.helpers {
            self.local_health_monitor.worsen();
        }
        self.update_local_health(now, out);
        if self.local_health == LocalHealth::Isolated || self.local_health_monitor.is_isolated(now)
        {
            return;
        }
        if self.members.is_active(&probe.target) {
            self.declare(now, &probe.target, MemberState::Suspect, out);
        }
    }

    /// Handles an acknowledgement of this member's own probe, or of one that it made on behalf of another member.
    pub(super) fn handle_ack(
        &mut self,
        now: Time,
        from: &str,
        sequence: u32,
        out: &mut Vec<MembershipOutput>,
    ) {
        self.forward_ack(now, sequence, out);
        let Some(probe) = self
            .probe
            .as_mut()
            .filter(|probe| probe.sequence == sequence && !probe.is_acknowledged())
        else {
            return;
        };
        probe.phase = ProbePhase::Acknowledged;
        // While this member's own health is bad a probe lasts longer than the probe interval. Once the target has answered, the
        // next probe need not wait until then.
        let regular_end = probe.sent_at + self.config.probe_interval;
        probe.ends_at = probe.ends_at.min(regular_end.max(now));
        if probe.target == from {
            let rtt = now.duration_since(probe.sent_at);
            if let Some(record) = self.members.get_mut(from) {
                record.rtt = Some(rtt);
            }
        }
    }

    /// Handles a nack: the target did not answer the helper, but the helper is alive.
    pub(super) fn handle_nack(&mut self, sequence: u32) {
        if let Some(probe) = &mut self.probe {
            if probe.sequence == sequence {
                probe.nacks += 1;
            }
        }
    }
}
