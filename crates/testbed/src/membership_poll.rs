//! Polls the fronts' reports about each other at `GET /members`. A fleet case knows of members only from these reports.
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
/// Timeout of a poll. A front that does not answer in time is polled again.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// What the current incarnation of a front has reported.
#[derive(Default)]
struct FrontReport {
    /// `None` where the front does not run.
    address: Option<SocketAddr>,
    /// Number of changes of the address, to recognize the answer of an earlier incarnation.
    incarnation: u64,
    /// The state that the front reports of each front; `None` where it has reported none.
    states: Vec<Option<MemberState>>,
    local_health: Option<LocalHealth>,
    /// Number of the last state change that was received.
    last_change: u64,
}

#[derive(Default)]
struct PollState {
    /// The reports; the index is the front's number.
    reports: Vec<FrontReport>,
    state_changes: Vec<MemberTransition>,
    /// Descriptions of invalid reports and of state changes that were not received.
    missed: Vec<String>,
}

/// The reports of all fronts, updated by a thread for each front. Clones share the same reports.
#[derive(Clone)]
pub struct MembershipPoll {
    state: Arc<Mutex<PollState>>,
    over: Arc<AtomicBool>,
    network: PeerNetwork,
}

impl MembershipPoll {
    /// Starts to poll. Fronts are polled once their address is set. The address that each front reports for its peers is passed
    /// to `network`.
    #[must_use]
    pub fn start(fronts: usize, network: &PeerNetwork) -> MembershipPoll {
        let new_report = |_| FrontReport {
            states: vec![None; fronts],
            ..FrontReport::default()
        };
        let state = PollState {
            reports: (0..fronts).map(new_report).collect(),
            ..PollState::default()
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

    fn lock(&self) -> MutexGuard<'_, PollState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the address of a front's new incarnation, which has reported nothing yet. `None` where the front does not run any
    /// more.
    pub fn set_address(&self, front: usize, address: Option<SocketAddr>) {
        let mut state = self.lock();
        let report = &mut state.reports[front];
        report.address = address;
        report.local_health = None;
        report.last_change = 0;
        report.incarnation += 1;
        report.states.fill(None);
    }

    /// Ends the polling of all fronts.
    pub fn end(&self) {
        self.over.store(true, Ordering::Release);
    }

    fn poll(&self, front: usize) {
        let state = self.lock();
        let (address, incarnation) = {
            let report = &state.reports[front];
            (report.address, report.incarnation)
        };
        drop(state);
        let Some(address) = address else { return };
        // A front whose process is stopped does not answer. It is polled again later.
        let Ok(body) = crankpaddle_traffic_report::fetch_path(&address, "/members", POLL_TIMEOUT)
        else {
            return;
        };
        let now = clock::now();
        let Ok(members) = serde_json::from_slice::<Members>(&body) else {
            let invalid = format!("front {front}: invalid answer to GET /members");
            self.lock().missed.push(invalid);
            return;
        };
        if let Ok(peer_address) = members.address.parse() {
            self.network.set_front_address(front, peer_address);
        }
        let mut state = self.lock();
        if state.reports[front].incarnation == incarnation {
            state.update(front, &members, now);
        }
    }

    /// Numbers and addresses of the fronts that run.
    #[must_use]
    pub fn running(&self) -> Vec<FrontAddress> {
        let state = self.lock();
        let reports = state.reports.iter().enumerate();
        reports
            .filter_map(|(number, report)| {
                Some(FrontAddress {
                    number: number as u32,
                    address: report.address?,
                })
            })
            .collect()
    }

    /// The state that front `at` reports of front `of`; `None` where it has reported none since its start.
    #[must_use]
    pub fn state(&self, at: usize, of: usize) -> Option<MemberState> {
        self.lock().reports[at].states[of]
    }

    /// The health that a front reports of itself; `None` where it has reported none since its start.
    #[must_use]
    pub fn local_health(&self, at: usize) -> Option<LocalHealth> {
        self.lock().reports[at].local_health
    }

    /// The state changes since `from`, sorted by time.
    #[must_use]
    pub fn state_changes(&self, from: Time) -> Vec<MemberTransition> {
        let state = self.lock();
        let since = state
            .state_changes
            .iter()
            .filter(|change| change.at >= from);
        let mut state_changes: Vec<MemberTransition> = since.cloned().collect();
        state_changes.sort_by_key(|change| change.at);
        state_changes
    }

    /// Descriptions of invalid reports and of state changes that were not received.
    #[must_use]
    pub fn missed(&self) -> Vec<String> {
        self.lock().missed.clone()
    }
}

impl PollState {
    /// Updates the state with a front's report that arrived at `now`. Adds the state changes that were not received before.
    fn update(&mut self, front: usize, members: &Members, now: Time) {
        let report = &mut self.reports[front];
        report.local_health = Some(local_health(members.standing));
        for peer in &members.members {
            if let Some(known) = front_number(&peer.name).and_then(|of| report.states.get_mut(of)) {
                *known = Some(member_state(peer.state));
            }
        }
        let last_received = report.last_change;
        for change in &members.turns {
            if change.number <= last_received {
                continue;
            }
            let expected = report.last_change + 1;
            if change.number != expected {
                let last_missed = change.number - 1;
                self.missed.push(format!(
                    "front {front}: changes {expected} to {last_missed} were missed"
                ));
            }
            report.last_change = change.number;
            let Some(of) = front_number(&change.name) else {
                continue;
            };
            self.state_changes.push(MemberTransition {
                at: now - Duration::from_millis(change.ago_ms),
                viewer: front,
                viewed: of,
                state: member_state(change.state),
                restarted: change.restarted,
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
