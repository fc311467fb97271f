//! What fronts tell of each other at `GET /members`, asked for over and over: the only word that a rig takes on them.
use crate::udp_proxy::Mesh;
use crankpaddle_api::describe::{Members, OwnStanding, PeerState};
use crankpaddle_fault_simulation::{front_number, MemberTransition};
use crankpaddle_membership::{LocalHealth, MemberState};
use crankpaddle_net::clock;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time between two questions.
const EVERY: Duration = Duration::from_millis(200);
/// One that does not answer in this time is asked again.
const WITHIN: Duration = Duration::from_secs(1);

/// What one front was heard to say, in one life of its.
#[derive(Default)]
struct View {
    address: Option<SocketAddr>, // None: it does not run.
    incarnation: u64,
    states: Vec<Option<MemberState>>,
    local_health: Option<LocalHealth>,
    last: u64, // Number of its last change that was heard.
}

#[derive(Default)]
struct All {
    views: Vec<View>,
    state_changes: Vec<MemberTransition>,
    missed: Vec<String>,
}

/// All views, kept up by a thread for each front.
#[derive(Clone)]
pub struct Views {
    all: Arc<Mutex<All>>,
    over: Arc<AtomicBool>,
    mesh: Mesh,
}

impl Views {
    /// Begins to ask; no front runs yet. Where each is reached by its peers is told to the mesh.
    pub fn start(fronts: usize, mesh: &Mesh) -> Views {
        let views = (0..fronts)
            .map(|_| View {
                states: vec![None; fronts],
                ..View::default()
            })
            .collect();
        let all = All {
            views,
            ..All::default()
        };
        let views = Views {
            all: Arc::new(Mutex::new(all)),
            over: Arc::default(),
            mesh: mesh.clone(),
        };
        for front in 0..fronts {
            let views = views.clone();
            std::thread::spawn(move || {
                while !views.over.load(Ordering::Acquire) {
                    views.poll(front);
                    std::thread::sleep(EVERY);
                }
            });
        }
        views
    }

    fn lock(&self) -> MutexGuard<'_, All> {
        self.all.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A front runs here now, from nothing; `None`: it runs no more.
    pub fn runs(&self, front: usize, address: Option<SocketAddr>) {
        let mut all = self.lock();
        let view = &mut all.views[front];
        (view.address, view.local_health, view.last) = (address, None, 0);
        view.incarnation += 1;
        view.states.iter_mut().for_each(|state| *state = None);
    }

    /// No more is asked.
    pub fn end(&self) {
        self.over.store(true, Ordering::Release);
    }

    fn poll(&self, front: usize) {
        let (address, life) = {
            let all = self.lock();
            (all.views[front].address, all.views[front].incarnation)
        };
        let Some(address) = address else { return };
        // One that stands still does not answer; it is asked again.
        let Ok(body) = crankpaddle_traffic_report::get(&address, "/members", WITHIN) else {
            return;
        };
        let now = clock::now();
        let Ok(members) = serde_json::from_slice::<Members>(&body) else {
            self.lock()
                .missed
                .push(format!("front {front} told of no members"));
            return;
        };
        if let Ok(home) = members.address.parse() {
            self.mesh.home(front, home);
        }
        let mut all = self.lock();
        let All {
            views,
            state_changes: turns,
            missed,
        } = &mut *all;
        let view = &mut views[front];
        if view.incarnation != life {
            return; // Another process runs there now.
        }
        view.local_health = Some(local_health(members.standing));
        for peer in &members.members {
            if let Some(known) = front_number(&peer.name).and_then(|of| view.states.get_mut(of)) {
                *known = Some(state(peer.state));
            }
        }
        let last_received = view.last;
        for turn in members.turns.iter().filter(|t| t.number > last_received) {
            if turn.number != view.last + 1 {
                missed.push(format!(
                    "front {front}: changes {} to {} were missed",
                    view.last + 1,
                    turn.number - 1
                ));
            }
            view.last = turn.number;
            let Some(of) = front_number(&turn.name) else {
                continue;
            };
            let at = now.saturating_sub(turn.ago_ms * 1_000_000);
            turns.push(MemberTransition {
                at,
                by: front,
                of,
                state: state(turn.state),
                restarted: turn.restarted,
            });
        }
    }

    /// Where players find the fronts that run.
    pub fn running(&self) -> Vec<(u32, SocketAddr)> {
        let all = self.lock();
        let running = all
            .views
            .iter()
            .enumerate()
            .filter_map(|(i, v)| Some((i as u32, v.address?)));
        running.collect()
    }

    /// What one takes another for.
    pub fn state(&self, at: usize, of: usize) -> Option<MemberState> {
        self.lock().views[at].states[of]
    }

    /// How one stands.
    pub fn local_health(&self, at: usize) -> Option<LocalHealth> {
        self.lock().views[at].local_health
    }

    /// Changes from a time on, in the order of their times.
    pub fn state_changes(&self, from: u64) -> Vec<MemberTransition> {
        let mut state_changes: Vec<MemberTransition> = self
            .lock()
            .state_changes
            .iter()
            .filter(|t| t.at >= from)
            .cloned()
            .collect();
        state_changes.sort_by_key(|t| t.at);
        state_changes
    }

    /// What could not be heard.
    pub fn missed(&self) -> Vec<String> {
        self.lock().missed.clone()
    }
}

fn state(told: PeerState) -> MemberState {
    match told {
        PeerState::Alive => MemberState::Alive,
        PeerState::Suspect => MemberState::Suspect,
        PeerState::Gone => MemberState::Dead,
        PeerState::Left => MemberState::Left,
    }
}

fn local_health(told: OwnStanding) -> LocalHealth {
    match told {
        OwnStanding::Alone => LocalHealth::Alone,
        OwnStanding::Connected => LocalHealth::Connected,
        OwnStanding::Doubtful => LocalHealth::Degraded,
        OwnStanding::CutOff => LocalHealth::Isolated,
        OwnStanding::Replaced => LocalHealth::Replaced,
    }
}
