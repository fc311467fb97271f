//! Tests with many players at once: players that leave with answers unread and come again, and a server that dies and comes back.
use crate::support::{Harness, TestPlayer, FREE, PAID};
use crankpaddle_session_api::client::ClientEvent;

const PLAYERS: usize = 40;

/// Waits for the answer to one call; notifications are skipped.
fn next_answer(player: &mut TestPlayer) -> ClientEvent {
    loop {
        match player.receive() {
            ClientEvent::Rung { .. } | ClientEvent::End { .. } | ClientEvent::Move { .. } => {}
            answer => return answer,
        }
    }
}

/// Guards against paid sessions that are set up twice: forty players each request ten, leave without reading an answer, and request them
/// again by the same keys on new connections, some while the first requests are in progress.
#[test]
fn paid_keys_of_players_that_leave_unread_and_come_again_are_billed_once() {
    const KEYS: usize = 10;
    let harness = Harness::new(&[]);
    let key = |player: usize, number: usize| format!("again-{player}-{number:02}");
    for player in 0..PLAYERS {
        let mut leaving = harness.connect_player();
        for number in 0..KEYS {
            leaving.call_open(&key(player, number), PAID);
        }
    }
    for player in 0..PLAYERS {
        let mut returning = harness.connect_player();
        for number in 0..KEYS {
            returning.call_open(&key(player, number), PAID);
        }
        for _ in 0..KEYS {
            next_answer(&mut returning);
        }
    }
    let mut billed = 0;
    for player in 0..PLAYERS {
        for number in 0..KEYS {
            let (set_ups, bills) = harness.set_ups_and_bills(&key(player, number));
            assert!(bills <= 1, "{}: {set_ups} set-ups", key(player, number));
            billed += bills;
        }
    }
    assert!(billed > 0, "some were established");
}

/// Guards against a new process that is taken for the old one at its address: a server dies and is started anew at once, which the list
/// does not tell, while forty players watch sessions and request more.
#[test]
fn sessions_of_a_server_that_is_back_at_once_are_over_and_no_other_is_disturbed() {
    let harness = Harness::new(&[]);
    let mut players: Vec<TestPlayer> = (0..PLAYERS).map(|_| harness.connect_player()).collect();
    let mut sessions = Vec::new();
    for (number, player) in players.iter_mut().enumerate() {
        let (_, event) = player.open_and_wait(&format!("before-{number:02}"), FREE);
        sessions.push(match event {
            ClientEvent::Plays { session, media, .. } => Some((session, media)),
            _ => None,
        });
    }
    // A session's media is at its server.
    let address = |id: u32| harness.fleet.servers[id as usize].address.to_string();
    let at = |id: u32| {
        let is_there = |media: &String| media.contains(&address(id));
        sessions
            .iter()
            .flatten()
            .filter(|(_, media)| is_there(media))
            .count()
    };
    let busiest = (0..12).max_by_key(|id| at(*id)).expect("a server");
    assert!(at(busiest) > 0);
    harness.fleet.crash(busiest);
    harness.fleet.restart(busiest).unwrap();
    let address = address(busiest);
    for (number, (player, session)) in players.iter_mut().zip(&sessions).enumerate() {
        let Some((session, media)) = session else {
            continue;
        };
        if media.contains(&address) {
            let ended = loop {
                match player.receive() {
                    ClientEvent::End { session, .. } => break session,
                    ClientEvent::Rung { .. } => {}
                    other => panic!("{other:?}"),
                }
            };
            assert_eq!(ended, *session);
        } else {
            player.call_open(&format!("after-{number:02}"), FREE);
            next_answer(player);
        }
    }
    assert_eq!(harness.verdict().breaches, []);
}
