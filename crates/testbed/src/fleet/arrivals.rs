//! Starts the players of a case. They arrive as in a scenario until the case is over, and choose among the running fronts.
use crate::membership_poll::MembershipPoll;
use crate::player::PlayerPool;
use crate::scenario_runner::{arrivals, Arrival};
use crate::script::Scenario;
use crankpaddle_config::Config;
use crankpaddle_net::{clock, spawn, Stack};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Arrivals are drawn for this time, which is longer than any case.
const LONGEST_CASE: Duration = Duration::from_secs(3600);

/// The thread that starts the players' visits.
pub(super) struct Arrivals {
    /// Set when the case is over.
    over: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Arrivals {
    /// Draws the arrivals of `scenario` and starts the thread.
    pub(super) fn start(
        scenario: &Scenario,
        config: &Config,
        seed: u64,
        players: &Arc<PlayerPool>,
        membership_poll: &MembershipPoll,
    ) -> Arrivals {
        let extended_scenario = Scenario {
            length: LONGEST_CASE,
            ..scenario.clone()
        };
        let drawn = arrivals(&extended_scenario, config, seed);
        let over = Arc::new(AtomicBool::new(false));
        let (players, membership_poll, case_over) =
            (players.clone(), membership_poll.clone(), over.clone());
        let thread =
            std::thread::spawn(move || start_visits(drawn, &players, &membership_poll, &case_over));
        Arrivals { over, thread }
    }

    /// Ends the arrivals. Returns a description of the fault where their thread panicked.
    pub(super) fn stop(self) -> Option<String> {
        self.over.store(true, Ordering::Release);
        let panicked = self.thread.join().is_err();
        panicked.then(|| "the thread that starts the players panicked".to_owned())
    }
}

fn start_visits(
    arrivals: Vec<Arrival>,
    players: &Arc<PlayerPool>,
    membership_poll: &MembershipPoll,
    over: &AtomicBool,
) {
    let start = clock::now();
    for Arrival { at, mut visit } in arrivals {
        std::thread::sleep((start + at).duration_since(clock::now()));
        if over.load(Ordering::Acquire) {
            return;
        }
        visit.fronts = membership_poll.running();
        if visit.fronts.is_empty() {
            continue;
        }
        let players = players.clone();
        let until = clock::now() + visit.patience + visit.watch;
        spawn(Stack::Default, move || players.visit(&visit, until));
    }
}
