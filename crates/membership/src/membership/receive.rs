//! Received datagrams: which ones are accepted, and how they are answered.
use super::dissemination::{Destination, Message, ANSWER_RESERVE};
use super::gossip_queue::GossipItem;
use super::{Membership, MembershipOutput};
use crate::member_state::{MemberState, MemberVersion};
use crate::wire::{self, Body, Datagram, MemberUpdate};
use crankpaddle_time::Time;

impl Membership {
    /// Handles a datagram that was received from the address `from` at `now`.
    pub fn receive(
        &mut self,
        now: Time,
        from: &str,
        bytes: &[u8],
        out: &mut Vec<MembershipOutput>,
    ) {
        if !self.is_participating() {
            return;
        }
        let datagram = match wire::decode(&self.config.key, bytes) {
            Ok(datagram) => datagram,
            Err(error) => return self.counters.record_decode_error(error),
        };
        self.counters.datagrams_received += 1;
        let header = &datagram.header;
        if header.from == self.config.name {
            self.handle_own_name(now, header.version, out);
            return;
        }
        if !header.to.is_empty() && header.to != self.config.name {
            self.counters.misaddressed += 1;
            return;
        }
        if self.is_from_previous_incarnation(&header.from, header.version) {
            let sender = Destination {
                name: &header.from,
                address: from,
            };
            self.reject_previous_incarnation(now, sender, out);
            return;
        }
        self.handle_datagram(now, from, datagram, out);
        self.update_local_health(now, out);
    }

    /// Handles a datagram whose sender uses this member's name. It is either one of its own that came back, or another process
    /// sent it.
    fn handle_own_name(
        &mut self,
        now: Time,
        version: MemberVersion,
        out: &mut Vec<MembershipOutput>,
    ) {
        if version.incarnation != self.own_version.incarnation {
            self.handle_name_conflict(now, version, out);
        }
        self.update_local_health(now, out);
    }

    fn is_from_previous_incarnation(&self, sender: &str, version: MemberVersion) -> bool {
        self.members
            .version(sender)
            .is_some_and(|known| known.supersedes(&version) && !known.is_same_incarnation(&version))
    }

    /// Drops a datagram of a previous incarnation. Such a datagram may still have been in transit, and would undo what the
    /// sender's present incarnation announced.
    ///
    /// The known version is sent to the sender nevertheless. The sender may be the present incarnation, on a host whose wall
    /// clock was set back, and then it raises its epoch.
    fn reject_previous_incarnation(
        &mut self,
        now: Time,
        sender: Destination<'_>,
        out: &mut Vec<MembershipOutput>,
    ) {
        self.counters.previous_incarnation += 1;
        if !self.may_answer(now, sender.name) {
            return;
        }
        let items = [GossipItem::Member(sender.name.to_owned())];
        let message = Message::new(&Body::Gossip)
            .with_items(&items)
            .with_reserve(ANSWER_RESERVE);
        self.send(now, sender, message, out);
    }

    fn handle_datagram(
        &mut self,
        now: Time,
        from: &str,
        datagram: Datagram,
        out: &mut Vec<MembershipOutput>,
    ) {
        let header = datagram.header;
        let sender_update = MemberUpdate {
            reported_by: header.from.clone(),
            name: header.from.clone(),
            address: header.address,
            version: header.version,
        };
        self.apply_member_update(now, &sender_update, out);
        for update in &datagram.member_updates {
            if update.name == self.config.name {
                self.handle_update_of_self(now, update.version, out);
            } else {
                self.apply_member_update(now, update, out);
            }
        }
        for update in &datagram.entry_updates {
            self.apply_entry_update(now, update);
        }
        let sender = Destination {
            name: &header.from,
            address: from,
        };
        self.handle_body(now, sender, datagram.body, out);
    }

    fn handle_body(
        &mut self,
        now: Time,
        sender: Destination<'_>,
        body: Body,
        out: &mut Vec<MembershipOutput>,
    ) {
        match body {
            Body::Ack { sequence } => self.handle_ack(now, sender.name, sequence, out),
            Body::Nack { sequence } => self.handle_nack(sequence),
            Body::Gossip => {}
            request if self.may_answer(now, sender.name) => {
                self.answer(now, sender, request, out);
            }
            _ => {}
        }
    }

    fn answer(
        &mut self,
        now: Time,
        sender: Destination<'_>,
        request: Body,
        out: &mut Vec<MembershipOutput>,
    ) {
        match request {
            Body::Ping { sequence } => self.answer_ping(now, sender, sequence, out),
            Body::PingRequest { sequence, target } if target == self.config.name => {
                let ack = Body::Ack { sequence };
                self.send(now, sender, Message::new(&ack), out);
            }
            Body::PingRequest { sequence, target } => {
                self.begin_indirect_probe(now, sender.name, sequence, &target, out);
            }
            Body::Digest { members, entries } => {
                self.answer_digest(now, sender, members, entries, out);
            }
            Body::Pull { members, entries } => {
                self.answer_pull(now, sender, members, entries, out);
            }
            Body::Ack { .. } | Body::Nack { .. } | Body::Gossip => {}
        }
    }

    fn answer_ping(
        &mut self,
        now: Time,
        sender: Destination<'_>,
        sequence: u32,
        out: &mut Vec<MembershipOutput>,
    ) {
        // A sender that is known as suspect, dead or left gets that state with the answer, so that it can refute it.
        let items: Vec<GossipItem> = match self.members.state(sender.name) {
            None | Some(MemberState::Alive) => Vec::new(),
            Some(_) => vec![GossipItem::Member(sender.name.to_owned())],
        };
        let ack = Body::Ack { sequence };
        self.send(now, sender, Message::new(&ack).with_items(&items), out);
    }

    /// Whether a request of a member is answered. The number of answers per second is limited, so that a member which floods
    /// this one with requests can't make it answer at the same rate. The updates that come with such requests are applied
    /// nevertheless.
    fn may_answer(&mut self, now: Time, name: &str) -> bool {
        let Some(record) = self.members.get_mut(name) else {
            return true;
        };
        let allowed = record.answer_limit.try_take(now, 1.0, 0.0);
        if !allowed {
            self.counters.rate_limited += 1;
        }
        allowed
    }
}
