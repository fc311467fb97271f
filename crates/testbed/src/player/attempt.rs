//! One attempt of a player to watch a title, from the open request to its result.
use super::{FrontAddress, PlayerClient, PlayerPool, Visit};
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

/// A player still reads for this long after its deadline, so that a late answer is recorded.
const LATE_ANSWER_WINDOW: Duration = Duration::from_secs(1);

/// How an attempt ended.
pub(super) enum AttemptResult {
    /// The player watched for its whole time.
    Watched,
    /// The attempt was rejected or failed, its front could not be reached, or the front ended the session. The player may
    /// return.
    MayReturn {
        /// The front's Retry-After, where it sent one.
        retry_after: Option<Duration>,
    },
    /// The attempt ended in a way after which the player does not return.
    DoesNotReturn,
    /// The front disconnected, or could not be reached, before the player's session had ended.
    FrontLost,
}

/// What an attempt needs to know of its visit.
pub(super) struct Attempt<'a> {
    pub(super) visit: &'a Visit,
    /// The idempotency key of the open request.
    pub(super) key: String,
    pub(super) front: FrontAddress,
    /// The visit ends no later than this.
    pub(super) until: Time,
    /// Whether the player has made an attempt before.
    pub(super) returning: bool,
}

impl Attempt<'_> {
    /// The open request; the player gives up after `patience`.
    fn open_request(&self, patience: Duration) -> Open {
        let visit = self.visit;
        Open {
            key: self.key.clone(),
            title: visit.title.clone(),
            class: visit.class.name.clone(),
            viewer: Some(format!("v{:x}", visit.seed)),
            top: Some(visit.highest_rung),
            give_up_ms: Some(patience.as_millis() as u64),
            again: self.returning,
            ..Open::default()
        }
    }
}

impl PlayerPool {
    /// Makes an attempt. Some players disconnect before the answer and reconnect with the same key.
    pub(super) fn attempt(&self, attempt: &Attempt<'_>, rng: &mut StdRng) -> AttemptResult {
        let Ok(mut client) = PlayerClient::connect(&attempt.front.address, &self.sweeper) else {
            self.failed_connects.fetch_add(1, Ordering::AcqRel);
            return if self.behavior.retries_with_same_key {
                AttemptResult::FrontLost
            } else {
                AttemptResult::MayReturn { retry_after: None }
            };
        };
        let deadline = clock::now() + attempt.visit.patience;
        let mut call = self.send_open(&mut client, attempt, deadline);
        if rng.random_bool(self.behavior.reconnect_fraction) {
            sleep(Duration::from_millis(rng.random_range(1..150)));
            client = match self.reconnect(client, call, attempt) {
                Ok(new_client) => new_client,
                Err(result) => return result,
            };
            call = self.send_open(&mut client, attempt, deadline);
        }
        let answer = self.wait_for_answer(&mut client, call, deadline);
        let disconnected = clock::now() < deadline + LATE_ANSWER_WINDOW;
        match answer {
            Some(event) => self.on_answer(event, client, attempt),
            None if self.behavior.retries_with_same_key && disconnected => {
                self.recorder.record(Seen::Disconnected { call });
                AttemptResult::FrontLost
            }
            None => AttemptResult::DoesNotReturn,
        }
    }

    fn send_open(&self, client: &mut PlayerClient, attempt: &Attempt<'_>, deadline: Time) -> u64 {
        let call = self.next_call.fetch_add(1, Ordering::Relaxed);
        self.recorder.record(Seen::OpenSent {
            call,
            front: attempt.front.number,
            bill: billing_key(&attempt.key),
            class: attempt.visit.class.number,
            deadline,
        });
        let open = attempt.open_request(deadline.duration_since(clock::now()));
        let _ = client.send(client::open(call, &open)); // A failure to send shows when the answer is read.
        call
    }

    /// Disconnects during a call and connects to the same front again. Fails with the result of the attempt where an answer
    /// other than a playing session had arrived, or the front can't be reached.
    ///
    /// The front stays the same because another front does not know the idempotency key and would set up a paid session
    /// again.
    fn reconnect(
        &self,
        mut client: PlayerClient,
        call: u64,
        attempt: &Attempt<'_>,
    ) -> Result<PlayerClient, AttemptResult> {
        client.disconnect();
        match self.drain_answer(&mut client, call) {
            Some(PlayerReply::Plays) | None => self.recorder.record(Seen::Disconnected { call }),
            Some(_) => return Err(AttemptResult::DoesNotReturn),
        }
        PlayerClient::connect(&attempt.front.address, &self.sweeper)
            .map_err(|_| AttemptResult::MayReturn { retry_after: None })
    }

    /// The answer to a call that was received before the connection was closed; `None` where there was none.
    fn drain_answer(&self, client: &mut PlayerClient, call: u64) -> Option<PlayerReply> {
        while let Ok(Some(event)) = client.poll() {
            if let Some(reply) = reply_of(&event, call) {
                self.recorder.record(Seen::CallAnswered { call, reply });
                return Some(reply);
            }
        }
        None
    }

    /// Waits for the answer to a call. `None` where no answer was received. A front that disconnects still owes the answer, and
    /// the invariant checker reports that it is missing.
    fn wait_for_answer(
        &self,
        client: &mut PlayerClient,
        call: u64,
        deadline: Time,
    ) -> Option<ClientEvent> {
        while let Ok(event) = client.next(deadline + LATE_ANSWER_WINDOW) {
            if let Some(reply) = reply_of(&event, call) {
                self.recorder.record(Seen::CallAnswered { call, reply });
                return Some(event);
            }
        }
        None
    }

    fn on_answer(
        &self,
        event: ClientEvent,
        client: PlayerClient,
        attempt: &Attempt<'_>,
    ) -> AttemptResult {
        match event {
            ClientEvent::Plays { session, media, .. } => {
                self.watch_session(client, &session, &media, attempt)
            }
            // The session was lost with its server, so the player opens a new one.
            ClientEvent::Failed { .. }
                if attempt.returning && self.behavior.retries_with_same_key =>
            {
                client.close();
                AttemptResult::MayReturn { retry_after: None }
            }
            ClientEvent::Refused { retry_after_ms, .. } => {
                client.close();
                let retry_after = retry_after_ms.map(Duration::from_millis);
                AttemptResult::MayReturn { retry_after }
            }
            _ => {
                client.close();
                AttemptResult::DoesNotReturn
            }
        }
    }

    fn watch_session(
        &self,
        client: PlayerClient,
        session: &str,
        media: &str,
        attempt: &Attempt<'_>,
    ) -> AttemptResult {
        let visit = attempt.visit;
        self.losses().on_established(visit.seed, visit.class.number);
        let remaining = attempt.until.duration_since(clock::now());
        let result = self.watch(client, session, media, visit.watch.min(remaining));
        if !matches!(result, AttemptResult::Watched) {
            self.losses()
                .on_disconnected(visit.seed, visit.class.number);
        }
        result
    }
}

/// The reply to this call that an event is; `None` where the event is not an answer to the call.
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
