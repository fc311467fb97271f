//! Simulated players. They open a session over WebSocket, fetch its media, and return after a rejection or failure as real
//! viewers do.
//!
//! - `client`: the WebSocket connection to a front;
//! - `attempt`: one attempt to watch a title, from the open request to its result;
//! - `watch`: fetching the media of a session until its end.
mod attempt;
mod client;
mod watch;

pub use crate::loss_analysis::LossCounts;
use crate::loss_analysis::Losses;
use crate::record::Recorder;
use attempt::{Attempt, AttemptResult};
pub use client::PlayerClient;
use crankpaddle_net::{clock, sleep, IdleSweeper};
use crankpaddle_time::{nanoseconds, Time};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Timeout of connecting, and of the WebSocket handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which connections are checked for expired timeouts.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// How players behave when they are rejected, disconnected or advised to wait.
#[derive(Clone, Debug)]
pub struct PlayerBehavior {
    /// Fraction of the players that return after a rejection or a failure.
    pub return_fraction: f64,
    /// Mean time until they return where they don't follow a Retry-After.
    pub mean_return_delay: Duration,
    /// Fraction of the returning players that follow a Retry-After.
    pub retry_after_fraction: f64,
    /// Fraction of the attempts in which the player disconnects before the answer and reconnects.
    pub reconnect_fraction: f64,
    /// Whether a player that was disconnected by its front tries that front again, with the same idempotency key, as soon as
    /// the front runs again.
    pub retries_with_same_key: bool,
}

/// A class of sessions, as a player requests it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VisitClass {
    /// Number of the class in the configuration.
    pub number: u8,
    /// Name of the class in the configuration.
    pub name: String,
}

/// A front that players can connect to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontAddress {
    /// Number of the front in the run.
    pub number: u32,
    /// Address at which the front listens to players.
    pub address: SocketAddr,
}

/// What one player does: the title it watches, for how long, and at which fronts.
#[derive(Clone, Debug)]
pub struct Visit {
    /// Seed of the player's random choices and idempotency keys. It also identifies the viewer.
    pub seed: u64,
    /// Name of the title.
    pub title: String,
    /// Class of the session.
    pub class: VisitClass,
    /// How long the player watches.
    pub watch: Duration,
    /// How long the player waits for an answer.
    pub patience: Duration,
    /// Number of the highest rung that the player can use.
    pub highest_rung: u8,
    /// The fronts that the player chooses from.
    pub fronts: Vec<FrontAddress>,
}

/// The players of a run, with what they share.
pub struct PlayerPool {
    /// Where all events are recorded.
    pub recorder: Recorder,
    /// How the players behave.
    pub behavior: PlayerBehavior,
    sweeper: IdleSweeper,
    next_call: AtomicU64,
    /// Number of players whose visit has not ended.
    present: AtomicU64,
    failed_connects: AtomicU64,
    losses: Mutex<Losses>,
    finder: FrontFinder,
    /// Whether all players are to leave.
    leaving: AtomicBool,
}

/// Returns the current address of a front by its number; `None` where the front does not run.
pub type FrontFinder = Box<dyn Fn(u32) -> Option<SocketAddr> + Send + Sync>;

impl PlayerPool {
    /// A pool without players. Until [`PlayerPool::with_finder`] is called, no disconnected front is found again.
    pub fn new(recorder: Recorder, behavior: PlayerBehavior) -> PlayerPool {
        PlayerPool {
            recorder,
            behavior,
            sweeper: IdleSweeper::start(SWEEP_INTERVAL),
            next_call: AtomicU64::new(1),
            present: AtomicU64::new(0),
            failed_connects: AtomicU64::new(0),
            losses: Mutex::default(),
            finder: Box::new(|_| None),
            leaving: AtomicBool::new(false),
        }
    }

    /// The same pool; its players use `finder` to find a front that disconnected them.
    #[must_use]
    pub fn with_finder(self, finder: FrontFinder) -> PlayerPool {
        PlayerPool { finder, ..self }
    }

    /// Makes all players leave as soon as they have the answer to their current request.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Whether a player whose visit ends at `until` stays for now.
    fn stays(&self, until: Time) -> bool {
        clock::now() < until && !self.leaving.load(Ordering::Acquire)
    }

    /// Notes a power loss. A player that is disconnected from now on counts as having lost its session to it.
    pub fn on_power_loss(&self) {
        self.losses().on_power_loss();
    }

    /// Counts the players that lost their session to the power loss, for the class numbers that `accepts_class` accepts.
    pub fn lost(&self, accepts_class: impl Fn(u8) -> bool) -> LossCounts {
        self.losses().count(accepts_class)
    }

    fn losses(&self) -> MutexGuard<'_, Losses> {
        self.losses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Number of players whose visit has not ended.
    pub fn present_count(&self) -> u64 {
        self.present.load(Ordering::Acquire)
    }

    /// Number of attempts that could not connect to a front.
    pub fn failed_connects(&self) -> u64 {
        self.failed_connects.load(Ordering::Acquire)
    }

    /// The sweeper that closes the players' connections at their timeout. A caller that makes a [`PlayerClient`] needs it.
    pub fn sweeper(&self) -> &IdleSweeper {
        &self.sweeper
    }

    /// Plays a visit to its end, but not beyond `until`. Must be called in a coroutine.
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
                AttemptResult::Watched
                | AttemptResult::DoesNotReturn
                | AttemptResult::FrontLost => break,
                AttemptResult::MayReturn { retry_after } => retry_after,
            };
            if !rng.random_bool(self.behavior.return_fraction) {
                break;
            }
            sleep(self.pause(retry_after, &mut rng));
            returning = true;
        }
        self.losses().on_left(visit.seed);
        self.present.fetch_sub(1, Ordering::AcqRel);
    }

    /// Makes an attempt at a random front. Where players retry with the same key, the attempt is repeated at this front as long
    /// as the front disconnects.
    fn attempt_until_answered(
        &self,
        visit: &Visit,
        until: Time,
        returning: bool,
        rng: &mut StdRng,
    ) -> AttemptResult {
        let key = format!("{:016x}{:08x}", visit.seed, rng.random::<u32>());
        let front = visit.fronts[rng.random_range(0..visit.fronts.len())];
        let mut attempt = Attempt {
            visit,
            key,
            front,
            until,
            returning,
        };
        let mut result = self.attempt(&attempt, rng);
        while matches!(result, AttemptResult::FrontLost)
            && self.behavior.retries_with_same_key
            && self.stays(until)
        {
            sleep(Duration::from_millis(rng.random_range(20..200)));
            if let Some(address) = (self.finder)(front.number) {
                attempt.front.address = address;
                attempt.returning = true;
                result = self.attempt(&attempt, rng);
            }
        }
        result
    }

    /// The pause before a player returns. A followed Retry-After is never shortened, and never makes the pause shorter than a
    /// quarter of the player's own.
    fn pause(&self, retry_after: Option<Duration>, rng: &mut StdRng) -> Duration {
        let mean = nanoseconds(self.behavior.mean_return_delay) as f64;
        let own_pause = Duration::from_nanos((mean * rng.random_range(0.7..1.3)) as u64);
        let followed = retry_after.filter(|_| rng.random_bool(self.behavior.retry_after_fraction));
        followed.map_or(own_pause, |advised| advised.max(own_pause / 4))
    }
}
