//! Which viewers lost their session in a power loss, and which of them watch again.
use std::collections::BTreeMap;

/// How many viewers lost their session in a power loss, and what became of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LossCounts {
    /// Viewers that watch again.
    pub restored: u64,
    /// Viewers that left without a session.
    pub left: u64,
    /// All viewers that lost their session.
    pub lost: u64,
}

/// Viewers by the seed of their visit, each with the class.
#[derive(Debug, Default)]
pub(crate) struct Losses {
    power_lost: bool,
    without_session: BTreeMap<u64, u8>,
    watching_again: BTreeMap<u64, u8>,
    left: BTreeMap<u64, u8>,
}

impl Losses {
    /// Marks the power loss: a viewer that is disconnected from now on counts.
    pub(crate) fn on_power_loss(&mut self) {
        self.power_lost = true;
    }

    /// A viewer's session was established.
    pub(crate) fn on_established(&mut self, visit: u64, class: u8) {
        if self.without_session.remove(&visit).is_some() {
            self.watching_again.insert(visit, class);
        }
    }

    /// A viewer's session was disconnected.
    pub(crate) fn on_disconnected(&mut self, visit: u64, class: u8) {
        if self.power_lost {
            self.watching_again.remove(&visit);
            self.without_session.insert(visit, class);
        }
    }

    /// A viewer left.
    pub(crate) fn on_left(&mut self, visit: u64) {
        if let Some(class) = self.without_session.remove(&visit) {
            self.left.insert(visit, class);
        }
    }

    /// Counts the viewers of the classes that `of` accepts.
    pub(crate) fn count(&self, of: impl Fn(u8) -> bool) -> LossCounts {
        let count =
            |all: &BTreeMap<u64, u8>| all.values().filter(|class| of(**class)).count() as u64;
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
