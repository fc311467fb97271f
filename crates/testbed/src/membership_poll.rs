//! Polls what fronts report of each other at `GET /members`, the only source about members that a case uses.
use crate::player::FrontAddress;
use crate::udp_proxy::PeerNetwork;
use crankpaddle_api::describe::{Members, OwnStanding, PeerState};
use crankpaddle_fault_simulation::{front_number, MemberTransition};
use crankpaddle_membership::{LocalHealth, MemberState};
use crankpaddle_net::clock;
use crankpaddle_time::Time;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time between two polls of a front.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// A front that does not answer in this time is polled again.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// What one incarnation of a front reported.
#[derive(Default)]
struct View {
    /// `None` where the front does not run.
    address: Option<SocketAddr>,
    incarnation: u64,
    states: Vec<Option<MemberState>>,
    local_health: Option<LocalHealth>,
    /// Number of the last change that was received.
    last_change: u64,
}

#[derive(Default)]
struct State {
    views: Vec<View>,
    state_changes: Vec<MemberTransition>,
    missed: Vec<String>,
}

/// What all fronts report, updated by a thread for each front. Copies share it.
#[derive(Clone)]
pub struct MembershipPoll {
    state: Arc<Mutex<State>>,
    over: Arc<AtomicBool>,
    network: PeerNetwork,
}

impl MembershipPoll {
    /// Starts to poll; no front runs yet. The addresses at which fronts are reached by their peers are passed to the network
    /// between the fronts.
    #[must_use]
    pub fn start(fronts: usize, network: &PeerNetwork) -> MembershipPoll {
        let new_view = |_| View {
            states: vec![None; fronts],
            ..View::default()
        };
        let state = State {
            views: (0..fronts).map(new_view).collect(),
            ..State::default()
        };
        let polls = MembershipPoll {
            state: Arc::new(Mutex::new(state)),
            over: Arc::default(),
            network: network.clone(),
        };
        for front in 0..fronts {
            let polls = polls.clone();
            std::thread::spawn(move || {
                while !polls.over.load(Ordering::Acquire) {
                    polls.poll(front);
                    std::thread::sleep(POLL_INTERVAL);
                }
            });
        }
        polls
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the address of a front's new incarnation, which has reported nothing yet; `None` where it does not run any more.
    pub fn set_address(&self, front: usize, address: Option<SocketAddr>) {
        let mut state = self.lock();
        let view = &mut state.views[front];
        view.address = address;
        view.local_health = None;
        view.last_change = 0;
        view.incarnation += 1;
        view.states.fill(None);
    }

    /// Ends the polling.
    pub fn end(&self) {
        self.over.store(true, Ordering::Release);
    }

    fn poll(&self, front: usize) {
        let state = self.lock();
        let (address, incarnation) = {
            let view = &state.views[front];
            (view.address, view.incarnation)
        };
        drop(state);
        let Some(address) = address else { return };
        // A front that is stopped does not answer; it is polled again.
        let Ok(body) = crankpaddle_traffic_report::get(&address, "/members", POLL_TIMEOUT) else {
            return;
        };
        let now = clock::now();
        let Ok(members) = serde_json::from_slice::<Members>(&body) else {
            let missed = format!("front {front} told of no members");
            self.lock().missed.push(missed);
            return;
        };
        if let Ok(peer_address) = members.address.parse() {
            self.network.set_front_address(front, peer_address);
        }
        let mut state = self.lock();
        if state.views[front].incarnation == incarnation {
            state.update(front, &members, now);
        }
    }

    /// The fronts that run.
    #[must_use]
    pub fn running(&self) -> Vec<FrontAddress> {
        let state = self.lock();
        let views = state.views.iter().enumerate();
        views
            .filter_map(|(number, view)| {
                Some(FrontAddress {
                    number: number as u32,
                    address: view.address?,
                })
            })
            .collect()
    }

    /// The state that one front has of another.
    #[must_use]
    pub fn state(&self, at: usize, of: usize) -> Option<MemberState> {
        self.lock().views[at].states[of]
    }

    /// The health that a front reports of itself.
    #[must_use]
    pub fn local_health(&self, at: usize) -> Option<LocalHealth> {
        self.lock().views[at].local_health
    }

    /// Changes of state since a time, in the order of their times.
    #[must_use]
    pub fn state_changes(&self, from: Time) -> Vec<MemberTransition> {
        let state = self.lock();
        let since = state.state_changes.iter().filter(|turn| turn.at >= from);
        let mut state_changes: Vec<MemberTransition> = since.cloned().collect();
        state_changes.sort_by_key(|turn| turn.at);
        state_changes
    }

    /// Descriptions of the reports and changes that were missed.
    #[must_use]
    pub fn missed(&self) -> Vec<String> {
        self.lock().missed.clone()
    }
}

impl State {
    /// Takes over a front's report, which arrived at `now`.
    fn update(&mut self, front: usize, members: &Members, now: Time) {
        let view = &mut self.views[front];
        view.local_health = Some(local_health(members.standing));
        for peer in &members.members {
            if let Some(known) = front_number(&peer.name).and_then(|of| view.states.get_mut(of)) {
                *known = Some(member_state(peer.state));
            }
        }
        let last_received = view.last_change;
        for turn in &members.turns {
            if turn.number <= last_received {
                continue;
            }
            let expected = view.last_change + 1;
            if turn.number != expected {
                let last_missed = turn.number - 1;
                self.missed.push(format!(
                    "front {front}: changes {expected} to {last_missed} were missed"
                ));
            }
            view.last_change = turn.number;
            let Some(of) = front_number(&turn.name) else {
                continue;
            };
            self.state_changes.push(MemberTransition {
                at: now - Duration::from_millis(turn.ago_ms),
                viewer: front,
                viewed: of,
                state: member_state(turn.state),
                restarted: turn.restarted,
            });
        }
    }
}

fn member_state(reported: PeerState) -> MemberState {
    match reported {
        PeerState::Alive => MemberState::Alive,
        PeerState::Suspect => MemberState::Suspect,
        PeerState::Gone => MemberState::Dead,
        PeerState::Left => MemberState::Left,
    }
}

fn local_health(reported: OwnStanding) -> LocalHealth {
    match reported {
        OwnStanding::Alone => LocalHealth::Alone,
        OwnStanding::Connected => LocalHealth::Connected,
        OwnStanding::Doubtful => LocalHealth::Degraded,
        OwnStanding::CutOff => LocalHealth::Isolated,
        OwnStanding::Replaced => LocalHealth::Replaced,
    }
}
