//! How long a suspected member has to refute: the more members suspect it, the shorter.
use std::collections::BTreeSet;

/// Members that must confirm before the shortest time holds.
const ENOUGH: u32 = 3;
/// The longest time is this multiple of the shortest.
const PATIENCE: f64 = 6.0;

/// Why a member is suspected, and until when it may refute.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    since: u64,
    shortest: f64,
    needed: u32,
    by: BTreeSet<String>,
}

impl Suspicion {
    /// Suspected since `now` by `by`, one of `alive` members that probe each `every` nanoseconds. Danger: a fixed time is too
    /// long where all see the death and too short where one front alone is deaf (Lifeguard's dynamic suspicion).
    pub(crate) fn new(now: u64, by: &str, alive: usize, every: u64) -> Suspicion {
        let scale = (alive.max(1) as f64).log10().max(1.0);
        let needed = ENOUGH.min(u32::try_from(alive.saturating_sub(2)).unwrap_or(ENOUGH));
        let shortest = 4.0 * scale * every as f64;
        Suspicion {
            since: now,
            shortest,
            needed,
            by: BTreeSet::from([by.to_owned()]),
        }
    }

    /// Another member says so; true if it had not before.
    pub(crate) fn confirm(&mut self, by: &str) -> bool {
        self.by.len() <= self.needed as usize && self.by.insert(by.to_owned())
    }

    /// When it counts as gone.
    pub(crate) fn until(&self) -> u64 {
        let longest = PATIENCE * self.shortest;
        let confirmed = (self.by.len() as f64 - 1.0).max(0.0);
        let part = if self.needed == 0 {
            1.0
        } else {
            (confirmed + 1.0).ln() / (f64::from(self.needed) + 1.0).ln()
        };
        let time = (longest - (longest - self.shortest) * part).max(self.shortest);
        self.since.saturating_add(time as u64)
    }

    /// We stood still: nobody could refute meanwhile, as far as we would have heard.
    pub(crate) fn put_off(&mut self, by: u64) {
        self.since = self.since.saturating_add(by);
    }
}
