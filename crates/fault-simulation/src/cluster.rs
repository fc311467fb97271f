//! What a case is played on: fleets in one process, or of processes.
use crate::scenario::Act;
use crankpaddle_membership::{LocalHealth, MemberState};

/// A front came to take another for something else.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Turn {
    /// When, nanoseconds of the world's clock.
    pub at: u64,
    /// Which front's view it is.
    pub by: usize,
    /// Of which front.
    pub of: usize,
    /// What for.
    pub state: MemberState,
    /// Whether it is another life of it than before.
    pub restarted: bool,
}

/// What was sent in a second by the front that sent most: datagrams, bytes.
pub type Rate = (f64, f64);

/// A fleet and the net between its fronts.
pub trait World {
    /// How many fronts there are, whether they run or not.
    fn fronts(&self) -> usize;
    /// The clock, nanoseconds.
    fn now(&self) -> u64;
    /// Lets time pass.
    fn run(&mut self, time: u64);
    /// Does something.
    ///
    /// # Errors
    /// It can't be done here.
    fn act(&mut self, act: &Act) -> Result<(), String>;
    /// What one takes another for; `None`: it does not know it, or was not asked yet.
    fn state(&self, at: usize, of: usize) -> Option<MemberState>;
    /// How one stands with the others.
    fn local_health(&self, at: usize) -> Option<LocalHealth>;
    /// What changed from a time on, in order.
    fn state_changes(&self, from: u64) -> Vec<Turn>;
    /// How old one takes an entry for that another wrote last, if it holds it; and how old it is.
    fn entry(&self, at: usize) -> Option<(u64, u64)>;
    /// What one front sent at most.
    fn sent(&self) -> Rate;
    /// Of those who lost what they watched when the power went (in paid classes, or in all): how many watch again, how many left
    /// without, and how many there are. `None`: there are none here.
    fn lost(&self, _paid: bool) -> Option<(u64, u64, u64)> {
        None
    }
    /// How long servers whose power went need to take so many sessions, if nothing but their warming bounds it.
    fn warming(&self, _sessions: f64) -> Option<u64> {
        None
    }
}

/// Whether each of `at` takes each of `of` (but itself) for this.
pub fn all<W: World + ?Sized>(world: &W, at: &[usize], of: &[usize], state: MemberState) -> bool {
    at.iter().all(|a| {
        of.iter()
            .all(|o| a == o || world.state(*a, *o) == Some(state))
    })
}

/// Cuts of a net, as they are made and undone.
#[derive(Clone, Debug, Default)]
pub struct Cuts(Vec<(Vec<bool>, Vec<bool>)>);

impl Cuts {
    /// Nothing passes from these to those any more.
    pub fn cut(&mut self, from: &[usize], to: &[usize], fleet: usize) {
        let set = |of: &[usize]| (0..fleet).map(|i| of.contains(&i)).collect();
        self.0.push((set(from), set(to)));
    }

    /// Whether a datagram gets through.
    pub fn lets(&self, from: usize, to: usize) -> bool {
        let has = |set: &[bool], i: usize| set.get(i).copied().unwrap_or(false);
        !self.0.iter().any(|(a, b)| has(a, from) && has(b, to))
    }
}
