//! Tracks which viewers lost their session in a power loss, and which of them watch again.
use std::collections::BTreeMap;

/// Numbers of the viewers that lost their session in a power loss, and of what they did afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LossCounts {
    /// Number of viewers that watch again.
    pub restored: u64,
    /// Number of viewers that left without getting a session again.
    pub left: u64,
    /// Number of all viewers that lost their session, also of those that are still trying.
    pub lost: u64,
}

/// Tracks viewers by the seed of their visit. Each map has the viewer's class number.
#[derive(Debug, Default)]
pub(crate) struct Losses {
    power_lost: bool,
    without_session: BTreeMap<u64, u8>,
    watching_again: BTreeMap<u64, u8>,
    left: BTreeMap<u64, u8>,
}

impl Losses {
    /// Notes a power loss. Viewers that are disconnected from now on are counted.
    pub(crate) fn on_power_loss(&mut self) {
        self.power_lost = true;
    }

    /// Notes that a viewer's session was established.
    pub(crate) fn on_established(&mut self, visit: u64, class: u8) {
        if self.without_session.remove(&visit).is_some() {
            self.watching_again.insert(visit, class);
        }
    }

    /// Notes that a viewer was disconnected from its session.
    pub(crate) fn on_disconnected(&mut self, visit: u64, class: u8) {
        if self.power_lost {
            self.watching_again.remove(&visit);
            self.without_session.insert(visit, class);
        }
    }

    /// Notes that a viewer left.
    pub(crate) fn on_left(&mut self, visit: u64) {
        if let Some(class) = self.without_session.remove(&visit) {
            self.left.insert(visit, class);
        }
    }

    /// Counts the viewers of the class numbers that `accepts_class` accepts.
    pub(crate) fn count(&self, accepts_class: impl Fn(u8) -> bool) -> LossCounts {
        let count = |viewers: &BTreeMap<u64, u8>| {
            let accepted = viewers.values().filter(|class| accepts_class(**class));
            accepted.count() as u64
        };
        let restored = count(&self.watching_again);
        let left = count(&self.left);
        LossCounts {
            restored,
            left,
            lost: restored + left + count(&self.without_session),
        }
    }
}

#[cfg(test)]
mod tests;
