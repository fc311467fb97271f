//! Tests of the claim checks. Each kind of claim is checked on a scripted cluster in which it holds, and on one that differs
//! only as far as needed for the claim to fail.
use crankpaddle_fault_simulation::{
    parse_case, run_case, ActionError, CaseAction, Cluster, EntryAge, MemberTransition, SendRate,
    MS,
};
use crankpaddle_membership::{LocalHealth, MemberState};
use crankpaddle_time::Time;
use std::time::Duration;

/// A cluster that replays a given history of transitions, health changes and known entries, and records the actions.
#[derive(Default)]
struct ScriptedCluster {
    now: Time,
    fronts: usize,
    transitions: Vec<MemberTransition>,
    health_changes: Vec<HealthChange>,
    entries: Vec<KnownEntry>,
    actions: Vec<CaseAction>,
}

impl Cluster for ScriptedCluster {
    fn fronts(&self) -> usize {
        self.fronts
    }

    fn now(&self) -> Time {
        self.now
    }

    fn run(&mut self, time: Duration) {
        self.now += time;
    }

    fn act(&mut self, action: &CaseAction) -> Result<(), ActionError> {
        self.actions.push(action.clone());
        Ok(())
    }

    fn state(&self, viewer: usize, viewed: usize) -> Option<MemberState> {
        let known = |transition: &&MemberTransition| {
            transition.at <= self.now && (transition.viewer, transition.viewed) == (viewer, viewed)
        };
        self.transitions
            .iter()
            .rfind(known)
            .map_or(Some(MemberState::Alive), |transition| {
                Some(transition.state)
            })
    }

    fn local_health(&self, front: usize) -> Option<LocalHealth> {
        let known = |change: &&HealthChange| change.at <= self.now && change.front == front;
        self.health_changes
            .iter()
            .rfind(known)
            .map(|change| change.health)
    }

    fn transitions(&self, from: Time) -> Vec<MemberTransition> {
        self.transitions
            .iter()
            .filter(|transition| (from..=self.now).contains(&transition.at))
            .cloned()
            .collect()
    }

    fn entry_age(&self, reader: usize) -> Option<EntryAge> {
        let entry = self
            .entries
            .iter()
            .find(|entry| entry.at <= self.now && entry.front == reader)?;
        Some(EntryAge {
            reported: self.now.duration_since(Time(0)),
            actual: self.now.duration_since(Time(0)) + entry.age_error,
        })
    }

    fn sent(&self) -> SendRate {
        SendRate::default()
    }
}

struct HealthChange {
    at: Time,
    front: usize,
    health: LocalHealth,
}

/// An entry that a front knows from a time on, and the error of the age that the front computes for it.
struct KnownEntry {
    at: Time,
    front: usize,
    age_error: Duration,
}

fn health_change(at: Time, front: usize, health: LocalHealth) -> HealthChange {
    HealthChange { at, front, health }
}

fn known_entry(at: Time, front: usize, age_error: Duration) -> KnownEntry {
    KnownEntry {
        at,
        front,
        age_error,
    }
}

fn transition(at_ms: u32, viewer: usize, viewed: usize, state: MemberState) -> MemberTransition {
    MemberTransition {
        at: Time(0) + at_ms * MS,
        viewer,
        viewed,
        state,
        restarted: false,
    }
}

/// Runs a case of one claim, with a measurement that begins a second before it; returns whether the claim holds.
fn holds(step: &str, mut cluster: ScriptedCluster) -> bool {
    cluster.fronts = 4;
    let text = format!("name: \"x\" step {{ mark {{}} }} step {{ run: \"1s\" }} step {{ {step} }}");
    let case = parse_case(&text).unwrap_or_else(|problems| panic!("{step}: {problems:?}"));
    let result = run_case(&case, &mut cluster).unwrap();
    let (satisfied, all) = result.satisfied_claims();
    assert_eq!((all, satisfied == 1), (1, result.claims[0].holds));
    result.claims[0].holds
}

#[test]
fn a_view_claim_holds_in_time_and_fails_if_one_front_is_late() {
    let step = r#"see { claim: "c" at: "!3" of: "3" state: GONE bound { within: "1s" } }"#;
    let gone = |times: [u32; 3]| ScriptedCluster {
        transitions: (0..3)
            .map(|viewer| transition(times[viewer], viewer, 3, MemberState::Dead))
            .collect(),
        ..ScriptedCluster::default()
    };
    assert!(holds(step, gone([1100, 1500, 1990])));
    assert!(!holds(step, gone([1100, 1500, 2100])), "one front is late");
    assert!(
        !holds(step, gone([1100, 1500, 9000])),
        "one front never sees it"
    );
    let left = ScriptedCluster {
        transitions: (0..3)
            .map(|viewer| transition(1100, viewer, 3, MemberState::Left))
            .collect(),
        ..ScriptedCluster::default()
    };
    assert!(!holds(step, left), "the front left, it is not dead");
    let growing_bound =
        r#"see { claim: "c" at: "!3" of: "3" state: GONE bound { within: "1s" more: "500ms" } }"#;
    assert!(
        holds(growing_bound, gone([1100, 1500, 2400])),
        "the time limit grows with the fleet"
    );
}

#[test]
fn only_false_accusations_by_the_stated_fronts_since_the_mark_count() {
    let step = |more: &str| format!(r#"accused {{ claim: "c" by: "0-1" but: "3" {more} }}"#);
    let with_transitions = |transitions: Vec<MemberTransition>| ScriptedCluster {
        transitions,
        now: Time(10),
        ..ScriptedCluster::default()
    };
    assert!(
        holds(
            &step(""),
            with_transitions(vec![transition(500, 0, 3, MemberState::Dead)])
        ),
        "the accused front is in `but`"
    );
    assert!(
        holds(
            &step(""),
            with_transitions(vec![transition(500, 2, 1, MemberState::Dead)])
        ),
        "the accuser is not in `by`"
    );
    assert!(
        holds(
            &step(""),
            with_transitions(vec![transition(500, 0, 2, MemberState::Suspect)])
        ),
        "the front is only suspected"
    );
    assert!(
        holds(
            &step(""),
            with_transitions(vec![transition(0, 0, 2, MemberState::Dead)])
        ),
        "the accusation precedes the mark"
    );
    assert!(!holds(
        &step(""),
        with_transitions(vec![transition(500, 0, 2, MemberState::Dead)])
    ));
    let two_accusations = || {
        with_transitions(vec![
            transition(500, 0, 2, MemberState::Dead),
            transition(600, 1, 2, MemberState::Dead),
        ])
    };
    assert!(
        holds(&step("most: 2"), two_accusations()) && !holds(&step("most: 1"), two_accusations())
    );
    assert!(
        holds(&step("a_front: 0.5"), two_accusations())
            && !holds(&step("a_front: 0.4"), two_accusations())
    );
}

#[test]
fn claims_on_local_health_restarts_and_entries_hold_or_fail() {
    let health_step = r#"stands { claim: "c" at: "0,1" as: CUT_OFF bound { within: "1s" } }"#;
    let with_health = |health_changes| ScriptedCluster {
        health_changes,
        ..ScriptedCluster::default()
    };
    assert!(holds(
        health_step,
        with_health(vec![
            health_change(Time(0), 0, LocalHealth::Isolated),
            health_change(Time(0) + 1900 * MS, 1, LocalHealth::Isolated)
        ])
    ));
    assert!(!holds(
        health_step,
        with_health(vec![
            health_change(Time(0), 0, LocalHealth::Isolated),
            health_change(Time(0), 1, LocalHealth::Degraded)
        ])
    ));

    let restarted_step = r#"news { claim: "c" at: "!3" of: "3" bound { within: "1s" } }"#;
    let seen = |viewer: usize, restarted| MemberTransition {
        restarted,
        ..transition(1200, viewer, 3, MemberState::Alive)
    };
    let seen_by_all = |last_restarted| ScriptedCluster {
        transitions: vec![seen(0, true), seen(1, true), seen(2, last_restarted)],
        ..ScriptedCluster::default()
    };
    assert!(holds(restarted_step, seen_by_all(true)));
    assert!(
        !holds(restarted_step, seen_by_all(false)),
        "one front sees the previous incarnation"
    );

    let entry_step = r#"holds { claim: "c" part: 0.6 bound { within: "1s" } age_within: "200ms" }"#;
    let exact_entry = |front| known_entry(Time(0), front, Duration::ZERO);
    let with_entries = |entries| ScriptedCluster {
        entries,
        ..ScriptedCluster::default()
    };
    assert!(holds(
        entry_step,
        with_entries(vec![
            exact_entry(1),
            known_entry(Time(0) + 1500 * MS, 2, 100 * MS)
        ])
    ));
    assert!(
        !holds(entry_step, with_entries(vec![exact_entry(1)])),
        "too few fronts know the entry"
    );
    assert!(
        !holds(
            entry_step,
            with_entries(vec![exact_entry(1), known_entry(Time(0), 2, 300 * MS)])
        ),
        "the age error of one front is too large"
    );
}

#[test]
fn steps_are_carried_out_in_their_order() {
    let text = r#"name: "x" step { kill: "1" } step { heal {} } step { flood { fronts: "0" times: 3 } }
        step { see { claim: "c" at: "all" of: "all" state: ALIVE bound { within: "1s" } } }"#;
    let case = parse_case(text).unwrap();
    let mut cluster = ScriptedCluster {
        fronts: 4,
        ..ScriptedCluster::default()
    };
    run_case(&case, &mut cluster).unwrap();
    assert!(
        matches!(
            cluster.actions[..],
            [
                CaseAction::Kill(_),
                CaseAction::Heal,
                CaseAction::Flood { copies: 3, .. }
            ]
        ),
        "{:?}",
        cluster.actions
    );
}
