//! What goes out: news and entries on every datagram, the least told first, within the budget.
#[cfg(test)]
use super::MemberVersion;
use super::{Known, MemberState, Membership, Output, FORGET, MILLISECOND, SECOND};
use crate::gossip_state::Written;
use crate::wire::{Body, Builder, Head, News};

/// Time between two rounds of gossip while there is something new.
const GOSSIP: u64 = 200 * MILLISECOND;
/// Members told in each.
const FANOUT: usize = 3;
/// Each piece is told so many times the logarithm of the members.
const TOLD: f64 = 4.0;
/// Time between two digests.
const SYNC: u64 = SECOND;
/// Members and entries in a digest.
const DIGEST: (usize, usize) = (18, 10);
/// Time between two looks for who was lost.
const REJOIN: u64 = 2 * SECOND;
/// Part of the budget spared for probes and their answers.
const SPARED: f64 = 0.3;

/// What may be told.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Item {
    Member(String),
    Entry(String, u8),
}

impl Membership {
    /// Something new is to be told.
    pub(super) fn push(&mut self, item: Item, now: u64) {
        if let Some(told) = self.told.insert(item.clone(), 0) {
            self.pending.remove(&(told, item.clone()));
        }
        self.pending.insert((0, item));
        self.gossip_at = self.gossip_at.min(now.saturating_add(GOSSIP / 4));
    }

    fn news_of(&self, name: &str) -> Option<News> {
        if name == self.settings.name {
            let (address, by) = (self.settings.address.clone(), name.to_owned());
            return Some(News {
                name: name.to_owned(),
                address,
                at: self.me,
                by,
            });
        }
        let known = self.others.get(name)?;
        let (address, by) = (known.address.clone(), known.by.clone());
        Some(News {
            name: name.to_owned(),
            address,
            at: known.at,
            by,
        })
    }

    /// Sends a datagram with what fits of what is new. `spare`: the part of the budget that must stay.
    pub(super) fn send(
        &mut self,
        now: u64,
        to: (&str, &str),
        body: &Body,
        first: &[Item],
        spare: f64,
        out: &mut Vec<Output>,
    ) -> bool {
        let (name, address) = to;
        let head = Head {
            from: self.settings.name.clone(),
            address: self.settings.address.clone(),
            at: self.me,
            to: name.to_owned(),
        };
        let mut builder = Builder::new(&head, body);
        let mut told = Vec::new();
        let fresh: Vec<(u32, Item)> = self.pending.iter().take(40).cloned().collect();
        for (times, item) in first
            .iter()
            .map(|i| (None, i))
            .chain(fresh.iter().map(|(n, i)| (Some(*n), i)))
        {
            let fits = match item {
                Item::Member(name) => self.news_of(name).is_some_and(|news| builder.news(&news)),
                Item::Entry(owner, key) => self
                    .board
                    .written(now, owner, *key)
                    .is_some_and(|entry| builder.entry(&entry)),
            };
            if let (true, Some(times)) = (fits, times) {
                told.push((times, item.clone()));
            }
        }
        let bytes = builder.finish(&self.settings.key);
        let enough = self.budget.0.take(now, 1.0, spare)
            && self.budget.1.take(now, bytes.len() as f64, spare);
        if !enough {
            self.counters.held_back += 1;
            return false;
        }
        let most = (TOLD * ((self.others.len() + 2) as f64).log10()).ceil() as u32;
        for (times, item) in told {
            self.pending.remove(&(times, item.clone()));
            if times + 1 < most {
                self.pending.insert((times + 1, item.clone()));
                self.told.insert(item, times + 1);
            } else {
                self.told.remove(&item);
            }
        }
        self.counters.sent = (
            self.counters.sent.0 + 1,
            self.counters.sent.1 + bytes.len() as u64,
        );
        out.push(Output::Send {
            name: name.to_owned(),
            address: address.to_owned(),
            bytes,
        });
        true
    }

    pub(super) fn send_to(
        &mut self,
        now: u64,
        name: &str,
        body: &Body,
        first: &[Item],
        spare: f64,
        out: &mut Vec<Output>,
    ) -> bool {
        let Some(address) = self.others.get(name).map(|k| k.address.clone()) else {
            return false;
        };
        self.send(now, (name, &address), body, first, spare, out)
    }

    pub(super) fn gossip(&mut self, now: u64, out: &mut Vec<Output>) {
        self.gossip_at = if self.pending.is_empty() {
            u64::MAX
        } else {
            now.saturating_add(GOSSIP)
        };
        if self.pending.is_empty() {
            return;
        }
        for name in self.some(FANOUT, "") {
            self.send_to(now, &name, &Body::Gossip, &[], SPARED, out);
        }
    }

    /// Tells more often while there are differences.
    pub(super) fn sync_soon(&mut self, now: u64) {
        self.sync_at = self.sync_at.min(now.saturating_add(SYNC / 5));
    }

    /// Tells one member a part of what is known, round about; it answers with what it knows better.
    pub(super) fn sync(&mut self, now: u64, out: &mut Vec<Output>) {
        self.sync_at = now.saturating_add(SYNC);
        let Some(name) = self.some(1, "").pop() else {
            return;
        };
        let all = self.others.len() + 1;
        self.digest = self.digest.wrapping_add(DIGEST.0);
        let begin = self.digest % all;
        let own = (self.settings.name.clone(), self.me);
        // Round about: cut off at the end, the first by name would be told of least.
        let others = self
            .others
            .iter()
            .cycle()
            .skip(begin)
            .take(DIGEST.0.min(self.others.len()));
        let mut members: Vec<_> = others.map(|(name, k)| (name.clone(), k.at)).collect();
        members.push(own);
        let entries = self.board.versions(self.digest, DIGEST.1);
        self.send_to(
            now,
            &name,
            &Body::Digest { members, entries },
            &[],
            SPARED,
            out,
        );
    }

    /// Looks for one that was lost, or for somebody at all. Danger: after a partition each side takes the other for gone and
    /// nobody would ever ask again. The datagram tells the other what it is taken for, and it refutes.
    pub(super) fn rejoin(&mut self, now: u64, out: &mut Vec<Output>) {
        self.rejoin_at = now.saturating_add(REJOIN);
        let old =
            |k: &Known| k.at.state >= MemberState::Gone && now.saturating_sub(k.since) >= FORGET;
        let old: Vec<String> = self
            .others
            .iter()
            .filter(|(_, k)| old(k))
            .map(|(name, _)| name.clone())
            .collect();
        for name in old {
            let forgotten = self.others.remove(&name);
            self.counted(forgotten.map(|k| k.at.state), None);
            self.board.forget(&name);
        }
        let gone: Vec<String> = self
            .others
            .iter()
            .filter(|(_, k)| k.at.state == MemberState::Gone)
            .map(|(n, _)| n.clone())
            .collect();
        self.seq = self.seq.wrapping_add(1);
        let ping = Body::Ping { seq: self.seq };
        if !gone.is_empty() {
            let name = gone[self.rng.rand_range(0..gone.len() as u32) as usize].clone();
            self.send_to(
                now,
                &name,
                &ping,
                &[Item::Member(name.clone())],
                SPARED,
                out,
            );
        }
        let unmet = |seed: &&String| {
            **seed != self.settings.address
                && !self
                    .others
                    .values()
                    .any(|k| k.address == **seed && k.at.state < MemberState::Gone)
        };
        let unmet: Vec<String> = self.settings.seeds.iter().filter(unmet).cloned().collect();
        if !unmet.is_empty() {
            let seed = unmet[self.rng.rand_range(0..unmet.len() as u32) as usize].clone();
            self.send(now, ("", &seed), &ping, &[], SPARED, out);
        }
    }

    pub(super) fn write_as(&mut self, now: u64, key: u8, value: Vec<u8>, count: u32) {
        let owner = self.settings.name.clone();
        let (epoch, life) = (self.me.epoch, self.me.incarnation);
        let written = Written {
            owner: owner.clone(),
            key,
            epoch,
            life,
            count,
            age: 0,
            value,
        };
        self.own_entries.insert(key);
        if self.board.take(now, &written) {
            self.push(Item::Entry(owner, key), now);
        }
    }
}

/// For the model's check.
#[cfg(test)]
impl Membership {
    pub(crate) fn standpoint_of(&self, name: &str) -> Option<MemberVersion> {
        if name == self.settings.name {
            Some(self.me)
        } else {
            self.others.get(name).map(|k| k.at)
        }
    }

    /// A datagram with all that is known here.
    pub(crate) fn all_it_knows(&self, to: &str) -> Vec<u8> {
        let (from, address) = (self.settings.name.clone(), self.settings.address.clone());
        let head = Head {
            from,
            address,
            at: self.me,
            to: to.to_owned(),
        };
        let mut builder = Builder::new(&head, &Body::Gossip);
        for name in self.others.keys() {
            assert!(
                self.news_of(name).is_some_and(|news| builder.news(&news)),
                "it fits"
            );
        }
        builder.finish(&self.settings.key)
    }

    pub(crate) fn accuse(&mut self, name: &str, state: MemberState) {
        if let Some(known) = self.others.get(name).filter(|k| k.at.state < state) {
            let (at, address) = (MemberVersion { state, ..known.at }, known.address.clone());
            let by = self.settings.name.clone();
            self.learn(0, name, &address, at, &by, &mut Vec::new());
        }
    }
}
