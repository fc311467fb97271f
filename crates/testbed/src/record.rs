//! Records: what passed on the sockets, and when. Their JSON form is that of recordings on disk.
use crankpaddle_net::clock;
use crankpaddle_time::Time;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// How a set-up ended at a stand-in server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// It plays.
    Plays,
    /// Rejected for lack of capacity: it never ran.
    Full,
    /// Failed.
    Error,
    /// The stand-in reset the connection.
    Reset,
    /// The front closed the connection before an answer.
    Left,
}

/// How a player's call was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlayerReply {
    /// It plays.
    Plays,
    /// Rejected: nothing ran.
    Refused,
    /// Failed; the set-up may have run.
    Failed,
    /// Another connection of the player has the session.
    Superseded,
    /// An error of the call itself.
    Error,
}

/// One event.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Seen {
    /// A player sent an open request to a front.
    #[serde(rename = "asked")] // As recordings on disk have it.
    OpenSent {
        /// The call, unique in a run.
        call: u64,
        /// Which front, by its number.
        front: u32,
        /// What the session is billed under.
        bill: String,
        /// Class by number.
        class: u8,
        /// The player gives up at this time.
        #[serde(rename = "gives_up", with = "time_as_nanoseconds")]
        deadline: Time,
    },
    /// A player received the answer to a call.
    #[serde(rename = "told")]
    CallAnswered {
        /// The call.
        call: u64,
        /// The answer.
        #[serde(rename = "told")]
        reply: PlayerReply,
    },
    /// A player's connection closed before the answer to a call (by the player, or because the front died): no answer is due
    /// on it.
    #[serde(rename = "broke")]
    Disconnected {
        /// The call.
        call: u64,
    },
    /// A set-up was completely received by a server.
    SetUp {
        /// The session's name there; unique.
        name: String,
        /// The server.
        server: u32,
        /// The front's name for itself.
        front: String,
        /// What it is billed under.
        bill: String,
        /// Class by name.
        class: String,
        /// Title by name.
        title: String,
        /// The rung.
        rung: u8,
        /// The viewer's zone; empty where the front did not state it.
        #[serde(default)]
        zone: String,
    },
    /// A set-up was billed: it ran.
    Billed {
        /// The session's name.
        name: String,
        /// What it is billed under.
        bill: String,
    },
    /// A server reported to the front, which had ended this set-up, that it never ran and never will.
    Disowned {
        /// The session's name.
        name: String,
    },
    /// A set-up ended at the server.
    Replied {
        /// The session's name.
        name: String,
        /// How it ended.
        reply: Reply,
    },
    /// A rung was set for a session.
    Rung {
        /// The session's name.
        name: String,
        /// The rung.
        rung: u8,
    },
    /// A session ended at its server.
    Ended {
        /// The session's name.
        name: String,
        /// Media bytes that the server sent for it.
        bytes: u64,
    },
    /// A player read so many media bytes of a session.
    Fetched {
        /// The session's name.
        name: String,
        /// Bytes.
        bytes: u64,
    },
    /// A server's process started: its slow start begins.
    Started {
        /// The server.
        server: u32,
        /// Streams that it runs at most.
        places: f64,
    },
    /// A server was overloaded during its slow start and stopped.
    Fell {
        /// The server.
        server: u32,
    },
    /// The list service sent a server's state to a front.
    Listed {
        /// The front's name for itself.
        front: String,
        /// The server.
        server: u32,
        /// Whether new work may go there.
        ready: bool,
    },
    /// A front's process was killed: no answer is due to the requests it had received.
    Died {
        /// Which front, by its number.
        front: u32,
    },
    /// A front's process is stopped from this time on (`true`), or resumed.
    Stalled {
        /// Which front, by its number.
        front: u32,
        /// Whether it is stopped.
        #[serde(rename = "stands")]
        stopped: bool,
    },
}

/// An event and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When it happened, on the test bed's one clock.
    #[serde(with = "time_as_nanoseconds")]
    pub at: Time,
    /// The event.
    #[serde(flatten)]
    pub seen: Seen,
}

/// The form of times in recordings: a number of nanoseconds.
mod time_as_nanoseconds {
    use crankpaddle_time::Time;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub(super) fn serialize<S: Serializer>(time: &Time, serializer: S) -> Result<S::Ok, S::Error> {
        time.as_nanos().serialize(serializer)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Time, D::Error> {
        u64::deserialize(deserializer).map(Time)
    }
}

/// Collects the records of all stand-ins. Copies share them.
#[derive(Clone, Default)]
pub struct Recorder(Arc<Mutex<Vec<Record>>>);

impl Recorder {
    /// Adds an event with the present time.
    pub fn see(&self, seen: Seen) {
        let mut records = self.lock();
        let at = clock::now();
        records.push(Record { at, seen });
    }

    /// All records so far, in the order of their times.
    #[must_use]
    pub fn all(&self) -> Vec<Record> {
        let mut records = self.lock().clone();
        records.sort_by_key(|record| record.at);
        records
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Record>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
