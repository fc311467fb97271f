//! What a server's stream says of the sessions there: by its words, its breaks and its silence. Pure.
//!
//! A session is lost when its server says that it does not hold it, lives another life, or can't be reached. Danger:
//! a lost session that is not seen holds its seat and its part of the link for ever, and its viewer is told nothing.
//! Harm: a server cut off from this front alone loses sessions here that still stream there; they are torn down when
//! it is reached again.
use crankpaddle_front::AttemptId;
use std::collections::BTreeMap;

const MILLISECOND: u64 = 1_000_000;
/// First and longest pause between calls.
const PAUSE: (u64, u64) = (50 * MILLISECOND, 1000 * MILLISECOND);

/// The sessions that play at one server.
#[derive(Debug, Default)]
pub(crate) struct Contact {
    boot: Option<String>,
    playing: BTreeMap<AttemptId, (String, u64)>, // Its name, and since when.
}

impl Contact {
    pub(crate) fn started(&mut self, attempt: AttemptId, name: String, now: u64) {
        self.playing.insert(attempt, (name, now));
    }

    pub(crate) fn ended(&mut self, attempt: AttemptId) {
        self.playing.remove(&attempt);
    }

    pub(crate) fn plays(&self, attempt: AttemptId) -> bool {
        self.playing.contains_key(&attempt)
    }

    /// The life of the server that is known, if one is.
    pub(crate) fn boot(&self) -> Option<&str> {
        self.boot.as_deref()
    }

    /// The server told its life before its stream did.
    pub(crate) fn lives(&mut self, boot: &str) {
        self.boot.get_or_insert_with(|| boot.to_owned());
    }

    /// Whether a stream's first word tells of another life than the one that was known.
    pub(crate) fn is_other_life(&self, boot: &str) -> bool {
        self.boot.as_deref().is_some_and(|b| b != boot)
    }

    /// The stream's first word, to a call that began at `begun`: which sessions are lost. One that came to play while
    /// the call was under way may be missing in the word and is not.
    pub(crate) fn hello(&mut self, boot: &str, held: &[String], begun: u64) -> Vec<AttemptId> {
        let other_life = self.is_other_life(boot);
        self.boot = Some(boot.to_owned());
        let held: std::collections::BTreeSet<&str> = held.iter().map(String::as_str).collect();
        let lost = |(name, since): &(String, u64)| {
            *since < begun && (other_life || !held.contains(name.as_str()))
        };
        self.playing
            .iter()
            .filter(|(_, session)| lost(session))
            .map(|(attempt, _)| *attempt)
            .collect()
    }

    /// The server can't be reached since a call that began at `begun`: which sessions are lost.
    pub(crate) fn lost(&self, begun: u64) -> Vec<AttemptId> {
        self.playing
            .iter()
            .filter(|(_, (_, since))| *since < begun)
            .map(|(attempt, _)| *attempt)
            .collect()
    }
}

/// How a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Miss {
    /// Refused or reset: no process is there.
    Refused,
    /// No answer: it may be there and slow, or cut off.
    Silent,
    /// It spoke, and the stream broke later.
    Broke,
}

/// Follows whether a server can be reached.
#[derive(Debug)]
pub(crate) struct Reach {
    heard: u64,
    silence: u64,
    misses: u32,
}

impl Reach {
    /// `silence`: without a word for so long, a server is lost.
    pub(crate) fn new(now: u64, silence: u64) -> Reach {
        Reach {
            heard: now,
            silence,
            misses: 0,
        }
    }

    pub(crate) fn heard(&mut self, now: u64) {
        (self.heard, self.misses) = (now, 0);
    }

    /// A call failed: whether the server counts as lost, and how long to wait for the next call.
    pub(crate) fn missed(&mut self, now: u64, miss: Miss) -> (bool, u64) {
        let lost = match miss {
            Miss::Refused => true,
            Miss::Silent => now.saturating_sub(self.heard) >= self.silence,
            Miss::Broke => false,
        };
        // The first call after a break goes out at once: most breaks are the connection's, not the server's.
        let wait = if miss == Miss::Broke && self.misses == 0 {
            0
        } else {
            PAUSE
                .0
                .saturating_mul(1 << self.misses.min(10))
                .min(PAUSE.1)
        };
        self.misses += 1;
        (lost, wait)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    const SECOND: u64 = 1000 * MILLISECOND;

    fn contact() -> Contact {
        let mut contact = Contact::default();
        assert!(contact.hello("one", &[], 0).is_empty());
        contact.started(AttemptId(1), "a".into(), 10);
        contact.started(AttemptId(2), "b".into(), 20);
        contact
    }

    #[test]
    fn sessions_that_a_server_does_not_hold_are_lost() {
        let mut contact = contact();
        assert_eq!(contact.hello("one", &["b".into()], 30), [AttemptId(1)]);
        assert!(contact
            .hello("one", &["a".into(), "b".into()], 30)
            .is_empty());
    }

    #[test]
    fn another_life_is_told_from_the_first_and_the_same() {
        let mut contact = Contact::default();
        assert!(!contact.is_other_life("one"), "nothing was known");
        contact.hello("one", &[], 0);
        assert!(!contact.is_other_life("one") && contact.is_other_life("two"));
    }

    #[test]
    fn another_life_of_a_server_holds_none_of_the_old_ones() {
        let mut contact = contact();
        assert_eq!(
            contact.hello("two", &["a".into(), "b".into()], 30),
            [AttemptId(1), AttemptId(2)]
        );
    }

    #[test]
    fn sessions_younger_than_the_call_are_not_judged_by_it() {
        let mut contact = contact();
        assert_eq!(contact.hello("one", &[], 15), [AttemptId(1)]);
        assert_eq!(contact.lost(15), [AttemptId(1)]);
        contact.ended(AttemptId(1));
        assert!(contact.lost(15).is_empty());
        assert!(
            contact.lost(99).len() == 1
                && contact.plays(AttemptId(2))
                && !contact.plays(AttemptId(1))
        );
    }

    #[test]
    fn refused_is_lost_at_once_and_silence_only_after_its_time() {
        let mut reach = Reach::new(0, 3 * SECOND);
        assert_eq!(reach.missed(SECOND, Miss::Broke), (false, 0));
        assert!(reach.missed(SECOND, Miss::Refused).0);
        reach.heard(2 * SECOND);
        assert!(!reach.missed(4 * SECOND, Miss::Silent).0);
        assert!(reach.missed(5 * SECOND, Miss::Silent).0);
    }

    #[test]
    fn calls_slow_down_to_a_bound() {
        let mut reach = Reach::new(0, SECOND);
        let waits: Vec<u64> = (0..40).map(|_| reach.missed(0, Miss::Silent).1).collect();
        assert_eq!(waits[0], PAUSE.0);
        assert!(waits.windows(2).all(|w| w[0] <= w[1]) && waits[39] == PAUSE.1);
    }
}
