//! Players that reconnect, disconnect or leave, and the adoption of sessions.
use crate::common::{FREE, PAID, SECOND};
use crate::harness::{answers, first_set_up, Harness};
use crankpaddle_front::*;

#[test]
fn a_reconnect_during_an_attempt_joins_the_outstanding_attempt() {
    let mut harness = Harness::new();
    let (first, outputs) = harness.open(1, "a", PAID);
    let (attempt, server) = first_set_up(&outputs).unwrap();
    harness.handle(Input::PlayerDisconnected(PlayerId(1)));
    let (second, outputs) = harness.open(2, "a", PAID);
    assert!(first_set_up(&outputs).is_none() && answers(&outputs).is_empty());
    let outputs = harness.establish(attempt);
    let answered = answers(&outputs);
    assert_eq!(answered.len(), 1);
    assert_eq!(answered[0].0, second);
    assert!(
        matches!(answered[0].1, Answer::Established { server: playing_at, .. } if playing_at == server)
    );
    assert_ne!(first, second);
    // The end of the resume window of the closed connection has no effect.
    assert!(!harness
        .advance(10 * SECOND)
        .iter()
        .any(|output| matches!(output, Output::TearDown(..))));
    assert_eq!(harness.core.playing_sessions(), 1);
}

#[test]
fn two_connections_that_open_one_session_get_one_answer_each() {
    let mut harness = Harness::new();
    let (first, outputs) = harness.open(1, "a", PAID);
    let (attempt, _) = first_set_up(&outputs).unwrap();
    let (second, outputs) = harness.open(2, "a", PAID);
    assert_eq!(answers(&outputs), [(first, Answer::Superseded)]);
    let answered = answers(&harness.establish(attempt));
    assert_eq!((answered.len(), answered[0].0), (1, second));
    // A third connection reattaches to the playing session, and the second is notified.
    let (third, outputs) = harness.open(3, "a", PAID);
    assert!(matches!(answers(&outputs)[..], [(call, Answer::Established { .. })] if call == third));
    let is_superseded = |output: &Output| {
        matches!(
            output,
            Output::Notify(
                PlayerId(2),
                _,
                Notification::SessionEnded {
                    reason: SessionEndReason::Superseded,
                    ..
                }
            )
        )
    };
    assert!(outputs.iter().any(is_superseded));
    let call = harness.call(2);
    let closed = harness.handle(Input::Close {
        call,
        session: RequestId(1),
    });
    assert_eq!(
        answers(&closed),
        [(call, Answer::UnknownSession)],
        "the session no longer belongs to the second connection"
    );
}

#[test]
fn a_player_that_stays_disconnected_has_its_session_torn_down() {
    let mut harness = Harness::new();
    let (_, outputs) = harness.open(1, "a", FREE);
    let (attempt, server) = first_set_up(&outputs).unwrap();
    harness.establish(attempt);
    harness.handle(Input::PlayerDisconnected(PlayerId(1)));
    assert_eq!(harness.core.playing_sessions(), 1);
    let outputs = harness.advance(4 * SECOND);
    assert!(outputs.contains(&Output::TearDown(attempt, server)));
    assert_eq!(harness.core.playing_sessions(), 0);
}

#[test]
fn a_viewer_that_leaves_withdraws_its_set_up_at_once() {
    let mut harness = Harness::new();
    let (call, outputs) = harness.open(7, "a", PAID);
    let (attempt, server) = first_set_up(&outputs).expect("an attempt");
    let outputs = harness.handle(Input::PlayerLeft(call.player));
    assert_eq!(
        outputs,
        [Output::AbandonAttempt(attempt, server)],
        "the set-up is abandoned and no answer follows"
    );
    assert_eq!(harness.core.waiting_requests(), 0);
    assert_eq!(harness.establish(attempt), []);
}

#[test]
fn an_adopted_session_is_tracked_once_and_ends_when_its_player_leaves() {
    let mut harness = Harness::new();
    let open = OpenRequest {
        key: "held".into(),
        class: PAID,
        title: 1,
        cell_count: 3,
        max_rung: 2,
        ..OpenRequest::default()
    };
    let adopt = |player| Input::AdoptSession {
        player: PlayerId(player),
        open: open.clone(),
        server: ServerId(2),
    };
    let outputs = harness.handle(adopt(50));
    let adopted = outputs.iter().find_map(|output| match output {
        Output::SessionAdopted {
            player,
            attempt,
            server,
        } => Some((*player, *attempt, *server)),
        _ => None,
    });
    let (player, attempt, server) = adopted.expect("the session is adopted");
    assert_eq!(
        (player, server, harness.core.playing_sessions()),
        (PlayerId(50), ServerId(2), 1)
    );
    assert_eq!(
        harness.handle(adopt(51)),
        [],
        "a session that is adopted twice is tracked once"
    );
    let outputs = harness.handle(Input::PlayerLeft(PlayerId(50)));
    assert!(
        outputs.contains(&Output::TearDown(attempt, server)),
        "{outputs:?}"
    );
    assert_eq!(harness.core.playing_sessions(), 0);
    assert!(
        first_set_up(&harness.open(1, "held", PAID).1).is_none(),
        "a paid session is not set up again"
    );
}
