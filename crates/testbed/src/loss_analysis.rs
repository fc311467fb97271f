//! Which viewers lost their session in a power loss, and which of them watch again.
use std::collections::BTreeMap;

/// Viewers by the seed of their visit, each with the class.
#[derive(Debug, Default)]
pub(crate) struct Losses {
    power_lost: bool,
    without_session: BTreeMap<u64, u8>,
    watching_again: BTreeMap<u64, u8>,
    left: BTreeMap<u64, u8>,
}

impl Losses {
    /// Marks the power loss: a viewer that is cut off from now on counts.
    pub(crate) fn power_went(&mut self) {
        self.power_lost = true;
    }

    /// A viewer's session plays.
    pub(crate) fn watches(&mut self, visit: u64, class: u8) {
        if self.without_session.remove(&visit).is_some() {
            self.watching_again.insert(visit, class);
        }
    }

    /// A viewer's session breaks off.
    pub(crate) fn is_cut_off(&mut self, visit: u64, class: u8) {
        if self.power_lost {
            self.watching_again.remove(&visit);
            self.without_session.insert(visit, class);
        }
    }

    /// A viewer leaves.
    pub(crate) fn leaves(&mut self, visit: u64) {
        if let Some(class) = self.without_session.remove(&visit) {
            self.left.insert(visit, class);
        }
    }

    /// Of the viewers in such a class that lost their session: how many watch again, how many left without, and how many
    /// there are.
    pub(crate) fn count(&self, of: impl Fn(u8) -> bool) -> (u64, u64, u64) {
        let count =
            |all: &BTreeMap<u64, u8>| all.values().filter(|class| of(**class)).count() as u64;
        let again = count(&self.watching_again);
        let left = count(&self.left);
        (again, left, again + left + count(&self.without_session))
    }
}

#[cfg(test)]
mod tests;
