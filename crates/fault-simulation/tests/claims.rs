//! The judge of claims is judged: for each kind a world in which it holds, and the nearest one in which it does not.
use crankpaddle_fault_simulation::*;
use crankpaddle_membership::{LocalHealth, MemberState};

/// A world that is told what happens: who takes whom for what from when on, and all else as it is.
#[derive(Default)]
struct Told {
    now: u64,
    fronts: usize,
    turns: Vec<Turn>,
    standings: Vec<(u64, usize, LocalHealth)>,
    entries: Vec<(u64, usize, u64)>, // From when, whose, how wrong its age is.
    acts: Vec<Act>,
}

impl World for Told {
    fn fronts(&self) -> usize {
        self.fronts
    }

    fn now(&self) -> u64 {
        self.now
    }

    fn run(&mut self, time: u64) {
        self.now += time;
    }

    fn act(&mut self, act: &Act) -> Result<(), String> {
        self.acts.push(act.clone());
        Ok(())
    }

    fn state(&self, at: usize, of: usize) -> Option<MemberState> {
        let known = |t: &&Turn| t.at <= self.now && (t.by, t.of) == (at, of);
        self.turns
            .iter()
            .rfind(known)
            .map_or(Some(MemberState::Alive), |t| Some(t.state))
    }

    fn standing(&self, at: usize) -> Option<LocalHealth> {
        let known = |(when, who, _): &&(u64, usize, LocalHealth)| *when <= self.now && *who == at;
        self.standings
            .iter()
            .rfind(known)
            .map(|(.., standing)| *standing)
    }

    fn turns(&self, from: u64) -> Vec<Turn> {
        self.turns
            .iter()
            .filter(|t| (from..=self.now).contains(&t.at))
            .cloned()
            .collect()
    }

    fn entry(&self, at: usize) -> Option<(u64, u64)> {
        let entry = self
            .entries
            .iter()
            .find(|(when, who, _)| *when <= self.now && *who == at)?;
        Some((self.now, self.now + entry.2))
    }

    fn sent(&self) -> Rate {
        (0.0, 0.0)
    }
}

fn turn(at: u64, by: usize, of: usize, state: MemberState) -> Turn {
    Turn {
        at: at * MS,
        by,
        of,
        state,
        restarted: false,
    }
}

fn kept(step: &str, mut world: Told) -> bool {
    world.fronts = 4;
    let text = format!("name: \"x\" step {{ mark {{}} }} step {{ run: \"1s\" }} step {{ {step} }}");
    let case = parse(&text).unwrap_or_else(|p| panic!("{step}: {p:?}"));
    let played = play(&case, &mut world).unwrap();
    let (kept, all) = played.kept();
    assert_eq!((all, kept == 1), (1, played.claims[0].kept));
    played.claims[0].kept
}

#[test]
fn what_each_sees_holds_in_time_or_is_broken_also_by_one() {
    let step = r#"see { claim: "c" at: "!3" of: "3" state: GONE bound { within: "1s" } }"#;
    let gone = |times: [u64; 3]| Told {
        turns: (0..3)
            .map(|by| turn(times[by], by, 3, MemberState::Dead))
            .collect(),
        ..Told::default()
    };
    assert!(kept(step, gone([1100, 1500, 1990])));
    assert!(!kept(step, gone([1100, 1500, 2100])), "one is late");
    assert!(!kept(step, gone([1100, 1500, 9000])), "one never sees it");
    let left = Told {
        turns: (0..3)
            .map(|by| turn(1100, by, 3, MemberState::Left))
            .collect(),
        ..Told::default()
    };
    assert!(!kept(step, left), "another state");
    let grows =
        r#"see { claim: "c" at: "!3" of: "3" state: GONE bound { within: "1s" more: "500ms" } }"#;
    assert!(
        kept(grows, gone([1100, 1500, 2400])),
        "the bound has a part that grows"
    );
}

#[test]
fn accusations_count_from_the_mark_by_whom_and_of_whom_it_says() {
    let step = |more: &str| format!(r#"accused {{ claim: "c" by: "0-1" but: "3" {more} }}"#);
    let of = |turns: Vec<Turn>| Told {
        turns,
        now: 10,
        ..Told::default()
    };
    assert!(
        kept(&step(""), of(vec![turn(500, 0, 3, MemberState::Dead)])),
        "rightly"
    );
    assert!(
        kept(&step(""), of(vec![turn(500, 2, 1, MemberState::Dead)])),
        "by another"
    );
    assert!(
        kept(&step(""), of(vec![turn(500, 0, 2, MemberState::Suspect)])),
        "only suspected"
    );
    assert!(
        kept(&step(""), of(vec![turn(0, 0, 2, MemberState::Dead)])),
        "before the mark"
    );
    assert!(!kept(
        &step(""),
        of(vec![turn(500, 0, 2, MemberState::Dead)])
    ));
    let both = || {
        of(vec![
            turn(500, 0, 2, MemberState::Dead),
            turn(600, 1, 2, MemberState::Dead),
        ])
    };
    assert!(kept(&step("most: 2"), both()) && !kept(&step("most: 1"), both()));
    assert!(kept(&step("a_front: 0.5"), both()) && !kept(&step("a_front: 0.4"), both()));
}

#[test]
fn standings_news_and_entries_hold_or_are_broken() {
    let stands = r#"stands { claim: "c" at: "0,1" as: CUT_OFF bound { within: "1s" } }"#;
    let of = |standings| Told {
        standings,
        ..Told::default()
    };
    assert!(kept(
        stands,
        of(vec![
            (0, 0, LocalHealth::Isolated),
            (1900 * MS, 1, LocalHealth::Isolated)
        ])
    ));
    assert!(!kept(
        stands,
        of(vec![
            (0, 0, LocalHealth::Isolated),
            (0, 1, LocalHealth::Degraded)
        ])
    ));

    let news = r#"news { claim: "c" at: "!3" of: "3" bound { within: "1s" } }"#;
    let heard = |by: usize, restarted| Turn {
        restarted,
        ..turn(1200, by, 3, MemberState::Alive)
    };
    let all = |last| Told {
        turns: vec![heard(0, true), heard(1, true), heard(2, last)],
        ..Told::default()
    };
    assert!(kept(news, all(true)));
    assert!(!kept(news, all(false)), "one takes it for the same life");

    let holds = r#"holds { claim: "c" part: 0.6 bound { within: "1s" } age_within: "200ms" }"#;
    let of = |entries| Told {
        entries,
        ..Told::default()
    };
    assert!(kept(holds, of(vec![(0, 1, 0), (1500 * MS, 2, 100 * MS)])));
    assert!(!kept(holds, of(vec![(0, 1, 0)])), "too few");
    assert!(
        !kept(holds, of(vec![(0, 1, 0), (0, 2, 300 * MS)])),
        "an age is wrong"
    );
}

#[test]
fn steps_are_carried_out_in_their_order_and_what_cannot_be_done_is_said() {
    let text = r#"name: "x" step { kill: "1" } step { heal {} } step { flood { fronts: "0" times: 3 } }
        step { see { claim: "c" at: "all" of: "all" state: ALIVE bound { within: "1s" } } }"#;
    let case = parse(text).unwrap();
    let mut world = Told {
        fronts: 4,
        ..Told::default()
    };
    play(&case, &mut world).unwrap();
    assert!(
        matches!(world.acts[..], [Act::Kill(_), Act::Heal, Act::Flood(_, 3)]),
        "{:?}",
        world.acts
    );
}
