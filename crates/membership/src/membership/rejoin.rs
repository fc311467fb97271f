//! Rejoining: dead members and unreached seeds are probed from time to time. Members that have been dead, or left, for long are
//! removed.
use super::dissemination::{Destination, Message, GOSSIP_RESERVE};
use super::gossip_queue::GossipItem;
use super::{Membership, MembershipOutput};
use crate::member_state::MemberState;
use crate::wire::Body;
use crankpaddle_time::Time;
use std::time::Duration;

/// The time between two attempts to reach a dead member and a seed.
const REJOIN_INTERVAL: Duration = Duration::from_secs(2);
/// How long a member that is dead or has left is kept before it is removed.
const INACTIVE_RETENTION: Duration = Duration::from_secs(600);

impl Membership {
    /// Probes one dead member and one seed that is not an active member.
    ///
    /// After a partition each side has declared the members of the other side dead, and would never probe them again otherwise.
    /// The ping to a dead member carries the state that is known of it, so that it can refute that.
    pub(super) fn rejoin(&mut self, now: Time, out: &mut Vec<MembershipOutput>) {
        self.next_rejoin_at = now + REJOIN_INTERVAL;
        self.remove_inactive(now);
        let dead_members = self.dead_members();
        let ping = Body::Ping {
            sequence: self.next_sequence(),
        };
        if let Some(name) = self.choose_one(&dead_members) {
            let items = [GossipItem::Member(name.clone())];
            let message = Message::new(&ping)
                .with_items(&items)
                .with_reserve(GOSSIP_RESERVE);
            self.send_to_member(now, &name, message, out);
        }
        let seeds = self.unreached_seeds();
        if let Some(address) = self.choose_one(&seeds) {
            let to = Destination {
                name: "",
                address: &address,
            };
            let message = Message::new(&ping).with_reserve(GOSSIP_RESERVE);
            self.send(now, to, message, out);
        }
    }

    /// Removes the members that have been dead, or left, for [`INACTIVE_RETENTION`].
    fn remove_inactive(&mut self, now: Time) {
        let expired: Vec<String> = self
            .members
            .iter()
            .filter(|(_, record)| !record.version.state.is_active())
            .filter(|(_, record)| now.duration_since(record.since) >= INACTIVE_RETENTION)
            .map(|(name, _)| name.clone())
            .collect();
        for name in expired {
            self.members.remove(&name);
            self.gossip_state.remove_owner(&name);
        }
    }

    fn dead_members(&self) -> Vec<String> {
        self.members
            .iter()
            .filter(|(_, record)| record.version.state == MemberState::Dead)
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// The seeds at whose address no active member is known.
    fn unreached_seeds(&self) -> Vec<String> {
        let is_reached = |seed: &String| {
            self.members
                .iter()
                .any(|(_, record)| record.address == *seed && record.version.state.is_active())
        };
        self.config
            .seeds
            .iter()
            .filter(|seed| **seed != self.config.address && !is_reached(seed))
            .cloned()
            .collect()
    }

    /// Chooses one of the candidates at random; `None` if there are none.
    fn choose_one(&mut self, candidates: &[String]) -> Option<String> {
        if candidates.is_empty() {
            return None;
        }
        let index = self.rng.rand_range(0..candidates.len() as u32) as usize;
        Some(candidates[index].clone())
    }
}
