//! Anti-entropy: members compare digests of what they know, so that they also get the updates that gossip did not deliver.
use super::dissemination::{Destination, Message, ANSWER_RESERVE, GOSSIP_RESERVE};
use super::gossip_queue::GossipItem;
use super::{Membership, MembershipOutput};
use crate::gossip_state::{EntryDigest, EntryKey};
use crate::wire::{Body, MemberDigest};
use crankpaddle_time::Time;
use std::time::Duration;

/// The time between two digests that a member sends.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum time to the next digest after a received one showed a difference: a fifth of the interval.
const SYNC_INTERVAL_ON_DIFFERENCE: Duration = Duration::from_millis(200);
/// The maximum number of other members in a digest.
const MAX_DIGEST_MEMBERS: usize = 18;
/// The maximum number of entries in a digest.
const MAX_DIGEST_ENTRIES: usize = 10;

/// How a received digest differs from what this member knows.
#[derive(Default)]
struct Difference {
    /// Items of which this member knows a later version than the sender.
    newer_here: Vec<GossipItem>,
    /// Members of which the sender knows a later version, or which are not known here.
    wanted_members: Vec<String>,
    /// Entries of which the sender knows a later version, or which are not known here.
    wanted_entries: Vec<EntryKey>,
}

impl Difference {
    fn is_empty(&self) -> bool {
        self.newer_here.is_empty()
            && self.wanted_members.is_empty()
            && self.wanted_entries.is_empty()
    }
}

impl Membership {
    /// Sends a digest of some members and entries to one member. It answers with the later versions that it knows, and requests
    /// those that it lacks.
    pub(super) fn sync(&mut self, now: Time, out: &mut Vec<MembershipOutput>) {
        self.next_sync_at = now + SYNC_INTERVAL;
        let Some(name) = self.choose_members(1, "").pop() else {
            return;
        };
        self.digest_cursor = self.digest_cursor.wrapping_add(MAX_DIGEST_MEMBERS);
        let body = Body::Digest {
            members: self.member_digest(),
            entries: self
                .gossip_state
                .digest(self.digest_cursor, MAX_DIGEST_ENTRIES),
        };
        let message = Message::new(&body).with_reserve(GOSSIP_RESERVE);
        self.send_to_member(now, &name, message, out);
    }

    /// The versions of the next members in turn, and of this one.
    fn member_digest(&self) -> Vec<MemberDigest> {
        let start = self.digest_cursor % (self.members.len() + 1);
        // The digest continues with the first members after the last one. If it stopped at the end of the table, the first
        // members by name would be sent least often.
        let mut digest: Vec<MemberDigest> = self
            .members
            .iter()
            .cycle()
            .skip(start)
            .take(MAX_DIGEST_MEMBERS.min(self.members.len()))
            .map(|(name, record)| MemberDigest {
                name: name.clone(),
                version: record.version,
            })
            .collect();
        digest.push(MemberDigest {
            name: self.config.name.clone(),
            version: self.own_version,
        });
        digest
    }

    /// Answers a digest with the updates that its sender lacks, and requests those that this member lacks.
    pub(super) fn answer_digest(
        &mut self,
        now: Time,
        from: Destination<'_>,
        members: Vec<MemberDigest>,
        entries: Vec<EntryDigest>,
        out: &mut Vec<MembershipOutput>,
    ) {
        let mut difference = Difference::default();
        self.compare_members(members, &mut difference);
        self.compare_entries(entries, &mut difference);
        if difference.is_empty() {
            return;
        }
        // If this member and the sender know different versions, other members probably do as well, so the next digest is sent
        // sooner.
        self.next_sync_at = self.next_sync_at.min(now + SYNC_INTERVAL_ON_DIFFERENCE);
        let body = Body::Pull {
            members: difference.wanted_members,
            entries: difference.wanted_entries,
        };
        let message = Message::new(&body)
            .with_items(&difference.newer_here)
            .with_reserve(ANSWER_RESERVE);
        self.send(now, from, message, out);
    }

    fn compare_members(&self, members: Vec<MemberDigest>, difference: &mut Difference) {
        for MemberDigest { name, version } in members {
            let known = if name == self.config.name {
                Some(self.own_version)
            } else {
                self.members.version(&name)
            };
            match known {
                Some(known) if known.supersedes(&version) => {
                    difference.newer_here.push(GossipItem::Member(name));
                }
                Some(known) if known == version => {}
                _ => difference.wanted_members.push(name),
            }
        }
    }

    fn compare_entries(&self, entries: Vec<EntryDigest>, difference: &mut Difference) {
        for EntryDigest { entry, version } in entries {
            match self.gossip_state.version(&entry) {
                Some(stored) if stored > version => {
                    difference.newer_here.push(GossipItem::Entry(entry));
                }
                Some(stored) if stored == version => {}
                _ => difference.wanted_entries.push(entry),
            }
        }
    }

    /// Answers a request for the updates of these members and entries.
    pub(super) fn answer_pull(
        &mut self,
        now: Time,
        from: Destination<'_>,
        members: Vec<String>,
        entries: Vec<EntryKey>,
        out: &mut Vec<MembershipOutput>,
    ) {
        let members = members.into_iter().map(GossipItem::Member);
        let entries = entries.into_iter().map(GossipItem::Entry);
        let items: Vec<GossipItem> = members.chain(entries).collect();
        if items.is_empty() {
            return;
        }
        let message = Message::new(&Body::Gossip)
            .with_items(&items)
            .with_reserve(ANSWER_RESERVE);
        self.send(now, from, message, out);
    }
}
