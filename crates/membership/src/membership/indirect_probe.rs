//! Indirect probes, which this member makes on behalf of another one that got no direct answer.
use super::dissemination::Message;
use super::gossip_queue::GossipItem;
use super::{Membership, MembershipOutput};
use crate::wire::Body;
use crankpaddle_time::Time;

/// The maximum number of indirect probes in progress. Requests beyond it are dropped.
const MAX_INDIRECT_PROBES: usize = 64;

/// A probe made on behalf of another member.
#[derive(Clone)]
pub(super) struct IndirectProbe {
    requester: String,
    requester_sequence: u32,
    deadline: Time,
}

impl IndirectProbe {
    /// When a nack is sent to the requester unless the target has answered.
    pub(super) fn next_expiry(&self) -> Time {
        self.deadline
    }
}

impl Membership {
    /// Probes `target` on behalf of `requester`.
    pub(super) fn begin_indirect_probe(
        &mut self,
        now: Time,
        requester: &str,
        requester_sequence: u32,
        target: &str,
        out: &mut Vec<MembershipOutput>,
    ) {
        let sequence = self.next_sequence();
        if self.indirect_probes.len() >= MAX_INDIRECT_PROBES {
            return;
        }
        let ping = Body::Ping { sequence };
        let items = [GossipItem::Member(target.to_owned())];
        if !self.send_to_member(now, target, Message::new(&ping).with_items(&items), out) {
            return;
        }
        let probe = IndirectProbe {
            requester: requester.to_owned(),
            requester_sequence,
            deadline: now + self.config.probe_timeout,
        };
        self.indirect_probes.insert(sequence, probe);
    }

    /// Forwards the acknowledgement of an indirect probe to its requester.
    pub(super) fn forward_ack(
        &mut self,
        now: Time,
        sequence: u32,
        out: &mut Vec<MembershipOutput>,
    ) {
        let Some(probe) = self.indirect_probes.remove(&sequence) else {
            return;
        };
        let ack = Body::Ack {
            sequence: probe.requester_sequence,
        };
        self.send_to_member(now, &probe.requester, Message::new(&ack), out);
    }

    /// Ends indirect probes that got no answer in time. The nack shows the requester that it can at least reach this member.
    pub(super) fn expire_indirect_probes(&mut self, now: Time, out: &mut Vec<MembershipOutput>) {
        let expired: Vec<u32> = self
            .indirect_probes
            .iter()
            .filter(|(_, probe)| now >= probe.deadline)
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in expired {
            let Some(probe) = self.indirect_probes.remove(&sequence) else {
                continue;
            };
            let nack = Body::Nack {
                sequence: probe.requester_sequence,
            };
            self.send_to_member(now, &probe.requester, Message::new(&nack), out);
        }
    }
}
