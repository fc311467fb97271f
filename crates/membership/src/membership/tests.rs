//! Model checking: three members whose datagrams are delivered in any order, late, twice or never, with false accusations, a
//! restart, and a member that leaves in order. The members are the real state machine; only time stands still.
use super::{Membership, MembershipConfig};
use crate::member_state::{MemberState, MemberVersion};
use crate::wire::{Body, DatagramBuilder};
use crankpaddle_time::Time;
use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};

/// What only the model needs of a member.
impl Membership {
    fn version_of(&self, name: &str) -> Option<MemberVersion> {
        if name == self.config.name {
            Some(self.own_version)
        } else {
            self.members.version(name)
        }
    }

    /// A datagram with everything that is known of the other members.
    fn full_gossip(&self, to: &str) -> Vec<u8> {
        let mut builder = DatagramBuilder::new(&self.header(to), &Body::Gossip);
        for (name, _) in self.members.iter() {
            let update = self.member_update(name).expect("a known member");
            assert!(builder.add_member_update(&update), "it fits");
        }
        builder.finish(&self.config.key)
    }

    /// Declares a member to be in a later state, without a reason.
    fn accuse(&mut self, name: &str, state: MemberState) {
        if self.state_of(name).is_some_and(|known| known < state) {
            self.declare(Time(0), name, state, &mut Vec::new());
        }
    }
}

const MEMBERS: usize = 3;

fn name(i: usize) -> String {
    ["a", "b", "c"][i].to_owned()
}

fn start(i: usize, epoch: u64, incarnation: u64) -> Membership {
    let config = MembershipConfig {
        name: name(i),
        address: name(i),
        epoch,
        incarnation,
        ..MembershipConfig::default()
    };
    Membership::new(config, 1, Time(0))
}

/// The version that each member knows of each, itself included.
type Views = Vec<Vec<Option<MemberVersion>>>;

/// A sent datagram: the number of the receiver, and the bytes.
type Delivery = (usize, Vec<u8>);

#[derive(Clone)]
struct Fleet {
    members: Vec<Membership>,
    running: Vec<bool>,
    network: Vec<Delivery>, // Sent datagrams, which may be delivered once or more.
    gossips: u8,
    accusations: u8,
    restarts: u8,
    leaves: u8,
    regressed: bool, // Some member replaced what it knew by something earlier.
}

impl Fleet {
    fn views(&self) -> Views {
        let view =
            |member: &Membership| (0..MEMBERS).map(|j| member.version_of(&name(j))).collect();
        self.members.iter().map(view).collect()
    }

    fn deliver(&mut self, to: usize, bytes: &[u8]) {
        if self.running[to] {
            self.members[to].receive(Time(0), "", bytes, &mut Vec::new());
        }
    }

    fn full_gossip(&self, from: usize, to: usize) -> Delivery {
        (to, self.members[from].full_gossip(&name(to)))
    }

    fn leave(&mut self, member: usize) {
        self.leaves -= 1;
        self.members[member].leave(Time(0), &mut Vec::new());
        for to in (0..MEMBERS).filter(|to| *to != member) {
            self.network.push(self.full_gossip(member, to));
        }
        self.network.sort();
        self.network.dedup();
        self.running[member] = false;
    }

    /// Whether a member knows an earlier version of any than it did; a restarted one may.
    fn has_regressed_since(&self, before: &Fleet, action: Action) -> bool {
        let (old, new) = (before.views(), self.views());
        let is_restarted =
            |i: usize| matches!(action, Action::Restart { member, .. } if member == i);
        (0..MEMBERS).filter(|i| !is_restarted(*i)).any(|i| {
            (0..MEMBERS).any(|j| match (old[i][j], new[i][j]) {
                (Some(old), Some(new)) => old.supersedes(&new),
                (old, new) => old.is_some() && new.is_none(),
            })
        })
    }

    /// All running members gossip to each other until nothing changes; then each must see each as alive.
    fn agrees_once_healed(&self) -> bool {
        let mut fleet = self.clone();
        fleet.network.clear();
        for _ in 0..8 {
            for from in (0..MEMBERS).filter(|i| self.running[*i]) {
                for to in (0..MEMBERS).filter(|i| self.running[*i] && *i != from) {
                    let bytes = fleet.members[from].full_gossip(&name(to));
                    fleet.deliver(to, &bytes);
                }
            }
        }
        let alive = |v: &Option<MemberVersion>| v.is_some_and(|v| v.state == MemberState::Alive);
        let views = fleet.views();
        (0..MEMBERS).filter(|i| self.running[*i]).all(|i| {
            (0..MEMBERS)
                .filter(|j| self.running[*j])
                .all(|j| alive(&views[i][j]))
        })
    }
}

impl PartialEq for Fleet {
    fn eq(&self, other: &Fleet) -> bool {
        let rest = |f: &Fleet| (f.gossips, f.accusations, f.restarts, f.leaves, f.regressed);
        self.running == other.running
            && self.network == other.network
            && rest(self) == rest(other)
            && self.views() == other.views()
    }
}

impl Hash for Fleet {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (
            &self.running,
            &self.network,
            self.gossips,
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
        write!(f, "runs {:?} views {:?}", self.running, self.views())
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Action {
    Gossip {
        from: usize,
        to: usize,
    },
    Deliver {
        index: usize,
    },
    Accuse {
        accuser: usize,
        accused: usize,
        state: MemberState,
    },
    Restart {
        member: usize,
        epoch: u64,
    },
    Leave {
        member: usize,
    },
}

/// How many actions of each kind a run has at most.
struct Bounds {
    gossips: u8,
    accusations: u8,
    restarts: u8,
    leaves: u8,
}

impl Model for Bounds {
    type State = Fleet;
    type Action = Action;

    fn init_states(&self) -> Vec<Fleet> {
        let mut fleet = Fleet {
            members: (0..MEMBERS).map(|i| start(i, 10, i as u64)).collect(),
            running: vec![true; MEMBERS],
            network: Vec::new(),
            gossips: self.gossips,
            accusations: self.accusations,
            restarts: self.restarts,
            leaves: self.leaves,
            regressed: false,
        };
        for from in 0..MEMBERS {
            for to in (0..MEMBERS).filter(|to| *to != from) {
                let bytes = fleet.members[from].full_gossip(&name(to));
                fleet.deliver(to, &bytes);
            }
        }
        vec![fleet]
    }

    fn actions(&self, fleet: &Fleet, actions: &mut Vec<Action>) {
        for i in (0..MEMBERS).filter(|i| fleet.running[*i]) {
            for j in (0..MEMBERS).filter(|j| *j != i) {
                if fleet.gossips > 0 {
                    actions.push(Action::Gossip { from: i, to: j });
                }
                if fleet.accusations > 0 {
                    actions.extend([MemberState::Suspect, MemberState::Dead].map(|state| {
                        Action::Accuse {
                            accuser: i,
                            accused: j,
                            state,
                        }
                    }));
                }
            }
            if fleet.leaves > 0 {
                actions.push(Action::Leave { member: i });
            }
        }
        if fleet.restarts > 0 {
            // A wall clock that went on, and one that was set back.
            actions.extend(
                (0..MEMBERS)
                    .flat_map(|i| [11, 5].map(|epoch| Action::Restart { member: i, epoch })),
            );
        }
        actions.extend((0..fleet.network.len()).map(|index| Action::Deliver { index }));
    }

    fn next_state(&self, before: &Fleet, action: Action) -> Option<Fleet> {
        let mut fleet = before.clone();
        match action {
            Action::Gossip { from, to } => {
                fleet.gossips -= 1;
                let delivery = fleet.full_gossip(from, to);
                if fleet.network.contains(&delivery) {
                    return None;
                }
                fleet.network.push(delivery);
                fleet.network.sort();
            }
            Action::Deliver { index } => {
                let (to, bytes) = fleet.network[index].clone(); // It stays: it may be delivered again.
                fleet.deliver(to, &bytes);
            }
            Action::Accuse {
                accuser,
                accused,
                state,
            } => {
                fleet.accusations -= 1;
                fleet.members[accuser].accuse(&name(accused), state);
            }
            Action::Restart { member, epoch } => {
                fleet.restarts -= 1;
                fleet.running[member] = true;
                fleet.members[member] = start(member, epoch, 100);
            }
            Action::Leave { member } => fleet.leave(member),
        }
        fleet.regressed |= fleet.has_regressed_since(before, action);
        (fleet != *before).then_some(fleet)
    }

    fn properties(&self) -> Vec<Property<Bounds>> {
        vec![
            Property::always(
                "no member replaces what it knows by something earlier",
                |_, fleet: &Fleet| !fleet.regressed,
            ),
            Property::always(
                "a member that left does not come back from delayed gossip",
                |_, fleet: &Fleet| {
                    // No member may know a later version of a stopped member's incarnation than that member had itself.
                    let views = fleet.views();
                    (0..MEMBERS).filter(|j| !fleet.running[*j]).all(|j| {
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
                "once the network is healed, every running member is alive to all",
                |_, fleet: &Fleet| fleet.agrees_once_healed(),
            ),
        ]
    }
}

fn check_model(bounds: Bounds, min_states: usize) {
    let started = std::time::Instant::now();
    let checker = bounds.checker().threads(4).spawn_bfs().join();
    eprintln!(
        "{} states, {} of them different, in {:?}",
        checker.state_count(),
        checker.unique_state_count(),
        started.elapsed()
    );
    checker.assert_properties();
    assert!(
        checker.unique_state_count() >= min_states,
        "the model is smaller than it was"
    );
}

#[test]
fn members_agree_after_false_accusations_reordered_gossip_and_a_leave() {
    check_model(
        Bounds {
            gossips: 2,
            accusations: 2,
            restarts: 0,
            leaves: 1,
        },
        1000,
    );
}

#[test]
fn members_agree_after_a_restart_also_with_the_wall_clock_set_back() {
    check_model(
        Bounds {
            gossips: 3,
            accusations: 1,
            restarts: 1,
            leaves: 0,
        },
        1000,
    );
}
