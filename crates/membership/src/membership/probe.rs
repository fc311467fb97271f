//! Probes: directly, then by helpers; who answers neither way is suspected, and gone if it does not refute in time.
use super::{Item, LocalHealth, MemberState, MemberVersion, Membership, Output, SECOND};
use crate::wire::Body;

#[derive(Clone)]
pub(crate) struct Probe {
    pub target: String,
    pub seq: u32,
    pub sent: u64,
    pub direct: u64, // Until when a direct answer is waited for; 0: helpers were asked.
    pub ends: u64,
    pub acked: bool,
    pub helpers: usize,
    pub nacks: usize,
}

impl Probe {
    pub(super) fn next(&self) -> u64 {
        if self.direct > 0 && !self.acked {
            self.direct
        } else {
            self.ends
        }
    }
}

/// A probe made for another.
#[derive(Clone)]
pub(crate) struct Help {
    pub name: String,
    pub seq: u32,
    pub until: u64,
}

impl Membership {
    pub(super) fn probes(&mut self, now: u64, out: &mut Vec<Output>) {
        self.ask_helpers(now, out);
        let over = self.probe.as_ref().is_some_and(|p| now >= p.ends);
        if over {
            if let Some(probe) = self.probe.take() {
                self.probed(now, &probe, out);
            }
            self.probe_at = now;
        }
        if self.probe.is_none() && now >= self.probe_at {
            self.begin_probe(now, out);
        }
    }

    fn ask_helpers(&mut self, now: u64, out: &mut Vec<Output>) {
        let Some(probe) = self
            .probe
            .as_mut()
            .filter(|p| !p.acked && p.direct > 0 && now >= p.direct)
        else {
            return;
        };
        probe.direct = 0;
        let (target, seq) = (probe.target.clone(), probe.seq);
        let helpers = self.some(self.settings.indirect_probes, &target);
        let ask = Body::PingFor {
            seq,
            target: target.clone(),
        };
        let asked = helpers
            .iter()
            .filter(|h| self.send_to(now, h, &ask, &[], 0.0, out))
            .count();
        // Once more directly: one lost datagram is more likely than a death.
        self.send_to(
            now,
            &target,
            &Body::Ping { seq },
            &[Item::Member(target.clone())],
            0.0,
            out,
        );
        if let Some(probe) = &mut self.probe {
            probe.helpers = asked;
        }
    }

    fn begin_probe(&mut self, now: u64, out: &mut Vec<Output>) {
        self.probe_at = now.saturating_add(self.settings.probe_interval);
        let target = loop {
            let Some(name) = self.ring.pop() else {
                // Each once, then all anew in another order: the longest time until one is looked at is bounded.
                self.ring = self.some(usize::MAX, "");
                if self.ring.is_empty() {
                    return;
                }
                continue;
            };
            if self
                .others
                .get(&name)
                .is_some_and(|k| k.at.state <= MemberState::Suspect)
            {
                break name;
            }
        };
        self.seq = self.seq.wrapping_add(1);
        let scale = self.health.scale();
        let answer = self.settings.probe_timeout.saturating_mul(scale);
        let ends = now.saturating_add(self.settings.probe_interval.saturating_mul(scale));
        let seq = self.seq;
        // It is told if it is suspected, so that it can refute at once.
        let suspected = self
            .others
            .get(&target)
            .is_some_and(|k| k.at.state == MemberState::Suspect);
        let first: Vec<Item> = suspected
            .then(|| Item::Member(target.clone()))
            .into_iter()
            .collect();
        if self.send_to(now, &target, &Body::Ping { seq }, &first, 0.0, out) {
            let direct = now.saturating_add(answer).min(ends);
            self.probe = Some(Probe {
                target,
                seq,
                sent: now,
                direct,
                ends,
                acked: false,
                helpers: 0,
                nacks: 0,
            });
        }
    }

    fn probed(&mut self, now: u64, probe: &Probe, out: &mut Vec<Output>) {
        self.health.probed(probe.acked);
        if probe.acked {
            return;
        }
        // Danger: a front whose own link is bad would accuse all. Helpers that do not even say that they could not reach
        // the other tell that it is us.
        if probe.nacks < probe.helpers {
            self.health.worsen();
        }
        self.stand(now, out);
        if self.standing == LocalHealth::Isolated
            || self.health.standing(now, 1) == LocalHealth::Isolated
        {
            return;
        }
        let Some(known) = self
            .others
            .get(&probe.target)
            .filter(|k| k.at.state <= MemberState::Suspect)
        else {
            return;
        };
        let at = MemberVersion {
            state: MemberState::Suspect,
            ..known.at
        };
        let (address, by) = (known.address.clone(), self.settings.name.clone());
        self.learn(now, &probe.target, &address, at, &by, out);
    }

    pub(super) fn suspicions(&mut self, now: u64, out: &mut Vec<Output>) {
        let due = |name: &&String| {
            let suspicion = self.others.get(*name).and_then(|k| k.suspicion.as_ref());
            suspicion.is_some_and(|s| now >= s.until())
        };
        let due: Vec<String> = self.suspects.iter().filter(due).cloned().collect();
        let deaf = self.health.standing(now, 1) == LocalHealth::Isolated;
        for name in due {
            if let Some(known) = self.others.get_mut(&name) {
                if deaf {
                    // Who hears nobody cannot know who refuted.
                    known.suspicion.iter_mut().for_each(|s| s.put_off(SECOND));
                    continue;
                }
                let (at, address) = (
                    MemberVersion {
                        state: MemberState::Gone,
                        ..known.at
                    },
                    known.address.clone(),
                );
                self.counters.accused += 1;
                let by = self.settings.name.clone();
                self.learn(now, &name, &address, at, &by, out);
            }
        }
    }

    /// Probes for others that came to nothing: their askers hear that at least we are there.
    pub(super) fn helps(&mut self, now: u64, out: &mut Vec<Output>) {
        let over: Vec<u32> = self
            .helping
            .iter()
            .filter(|(_, h)| now >= h.until)
            .map(|(seq, _)| *seq)
            .collect();
        for seq in over {
            if let Some(help) = self.helping.remove(&seq) {
                self.send_to(
                    now,
                    &help.name,
                    &Body::Nack { seq: help.seq },
                    &[],
                    0.0,
                    out,
                );
            }
        }
    }

    pub(super) fn help(
        &mut self,
        now: u64,
        asker: &str,
        seq: u32,
        target: &str,
        out: &mut Vec<Output>,
    ) {
        self.seq = self.seq.wrapping_add(1);
        let own = self.seq;
        let until = now.saturating_add(self.settings.probe_timeout);
        if self.helping.len() < 64
            && self.send_to(
                now,
                target,
                &Body::Ping { seq: own },
                &[Item::Member(target.to_owned())],
                0.0,
                out,
            )
        {
            self.helping.insert(
                own,
                Help {
                    name: asker.to_owned(),
                    seq,
                    until,
                },
            );
        }
    }

    pub(super) fn acked(&mut self, now: u64, from: &str, seq: u32, out: &mut Vec<Output>) {
        if let Some(help) = self.helping.remove(&seq) {
            self.send_to(now, &help.name, &Body::Ack { seq: help.seq }, &[], 0.0, out);
        }
        let Some(probe) = self.probe.as_mut().filter(|p| p.seq == seq && !p.acked) else {
            return;
        };
        probe.acked = true;
        probe.ends = probe.ends.min(
            probe
                .sent
                .saturating_add(self.settings.probe_interval)
                .max(now),
        );
        if probe.target == from {
            let rtt = now.saturating_sub(probe.sent);
            self.others
                .entry(from.to_owned())
                .and_modify(|k| k.rtt = Some(rtt));
        }
    }

    pub(super) fn nacked(&mut self, seq: u32) {
        if let Some(probe) = self.probe.as_mut().filter(|p| p.seq == seq) {
            probe.nacks += 1;
        }
    }
}
