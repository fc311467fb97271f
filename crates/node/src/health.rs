//! What a server's words and silence say of the sessions that stand there.
//!
//! A process that dies resets its connections; a machine that vanishes says nothing. A server with sessions speaks every
//! few seconds (notes of its link), so one that is silent for longer is asked by connecting to it: whoever accepts is
//! alive, also when it hangs. Danger: sessions of a vanished machine would stand here for ever. Harm: on a network that
//! drops two connects in a row, sessions that play are given up.
use std::time::Duration;

/// Beyond the time between two notes, a silence of this length makes a server be asked.
const GRACE: u64 = 500_000_000;
/// Time between notes where the settings name none.
const USUAL_NOTES: u64 = 4_000_000_000;
/// Connects without an answer, one after the other, that tell a vanished machine.
const MISSES: u32 = 2;
/// Pause after a failed connect.
const PAUSE: u64 = 200_000_000;

/// What became of a connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Dialed {
    /// It came about.
    Up,
    /// Nobody listens there: the process is dead.
    Refused,
    /// Nothing was heard.
    Silent,
    /// This machine could not even try; says nothing of the server.
    Unable,
}

/// What is known of one server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Health {
    bound: u64,
    heard: u64,
    misses: u32,
    pause: u64, // No connect before this time.
}

impl Health {
    /// A server that was heard `now`; `note_every`: time between its notes, 0 where there are none.
    pub(crate) fn new(now: u64, note_every: u64) -> Health {
        let notes = if note_every == 0 {
            USUAL_NOTES
        } else {
            note_every
        };
        Health {
            bound: notes.saturating_add(GRACE),
            heard: now,
            misses: 0,
            pause: 0,
        }
    }

    /// Something came from it.
    pub(crate) fn heard(&mut self, now: u64) {
        (self.heard, self.misses) = (now, 0);
    }

    /// The first session begins to stand here: nothing was to be heard before.
    pub(crate) fn begins(&mut self, now: u64) {
        self.heard = self.heard.max(now);
    }

    /// Whether to connect, so as to hear of the sessions that stand there. `up`: there is a connection.
    pub(crate) fn wants_dial(&self, now: u64, up: bool) -> bool {
        now >= self.pause && (!up || now.saturating_sub(self.heard) > self.bound)
    }

    /// A connect came out; true if the sessions there are lost.
    pub(crate) fn dialed(&mut self, now: u64, how: Dialed) -> bool {
        match how {
            Dialed::Up => {
                self.heard(now);
                false
            }
            Dialed::Refused => {
                self.pause = now.saturating_add(PAUSE);
                true
            }
            Dialed::Unable => {
                self.pause = now.saturating_add(PAUSE);
                false
            }
            Dialed::Silent => {
                self.misses += 1;
                self.misses >= MISSES
            }
        }
    }
}

/// How long a connect may take at most, whatever the settings say.
pub(crate) fn connect_within(setting: u64) -> Duration {
    Duration::from_nanos(setting.clamp(50_000_000, 2_000_000_000))
}

#[cfg(test)]
mod tests {
    use super::*;
    const SECOND: u64 = 1_000_000_000;

    #[test]
    fn a_silent_server_is_asked_and_given_up_after_two_silent_connects() {
        let mut h = Health::new(10 * SECOND, 3 * SECOND);
        assert!(
            !h.wants_dial(13 * SECOND, true),
            "between two notes silence is usual"
        );
        assert!(h.wants_dial(14 * SECOND, true));
        assert!(
            !h.dialed(14 * SECOND, Dialed::Silent),
            "one lost connect says little"
        );
        assert!(h.wants_dial(14 * SECOND, true));
        assert!(h.dialed(14 * SECOND + 1, Dialed::Silent));
    }

    #[test]
    fn a_server_that_accepts_is_alive_and_one_that_refuses_is_dead() {
        let mut h = Health::new(0, 0);
        assert!(h.wants_dial(5 * SECOND, true));
        assert!(!h.dialed(5 * SECOND, Dialed::Silent));
        assert!(!h.dialed(5 * SECOND, Dialed::Up));
        assert!(!h.wants_dial(6 * SECOND, true));
        assert!(
            !h.dialed(6 * SECOND, Dialed::Silent),
            "misses count in a row only"
        );
        assert!(h.dialed(7 * SECOND, Dialed::Refused));
        assert!(
            !h.wants_dial(7 * SECOND, false),
            "a refused connect is not repeated at once"
        );
        assert!(h.wants_dial(8 * SECOND, false));
    }
}
