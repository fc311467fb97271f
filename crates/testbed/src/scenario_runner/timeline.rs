//! Runs a scenario: starts its faults and players at their times, then waits for the end of the players and streams.
use super::front::FrontProcess;
use super::{arrivals, player_behavior, Arrival, ScenarioOptions};
use crate::player::{FrontAddress, PlayerPool};
use crate::script::{Scenario, ScheduledFault};
use crate::stage::SimulatedBackend;
use crate::wind_down::{wait_for_players, wait_for_streams};
use crankpaddle_net::{clock, spawn, Stack};
use crankpaddle_time::Time;
use std::io;
use std::iter::Peekable;
use std::sync::Arc;
use std::time::Duration;
use std::vec::IntoIter;

/// Maximum time that a session is watched after the end of the scenario.
const WATCH_AFTER_END: Duration = Duration::from_secs(10);
/// Time for all players to leave after the end of the scenario.
const PLAYERS_LEAVE_TIMEOUT: Duration = Duration::from_secs(40);

/// The start or end of a fault.
struct Transition<'a> {
    /// Time since the start of the scenario.
    at: Duration,
    begins: bool,
    fault: &'a ScheduledFault,
}

struct Timeline<'a> {
    scenario: &'a Scenario,
    backend: &'a SimulatedBackend,
    fronts: &'a [FrontProcess],
    players: Arc<PlayerPool>,
    /// The fronts that players of a zone choose from; the index is the zone's number.
    fronts_by_zone: Vec<Vec<FrontAddress>>,
    transitions: Peekable<IntoIter<Transition<'a>>>,
    arrivals: Peekable<IntoIter<Arrival>>,
    /// When the scenario started.
    start: Time,
}

/// Runs a scenario. Returns descriptions of what went wrong outside the rules.
pub(super) fn run(
    scenario: &Scenario,
    options: &ScenarioOptions,
    backend: &SimulatedBackend,
    fronts: &[FrontProcess],
) -> io::Result<Vec<String>> {
    let players = Arc::new(PlayerPool::new(
        backend.recorder.clone(),
        player_behavior(scenario),
    ));
    let zones = 0..backend.config.zones.len();
    let mut timeline = Timeline {
        scenario,
        backend,
        fronts,
        players: players.clone(),
        transitions: transitions(scenario).into_iter().peekable(),
        arrivals: arrivals(scenario, &backend.config, options.seed)
            .into_iter()
            .peekable(),
        fronts_by_zone: zones.map(|zone| fronts_for_zone(fronts, zone)).collect(),
        start: clock::now(),
    };
    let deadline = timeline.start + scenario.length + PLAYERS_LEAVE_TIMEOUT;
    timeline.run_to_end()?;
    let mut failures = Vec::new();
    failures.extend(wait_for_players(&players, deadline));
    failures.extend(wait_for_streams(&backend.fleet));
    let failed_connects = players.failed_connects();
    if failed_connects > 0 {
        failures.push(format!(
            "{failed_connects} attempts could not connect to a front"
        ));
    }
    Ok(failures)
}

/// The starts and ends of all faults, sorted by time.
fn transitions(scenario: &Scenario) -> Vec<Transition<'_>> {
    let mut transitions = Vec::new();
    for fault in &scenario.faults {
        transitions.push(Transition {
            at: fault.at,
            begins: true,
            fault,
        });
        transitions.push(Transition {
            at: fault.at + fault.length,
            begins: false,
            fault,
        });
    }
    transitions.sort_by_key(|transition| transition.at);
    transitions
}

/// The fronts of a zone, or all fronts where the zone has none.
fn fronts_for_zone(fronts: &[FrontProcess], zone: usize) -> Vec<FrontAddress> {
    let addresses_where = |accepts: &dyn Fn(&FrontProcess) -> bool| -> Vec<FrontAddress> {
        let numbered = fronts.iter().enumerate();
        numbered
            .filter(|(_, front)| accepts(front))
            .map(|(number, front)| FrontAddress {
                number: number as u32,
                address: front.process.address,
            })
            .collect()
    };
    let own = addresses_where(&|front| front.zone == zone);
    if own.is_empty() {
        return addresses_where(&|_| true);
    }
    own
}

impl Timeline<'_> {
    fn run_to_end(&mut self) -> io::Result<()> {
        loop {
            let next_transition = self.transitions.peek().map(|transition| transition.at);
            let next_arrival = self.arrivals.peek().map(|arrival| arrival.at);
            let Some(next) = next_transition.into_iter().chain(next_arrival).min() else {
                return Ok(());
            };
            let wait = (self.start + next).duration_since(clock::now());
            std::thread::sleep(wait);
            if next_transition == Some(next) {
                self.apply_next_transition()?;
            } else {
                self.start_next_arrival();
            }
        }
    }

    fn apply_next_transition(&mut self) -> io::Result<()> {
        let Some(Transition { begins, fault, .. }) = self.transitions.next() else {
            return Ok(());
        };
        if begins {
            self.backend.begin(fault, self.fronts);
            return Ok(());
        }
        self.backend.end(fault, self.fronts)
    }

    fn start_next_arrival(&mut self) {
        let Some(Arrival { at, mut visit }) = self.arrivals.next() else {
            return;
        };
        let zones = self.fronts_by_zone.len() as u64;
        visit.fronts = self.fronts_by_zone[(visit.seed % zones) as usize].clone();
        // Without this limit a few long sessions would extend the run far beyond the end of the scenario.
        visit.watch = visit.watch.min(self.scenario.length - at + WATCH_AFTER_END);
        let players = self.players.clone();
        let until = self.start + self.scenario.length;
        spawn(Stack::Default, move || players.visit(&visit, until));
    }
}
