//! One attempt of a player to watch a title at a front.
use super::{Client, FrontAddress, PlayerPool, Visit};
use crate::record::{PlayerReply, Seen};
use crankpaddle_net::{clock, sleep};
use crankpaddle_server_protocol::sessions::billing_key;
use crankpaddle_session_api::client::{self, ClientEvent};
use crankpaddle_session_api::methods::Open;
use crankpaddle_time::Time;
use rand::rngs::StdRng;
use rand::Rng;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// After its deadline a player still listens for this long, so that a late answer is recorded.
const LATE_ANSWER_WINDOW: Duration = Duration::from_secs(1);

/// How an attempt ended.
pub(super) enum Outcome {
    /// The player watched for as long as it wanted.
    Watched,
    /// Rejected, failed in a way that allows another attempt, or disconnected.
    MayReturn {
        /// The front's Retry-After.
        retry_after: Option<Duration>,
    },
    /// The player does not return.
    DoesNotReturn,
    /// The front disconnected before the player knew what became of its session.
    FrontLost,
}

/// An attempt at a front.
pub(super) struct Attempt<'a> {
    pub(super) visit: &'a Visit,
    /// The idempotency key.
    pub(super) key: String,
    pub(super) front: FrontAddress,
    /// The visit ends at this time at the latest.
    pub(super) until: Time,
    /// Whether the player has made an attempt before.
    pub(super) returning: bool,
}

impl Attempt<'_> {
    /// The open request, with the time that is left of the player's patience.
    fn open(&self, patience: Duration) -> Open {
        let visit = self.visit;
        Open {
            key: self.key.clone(),
            title: visit.title.clone(),
            class: visit.class.name.clone(),
            viewer: Some(format!("v{:x}", visit.seed)),
            top: Some(visit.top),
            give_up_ms: Some(patience.as_millis() as u64),
            again: self.returning,
            ..Open::default()
        }
    }
}

impl PlayerPool {
    pub(super) fn attempt(&self, attempt: &Attempt<'_>, rng: &mut StdRng) -> Outcome {
        let Ok(mut client) = Client::connect(&attempt.front.address, &self.sweeper) else {
            self.failed_connects.fetch_add(1, Ordering::AcqRel);
            return if self.habits.keeps_key {
                Outcome::FrontLost
            } else {
                Outcome::MayReturn { retry_after: None }
            };
        };
        let deadline = clock::now() + attempt.visit.patience;
        let mut call = self.send_open(&mut client, attempt, deadline);
        if rng.random_bool(self.habits.reconnect) {
            sleep(Duration::from_millis(rng.random_range(1..150)));
            client = match self.reconnect(client, call, attempt) {
                Ok(fresh) => fresh,
                Err(outcome) => return outcome,
            };
            call = self.send_open(&mut client, attempt, deadline);
        }
        let answer = self.wait_for_answer(&mut client, call, deadline);
        let disconnected = clock::now() < deadline + LATE_ANSWER_WINDOW;
        match answer {
            Some(event) => self.on_answer(event, client, attempt),
            None if self.habits.keeps_key && disconnected => {
                self.recorder.see(Seen::Disconnected { call });
                Outcome::FrontLost
            }
            None => Outcome::DoesNotReturn,
        }
    }

    fn send_open(&self, client: &mut Client, attempt: &Attempt<'_>, deadline: Time) -> u64 {
        let call = self.next_call.fetch_add(1, Ordering::Relaxed);
        self.recorder.see(Seen::OpenSent {
            call,
            front: attempt.front.number,
            bill: billing_key(&attempt.key),
            class: attempt.visit.class.number,
            deadline,
        });
        let open = attempt.open(deadline.duration_since(clock::now()));
        let _ = client.send(client::open(call, &open)); // Its failure shows when the answer is read.
        call
    }

    /// Disconnects during a call and connects again; the outcome where the answer had arrived or the front can't be
    /// reached.
    ///
    /// Why the same front: another one does not know the key, and would set up a paid session again.
    fn reconnect(
        &self,
        mut client: Client,
        call: u64,
        attempt: &Attempt<'_>,
    ) -> Result<Client, Outcome> {
        client.cut();
        match self.drain_answer(&mut client, call) {
            Some(PlayerReply::Plays) | None => self.recorder.see(Seen::Disconnected { call }),
            Some(_) => return Err(Outcome::DoesNotReturn),
        }
        Client::connect(&attempt.front.address, &self.sweeper)
            .map_err(|_| Outcome::MayReturn { retry_after: None })
    }

    /// An answer that had been received before the connection was cut.
    fn drain_answer(&self, client: &mut Client, call: u64) -> Option<PlayerReply> {
        while let Ok(Some(event)) = client.poll() {
            if let Some(reply) = reply_of(&event, call) {
                self.recorder.see(Seen::CallAnswered { call, reply });
                return Some(reply);
            }
        }
        None
    }

    /// Waits for the answer to a call. `None` where none was received: a front that disconnects still has to answer, and
    /// the invariant checker finds that it did not.
    fn wait_for_answer(
        &self,
        client: &mut Client,
        call: u64,
        deadline: Time,
    ) -> Option<ClientEvent> {
        while let Ok(event) = client.next(deadline + LATE_ANSWER_WINDOW) {
            if let Some(reply) = reply_of(&event, call) {
                self.recorder.see(Seen::CallAnswered { call, reply });
                return Some(event);
            }
        }
        None
    }

    fn on_answer(&self, event: ClientEvent, client: Client, attempt: &Attempt<'_>) -> Outcome {
        match event {
            ClientEvent::Plays { session, media, .. } => {
                self.watch_session(client, &session, &media, attempt)
            }
            // The session was lost with its server: the player opens a new one.
            ClientEvent::Failed { .. } if attempt.returning && self.habits.keeps_key => {
                client.close();
                Outcome::MayReturn { retry_after: None }
            }
            ClientEvent::Refused { retry_after_ms, .. } => {
                client.close();
                let retry_after = retry_after_ms.map(Duration::from_millis);
                Outcome::MayReturn { retry_after }
            }
            _ => {
                client.close();
                Outcome::DoesNotReturn
            }
        }
    }

    fn watch_session(
        &self,
        client: Client,
        session: &str,
        media: &str,
        attempt: &Attempt<'_>,
    ) -> Outcome {
        let visit = attempt.visit;
        self.losses().on_established(visit.seed, visit.class.number);
        let left = attempt.until.duration_since(clock::now());
        let outcome = self.watch(client, session, media, visit.watch.min(left));
        if !matches!(outcome, Outcome::Watched) {
            self.losses()
                .on_disconnected(visit.seed, visit.class.number);
        }
        outcome
    }
}

/// The reply that an event is to this call; `None` for other events.
fn reply_of(event: &ClientEvent, call: u64) -> Option<PlayerReply> {
    match event {
        ClientEvent::Plays { id, .. } if *id == call => Some(PlayerReply::Plays),
        ClientEvent::Refused { id, .. } if *id == call => Some(PlayerReply::Refused),
        ClientEvent::Failed { id, .. } if *id == call => Some(PlayerReply::Failed),
        ClientEvent::Superseded { id } if *id == call => Some(PlayerReply::Superseded),
        ClientEvent::Error { id, .. } if *id == Some(call) => Some(PlayerReply::Error),
        _ => None,
    }
}
