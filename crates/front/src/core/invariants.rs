//! What must hold between any two calls.
use super::Core;
use crate::keys::KeyState;

impl Core {
    /// What must hold between any two calls, whatever was heard; says what does not.
    pub fn check(&self) -> Result<(), String> {
        let sound = |holds: bool, what: &str| if holds { Ok(()) } else { Err(what.to_owned()) };
        let count = |s: KeyState| self.requests.values().filter(|r| r.standing == s).count();
        sound(
            count(KeyState::Waiting) == self.waiting,
            "count of waiting requests",
        )?;
        sound(
            count(KeyState::Playing) == self.playing,
            "count of playing sessions",
        )?;
        for (id, r) in &self.requests {
            let past = matches!(r.standing, KeyState::Ended(_));
            sound(
                past == r.out.is_none(),
                &format!(
                    "request {}: {:?} with attempt {:?}",
                    id.0, r.standing, r.out
                ),
            )?;
            sound(
                !past || (r.call.is_none() && r.player.is_none()),
                &format!("request {}: past and owed", id.0),
            )?;
            let back = r
                .out
                .is_none_or(|(a, _, _)| self.attempts.get(&a) == Some(id));
            sound(back, &format!("request {}: its attempt is not known", id.0))?;
            let held = r.player.is_none_or(|p| {
                self.players
                    .get(&p)
                    .is_some_and(|p| p.requests.contains(id))
            });
            sound(held, &format!("request {}: not with its player", id.0))?;
        }
        sound(
            self.attempts.len() == self.waiting + self.playing,
            "attempts that belong to nothing",
        )?;
        let of_players: usize = self.players.values().map(|p| p.waiting).sum();
        sound(
            of_players <= self.waiting,
            "players wait for more than there is",
        )?;
        sound(
            self.keys.len() <= self.requests.len(),
            "keys of forgotten requests",
        )
    }
}
