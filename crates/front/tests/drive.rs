//! Drives a core through random trouble and checks what it owes, and through each hard case by hand.
#![allow(clippy::too_many_lines)] // What cannot hold yet; the list is in docs/ROADMAP.md.
mod common;
use common::*;
use crankpaddle_front::*;
use std::collections::{BTreeMap, BTreeSet};

fn terms() -> Terms {
    Terms {
        give_up: vec![5 * SECOND, 4 * SECOND],
        answer_margin: 100 * MS,
        resume: 3 * SECOND,
        back: 10 * SECOND,
        open: 1000,
        open_per_player: 50,
        keep_keys: 60 * SECOND,
        keys_kept: 100,
    }
}

struct Rig {
    core: Core,
    now: Time,
    out: Vec<Effect>,
    calls: u64,
    lag: Option<oorandom::Rand32>, // Draws how many inputs are heard before the module decides.
}

fn rig() -> Rig {
    let now = Time(1000 * SECOND);
    let mut rig = Rig {
        core: Core::new(settings(), terms(), 7, now),
        now,
        out: vec![],
        calls: 0,
        lag: None,
    };
    let listing = |n: u32| Listing {
        server: ServerId(n),
        zone: 0,
        kind: 0,
        cell: n as u16,
        phase: Phase::Ready,
        weight: 1.0,
        since: Time(0),
    };
    rig.tell(Input::Roster(
        RosterKind::Full,
        (0..6).map(listing).collect(),
    ));
    rig
}

impl Rig {
    fn tell(&mut self, input: Input) -> Vec<Effect> {
        self.core.hear(self.now, input, &mut self.out);
        if self.lag.as_mut().is_none_or(|lag| lag.rand_float() < 0.3) {
            self.core.decide(self.now, &mut self.out);
            self.core.check().unwrap();
        }
        std::mem::take(&mut self.out)
    }

    /// What is owed before the module decides.
    fn hear(&mut self, input: Input) -> Vec<Effect> {
        self.core.hear(self.now, input, &mut self.out);
        std::mem::take(&mut self.out)
    }

    fn decide(&mut self) -> Vec<Effect> {
        self.core.decide(self.now, &mut self.out);
        self.core.check().unwrap();
        std::mem::take(&mut self.out)
    }

    fn call(&mut self, player: u64) -> Call {
        self.calls += 1;
        Call {
            player: PlayerId(player),
            number: self.calls,
        }
    }

    fn open(&mut self, player: u64, key: &str, class: u8) -> (Call, Vec<Effect>) {
        let call = self.call(player);
        let open = Open {
            key: key.into(),
            viewer: player,
            class,
            copies: 6,
            top: 2,
            give_up: 9 * SECOND,
            ..Open::default()
        };
        let received = self.now;
        (
            call,
            self.tell(Input::Open {
                call,
                open,
                received,
            }),
        )
    }

    /// Goes on in time, expiring step by step.
    fn pass(&mut self, time: u64) -> Vec<Effect> {
        let until = Time(self.now.0 + time);
        while let Some(at) = self.core.next_expiry().filter(|at| *at <= until) {
            self.now = self.now.max(at);
            self.core.expire(self.now, &mut self.out);
            self.core.check().unwrap();
        }
        self.now = until;
        std::mem::take(&mut self.out)
    }
}

fn set_up(effects: &[Effect]) -> Option<(AttemptId, ServerId)> {
    effects.iter().find_map(|e| match e {
        Effect::SetUp {
            attempt, server, ..
        } => Some((*attempt, *server)),
        _ => None,
    })
}

fn answers(effects: &[Effect]) -> Vec<(Call, Answer)> {
    let of = |e: &Effect| match e {
        Effect::Answer(call, answer) => Some((*call, answer.clone())),
        _ => None,
    };
    effects.iter().filter_map(of).collect()
}

#[test]
fn a_silent_paid_set_up_fails_once_before_the_viewer_gives_up() {
    let mut rig = rig();
    let (call, effects) = rig.open(1, "a", PAID);
    let (attempt, server) = set_up(&effects).expect("an attempt");
    assert!(answers(&rig.pass(3 * SECOND)).is_empty());
    let late = rig.pass(950 * MS); // 3.95 s of the 4 s that the class waits.
    assert_eq!(answers(&late), [(call, Answer::Failed(Failure::NoAnswer))]);
    assert!(
        late.contains(&Effect::Abandon(attempt, server)),
        "the server must drop what it may have set up"
    );
    // What comes after changes nothing, and the key does not buy again.
    assert!(rig
        .tell(Input::SetUp(attempt, SetUp::Started(vec![])))
        .is_empty());
    let (again, effects) = rig.open(1, "a", PAID);
    assert_eq!(
        answers(&effects),
        [(again, Answer::Failed(Failure::NoAnswer))]
    );
    assert!(set_up(&effects).is_none());
}

#[test]
fn a_paid_set_up_that_never_ran_is_sent_again_and_one_that_may_have_run_is_not() {
    let mut rig = rig();
    let (call, effects) = rig.open(1, "a", PAID);
    let (first, at) = set_up(&effects).unwrap();
    let next = rig.tell(Input::SetUp(
        first,
        SetUp::Ended(Outcome::ConnectFailed, vec![]),
    ));
    let (second, other) = set_up(&next).expect("sent again");
    assert!(answers(&next).is_empty() && other != at);
    let end = rig.tell(Input::SetUp(second, SetUp::Ended(Outcome::Reset, vec![])));
    assert_eq!(answers(&end), [(call, Answer::Failed(Failure::Broken))]);
}

#[test]
fn a_reconnect_mid_attempt_joins_the_one_attempt() {
    let mut rig = rig();
    let (first, effects) = rig.open(1, "a", PAID);
    let (attempt, server) = set_up(&effects).unwrap();
    rig.tell(Input::PlayerGone(PlayerId(1)));
    let (second, effects) = rig.open(2, "a", PAID);
    assert!(set_up(&effects).is_none() && answers(&effects).is_empty());
    let plays = rig.tell(Input::SetUp(attempt, SetUp::Started(vec![])));
    let answer = answers(&plays);
    assert_eq!(answer.len(), 1);
    assert_eq!(answer[0].0, second);
    assert!(matches!(answer[0].1, Answer::Plays { server: s, .. } if s == server));
    assert_ne!(first, second);
    // The lost connection's time passes and harms nobody.
    assert!(!rig
        .pass(10 * SECOND)
        .iter()
        .any(|e| matches!(e, Effect::TearDown(..))));
    assert_eq!(rig.core.playing(), 1);
}

#[test]
fn two_connections_that_claim_one_session_get_one_answer_each() {
    let mut rig = rig();
    let (first, effects) = rig.open(1, "a", PAID);
    let (attempt, _) = set_up(&effects).unwrap();
    let (second, effects) = rig.open(2, "a", PAID);
    assert_eq!(answers(&effects), [(first, Answer::Superseded)]);
    let plays = answers(&rig.tell(Input::SetUp(attempt, SetUp::Started(vec![]))));
    assert_eq!((plays.len(), plays[0].0), (1, second));
    // A third takes the playing session; the second is told.
    let (third, effects) = rig.open(3, "a", PAID);
    assert!(matches!(answers(&effects)[..], [(c, Answer::Plays { .. })] if c == third));
    let told = |e: &Effect| {
        matches!(
            e,
            Effect::Notify(PlayerId(2), _, Notice::Over(OverReason::TakenOver, _))
        )
    };
    assert!(effects.iter().any(told));
    let call = rig.call(2);
    let closed = rig.tell(Input::Close {
        call,
        session: RequestId(1),
    });
    assert_eq!(
        answers(&closed),
        [(call, Answer::Unknown)],
        "it is not the second's any more"
    );
}

#[test]
fn a_player_that_stays_away_frees_the_server() {
    let mut rig = rig();
    let (_, effects) = rig.open(1, "a", FREE);
    let (attempt, server) = set_up(&effects).unwrap();
    rig.tell(Input::SetUp(attempt, SetUp::Started(vec![])));
    rig.tell(Input::PlayerGone(PlayerId(1)));
    assert_eq!(rig.core.playing(), 1);
    let effects = rig.pass(4 * SECOND);
    assert!(effects.contains(&Effect::TearDown(attempt, server)));
    assert_eq!(rig.core.playing(), 0);
}

#[test]
fn a_lost_server_ends_its_session_with_advice_and_a_paid_key_is_spent() {
    let mut rig = rig();
    let (_, effects) = rig.open(1, "a", PAID);
    let (attempt, _) = set_up(&effects).unwrap();
    rig.tell(Input::SetUp(attempt, SetUp::Started(vec![])));
    let effects = rig.tell(Input::Over(attempt, Outcome::Reset, vec![]));
    let told = |e: &Effect| matches!(e, Effect::Notify(PlayerId(1), _, Notice::Over(OverReason::ServerLost, ns)) if *ns > 0);
    assert!(effects.iter().any(told));
    let (call, effects) = rig.open(1, "a", PAID);
    assert_eq!(
        answers(&effects),
        [(call, Answer::Failed(Failure::KeySpent))]
    );
    let (_, effects) = rig.open(1, "b", PAID);
    assert!(set_up(&effects).is_some());
}

#[test]
fn an_answer_read_after_the_viewer_gave_up_is_a_failure_and_is_dropped_at_the_server() {
    let mut rig = rig();
    let (call, effects) = rig.open(1, "a", PAID);
    let (attempt, server) = set_up(&effects).unwrap();
    // The front stood still for 5 s: the answer lies there, the timer has not been looked at.
    rig.now = Time(rig.now.0 + 5 * SECOND);
    let effects = rig.tell(Input::SetUp(attempt, SetUp::Started(vec![])));
    assert_eq!(
        answers(&effects),
        [(call, Answer::Failed(Failure::NoAnswer))]
    );
    assert!(effects.contains(&Effect::Abandon(attempt, server)));
}

/// Fails where the answer waits for the module: it is then not among what `hear` gives.
#[test]
fn an_answer_a_release_and_a_withdrawal_are_owed_before_the_module_decides() {
    let mut rig = rig();
    let asked = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let count = asked.clone();
    rig.core.set_tap(Box::new(move |_, _| {
        count.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    }));
    let (first, effects) = rig.open(1, "a", FREE);
    let (a, _) = set_up(&effects).unwrap();
    let (_, effects) = rig.open(2, "b", FREE);
    let (b, at) = set_up(&effects).unwrap();
    let before = asked.load(std::sync::atomic::Ordering::Relaxed);
    let answered = answers(&rig.hear(Input::SetUp(a, SetUp::Started(vec![]))));
    assert!(
        matches!(answered[..], [(c, Answer::Plays { .. })] if c == first),
        "{answered:?}"
    );
    let over = rig.hear(Input::Over(a, Outcome::Ok, vec![]));
    assert!(matches!(
        over[..],
        [Effect::Notify(
            PlayerId(1),
            _,
            Notice::Over(OverReason::Finished, _)
        )]
    ));
    assert_eq!(
        rig.hear(Input::Leave(PlayerId(2))),
        [Effect::Abandon(b, at)]
    );
    assert_eq!(
        asked.load(std::sync::atomic::Ordering::Relaxed),
        before,
        "the module was asked first"
    );
    assert!(rig.decide().is_empty());
    assert!(asked.load(std::sync::atomic::Ordering::Relaxed) > before);
    assert_eq!((rig.core.waiting(), rig.core.playing()), (0, 0));
}

/// Its attempt has just ended, the module would send another, and the viewer is gone.
#[test]
fn a_viewer_that_leaves_between_an_end_and_its_decision_gets_no_further_attempt() {
    let mut rig = rig();
    let (_, effects) = rig.open(1, "a", FREE);
    let (attempt, _) = set_up(&effects).unwrap();
    let (told, events) = std::sync::mpsc::channel();
    rig.core.set_tap(Box::new(move |_, event| {
        drop(told.send(format!("{event:?}")));
    }));
    assert!(rig
        .hear(Input::SetUp(attempt, SetUp::Ended(Outcome::Full, vec![])))
        .is_empty());
    assert!(rig.hear(Input::Leave(PlayerId(1))).is_empty());
    assert!(rig.decide().is_empty());
    assert_eq!(rig.core.waiting(), 0);
    // What the module would have sent is told back to it as never sent, or it would count it for ever.
    let events: Vec<String> = events.try_iter().collect();
    assert!(
        events
            .iter()
            .any(|e| e.starts_with("Ended") && e.contains("Moot") && e.contains("closed: true")),
        "{events:?}"
    );
    // The same when the front stops in between.
    let (call, effects) = rig.open(2, "b", FREE);
    let (attempt, _) = set_up(&effects).unwrap();
    rig.hear(Input::SetUp(attempt, SetUp::Ended(Outcome::Full, vec![])));
    let stopped = answers(&rig.hear(Input::Stop));
    assert!(
        matches!(stopped[..], [(c, Answer::Refused(Refusal::Stopping, _))] if c == call),
        "{stopped:?}"
    );
    assert!(rig.decide().is_empty());
}

#[test]
fn peers_can_make_a_front_reckon_with_more_fronts_than_configured_and_never_with_fewer() {
    let mut rig = rig(); // Two are configured.
    let (told, events) = std::sync::mpsc::channel();
    rig.core.set_tap(Box::new(move |_, event| {
        if let Event::Siblings(n) = event {
            let _ = told.send(*n);
        }
    }));
    for known in [1, 2, 5, 5, 40, 3, 1, 0] {
        rig.tell(Input::Members(known));
    }
    assert_eq!(events.try_iter().collect::<Vec<_>>(), [5, 40, 3, 2]);
}

#[test]
fn draining_refuses_the_new_keeps_the_old_and_stop_ends_all() {
    let mut rig = rig();
    let (_, effects) = rig.open(1, "a", FREE);
    let (attempt, server) = set_up(&effects).unwrap();
    rig.tell(Input::Drain);
    let (call, effects) = rig.open(2, "b", FREE);
    assert!(
        matches!(answers(&effects)[..], [(c, Answer::Refused(Refusal::Stopping, ns))] if c == call && ns > 0)
    );
    assert_eq!(
        answers(&rig.tell(Input::SetUp(attempt, SetUp::Started(vec![])))).len(),
        1
    );
    let effects = rig.tell(Input::Stop);
    assert!(effects.contains(&Effect::TearDown(attempt, server)));
    assert_eq!((rig.core.waiting(), rig.core.playing()), (0, 0));
}

#[test]
fn an_end_that_overtakes_its_answer_is_not_lost_and_nothing_is_said_to_play() {
    let mut rig = rig();
    let (call, effects) = rig.open(1, "a", FREE);
    let (attempt, _) = set_up(&effects).unwrap();
    assert!(rig
        .tell(Input::Over(attempt, Outcome::Reset, vec![]))
        .is_empty());
    let effects = rig.tell(Input::SetUp(attempt, SetUp::Started(vec![])));
    assert_eq!(
        effects,
        [Effect::Answer(call, Answer::Failed(Failure::Broken))],
        "what is over does not play"
    );
    assert_eq!((rig.core.waiting(), rig.core.playing()), (0, 0));
}

#[test]
fn a_note_that_overtakes_its_answer_is_believed() {
    let mut rig = rig();
    let (_, effects) = rig.open(1, "a", FREE);
    let (first, full) = set_up(&effects).expect("an attempt");
    rig.tell(Input::Note(first, Note::Link(1.6)));
    rig.tell(Input::SetUp(first, SetUp::Started(Report::new())));
    for n in 0..20 {
        let (_, effects) = rig.open(1, &format!("b{n}"), FREE);
        let (attempt, server) = set_up(&effects).expect("another server has room");
        assert_ne!(server, full, "its link is known to be overrun");
        rig.tell(Input::SetUp(
            attempt,
            SetUp::Ended(Outcome::Full, Report::new()),
        ));
    }
}

#[test]
fn an_adopted_session_is_held_once_and_leaves_with_its_viewer() {
    let mut rig = rig();
    let open = Open {
        key: "held".into(),
        class: PAID,
        title: 1,
        copies: 3,
        top: 2,
        ..Open::default()
    };
    let adopt = |player| Input::Adopt {
        player: PlayerId(player),
        open: open.clone(),
        server: ServerId(2),
    };
    let effects = rig.tell(adopt(50));
    let held = effects.iter().find_map(|e| match e {
        Effect::Holds {
            player,
            attempt,
            server,
        } => Some((*player, *attempt, *server)),
        _ => None,
    });
    let (player, attempt, server) = held.expect("it is held");
    assert_eq!(
        (player, server, rig.core.playing()),
        (PlayerId(50), ServerId(2), 1)
    );
    assert_eq!(rig.tell(adopt(51)), [], "told twice, it is held once");
    let effects = rig.tell(Input::Leave(PlayerId(50)));
    assert!(
        effects.contains(&Effect::TearDown(attempt, server)),
        "{effects:?}"
    );
    assert_eq!(rig.core.playing(), 0);
    assert!(
        set_up(&rig.open(1, "held", PAID).1).is_none(),
        "what was paid is not set up again"
    );
}

#[test]
fn a_viewer_that_leaves_withdraws_its_set_up_at_once() {
    let mut rig = rig();
    let (call, effects) = rig.open(7, "a", PAID);
    let (attempt, server) = set_up(&effects).expect("an attempt");
    let effects = rig.tell(Input::Leave(call.player));
    assert_eq!(
        effects,
        [Effect::Abandon(attempt, server)],
        "and no answer is owed"
    );
    assert_eq!(rig.core.waiting(), 0);
    assert_eq!(
        rig.tell(Input::SetUp(attempt, SetUp::Started(Report::new()))),
        []
    );
}

#[test]
fn a_session_that_outlived_its_key_sets_no_timer_for_the_past() {
    let mut rig = rig();
    let (_, effects) = rig.open(1, "a", PAID);
    let (attempt, _) = set_up(&effects).expect("an attempt");
    rig.tell(Input::SetUp(attempt, SetUp::Started(Report::new())));
    rig.pass(600 * SECOND);
    rig.tell(Input::Over(attempt, Outcome::Ok, Report::new()));
    let next = rig.core.next_expiry().expect("the module's own timer");
    assert!(next >= rig.now, "{next:?} before {:?}", rig.now);
}

#[test]
fn a_session_lowered_for_a_budget_goes_down_and_may_rise_again() {
    let mut rig = rig();
    let (_, effects) = rig.open(1, "a", FREE);
    let (attempt, server) = set_up(&effects).unwrap();
    assert!(
        rig.tell(Input::Lowered(attempt, true)).is_empty(),
        "before it plays there is nothing to lower"
    );
    rig.tell(Input::SetUp(attempt, SetUp::Started(vec![])));
    let lowered = rig.tell(Input::Lowered(attempt, true));
    assert!(
        lowered.contains(&Effect::SetRung(attempt, server, 0)),
        "{lowered:?}"
    );
    assert!(
        rig.pass(90 * SECOND)
            .iter()
            .all(|e| !matches!(e, Effect::SetRung(..))),
        "and stays there"
    );
    let mut after = rig.tell(Input::Lowered(attempt, false));
    after.extend(rig.pass(90 * SECOND));
    assert!(after
        .iter()
        .any(|e| matches!(e, Effect::SetRung(a, _, rung) if *a == attempt && *rung > 0)));
}

#[test]
fn a_refusal_says_when_a_budget_holds_a_class_at_home() {
    let mut rig = rig();
    let crossing = |class, leave| Input::Crossing {
        zone: 0,
        class,
        leave,
    };
    rig.tell(crossing(FREE, Leave::Never));
    let why = |rig: &mut Rig, player, key: &str, class| {
        let (_, effects) = rig.open(player, key, class);
        answers(&effects).into_iter().find_map(|(_, a)| match a {
            Answer::Refused(why, advice) => Some((why, advice > 0)),
            _ => None,
        })
    };
    assert_eq!(
        why(&mut rig, 1, "a", FREE),
        Some((Refusal::HeldAtHome, true))
    );
    assert_eq!(why(&mut rig, 2, "b", PAID), None, "the other class goes on");
    rig.tell(crossing(FREE, Leave::Free));
    assert_eq!(why(&mut rig, 3, "c", FREE), None);
    rig.tell(Input::Roster(RosterKind::Full, vec![]));
    assert_eq!(
        why(&mut rig, 4, "d", FREE),
        Some((Refusal::NoRoom, true)),
        "nothing is left, and no budget is why"
    );
}

#[test]
fn keys_are_kept_in_bounded_memory() {
    let mut rig = rig();
    for n in 0..300 {
        let (_, effects) = rig.open(n, &format!("k{n}"), PAID);
        let (attempt, _) = set_up(&effects).expect("room for one at a time");
        rig.tell(Input::SetUp(attempt, SetUp::Started(vec![])));
        rig.tell(Input::Over(attempt, Outcome::Ok, vec![]));
        rig.pass(100 * MS);
    }
    let (call, effects) = rig.open(1, "k299", PAID);
    assert_eq!(
        answers(&effects),
        [(call, Answer::Failed(Failure::KeySpent))],
        "late keys are known"
    );
    let (_, effects) = rig.open(1, "k100", PAID);
    assert!(set_up(&effects).is_some(), "only so many are kept");
    rig.pass(100 * SECOND);
    let (_, effects) = rig.open(1, "k299", PAID);
    assert!(set_up(&effects).is_some(), "and forgotten after their time");
}

/// Random players and servers for a minute of virtual time; judged by what goes in and out alone.
fn random_run(seed: u64, in_batches: bool) {
    let mut rng = oorandom::Rand32::new(seed);
    let mut rig = rig();
    rig.lag = in_batches.then(|| oorandom::Rand32::new(seed + 1));
    let mut owed: BTreeMap<Call, (String, Time)> = BTreeMap::new();
    let mut out_of: BTreeMap<RequestId, AttemptId> = BTreeMap::new();
    let mut of: BTreeMap<AttemptId, (RequestId, u8)> = BTreeMap::new();
    let mut playing: BTreeSet<AttemptId> = BTreeSet::new();
    let mut ran_paid: BTreeSet<RequestId> = BTreeSet::new();
    let mut keys: BTreeMap<RequestId, String> = BTreeMap::new();
    for step in 0..3000u32 {
        let player = u64::from(rng.rand_range(0..12));
        let class = if rng.rand_float() < 0.4 { PAID } else { FREE };
        let waiting: Vec<AttemptId> = out_of.values().copied().collect();
        let pick = |rng: &mut oorandom::Rand32, v: &[AttemptId]| {
            (!v.is_empty()).then(|| v[rng.rand_range(0..v.len() as u32) as usize])
        };
        let plays: Vec<AttemptId> = playing.iter().copied().collect();
        let mut gave = None;
        let effects = match rng.rand_range(0..12) {
            0..=3 => {
                let key = format!("{class}-{}", rng.rand_range(0..40 + step / 20));
                let (call, effects) = rig.open(player, &key, class);
                owed.insert(call, (key, rig.now));
                effects
            }
            4 | 5 => match pick(&mut rng, &waiting) {
                Some(a) => {
                    gave = Some((a, Outcome::Ok));
                    playing.insert(a);
                    rig.tell(Input::SetUp(a, SetUp::Started(vec![])))
                }
                None => vec![],
            },
            6 | 7 => match pick(&mut rng, &waiting) {
                Some(a) => {
                    let outcomes = [
                        Outcome::Error,
                        Outcome::Full,
                        Outcome::ConnectFailed,
                        Outcome::Reset,
                    ];
                    let outcome = outcomes[rng.rand_range(0..4) as usize];
                    gave = Some((a, outcome));
                    rig.tell(Input::SetUp(a, SetUp::Ended(outcome, vec![])))
                }
                None => vec![],
            },
            8 => match pick(&mut rng, &plays) {
                Some(a) => {
                    playing.remove(&a);
                    let how = if rng.rand_float() < 0.5 {
                        Outcome::Ok
                    } else {
                        Outcome::Reset
                    };
                    rig.tell(Input::Over(a, how, vec![]))
                }
                None => vec![],
            },
            9 => {
                owed.retain(|c, _| c.player != PlayerId(player));
                rig.tell(Input::PlayerGone(PlayerId(player)))
            }
            _ => {
                let time = u64::from(rng.rand_range(1..60)) * MS;
                rig.pass(time)
            }
        };
        if let Some((a, outcome)) = gave {
            let (request, class) = of[&a];
            out_of.remove(&request);
            if class == PAID && !matches!(outcome, Outcome::Full | Outcome::ConnectFailed) {
                ran_paid.insert(request);
            }
        }
        for effect in effects {
            match effect {
                Effect::SetUp {
                    attempt,
                    request,
                    order,
                    ..
                } => {
                    assert!(
                        out_of.insert(request, attempt).is_none(),
                        "seed {seed}: two attempts out"
                    );
                    assert!(
                        !ran_paid.contains(&request),
                        "seed {seed}: a paid set-up sent again"
                    );
                    of.insert(attempt, (request, order.class));
                    keys.insert(request, order.key);
                }
                Effect::Abandon(attempt, _) => {
                    let (request, class) = of[&attempt];
                    out_of.remove(&request);
                    playing.remove(&attempt);
                    if class == PAID {
                        ran_paid.insert(request);
                    }
                }
                Effect::TearDown(attempt, _) => {
                    playing.remove(&attempt);
                }
                Effect::Answer(call, answer) => {
                    let (key, asked) = owed
                        .remove(&call)
                        .unwrap_or_else(|| panic!("seed {seed}: not owed {call:?}"));
                    assert!(rig.now.0 - asked.0 <= 5 * SECOND, "seed {seed}: late");
                    // A refusal says that nothing of it ran: no paid request of this key may have.
                    let unknown = matches!(answer, Answer::Refused(..));
                    let ran = ran_paid.iter().any(|r| keys.get(r) == Some(&key));
                    assert!(
                        !unknown || !ran,
                        "seed {seed}: refused though it may have run: {key}"
                    );
                }
                _ => {}
            }
        }
    }
    rig.pass(10 * SECOND).into_iter().for_each(|e| {
        if let Effect::Answer(call, _) = e {
            owed.remove(&call);
        }
    });
    assert!(owed.is_empty(), "seed {seed}: never answered {owed:?}");
    assert_eq!(rig.core.waiting(), 0);
}

#[test]
fn whatever_happens_each_call_gets_one_answer_in_time() {
    for seed in 0..40 {
        random_run(seed, false);
        random_run(seed, true);
    }
}
