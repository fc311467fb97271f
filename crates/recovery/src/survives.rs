//! The table: what each thing that a front knows is worth once its host has lost power.
//!
//! It is held by types. What a front starts from is a [`Past`](crate::Past), and each of its fields is [`Holds`] or [`Careful`]; for what is
//! worthless there is no wrapper, so it has no way into it. [`Write::thing`](crate::intents::Write::thing) names for each write of the
//! store what it keeps, and a test holds that none of it is worthless.

/// What a thing is worth after a power loss.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum After {
    /// As true as before.
    Holds,
    /// It may be out of date, and is used only where it makes the front more careful.
    Careful,
    /// It says nothing any more; it is forgotten, never kept.
    Worthless,
}

/// A thing that a front knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Thing {
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

impl Thing {
    /// All of them.
    pub const ALL: [Thing; 12] = [
        Thing::Intent,
        Thing::Fate,
        Thing::Epoch,
        Thing::FleetSize,
        Thing::Drain,
        Thing::List,
        Thing::ServerStart,
        Thing::Load,
        Thing::Age,
        Thing::Turn,
        Thing::Session,
        Thing::Clock,
    ];

    /// What it is worth.
    pub const fn after(self) -> After {
        match self {
            Thing::Intent | Thing::Fate | Thing::Epoch => After::Holds,
            Thing::FleetSize | Thing::Drain | Thing::List | Thing::ServerStart => After::Careful,
            Thing::Load | Thing::Age | Thing::Turn | Thing::Session | Thing::Clock => {
                After::Worthless
            }
        }
    }

    /// Why, and what is done with it.
    pub const fn why(self) -> &'static str {
        match self {
            Thing::Intent => {
                "it was on disk before its first byte left; its server is asked whether it ran"
            }
            Thing::Fate => "a paid key that ran has run for ever; it is not set up again",
            Thing::Epoch => "it only grows; a start is told from all former ones",
            Thing::FleetSize => "a smaller fleet is not believed until servers had time to warm",
            Thing::Drain => "what drained is left alone until a list says otherwise",
            Thing::List => {
                "servers are asked at the addresses last known; a live list goes before it"
            }
            Thing::ServerStart => "each server counts as cold until it tells its age itself",
            Thing::Load => "links have emptied or filled meanwhile; they are heard anew",
            Thing::Age => "nobody knows how long the power was away",
            Thing::Turn => "its clock is gone; turns begin as for servers that just started",
            Thing::Session => "servers may have lost or kept them; their books say which",
            Thing::Clock => "a monotonic clock does not survive a boot",
        }
    }
}

/// Something that is as true as before.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Holds<T>(pub T);

/// Something that may only make the front more careful.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Careful<T>(T);

impl<T: Ord + Copy> Careful<T> {
    /// Remembers what more of is more careful.
    pub fn new(value: T) -> Careful<T> {
        Careful(value)
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
        assert_eq!(Careful::new(40).at_least(11), 40);
        assert_eq!(Careful::new(11).at_least(40), 40);
    }

    #[test]
    fn the_table_of_the_page_is_the_codes() {
        let page = include_str!("../../../docs/power.md");
        for thing in Thing::ALL {
            let after = match thing.after() {
                After::Holds => "holds",
                After::Careful => "more careful",
                After::Worthless => "worthless",
            };
            let row = format!("| {thing:?} | {after} | {} |", thing.why());
            assert!(page.contains(&row), "docs/power.md lacks: {row}");
        }
    }
}
