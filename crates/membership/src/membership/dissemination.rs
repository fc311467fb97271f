//! Outgoing datagrams. Each one carries as many queued updates as fit, those sent least often first, and is sent only if the
//! send budget allows it.
use super::gossip_queue::{GossipItem, QueuedItem};
use super::{Membership, MembershipOutput};
use crate::wire::{Body, DatagramBuilder, Header, MemberUpdate};
use crankpaddle_time::Time;
use std::time::Duration;

/// The time between two rounds of gossip while there are updates to disseminate.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// The maximum time from a new update to the next round of gossip: a quarter of the interval.
const MAX_GOSSIP_DELAY: Duration = Duration::from_millis(50);
/// The number of members that each round is sent to.
const GOSSIP_FANOUT: usize = 3;
/// The number of times that an update is sent is this multiple of the decimal logarithm of the fleet size (SWIM's lambda).
const RETRANSMIT_MULTIPLIER: f64 = 4.0;
/// The number of queued updates that are considered for one datagram. More would not fit.
const MAX_UPDATES_PER_DATAGRAM: usize = 40;

/// The fraction of the send budget that gossip, digests and rejoining leave for probes and answers.
pub(super) const GOSSIP_RESERVE: f64 = 0.3;
/// The fraction of the send budget that answers with updates leave for probes and acknowledgements.
pub(super) const ANSWER_RESERVE: f64 = 0.2;

/// The receiver of a datagram.
#[derive(Clone, Copy)]
pub(super) struct Destination<'a> {
    /// The member's name; empty if it is not known yet.
    pub(super) name: &'a str,
    pub(super) address: &'a str,
}

/// A datagram to send.
#[derive(Clone, Copy)]
pub(super) struct Message<'a> {
    body: &'a Body,
    /// Items whose updates are added before the queued ones.
    priority_items: &'a [GossipItem],
    /// The fraction of the send budget that must remain after the datagram is sent.
    reserve: f64,
}

impl<'a> Message<'a> {
    /// A message that may use the whole send budget, as probes and their answers do.
    pub(super) fn new(body: &'a Body) -> Message<'a> {
        Message {
            body,
            priority_items: &[],
            reserve: 0.0,
        }
    }

    /// Adds items whose updates are sent before the queued ones.
    pub(super) fn with_items(self, priority_items: &'a [GossipItem]) -> Message<'a> {
        Message {
            priority_items,
            ..self
        }
    }

    /// Sends the message only if this fraction of the send budget remains.
    pub(super) fn with_reserve(self, reserve: f64) -> Message<'a> {
        Message { reserve, ..self }
    }
}

/// An encoded datagram, and the queued items whose updates it carries.
struct EncodedDatagram {
    bytes: Vec<u8>,
    queued_items: Vec<QueuedItem>,
}

impl Membership {
    /// Queues an item for dissemination.
    pub(super) fn enqueue(&mut self, item: GossipItem, now: Time) {
        self.gossip_queue.push(item);
        self.next_gossip_at = self.next_gossip_at.min(now + MAX_GOSSIP_DELAY);
    }

    /// Queues this member's own version for dissemination.
    pub(super) fn enqueue_own_version(&mut self, now: Time) {
        self.enqueue(GossipItem::Member(self.config.name.clone()), now);
    }

    /// An update with what is known of a member, which may be this one; `None` if the member is not known.
    pub(super) fn member_update(&self, name: &str) -> Option<MemberUpdate> {
        if name == self.config.name {
            return Some(MemberUpdate {
                name: name.to_owned(),
                address: self.config.address.clone(),
                version: self.own_version,
                reported_by: name.to_owned(),
            });
        }
        let record = self.members.get(name)?;
        Some(MemberUpdate {
            name: name.to_owned(),
            address: record.address.clone(),
            version: record.version,
            reported_by: record.reported_by.clone(),
        })
    }

    /// Sends a datagram, filled up with queued updates. Returns false if the send budget does not allow it.
    pub(super) fn send(
        &mut self,
        now: Time,
        to: Destination<'_>,
        message: Message<'_>,
        out: &mut Vec<MembershipOutput>,
    ) -> bool {
        let datagram = self.encode(now, to.name, message);
        let size = datagram.bytes.len();
        if !self.send_budget.try_take(now, size, message.reserve) {
            self.counters.over_budget += 1;
            return false;
        }
        let limit = self.transmit_limit();
        for queued in datagram.queued_items {
            self.gossip_queue.record_transmission(queued, limit);
        }
        self.counters.datagrams_sent += 1;
        self.counters.bytes_sent += size as u64;
        out.push(MembershipOutput::Send {
            name: to.name.to_owned(),
            address: to.address.to_owned(),
            bytes: datagram.bytes,
        });
        true
    }

    /// Sends a datagram to a known member at the address that it announced. Returns false if the member is not known or the
    /// send budget does not allow it.
    pub(super) fn send_to_member(
        &mut self,
        now: Time,
        name: &str,
        message: Message<'_>,
        out: &mut Vec<MembershipOutput>,
    ) -> bool {
        let Some(record) = self.members.get(name) else {
            return false;
        };
        let address = record.address.clone();
        let to = Destination {
            name,
            address: &address,
        };
        self.send(now, to, message, out)
    }

    /// Sends one round of gossip if there are updates to disseminate.
    pub(super) fn gossip(&mut self, now: Time, out: &mut Vec<MembershipOutput>) {
        if self.gossip_queue.is_empty() {
            self.next_gossip_at = Time::MAX;
            return;
        }
        self.next_gossip_at = now + GOSSIP_INTERVAL;
        for name in self.choose_members(GOSSIP_FANOUT, "") {
            let message = Message::new(&Body::Gossip).with_reserve(GOSSIP_RESERVE);
            self.send_to_member(now, &name, message, out);
        }
    }

    fn encode(&self, now: Time, to: &str, message: Message<'_>) -> EncodedDatagram {
        let mut builder = DatagramBuilder::new(&self.header(to), message.body);
        for item in message.priority_items {
            self.add_item(now, item, &mut builder);
        }
        let mut queued_items = self.gossip_queue.least_sent(MAX_UPDATES_PER_DATAGRAM);
        queued_items.retain(|queued| self.add_item(now, &queued.item, &mut builder));
        EncodedDatagram {
            bytes: builder.finish(&self.config.key),
            queued_items,
        }
    }

    pub(super) fn header(&self, to: &str) -> Header {
        Header {
            from: self.config.name.clone(),
            address: self.config.address.clone(),
            version: self.own_version,
            to: to.to_owned(),
        }
    }

    /// Adds the update of an item. Returns false if it does not fit, or the item is not known any more.
    fn add_item(&self, now: Time, item: &GossipItem, builder: &mut DatagramBuilder) -> bool {
        match item {
            GossipItem::Member(name) => self
                .member_update(name)
                .is_some_and(|update| builder.add_member_update(&update)),
            GossipItem::Entry(entry) => self
                .gossip_state
                .update(now, entry)
                .is_some_and(|update| builder.add_entry_update(&update)),
        }
    }

    /// The number of times that each update is sent.
    fn transmit_limit(&self) -> u32 {
        // The fleet includes this member. One more is added so that the logarithm is above zero even for a single member.
        let fleet_size = (self.members.len() + 2) as f64;
        (RETRANSMIT_MULTIPLIER * fleet_size.log10()).ceil() as u32
    }
}
