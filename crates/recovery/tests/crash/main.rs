//! Model checking of power losses. The power is lost at any moment of a paid set-up and of its recovery, up to three times,
//! with all orders of the events of disk, network and server. The ledger and the reconciliation are the real code, and the rest
//! is modelled. No session may be sold twice. To show that the check detects such a fault, each guard is removed in turn, and
//! the check must then find a session that is sold twice.
mod front;
mod model;

use front::{Guard, Guards};
use model::{Action, PowerLossModel, SOLD_ONCE};
use stateright::{Checker, Model};

/// The number of power losses of the full check. A debug build checks fewer, because it is slow.
const MAX_POWER_LOSSES: u8 = if cfg!(debug_assertions) { 2 } else { 3 };

struct CheckResult {
    unique_states: usize,
    /// The actions that lead to a session that is sold twice; `None` if there are none.
    counterexample: Option<Vec<Action>>,
}

fn check(guards: Guards, max_power_losses: u8) -> CheckResult {
    let model = PowerLossModel {
        guards,
        max_power_losses,
    };
    let checker = model.checker().threads(1).spawn_bfs().join();
    CheckResult {
        unique_states: checker.unique_state_count(),
        counterexample: checker
            .discovery(SOLD_ONCE)
            .map(stateright::Path::into_actions),
    }
}

#[test]
fn no_session_is_sold_twice_after_power_losses_at_any_moment() {
    for disk_may_be_lost in [false, true] {
        let guards = Guards {
            removed: None,
            disk_may_be_lost,
        };
        let result = check(guards, MAX_POWER_LOSSES);
        let states = result.unique_states;
        println!("{states} states, {MAX_POWER_LOSSES} power losses, {guards:?}");
        assert_eq!(result.counterexample, None);
        assert!(states > 500, "{states} states");
    }
}

#[test]
fn without_any_one_of_the_guards_a_session_is_sold_twice() {
    for (removed, disk_may_be_lost) in [
        (Guard::PersistBeforeSend, false),
        (Guard::ReconcileBeforeServe, false),
        (Guard::Fence, false),
        (Guard::CompletedKeysOfServers, true),
    ] {
        let guards = Guards {
            removed: Some(removed),
            disk_may_be_lost,
        };
        let result = check(guards, 2);
        assert!(
            result.counterexample.is_some(),
            "{guards:?}: no session was sold twice"
        );
    }
}
