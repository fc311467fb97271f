//! What is heard: whose datagrams count, what they tell of others, and what they tell of us.
use super::{
    Budget, Item, Known, LocalHealth, MemberChange, MemberState, MemberVersion, Membership, Output,
    Suspicion, CONFLICTS, CONTESTED, SETTLED,
};
use crate::wire::{self, Body, News};

/// What one member may ask of us a second.
const ASKED: f64 = 25.0;
/// A count that no honest process comes near.
const MANY: u32 = u32::MAX / 2;

impl Membership {
    /// Takes a datagram that came from an address.
    pub fn receive(&mut self, now: u64, from: &str, bytes: &[u8], out: &mut Vec<Output>) {
        if self.replaced || self.left {
            return;
        }
        let datagram = match wire::read(&self.settings.key, bytes) {
            Ok(datagram) => datagram,
            Err(fault) => return self.fault(fault),
        };
        self.counters.heard += 1;
        let (head, name) = (&datagram.head, datagram.head.from.clone());
        if name == self.settings.name {
            if head.at.incarnation != self.me.incarnation {
                self.conflict(now, head.at, out);
            }
            return self.stand(now, out);
        }
        if !head.to.is_empty() && head.to != self.settings.name {
            self.counters.strays += 1;
            return;
        }
        if let Some(known) = self.others.get(&name) {
            if known.at.supersedes(&head.at) && !known.at.is_same_incarnation(&head.at) {
                // Danger: an old process's datagrams, still on their way, would undo what its successor says. But it may be
                // the successor, on a host whose wall clock was set back: it is told, and raises its epoch.
                self.counters.old_lives += 1;
                if self.may_answer(now, &name) {
                    self.send(
                        now,
                        (&name, from),
                        &Body::Gossip,
                        &[Item::Member(name.clone())],
                        0.2,
                        out,
                    );
                }
                return;
            }
        }
        self.learn(now, &name, &head.address, head.at, &name, out);
        for news in &datagram.news {
            self.news(now, news, out);
        }
        for entry in &datagram.entries {
            self.entered(now, entry);
        }
        self.answer(now, &name, from, datagram.body, out);
        self.stand(now, out);
    }

    /// Danger: one that floods would have us answer as fast as it asks. It gets so many answers a second, and what it tells is
    /// taken all the same.
    fn may_answer(&mut self, now: u64, name: &str) -> bool {
        let may = self
            .others
            .get_mut(name)
            .is_none_or(|k| k.answers.take(now, 1.0, 0.0));
        self.counters.floods += u64::from(!may);
        may
    }

    fn answer(&mut self, now: u64, name: &str, from: &str, body: Body, out: &mut Vec<Output>) {
        match body {
            Body::Ack { seq } => self.acked(now, name, seq, out),
            Body::Nack { seq } => self.nacked(seq),
            Body::Gossip => {}
            _ if !self.may_answer(now, name) => {}
            Body::Ping { seq } => {
                // One that we take for gone hears so, and refutes.
                let odd = self
                    .others
                    .get(name)
                    .is_some_and(|k| k.at.state != MemberState::Alive);
                let first: Vec<Item> = odd
                    .then(|| Item::Member(name.to_owned()))
                    .into_iter()
                    .collect();
                self.send(now, (name, from), &Body::Ack { seq }, &first, 0.0, out);
            }
            Body::PingFor { seq, target } if target == self.settings.name => {
                self.send(now, (name, from), &Body::Ack { seq }, &[], 0.0, out);
            }
            Body::PingFor { seq, target } => self.help(now, name, seq, &target, out),
            Body::Digest { members, entries } => {
                let mut better = Vec::new();
                let mut want = (Vec::new(), Vec::new());
                for (of, at) in members {
                    let known = if of == self.settings.name {
                        Some(self.me)
                    } else {
                        self.others.get(&of).map(|k| k.at)
                    };
                    match known {
                        Some(known) if known.supersedes(&at) => better.push(Item::Member(of)),
                        Some(known) if known == at => {}
                        _ => want.0.push(of),
                    }
                }
                for (owner, key, version) in entries {
                    match self.board.version(&owner, key) {
                        Some(held) if held > version => better.push(Item::Entry(owner, key)),
                        Some(held) if held == version => {}
                        _ => want.1.push((owner, key)),
                    }
                }
                if !better.is_empty() || !want.0.is_empty() || !want.1.is_empty() {
                    self.sync_soon(now); // Where two differ, others do.
                    let want = Body::Want {
                        members: want.0,
                        entries: want.1,
                    };
                    self.send(now, (name, from), &want, &better, 0.2, out);
                }
            }
            Body::Want { members, entries } => {
                let items = members.into_iter().map(Item::Member);
                let items: Vec<Item> = items
                    .chain(entries.into_iter().map(|(o, k)| Item::Entry(o, k)))
                    .collect();
                if !items.is_empty() {
                    self.send(now, (name, from), &Body::Gossip, &items, 0.2, out);
                }
            }
        }
    }

    fn news(&mut self, now: u64, news: &News, out: &mut Vec<Output>) {
        if news.name == self.settings.name {
            return self.told_of_us(now, news.at, out);
        }
        self.learn(now, &news.name, &news.address, news.at, &news.by, out);
    }

    /// Takes news of another member, if it is news.
    pub(super) fn learn(
        &mut self,
        now: u64,
        name: &str,
        address: &str,
        at: MemberVersion,
        by: &str,
        out: &mut Vec<Output>,
    ) {
        let before = self.others.get(name).map(|k| k.at);
        match before {
            Some(before) if !at.supersedes(&before) => {
                // Another that suspects the same: the time to refute shortens, and that is told on.
                let known = self
                    .others
                    .get_mut(name)
                    .filter(|_| at == before && at.state == MemberState::Suspect);
                let Some(known) = known else { return };
                if known.suspicion.as_mut().is_some_and(|s| s.confirm(by)) {
                    by.clone_into(&mut known.by);
                    self.push(Item::Member(name.to_owned()), now);
                }
                return;
            }
            // Of one that is not known nothing but that it lives is worth keeping.
            None if at.state != MemberState::Alive && at.state != MemberState::Suspect => return,
            _ => {}
        }
        let restarted = before.is_some_and(|b| !b.is_same_incarnation(&at));
        let changed = before.is_none_or(|b| b.state != at.state) || restarted;
        let every = self.settings.probe_interval;
        let suspicion =
            (at.state == MemberState::Suspect).then(|| Suspicion::new(now, by, self.alive, every));
        self.counted(before.map(|b| b.state), Some(at.state));
        let _ = if suspicion.is_some() {
            self.suspects.insert(name.to_owned())
        } else {
            self.suspects.remove(name)
        };
        let known = self.others.entry(name.to_owned()).or_insert_with(|| Known {
            at,
            address: address.to_owned(),
            since: now,
            by: by.to_owned(),
            rtt: None,
            suspicion: None,
            answers: Budget::new(ASKED, now),
        });
        (known.at, known.suspicion) = (at, suspicion);
        if at.state <= MemberState::Suspect {
            known.address = address.to_owned();
        }
        by.clone_into(&mut known.by);
        if changed {
            known.since = now;
            out.push(Output::MemberChanged(MemberChange {
                name: name.to_owned(),
                state: at.state,
                by: by.to_owned(),
                restarted,
            }));
        }
        if at.state == MemberState::Left {
            self.board.forget(name);
        }
        self.push(Item::Member(name.to_owned()), now);
    }

    /// What others say of us. A suspicion is refuted; a word of another life is a conflict over the name.
    fn told_of_us(&mut self, now: u64, at: MemberVersion, out: &mut Vec<Output>) {
        if !at.is_same_incarnation(&self.me) {
            if at.supersedes(&self.me) {
                self.conflict(now, at, out);
            }
            return;
        }
        if at.state == MemberState::Left || at.refutations >= MANY {
            // Nobody but us says that we leave, or counts so far.
            self.counters.forged += 1;
            return self.renew(now, self.me.epoch + 1);
        }
        if at.state != MemberState::Alive && at.refutations >= self.me.refutations {
            self.me.refutations = at.refutations + 1;
            self.health.worsen();
            self.push(Item::Member(self.settings.name.clone()), now);
        } else if at.refutations > self.me.refutations {
            self.counters.forged += 1;
            self.me.refutations = at.refutations;
        }
    }

    /// Another process, or another life of ours, has our name.
    ///
    /// Right after a start it is our former life, on a clock that was ahead: we raise our epoch over it. Danger: two processes
    /// that are configured under one name would raise theirs in turn for ever; the one that has been there for longer gives
    /// way, and says so. Harm: a liar that keeps at it can silence a front on the board; its rules do not need the board.
    fn conflict(&mut self, now: u64, other: MemberVersion, out: &mut Vec<Output>) {
        self.counters.conflicts += 1;
        let ours = (self.me.epoch, self.me.incarnation);
        if ours > (other.epoch, other.incarnation) {
            return self.push(Item::Member(self.settings.name.clone()), now);
        }
        if now.saturating_sub(self.conflicts.1) > CONTESTED {
            self.conflicts = (0, now);
        }
        self.conflicts.0 += 1;
        if now.saturating_sub(self.started) >= SETTLED && self.conflicts.0 >= CONFLICTS {
            self.replaced = true;
            self.standing = LocalHealth::Replaced;
            return out.push(Output::LocalHealthChanged(LocalHealth::Replaced));
        }
        self.renew(now, other.epoch.saturating_add(1));
    }

    /// Our epoch rises; entries are written anew under it.
    fn renew(&mut self, now: u64, epoch: u64) {
        (self.me.epoch, self.me.refutations) = (epoch, 0);
        self.push(Item::Member(self.settings.name.clone()), now);
        for key in self.own_entries.clone() {
            if let Some(entry) = self.board.read(now, &self.settings.name, key) {
                self.write_as(now, key, entry.value, 1);
            }
        }
    }

    fn entered(&mut self, now: u64, entry: &crate::gossip_state::Written) {
        let (life, ours) = (
            (entry.epoch, entry.life),
            (self.me.epoch, self.me.incarnation),
        );
        if entry.owner == self.settings.name {
            let held = self.board.version(&self.settings.name, entry.key);
            let own = held.is_some_and(|held| held == (entry.epoch, entry.life, entry.count));
            if own
                || life < ours
                || held.is_some_and(|held| held > (entry.epoch, entry.life, entry.count))
            {
                return;
            }
            // A peer that wrote for us: we write over it. Where it counted beyond all reason, under a new epoch.
            self.counters.forged += 1;
            if entry.count >= MANY || life > ours {
                return self.renew(now, entry.epoch.max(self.me.epoch).saturating_add(1));
            }
            if let Some(right) = self.board.read(now, &self.settings.name, entry.key) {
                self.write_as(now, entry.key, right.value, entry.count + 1);
            }
            return;
        }
        // Only what the owner's present life wrote counts.
        let known = self
            .others
            .get(&entry.owner)
            .filter(|k| k.at.state != MemberState::Left);
        if known.is_some_and(|k| (k.at.epoch, k.at.incarnation) == life)
            && self.board.take(now, entry)
        {
            self.push(Item::Entry(entry.owner.clone(), entry.key), now);
        }
    }
}
