//! Scripted players: they open a session over WebSocket, fetch its media, and return as viewers do.
//!
//! - `client`: the connection to a front;
//! - `attempt`: one attempt to watch, from the open request to its outcome;
//! - `watch`: media and the end of a session.
mod attempt;
mod client;
mod watch;

pub use crate::loss_analysis::LossCounts;
use crate::loss_analysis::Losses;
use crate::record::Recorder;
use attempt::{Attempt, Outcome};
pub use client::Client;
use crankpaddle_net::{clock, sleep, IdleSweeper};
use crankpaddle_time::{nanoseconds, Time};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Time to connect and do the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which idle connections are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// How players behave.
#[derive(Clone, Debug)]
pub struct Habits {
    /// Part that returns after a rejection or a failure.
    pub returns: f64,
    /// Mean time until they return without a Retry-After.
    pub return_after: Duration,
    /// Part of them that follows a Retry-After.
    pub follows_retry_after: f64,
    /// Part that reconnects during an attempt.
    pub reconnect: f64,
    /// Whether a player that is disconnected by its front tries that front again with the same key as soon as it runs.
    pub keeps_key: bool,
}

/// A class of sessions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VisitClass {
    /// Its number.
    pub number: u8,
    /// Its name.
    pub name: String,
}

/// A front that players may choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontAddress {
    /// The front's number.
    pub number: u32,
    /// Where it listens to players.
    pub address: SocketAddr,
}

/// One player's session.
#[derive(Clone, Debug)]
pub struct Visit {
    /// Seed of the player's choices and keys.
    pub seed: u64,
    /// Title by name.
    pub title: String,
    /// Its class.
    pub class: VisitClass,
    /// Time to watch.
    pub watch: Duration,
    /// Time to wait for an answer.
    pub patience: Duration,
    /// Highest rung that the player can use.
    pub top: u8,
    /// The fronts that the player chooses from.
    pub fronts: Vec<FrontAddress>,
}

/// What all players share.
pub struct PlayerPool {
    /// Where all events are recorded.
    pub recorder: Recorder,
    /// How the players behave.
    pub habits: Habits,
    sweeper: IdleSweeper,
    next_call: AtomicU64,
    present: AtomicU64,
    failed_connects: AtomicU64,
    losses: Mutex<Losses>,
    finder: Finder,
    leaving: AtomicBool,
}

/// The present address of a front by its number; `None` where it does not run.
pub type Finder = Box<dyn Fn(u32) -> Option<SocketAddr> + Send + Sync>;

impl PlayerPool {
    /// A pool without players.
    pub fn new(recorder: Recorder, habits: Habits) -> PlayerPool {
        PlayerPool {
            recorder,
            habits,
            sweeper: IdleSweeper::start(SWEEP_INTERVAL),
            next_call: AtomicU64::new(1),
            present: AtomicU64::new(0),
            failed_connects: AtomicU64::new(0),
            losses: Mutex::default(),
            finder: Box::new(|_| None),
            leaving: AtomicBool::new(false),
        }
    }

    /// The same pool, whose players look here for a front that disconnected them.
    #[must_use]
    pub fn with_finder(self, finder: Finder) -> PlayerPool {
        PlayerPool { finder, ..self }
    }

    /// Lets all players leave as soon as they have their answer.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    fn stays(&self, until: Time) -> bool {
        clock::now() < until && !self.leaving.load(Ordering::Acquire)
    }

    /// Marks the power loss: a player that is disconnected from now on has lost its session to it.
    pub fn on_power_loss(&self) {
        self.losses().on_power_loss();
    }

    /// Counts the players that lost their session to the power loss, of the classes that `of` accepts.
    pub fn lost(&self, of: impl Fn(u8) -> bool) -> LossCounts {
        self.losses().count(of)
    }

    fn losses(&self) -> MutexGuard<'_, Losses> {
        self.losses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of players that are present.
    pub fn present_count(&self) -> u64 {
        self.present.load(Ordering::Acquire)
    }

    /// Number of attempts that could not connect to a front.
    pub fn failed_connects(&self) -> u64 {
        self.failed_connects.load(Ordering::Acquire)
    }

    /// The sweeper of the players' connections, for clients that are made by hand.
    pub fn sweeper(&self) -> &IdleSweeper {
        &self.sweeper
    }

    /// Plays a visit to its end, no longer than `until`. Call in a coroutine.
    ///
    /// # Panics
    /// The visit has no fronts.
    pub fn visit(&self, visit: &Visit, until: Time) {
        self.present.fetch_add(1, Ordering::AcqRel);
        let mut rng = StdRng::seed_from_u64(visit.seed);
        let until = until.min(clock::now() + visit.watch + visit.patience);
        let mut returning = false;
        while self.stays(until) {
            let retry_after = match self.attempt_until_answered(visit, until, returning, &mut rng) {
                Outcome::Watched | Outcome::DoesNotReturn | Outcome::FrontLost => break,
                Outcome::MayReturn { retry_after } => retry_after,
            };
            if !rng.random_bool(self.habits.returns) {
                break;
            }
            sleep(self.pause(retry_after, &mut rng));
            returning = true;
        }
        self.losses().on_left(visit.seed);
        self.present.fetch_sub(1, Ordering::AcqRel);
    }

    /// Makes an attempt at a random front, and with the same key again where that front disconnects.
    fn attempt_until_answered(
        &self,
        visit: &Visit,
        until: Time,
        returning: bool,
        rng: &mut StdRng,
    ) -> Outcome {
        let key = format!("{:016x}{:08x}", visit.seed, rng.random::<u32>());
        let front = visit.fronts[rng.random_range(0..visit.fronts.len())];
        let mut attempt = Attempt {
            visit,
            key,
            front,
            until,
            returning,
        };
        let mut outcome = self.attempt(&attempt, rng);
        while matches!(outcome, Outcome::FrontLost) && self.habits.keeps_key && self.stays(until) {
            sleep(Duration::from_millis(rng.random_range(20..200)));
            if let Some(address) = (self.finder)(front.number) {
                attempt.front.address = address;
                attempt.returning = true;
                outcome = self.attempt(&attempt, rng);
            }
        }
        outcome
    }

    /// The pause before a player returns.
    fn pause(&self, retry_after: Option<Duration>, rng: &mut StdRng) -> Duration {
        let mean = nanoseconds(self.habits.return_after) as f64;
        let own = Duration::from_nanos((mean * rng.random_range(0.7..1.3)) as u64);
        let followed = retry_after.filter(|_| rng.random_bool(self.habits.follows_retry_after));
        followed.map_or(own, |advised| advised.max(own / 4))
    }
}
