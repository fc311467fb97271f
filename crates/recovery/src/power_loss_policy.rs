//! The table: what each thing that a front knows is worth once its host has lost power.
//!
//! It is held by types. What a front starts from is a [`RecoveredState`](crate::RecoveredState), and each of its fields is [`StillValid`] or [`ConservativeBound`]; for what is
//! worthless there is no wrapper, so it has no way into it. [`Write::thing`](crate::intents::StoreWrite::thing) names for each write of the
//! store what it keeps, and a test holds that none of it is worthless.

/// What a thing is worth after a power loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PowerLossPolicy {
    /// As true as before.
    StillValid,
    /// It may be out of date, and is used only where it makes the front more careful.
    Conservative,
    /// It says nothing any more; it is forgotten, never kept.
    Discarded,
}

/// A thing that a front knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StateKind {
    /// A paid set-up that was about to leave.
    Intent,
    /// What became of a paid key.
    Fate,
    /// Which front this is, and how often it started.
    Epoch,
    /// How many fronts the fleet had.
    FleetSize,
    /// Servers that drain or are gone.
    Drain,
    /// Servers, where they listen, what they are.
    List,
    /// Since when a server runs, and so whether it is cold.
    ServerStart,
    /// What is asked of links and uplinks.
    Load,
    /// How old a piece of news is.
    Age,
    /// Turns at cold servers, pauses, shares of tenants, allowances for further attempts.
    Turn,
    /// Sessions that play.
    Session,
    /// Points in time of the front's own clock.
    Clock,
}

impl StateKind {
    /// All of them.
    pub const ALL: [StateKind; 12] = [
        StateKind::Intent,
        StateKind::Fate,
        StateKind::Epoch,
        StateKind::FleetSize,
        StateKind::Drain,
        StateKind::List,
        StateKind::ServerStart,
        StateKind::Load,
        StateKind::Age,
        StateKind::Turn,
        StateKind::Session,
        StateKind::Clock,
    ];

    /// What it is worth.
    pub const fn after(self) -> PowerLossPolicy {
        match self {
            StateKind::Intent | StateKind::Fate | StateKind::Epoch => PowerLossPolicy::StillValid,
            StateKind::FleetSize | StateKind::Drain | StateKind::List | StateKind::ServerStart => {
                PowerLossPolicy::Conservative
            }
            StateKind::Load
            | StateKind::Age
            | StateKind::Turn
            | StateKind::Session
            | StateKind::Clock => PowerLossPolicy::Discarded,
        }
    }

    /// Why, and what is done with it.
    pub const fn why(self) -> &'static str {
        match self {
            StateKind::Intent => {
                "it was on disk before its first byte left; its server is asked whether it ran"
            }
            StateKind::Fate => "a paid key that ran has run for ever; it is not set up again",
            StateKind::Epoch => "it only grows; a start is told from all former ones",
            StateKind::FleetSize => {
                "a smaller fleet is not believed until servers had time to warm"
            }
            StateKind::Drain => "what drained is left alone until a list says otherwise",
            StateKind::List => {
                "servers are asked at the addresses last known; a live list goes before it"
            }
            StateKind::ServerStart => "each server counts as cold until it tells its age itself",
            StateKind::Load => "links have emptied or filled meanwhile; they are heard anew",
            StateKind::Age => "nobody knows how long the power was away",
            StateKind::Turn => "its clock is gone; turns begin as for servers that just started",
            StateKind::Session => "servers may have lost or kept them; their books say which",
            StateKind::Clock => "a monotonic clock does not survive a boot",
        }
    }
}

/// Something that is as true as before.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StillValid<T>(pub T);

/// Something that may only make the front more careful.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConservativeBound<T>(T);

impl<T: Ord + Copy> ConservativeBound<T> {
    /// Remembers what more of is more careful.
    pub fn new(value: T) -> ConservativeBound<T> {
        ConservativeBound(value)
    }

    /// What to reckon with where `now` is heard: never less than that.
    pub fn at_least(self, now: T) -> T {
        self.0.max(now)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_makes_careful_never_makes_bold() {
        assert_eq!(ConservativeBound::new(40).at_least(11), 40);
        assert_eq!(ConservativeBound::new(11).at_least(40), 40);
    }

    #[test]
    fn the_table_of_the_page_is_the_codes() {
        let page = include_str!("../../../docs/power.md");
        for thing in StateKind::ALL {
            let after = match thing.after() {
                PowerLossPolicy::StillValid => "holds",
                PowerLossPolicy::Conservative => "more careful",
                PowerLossPolicy::Discarded => "worthless",
            };
            let row = format!("| {thing:?} | {after} | {} |", thing.why());
            assert!(page.contains(&row), "docs/power.md lacks: {row}");
        }
    }
}
