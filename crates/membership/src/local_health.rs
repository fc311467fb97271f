//! A front's own standing: whether it is the one that cannot hear.
use std::collections::VecDeque;

/// How a front stands with the others, as it sees itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LocalHealth {
    /// There is nobody to hear.
    Alone,
    /// It hears whom it asks.
    Connected,
    /// Its timers were late, or a part of those it asked did not answer.
    Degraded,
    /// It hears nobody it asks: it accuses nobody.
    Isolated,
    /// Another process has its name: it says nothing any more.
    Replaced,
}

/// Probes that count.
const KEPT: usize = 4;
/// The worst local health.
const WORST: u32 = 8;

/// Local health (Lifeguard): the worse it is, the longer probes wait before they accuse.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    worse: u32,
    heard: VecDeque<bool>,
    late_until: u64,
}

impl Health {
    /// Times are multiplied by this.
    pub(crate) fn scale(&self) -> u64 {
        u64::from(1 + self.worse)
    }

    /// A probe came out.
    pub(crate) fn probed(&mut self, answered: bool) {
        self.heard.push_back(answered);
        while self.heard.len() > KEPT {
            self.heard.pop_front();
        }
        if answered {
            self.worse = self.worse.saturating_sub(1);
        }
    }

    /// Something tells that it is we who are slow: a helper did not even say that it could not reach another, or we had to
    /// refute a suspicion.
    pub(crate) fn worsen(&mut self) {
        self.worse = (self.worse + 1).min(WORST);
    }

    /// We stood still until now; for a while what we did not hear says nothing of others.
    pub(crate) fn stood_still(&mut self, until: u64) {
        self.late_until = until;
        self.heard.clear();
        self.worse = self.worse.max(2);
    }

    /// `others`: members to be heard.
    pub(crate) fn standing(&self, now: u64, others: usize) -> LocalHealth {
        let silent = self.heard.iter().filter(|heard| !**heard).count();
        match () {
            () if others == 0 => LocalHealth::Alone,
            () if self.heard.len() == KEPT && silent == KEPT => LocalHealth::Isolated,
            () if now < self.late_until || silent * 2 >= KEPT => LocalHealth::Degraded,
            () => LocalHealth::Connected,
        }
    }
}
