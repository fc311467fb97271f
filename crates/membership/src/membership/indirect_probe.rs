//! Indirect probes: probes made on behalf of another member that got no direct answer.
use super::dissemination::Message;
use super::gossip_queue::GossipItem;
use super::{Membership, Output};
use crate::wire::Body;
use crankpaddle_time::Time;

/// Indirect probes in progress at most; further requests are dropped.
const MAX_INDIRECT_PROBES: usize = 64;

/// A probe made on behalf of another member.
#[derive(Clone)]
pub(super) struct IndirectProbe {
    requester: String,
    requester_sequence: u32,
    until: Time,
}

impl IndirectProbe {
    /// When the requester is sent a nack unless the target answered.
    pub(super) fn next_expiry(&self) -> Time {
        self.until
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
        out: &mut Vec<Output>,
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
            until: now + self.config.probe_timeout,
        };
        self.indirect_probes.insert(sequence, probe);
    }

    /// Forwards the acknowledgement of an indirect probe to its requester.
    pub(super) fn forward_ack(&mut self, now: Time, sequence: u32, out: &mut Vec<Output>) {
        let Some(probe) = self.indirect_probes.remove(&sequence) else {
            return;
        };
        let ack = Body::Ack {
            sequence: probe.requester_sequence,
        };
        self.send_to_member(now, &probe.requester, Message::new(&ack), out);
    }

    /// Ends indirect probes without an answer: the nack shows their requesters that at least this member is alive.
    pub(super) fn expire_indirect_probes(&mut self, now: Time, out: &mut Vec<Output>) {
        let expired: Vec<u32> = self
            .indirect_probes
            .iter()
            .filter(|(_, probe)| now >= probe.until)
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
