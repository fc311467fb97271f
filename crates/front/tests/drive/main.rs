//! Drives a core through random trouble and checks what it owes, and through each hard case by hand.
#![allow(clippy::too_many_lines)] // What cannot hold yet; the list is in docs/ROADMAP.md.
#[path = "../common/mod.rs"]
mod common;
use common::*;
use crankpaddle_front::*;
use std::collections::{BTreeMap, BTreeSet};

fn terms() -> CoreConfig {
    CoreConfig {
        max_wait: vec![5 * SECOND, 4 * SECOND],
        answer_margin: 100 * MS,
        resume_window: 3 * SECOND,
        recovered_resume_window: 10 * SECOND,
        max_pending: 1000,
        max_pending_per_player: 50,
        key_retention: 60 * SECOND,
        max_retained_keys: 100,
    }
}

struct Rig {
    core: Core,
    now: Time,
    out: Vec<Output>,
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
    let listing = |n: u32| Endpoint {
        server: ServerId(n),
        zone: 0,
        kind: 0,
        cell: n as u16,
        lifecycle: Lifecycle::Ready,
        weight: 1.0,
        started_at: Time(0),
    };
    rig.tell(Input::EndpointList(
        EndpointListKind::Full,
        (0..6).map(listing).collect(),
    ));
    rig
}

impl Rig {
    fn tell(&mut self, input: Input) -> Vec<Output> {
        self.core.handle_input(self.now, input, &mut self.out);
        if self.lag.as_mut().is_none_or(|lag| lag.rand_float() < 0.3) {
            self.core.decide(self.now, &mut self.out);
            self.core.check().unwrap();
        }
        std::mem::take(&mut self.out)
    }

    /// What is owed before the module decides.
    fn hear(&mut self, input: Input) -> Vec<Output> {
        self.core.handle_input(self.now, input, &mut self.out);
        std::mem::take(&mut self.out)
    }

    fn decide(&mut self) -> Vec<Output> {
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

    fn open(&mut self, player: u64, key: &str, class: u8) -> (Call, Vec<Output>) {
        let call = self.call(player);
        let open = OpenRequest {
            key: key.into(),
            viewer: player,
            class,
            cell_count: 6,
            max_rung: 2,
            max_wait: 9 * SECOND,
            ..OpenRequest::default()
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
    fn pass(&mut self, time: u64) -> Vec<Output> {
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

fn set_up(effects: &[Output]) -> Option<(AttemptId, ServerId)> {
    effects.iter().find_map(|e| match e {
        Output::StartSetUp {
            attempt, server, ..
        } => Some((*attempt, *server)),
        _ => None,
    })
}

fn answers(effects: &[Output]) -> Vec<(Call, Answer)> {
    let of = |e: &Output| match e {
        Output::Answer(call, answer) => Some((*call, answer.clone())),
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
    assert_eq!(
        answers(&late),
        [(call, Answer::Failed(FailureReason::NoAnswer))]
    );
    assert!(
        late.contains(&Output::AbandonAttempt(attempt, server)),
        "the server must drop what it may have set up"
    );
    // What comes after changes nothing, and the key does not buy again.
    assert!(rig
        .tell(Input::SetUpCompleted(attempt, SetUpResult::Started(vec![])))
        .is_empty());
    let (again, effects) = rig.open(1, "a", PAID);
    assert_eq!(
        answers(&effects),
        [(again, Answer::Failed(FailureReason::NoAnswer))]
    );
    assert!(set_up(&effects).is_none());
}

#[test]
fn a_paid_set_up_that_never_ran_is_sent_again_and_one_that_may_have_run_is_not() {
    let mut rig = rig();
    let (call, effects) = rig.open(1, "a", PAID);
    let (first, at) = set_up(&effects).unwrap();
    let next = rig.tell(Input::SetUpCompleted(
        first,
        SetUpResult::Ended(AttemptOutcome::ConnectFailed, vec![]),
    ));
    let (second, other) = set_up(&next).expect("sent again");
    assert!(answers(&next).is_empty() && other != at);
    let end = rig.tell(Input::SetUpCompleted(
        second,
        SetUpResult::Ended(AttemptOutcome::Reset, vec![]),
    ));
    assert_eq!(
        answers(&end),
        [(call, Answer::Failed(FailureReason::ConnectionLost))]
    );
}

#[test]
fn a_reconnect_mid_attempt_joins_the_one_attempt() {
    let mut rig = rig();
    let (first, effects) = rig.open(1, "a", PAID);
    let (attempt, server) = set_up(&effects).unwrap();
    rig.tell(Input::PlayerDisconnected(PlayerId(1)));
    let (second, effects) = rig.open(2, "a", PAID);
    assert!(set_up(&effects).is_none() && answers(&effects).is_empty());
    let plays = rig.tell(Input::SetUpCompleted(attempt, SetUpResult::Started(vec![])));
    let answer = answers(&plays);
    assert_eq!(answer.len(), 1);
    assert_eq!(answer[0].0, second);
    assert!(matches!(answer[0].1, Answer::Established { server: s, .. } if s == server));
    assert_ne!(first, second);
    // The lost connection's time passes and harms nobody.
    assert!(!rig
        .pass(10 * SECOND)
        .iter()
        .any(|e| matches!(e, Output::TearDown(..))));
    assert_eq!(rig.core.playing(), 1);
}

#[test]
fn two_connections_that_claim_one_session_get_one_answer_each() {
    let mut rig = rig();
    let (first, effects) = rig.open(1, "a", PAID);
    let (attempt, _) = set_up(&effects).unwrap();
    let (second, effects) = rig.open(2, "a", PAID);
    assert_eq!(answers(&effects), [(first, Answer::Superseded)]);
    let plays = answers(&rig.tell(Input::SetUpCompleted(attempt, SetUpResult::Started(vec![]))));
    assert_eq!((plays.len(), plays[0].0), (1, second));
    // A third takes the playing session; the second is told.
    let (third, effects) = rig.open(3, "a", PAID);
    assert!(matches!(answers(&effects)[..], [(c, Answer::Established { .. })] if c == third));
    let told = |e: &Output| {
        matches!(
            e,
            Output::Notify(
                PlayerId(2),
                _,
                Notification::SessionEnded(SessionEndReason::Superseded, _)
            )
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
        [(call, Answer::UnknownSession)],
        "it is not the second's any more"
    );
}

#[test]
fn a_player_that_stays_away_frees_the_server() {
    let mut rig = rig();
    let (_, effects) = rig.open(1, "a", FREE);
    let (attempt, server) = set_up(&effects).unwrap();
    rig.tell(Input::SetUpCompleted(attempt, SetUpResult::Started(vec![])));
    rig.tell(Input::PlayerDisconnected(PlayerId(1)));
    assert_eq!(rig.core.playing(), 1);
    let effects = rig.pass(4 * SECOND);
    assert!(effects.contains(&Output::TearDown(attempt, server)));
    assert_eq!(rig.core.playing(), 0);
}

#[test]
fn a_lost_server_ends_its_session_with_advice_and_a_paid_key_is_spent() {
    let mut rig = rig();
    let (_, effects) = rig.open(1, "a", PAID);
    let (attempt, _) = set_up(&effects).unwrap();
    rig.tell(Input::SetUpCompleted(attempt, SetUpResult::Started(vec![])));
    let effects = rig.tell(Input::SessionEnded(attempt, AttemptOutcome::Reset, vec![]));
    let told = |e: &Output| matches!(e, Output::Notify(PlayerId(1), _, Notification::SessionEnded(SessionEndReason::ServerLost, ns)) if *ns > 0);
    assert!(effects.iter().any(told));
    let (call, effects) = rig.open(1, "a", PAID);
    assert_eq!(
        answers(&effects),
        [(call, Answer::Failed(FailureReason::KeySpent))]
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
    let effects = rig.tell(Input::SetUpCompleted(attempt, SetUpResult::Started(vec![])));
    assert_eq!(
        answers(&effects),
        [(call, Answer::Failed(FailureReason::NoAnswer))]
    );
    assert!(effects.contains(&Output::AbandonAttempt(attempt, server)));
}

/// Fails where the answer waits for the module: it is then not among what `hear` gives.
#[test]
fn an_answer_a_release_and_a_withdrawal_are_owed_before_the_module_decides() {
    let mut rig = rig();
    let asked = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    let count = asked.clone();
    rig.core.set_event_observer(Box::new(move |_, _| {
        count.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    }));
    let (first, effects) = rig.open(1, "a", FREE);
    let (a, _) = set_up(&effects).unwrap();
    let (_, effects) = rig.open(2, "b", FREE);
    let (b, at) = set_up(&effects).unwrap();
    let before = asked.load(std::sync::atomic::Ordering::Relaxed);
    let answered = answers(&rig.hear(Input::SetUpCompleted(a, SetUpResult::Started(vec![]))));
    assert!(
        matches!(answered[..], [(c, Answer::Established { .. })] if c == first),
        "{answered:?}"
    );
    let over = rig.hear(Input::SessionEnded(a, AttemptOutcome::Completed, vec![]));
    assert!(matches!(
        over[..],
        [Output::Notify(
            PlayerId(1),
            _,
            Notification::SessionEnded(SessionEndReason::Finished, _)
        )]
    ));
    assert_eq!(
        rig.hear(Input::Leave(PlayerId(2))),
        [Output::AbandonAttempt(b, at)]
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
    rig.core.set_event_observer(Box::new(move |_, event| {
        drop(told.send(format!("{event:?}")));
    }));
    assert!(rig
        .hear(Input::SetUpCompleted(
            attempt,
            SetUpResult::Ended(AttemptOutcome::Rejected, vec![])
        ))
        .is_empty());
    assert!(rig.hear(Input::Leave(PlayerId(1))).is_empty());
    assert!(rig.decide().is_empty());
    assert_eq!(rig.core.waiting(), 0);
    // What the module would have sent is told back to it as never sent, or it would count it for ever.
    let events: Vec<String> = events.try_iter().collect();
    assert!(
        events.iter().any(|e| e.starts_with("AttemptEnded")
            && e.contains("NotSent")
            && e.contains("is_final: true")),
        "{events:?}"
    );
    // The same when the front stops in between.
    let (call, effects) = rig.open(2, "b", FREE);
    let (attempt, _) = set_up(&effects).unwrap();
    rig.hear(Input::SetUpCompleted(
        attempt,
        SetUpResult::Ended(AttemptOutcome::Rejected, vec![]),
    ));
    let stopped = answers(&rig.hear(Input::Stop));
    assert!(
        matches!(stopped[..], [(c, Answer::Rejected(RejectReason::ShuttingDown, _))] if c == call),
        "{stopped:?}"
    );
    assert!(rig.decide().is_empty());
}

#[test]
fn peers_can_make_a_front_reckon_with_more_fronts_than_configured_and_never_with_fewer() {
    let mut rig = rig(); // Two are configured.
    let (told, events) = std::sync::mpsc::channel();
    rig.core.set_event_observer(Box::new(move |_, event| {
        if let Event::ReplicaCountChanged(n) = event {
            let _ = told.send(*n);
        }
    }));
    for known in [1, 2, 5, 5, 40, 3, 1, 0] {
        rig.tell(Input::FleetSizeChanged(known));
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
        matches!(answers(&effects)[..], [(c, Answer::Rejected(RejectReason::ShuttingDown, ns))] if c == call && ns > 0)
    );
    assert_eq!(
        answers(&rig.tell(Input::SetUpCompleted(attempt, SetUpResult::Started(vec![])))).len(),
        1
    );
    let effects = rig.tell(Input::Stop);
    assert!(effects.contains(&Output::TearDown(attempt, server)));
    assert_eq!((rig.core.waiting(), rig.core.playing()), (0, 0));
}

#[test]
fn an_end_that_overtakes_its_answer_is_not_lost_and_nothing_is_said_to_play() {
    let mut rig = rig();
    let (call, effects) = rig.open(1, "a", FREE);
    let (attempt, _) = set_up(&effects).unwrap();
    assert!(rig
        .tell(Input::SessionEnded(attempt, AttemptOutcome::Reset, vec![]))
        .is_empty());
    let effects = rig.tell(Input::SetUpCompleted(attempt, SetUpResult::Started(vec![])));
    assert_eq!(
        effects,
        [Output::Answer(
            call,
            Answer::Failed(FailureReason::ConnectionLost)
        )],
        "what is over does not play"
    );
    assert_eq!((rig.core.waiting(), rig.core.playing()), (0, 0));
}

#[test]
fn a_note_that_overtakes_its_answer_is_believed() {
    let mut rig = rig();
    let (_, effects) = rig.open(1, "a", FREE);
    let (first, full) = set_up(&effects).expect("an attempt");
    rig.tell(Input::SessionUpdated(first, SessionUpdate::LinkDemand(1.6)));
    rig.tell(Input::SetUpCompleted(
        first,
        SetUpResult::Started(LoadReport::new()),
    ));
    for n in 0..20 {
        let (_, effects) = rig.open(1, &format!("b{n}"), FREE);
        let (attempt, server) = set_up(&effects).expect("another server has room");
        assert_ne!(server, full, "its link is known to be overrun");
        rig.tell(Input::SetUpCompleted(
            attempt,
            SetUpResult::Ended(AttemptOutcome::Rejected, LoadReport::new()),
        ));
    }
}

#[test]
fn an_adopted_session_is_held_once_and_leaves_with_its_viewer() {
    let mut rig = rig();
    let open = OpenRequest {
        key: "held".into(),
        class: PAID,
        title: 1,
        cell_count: 3,
        max_rung: 2,
        ..OpenRequest::default()
    };
    let adopt = |player| Input::Adopt {
        player: PlayerId(player),
        open: open.clone(),
        server: ServerId(2),
    };
    let effects = rig.tell(adopt(50));
    let held = effects.iter().find_map(|e| match e {
        Output::SessionAdopted {
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
        effects.contains(&Output::TearDown(attempt, server)),
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
        [Output::AbandonAttempt(attempt, server)],
        "and no answer is owed"
    );
    assert_eq!(rig.core.waiting(), 0);
    assert_eq!(
        rig.tell(Input::SetUpCompleted(
            attempt,
            SetUpResult::Started(LoadReport::new())
        )),
        []
    );
}

#[test]
fn a_session_that_outlived_its_key_sets_no_timer_for_the_past() {
    let mut rig = rig();
    let (_, effects) = rig.open(1, "a", PAID);
    let (attempt, _) = set_up(&effects).expect("an attempt");
    rig.tell(Input::SetUpCompleted(
        attempt,
        SetUpResult::Started(LoadReport::new()),
    ));
    rig.pass(600 * SECOND);
    rig.tell(Input::SessionEnded(
        attempt,
        AttemptOutcome::Completed,
        LoadReport::new(),
    ));
    let next = rig.core.next_expiry().expect("the module's own timer");
    assert!(next >= rig.now, "{next:?} before {:?}", rig.now);
}

#[test]
fn a_session_lowered_for_a_budget_goes_down_and_may_rise_again() {
    let mut rig = rig();
    let (_, effects) = rig.open(1, "a", FREE);
    let (attempt, server) = set_up(&effects).unwrap();
    assert!(
        rig.tell(Input::RateCapped(attempt, true)).is_empty(),
        "before it plays there is nothing to lower"
    );
    rig.tell(Input::SetUpCompleted(attempt, SetUpResult::Started(vec![])));
    let lowered = rig.tell(Input::RateCapped(attempt, true));
    assert!(
        lowered.contains(&Output::SetRung(attempt, server, 0)),
        "{lowered:?}"
    );
    assert!(
        rig.pass(90 * SECOND)
            .iter()
            .all(|e| !matches!(e, Output::SetRung(..))),
        "and stays there"
    );
    let mut after = rig.tell(Input::RateCapped(attempt, false));
    after.extend(rig.pass(90 * SECOND));
    assert!(after
        .iter()
        .any(|e| matches!(e, Output::SetRung(a, _, rung) if *a == attempt && *rung > 0)));
}

#[test]
fn a_refusal_says_when_a_budget_holds_a_class_at_home() {
    let mut rig = rig();
    let crossing = |class, leave| Input::CrossZonePolicyChanged {
        zone: 0,
        class,
        leave,
    };
    rig.tell(crossing(FREE, CrossZonePolicy::Forbidden));
    let why = |rig: &mut Rig, player, key: &str, class| {
        let (_, effects) = rig.open(player, key, class);
        answers(&effects).into_iter().find_map(|(_, a)| match a {
            Answer::Rejected(why, advice) => Some((why, advice > 0)),
            _ => None,
        })
    };
    assert_eq!(
        why(&mut rig, 1, "a", FREE),
        Some((RejectReason::CrossZoneForbidden, true))
    );
    assert_eq!(why(&mut rig, 2, "b", PAID), None, "the other class goes on");
    rig.tell(crossing(FREE, CrossZonePolicy::Allowed));
    assert_eq!(why(&mut rig, 3, "c", FREE), None);
    rig.tell(Input::EndpointList(EndpointListKind::Full, vec![]));
    assert_eq!(
        why(&mut rig, 4, "d", FREE),
        Some((RejectReason::NoCapacity, true)),
        "nothing is left, and no budget is why"
    );
}

#[test]
fn keys_are_kept_in_bounded_memory() {
    let mut rig = rig();
    for n in 0..300 {
        let (_, effects) = rig.open(n, &format!("k{n}"), PAID);
        let (attempt, _) = set_up(&effects).expect("room for one at a time");
        rig.tell(Input::SetUpCompleted(attempt, SetUpResult::Started(vec![])));
        rig.tell(Input::SessionEnded(
            attempt,
            AttemptOutcome::Completed,
            vec![],
        ));
        rig.pass(100 * MS);
    }
    let (call, effects) = rig.open(1, "k299", PAID);
    assert_eq!(
        answers(&effects),
        [(call, Answer::Failed(FailureReason::KeySpent))],
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
                    gave = Some((a, AttemptOutcome::Completed));
                    playing.insert(a);
                    rig.tell(Input::SetUpCompleted(a, SetUpResult::Started(vec![])))
                }
                None => vec![],
            },
            6 | 7 => match pick(&mut rng, &waiting) {
                Some(a) => {
                    let outcomes = [
                        AttemptOutcome::ServerError,
                        AttemptOutcome::Rejected,
                        AttemptOutcome::ConnectFailed,
                        AttemptOutcome::Reset,
                    ];
                    let outcome = outcomes[rng.rand_range(0..4) as usize];
                    gave = Some((a, outcome));
                    rig.tell(Input::SetUpCompleted(
                        a,
                        SetUpResult::Ended(outcome, vec![]),
                    ))
                }
                None => vec![],
            },
            8 => match pick(&mut rng, &plays) {
                Some(a) => {
                    playing.remove(&a);
                    let how = if rng.rand_float() < 0.5 {
                        AttemptOutcome::Completed
                    } else {
                        AttemptOutcome::Reset
                    };
                    rig.tell(Input::SessionEnded(a, how, vec![]))
                }
                None => vec![],
            },
            9 => {
                owed.retain(|c, _| c.player != PlayerId(player));
                rig.tell(Input::PlayerDisconnected(PlayerId(player)))
            }
            _ => {
                let time = u64::from(rng.rand_range(1..60)) * MS;
                rig.pass(time)
            }
        };
        if let Some((a, outcome)) = gave {
            let (request, class) = of[&a];
            out_of.remove(&request);
            if class == PAID
                && !matches!(
                    outcome,
                    AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed
                )
            {
                ran_paid.insert(request);
            }
        }
        for effect in effects {
            match effect {
                Output::StartSetUp {
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
                Output::AbandonAttempt(attempt, _) => {
                    let (request, class) = of[&attempt];
                    out_of.remove(&request);
                    playing.remove(&attempt);
                    if class == PAID {
                        ran_paid.insert(request);
                    }
                }
                Output::TearDown(attempt, _) => {
                    playing.remove(&attempt);
                }
                Output::Answer(call, answer) => {
                    let (key, asked) = owed
                        .remove(&call)
                        .unwrap_or_else(|| panic!("seed {seed}: not owed {call:?}"));
                    assert!(rig.now.0 - asked.0 <= 5 * SECOND, "seed {seed}: late");
                    // A refusal says that nothing of it ran: no paid request of this key may have.
                    let unknown = matches!(answer, Answer::Rejected(..));
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
        if let Output::Answer(call, _) = e {
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
