//! What a key means that a player sends a second time.
//!
//! A key stands for one session: a player that lost its connection sends it again and must find the wait, the
//! session or the answer that it left, never start a second set-up. Danger: for a paid class a second set-up is a
//! second bill. Harm: a player that reuses one key for everything cannot buy again until the key is forgotten; it is
//! told so.
use crankpaddle::{Effect, Outcome};

/// How a request that is no more ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Past {
    /// Refused: nothing ever ran.
    Refused,
    /// Failed: an attempt may have run.
    Failed,
    /// It played and is over.
    Played,
    /// It was taken off its server by us and its viewer sent back here.
    Moved,
}

/// Where the request with this key stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// No answer yet.
    Waiting,
    /// It plays.
    Playing,
    /// It is no more.
    Past(Past),
}

/// What to do with another open for the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reopen {
    /// Wait with the request that is under way.
    Join,
    /// Answer with the session that plays.
    TakeUp,
    /// A new request; the viewer comes again.
    Afresh,
    /// A new request of a session that we moved.
    AfterMove,
    /// Answer as the first time: it failed, perhaps with effect.
    FailedBefore,
    /// Answer that the key's paid session played and is over.
    Spent,
}

/// What another open with a known key amounts to.
pub fn reopen(standing: Standing, effect: Option<Effect>) -> Reopen {
    let free = matches!(effect, Some(Effect::Free));
    match standing {
        Standing::Waiting => Reopen::Join,
        Standing::Playing => Reopen::TakeUp,
        Standing::Past(Past::Refused) => Reopen::Afresh,
        Standing::Past(Past::Moved) => Reopen::AfterMove,
        Standing::Past(Past::Failed) if free => Reopen::Afresh,
        Standing::Past(Past::Failed) => Reopen::FailedBefore,
        Standing::Past(Past::Played) if free => Reopen::Afresh,
        Standing::Past(Past::Played) => Reopen::Spent,
    }
}

/// Whether an outcome proves that the attempt never ran.
pub fn never_ran(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Full | Outcome::ConnectFailed | Outcome::Moot
    )
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_paid_key_never_leads_to_a_second_set_up_once_one_may_have_run() {
        for standing in [
            Standing::Waiting,
            Standing::Playing,
            Standing::Past(Past::Failed),
            Standing::Past(Past::Played),
        ] {
            for effect in [None, Some(Effect::SingleShot)] {
                let what = reopen(standing, effect);
                assert!(
                    !matches!(what, Reopen::Afresh | Reopen::AfterMove),
                    "{standing:?} {effect:?}: {what:?}"
                );
            }
        }
        assert_eq!(
            reopen(Standing::Past(Past::Refused), Some(Effect::SingleShot)),
            Reopen::Afresh
        );
    }

    #[test]
    fn a_free_key_starts_afresh_when_its_session_is_no_more() {
        for past in [Past::Refused, Past::Failed, Past::Played] {
            assert_eq!(
                reopen(Standing::Past(past), Some(Effect::Free)),
                Reopen::Afresh
            );
        }
        assert_eq!(reopen(Standing::Waiting, Some(Effect::Free)), Reopen::Join);
    }
}
