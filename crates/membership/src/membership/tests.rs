//! Model checking of three members. Their datagrams are delivered in any order, late, more than once or never, members are
//! falsely declared suspect or dead, one member restarts, and one leaves. The members are the real state machine; only the time
//! is constant.
use super::{Membership, MembershipConfig};
use crate::member_state::{MemberState, MemberVersion};
use crate::wire::{Body, DatagramBuilder};
use crankpaddle_time::Time;
use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};

/// Methods that only the model needs.
impl Membership {
    fn version_of(&self, name: &str) -> Option<MemberVersion> {
        if name == self.config.name {
            Some(self.own_version)
        } else {
            self.members.version(name)
        }
    }

    /// A datagram with everything that this member knows of the other members.
    fn full_gossip(&self, to: &str) -> Vec<u8> {
        let mut builder = DatagramBuilder::new(&self.header(to), &Body::Gossip);
        for (name, _) in self.members.iter() {
            let update = self.member_update(name).expect("a known member");
            assert!(builder.add_member_update(&update), "the update fits");
        }
        builder.finish(&self.config.key)
    }

    /// Falsely declares a member to be suspect or dead.
    fn accuse(&mut self, name: &str, state: MemberState) {
        if self.state_of(name).is_some_and(|known| known < state) {
            self.declare(Time(0), name, state, &mut Vec::new());
        }
    }
}

const MEMBERS: usize = 3;

fn name(member: usize) -> String {
    ["a", "b", "c"][member].to_owned()
}

fn start(member: usize, epoch: u64, incarnation: u64) -> Membership {
    let config = MembershipConfig {
        name: name(member),
        address: name(member),
        epoch,
        incarnation,
        ..MembershipConfig::default()
    };
    Membership::new(config, 1, Time(0))
}

/// The version that each member knows of each member, including itself.
type Views = Vec<Vec<Option<MemberVersion>>>;

/// A sent datagram: the index of its receiver, and its bytes.
type Delivery = (usize, Vec<u8>);

/// The state of the model. The numbers of actions are those that are still allowed.
#[derive(Clone)]
struct FleetState {
    members: Vec<Membership>,
    running: Vec<bool>,
    network: Vec<Delivery>, // Sent datagrams. Each may be delivered never, once or more often.
    gossips: u8,
    accusations: u8,
    restarts: u8,
    leaves: u8,
    regressed: bool, // Whether some member replaced a version by an earlier one.
}

impl FleetState {
    fn views(&self) -> Views {
        let view = |member: &Membership| {
            (0..MEMBERS)
                .map(|known| member.version_of(&name(known)))
                .collect()
        };
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

    /// Whether some member knows an earlier version of a member than before. A restarted member may.
    fn has_regressed_since(&self, before: &FleetState, action: Action) -> bool {
        let (old, new) = (before.views(), self.views());
        let is_restarted = |observer: usize| matches!(action, Action::Restart { member, .. } if member == observer);
        (0..MEMBERS)
            .filter(|observer| !is_restarted(*observer))
            .any(|observer| {
                (0..MEMBERS).any(|known| match (old[observer][known], new[observer][known]) {
                    (Some(old), Some(new)) => old.supersedes(&new),
                    (old, new) => old.is_some() && new.is_none(),
                })
            })
    }

    /// Whether all running members see each other as alive after they have gossiped until nothing changes any more.
    fn agrees_once_healed(&self) -> bool {
        let mut fleet = self.clone();
        fleet.network.clear();
        for _ in 0..8 {
            for from in (0..MEMBERS).filter(|member| self.running[*member]) {
                for to in (0..MEMBERS).filter(|to| self.running[*to] && *to != from) {
                    let bytes = fleet.members[from].full_gossip(&name(to));
                    fleet.deliver(to, &bytes);
                }
            }
        }
        let is_alive = |version: &Option<MemberVersion>| {
            version.is_some_and(|version| version.state == MemberState::Alive)
        };
        let views = fleet.views();
        (0..MEMBERS)
            .filter(|observer| self.running[*observer])
            .all(|observer| {
                (0..MEMBERS)
                    .filter(|known| self.running[*known])
                    .all(|known| is_alive(&views[observer][known]))
            })
    }
}

impl PartialEq for FleetState {
    fn eq(&self, other: &FleetState) -> bool {
        let remaining_fields = |fleet: &FleetState| {
            (
                fleet.gossips,
                fleet.accusations,
                fleet.restarts,
                fleet.leaves,
                fleet.regressed,
            )
        };
        self.running == other.running
            && self.network == other.network
            && remaining_fields(self) == remaining_fields(other)
            && self.views() == other.views()
    }
}

impl Hash for FleetState {
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

impl std::fmt::Debug for FleetState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "running {:?}, views {:?}", self.running, self.views())
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

/// The maximum number of actions of each kind in one run of the model.
struct FleetModel {
    gossips: u8,
    accusations: u8,
    restarts: u8,
    leaves: u8,
}

impl Model for FleetModel {
    type State = FleetState;
    type Action = Action;

    fn init_states(&self) -> Vec<FleetState> {
        let mut fleet = FleetState {
            members: (0..MEMBERS)
                .map(|member| start(member, 10, member as u64))
                .collect(),
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

    fn actions(&self, fleet: &FleetState, actions: &mut Vec<Action>) {
        for member in (0..MEMBERS).filter(|member| fleet.running[*member]) {
            for other in (0..MEMBERS).filter(|other| *other != member) {
                if fleet.gossips > 0 {
                    actions.push(Action::Gossip {
                        from: member,
                        to: other,
                    });
                }
                if fleet.accusations > 0 {
                    actions.extend([MemberState::Suspect, MemberState::Dead].map(|state| {
                        Action::Accuse {
                            accuser: member,
                            accused: other,
                            state,
                        }
                    }));
                }
            }
            if fleet.leaves > 0 {
                actions.push(Action::Leave { member });
            }
        }
        if fleet.restarts > 0 {
            // The epoch is later than the first one, or earlier because the wall clock was set back.
            actions.extend(
                (0..MEMBERS)
                    .flat_map(|member| [11, 5].map(|epoch| Action::Restart { member, epoch })),
            );
        }
        actions.extend((0..fleet.network.len()).map(|index| Action::Deliver { index }));
    }

    fn next_state(&self, before: &FleetState, action: Action) -> Option<FleetState> {
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
                let (to, bytes) = fleet.network[index].clone(); // It stays in the network, since it may be delivered again.
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

    fn properties(&self) -> Vec<Property<FleetModel>> {
        vec![
            Property::always(
                "no member replaces a version by an earlier one",
                |_, fleet: &FleetState| !fleet.regressed,
            ),
            Property::always(
                "delayed gossip does not bring back a member that left",
                |_, fleet: &FleetState| {
                    // No member may know a later version of a stopped member's incarnation than that member had itself.
                    let views = fleet.views();
                    let mut stopped_members = (0..MEMBERS).filter(|member| !fleet.running[*member]);
                    stopped_members.all(|stopped| {
                        let own = views[stopped][stopped];
                        (0..MEMBERS)
                            .filter(|observer| *observer != stopped)
                            .all(|observer| {
                                let (Some(own), Some(view)) = (own, views[observer][stopped])
                                else {
                                    return true;
                                };
                                !view.is_same_incarnation(&own) || !view.supersedes(&own)
                            })
                    })
                },
            ),
            Property::always(
                "once the network has healed, all running members see each other as alive",
                |_, fleet: &FleetState| fleet.agrees_once_healed(),
            ),
        ]
    }
}

fn check_model(model: FleetModel, min_states: usize) {
    let started = std::time::Instant::now();
    let checker = model.checker().threads(4).spawn_bfs().join();
    eprintln!(
        "{} states, {} of them unique, in {:?}",
        checker.state_count(),
        checker.unique_state_count(),
        started.elapsed()
    );
    checker.assert_properties();
    assert!(
        checker.unique_state_count() >= min_states,
        "the model has fewer states than expected"
    );
}

#[test]
fn members_agree_after_false_accusations_reordered_gossip_and_a_leave() {
    check_model(
        FleetModel {
            gossips: 2,
            accusations: 2,
            restarts: 0,
            leaves: 1,
        },
        1000,
    );
}

#[test]
fn members_agree_after_a_restart_even_if_the_wall_clock_was_set_back() {
    check_model(
        FleetModel {
            gossips: 3,
            accusations: 1,
            restarts: 1,
            leaves: 0,
        },
        1000,
    );
}
