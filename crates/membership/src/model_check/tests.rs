//! Model checking: three members, what they tell each other delivered in any order, late, twice or never, accusations out of
//! nothing, a restart, an orderly leave. The members are the real state machine; only time stands still.
#[cfg(test)]
use crate::member_state::{MemberState, MemberVersion};
use crate::membership::{Membership, MembershipConfig};
use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};

const MEMBERS: usize = 3;

fn name(i: usize) -> String {
    ["a", "b", "c"][i].to_owned()
}

fn start(i: usize, epoch: u64, life: u64) -> Membership {
    let settings = MembershipConfig {
        name: name(i),
        address: name(i),
        epoch,
        incarnation: life,
        ..MembershipConfig::default()
    };
    Membership::new(settings, 1, 0)
}

/// What each member takes each for: itself first of all for what it is.
type Views = Vec<Vec<Option<MemberVersion>>>;

#[derive(Clone)]
struct Fleet {
    peers: Vec<Membership>,
    runs: Vec<bool>,
    net: Vec<(usize, Vec<u8>)>, // What was told and may be delivered, once or more.
    tells: u8,
    accusations: u8,
    restarts: u8,
    leaves: u8,
    backwards: bool, // Somebody came to know less than before.
}

impl Fleet {
    fn views(&self) -> Views {
        let view = |p: &Membership| (0..MEMBERS).map(|j| p.standpoint_of(&name(j))).collect();
        self.peers.iter().map(view).collect()
    }

    fn deliver(&mut self, to: usize, bytes: &[u8]) {
        if self.runs[to] {
            self.peers[to].receive(0, "", bytes, &mut Vec::new());
        }
    }

    /// All that run tell all, until nothing changes; then all that run must be taken for alive by all that run.
    fn agrees_once_healed(&self) -> bool {
        let mut fleet = self.clone();
        fleet.net.clear();
        for _ in 0..8 {
            for from in (0..MEMBERS).filter(|i| self.runs[*i]) {
                for to in (0..MEMBERS).filter(|i| self.runs[*i] && *i != from) {
                    let bytes = fleet.peers[from].all_it_knows(&name(to));
                    fleet.deliver(to, &bytes);
                }
            }
        }
        let alive = |v: &Option<MemberVersion>| v.is_some_and(|v| v.state == MemberState::Alive);
        let views = fleet.views();
        (0..MEMBERS).filter(|i| self.runs[*i]).all(|i| {
            (0..MEMBERS)
                .filter(|j| self.runs[*j])
                .all(|j| alive(&views[i][j]))
        })
    }
}

impl PartialEq for Fleet {
    fn eq(&self, other: &Fleet) -> bool {
        let rest = |f: &Fleet| (f.tells, f.accusations, f.restarts, f.leaves, f.backwards);
        self.runs == other.runs
            && self.net == other.net
            && rest(self) == rest(other)
            && self.views() == other.views()
    }
}

impl Hash for Fleet {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (
            &self.runs,
            &self.net,
            self.tells,
            self.accusations,
            self.restarts,
            self.leaves,
        )
            .hash(state);
        self.views().hash(state);
    }
}

impl std::fmt::Debug for Fleet {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "runs {:?} views {:?}", self.runs, self.views())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Act {
    Tell(usize, usize),
    Deliver(usize),
    Accuse(usize, usize, MemberState),
    Restart(usize, u64),
    Leave(usize),
}

struct Bounds {
    tells: u8,
    accusations: u8,
    restarts: u8,
    leaves: u8,
}

impl Model for Bounds {
    type State = Fleet;
    type Action = Act;

    fn init_states(&self) -> Vec<Fleet> {
        let mut fleet = Fleet {
            peers: (0..MEMBERS).map(|i| start(i, 10, i as u64)).collect(),
            runs: vec![true; MEMBERS],
            net: Vec::new(),
            tells: self.tells,
            accusations: self.accusations,
            restarts: self.restarts,
            leaves: self.leaves,
            backwards: false,
        };
        for from in 0..MEMBERS {
            for to in (0..MEMBERS).filter(|to| *to != from) {
                let bytes = fleet.peers[from].all_it_knows(&name(to));
                fleet.deliver(to, &bytes);
            }
        }
        vec![fleet]
    }

    fn actions(&self, fleet: &Fleet, acts: &mut Vec<Act>) {
        for i in (0..MEMBERS).filter(|i| fleet.runs[*i]) {
            for j in (0..MEMBERS).filter(|j| *j != i) {
                if fleet.tells > 0 {
                    acts.push(Act::Tell(i, j));
                }
                if fleet.accusations > 0 {
                    acts.extend(
                        [MemberState::Suspect, MemberState::Gone]
                            .map(|state| Act::Accuse(i, j, state)),
                    );
                }
            }
            if fleet.leaves > 0 {
                acts.push(Act::Leave(i));
            }
        }
        if fleet.restarts > 0 {
            // A clock that went on, and one that was set back.
            acts.extend((0..MEMBERS).flat_map(|i| [Act::Restart(i, 11), Act::Restart(i, 5)]));
        }
        acts.extend((0..fleet.net.len()).map(Act::Deliver));
    }

    fn next_state(&self, before: &Fleet, act: Act) -> Option<Fleet> {
        let mut fleet = before.clone();
        match act {
            Act::Tell(i, j) => {
                fleet.tells -= 1;
                let told = (j, fleet.peers[i].all_it_knows(&name(j)));
                if fleet.net.contains(&told) {
                    return None;
                }
                fleet.net.push(told);
                fleet.net.sort();
            }
            Act::Deliver(n) => {
                let (to, bytes) = fleet.net[n].clone(); // It stays: it may come again.
                fleet.deliver(to, &bytes);
            }
            Act::Accuse(i, j, state) => {
                fleet.accusations -= 1;
                fleet.peers[i].accuse(&name(j), state);
            }
            Act::Restart(i, epoch) => {
                fleet.restarts -= 1;
                fleet.runs[i] = true;
                fleet.peers[i] = start(i, epoch, 100);
            }
            Act::Leave(i) => {
                fleet.leaves -= 1;
                fleet.peers[i].leave(0, &mut Vec::new());
                let last: Vec<_> = (0..MEMBERS)
                    .filter(|j| *j != i)
                    .map(|j| (j, fleet.peers[i].all_it_knows(&name(j))))
                    .collect();
                fleet.net.extend(last);
                fleet.net.sort();
                fleet.net.dedup();
                fleet.runs[i] = false;
            }
        }
        let (old, new) = (before.views(), fleet.views());
        for i in (0..MEMBERS).filter(|i| !matches!(act, Act::Restart(r, _) if r == *i)) {
            for j in 0..MEMBERS {
                let less = match (old[i][j], new[i][j]) {
                    (Some(old), Some(new)) => old.supersedes(&new),
                    (old, new) => old.is_some() && new.is_none(),
                };
                fleet.backwards |= less;
            }
        }
        (fleet != *before).then_some(fleet)
    }

    fn properties(&self) -> Vec<Property<Bounds>> {
        vec![
            Property::always("nobody comes to know less", |_, fleet: &Fleet| {
                !fleet.backwards
            }),
            Property::always(
                "who left does not come back from old news",
                |_, fleet: &Fleet| {
                    // Of a member that does not run no view that holds its leave may hold anything but it.
                    let views = fleet.views();
                    (0..MEMBERS).filter(|j| !fleet.runs[*j]).all(|j| {
                        let own = views[j][j];
                        (0..MEMBERS).filter(|i| *i != j).all(|i| {
                            let (Some(own), Some(view)) = (own, views[i][j]) else {
                                return true;
                            };
                            !view.is_same_incarnation(&own) || !view.supersedes(&own)
                        })
                    })
                },
            ),
            Property::always(
                "once healed, who runs is alive to all",
                |_, fleet: &Fleet| fleet.agrees_once_healed(),
            ),
        ]
    }
}

fn check(bounds: Bounds, least: usize) {
    let begun = std::time::Instant::now();
    let checker = bounds.checker().threads(4).spawn_bfs().join();
    eprintln!(
        "{} states, {} of them different, in {:?}",
        checker.state_count(),
        checker.unique_state_count(),
        begun.elapsed()
    );
    checker.assert_properties();
    assert!(
        checker.unique_state_count() >= least,
        "the model is smaller than it was"
    );
}

#[test]
fn accusations_lost_late_and_doubled_news_and_a_leave() {
    check(
        Bounds {
            tells: 2,
            accusations: 2,
            restarts: 0,
            leaves: 1,
        },
        1000,
    );
}

#[test]
fn a_restart_also_on_a_clock_set_back_amid_old_news() {
    check(
        Bounds {
            tells: 3,
            accusations: 1,
            restarts: 1,
            leaves: 0,
        },
        1000,
    );
}
