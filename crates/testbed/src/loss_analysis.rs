//! Who lost what he watched when the power went, and who has it again.
use std::collections::BTreeMap;

/// Viewers by the number of their visit, each with his class.
#[derive(Debug, Default)]
pub(crate) struct Losses {
    went: bool,
    lost: BTreeMap<u64, u8>,
    again: BTreeMap<u64, u8>,
    left: BTreeMap<u64, u8>,
}

impl Losses {
    /// Power goes: who can't watch on from here on has lost it.
    pub(crate) fn power_went(&mut self) {
        self.went = true;
    }

    /// A viewer watches.
    pub(crate) fn watches(&mut self, visit: u64, class: u8) {
        if self.lost.remove(&visit).is_some() {
            self.again.insert(visit, class);
        }
    }

    /// A viewer can't watch on though he wants to.
    pub(crate) fn is_cut_off(&mut self, visit: u64, class: u8) {
        if self.went {
            self.again.remove(&visit);
            self.lost.insert(visit, class);
        }
    }

    /// A viewer leaves.
    pub(crate) fn leaves(&mut self, visit: u64) {
        if let Some(class) = self.lost.remove(&visit) {
            self.left.insert(visit, class);
        }
    }

    /// Of those in such a class who lost it: how many watch again, how many left without, and how many there are.
    pub(crate) fn count(&self, of: impl Fn(u8) -> bool) -> (u64, u64, u64) {
        let count =
            |all: &BTreeMap<u64, u8>| all.values().filter(|class| of(**class)).count() as u64;
        let (again, left) = (count(&self.again), count(&self.left));
        (again, left, again + left + count(&self.lost))
    }
}

#[cfg(test)]
mod tests;
