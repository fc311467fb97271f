//! Records of the events at the sockets of simulated servers, the list service and players, with their times.
//!
//! A recording on disk has one record a line, as JSON. The serialized names are those of earlier recordings.
use crankpaddle_net::clock;
use crankpaddle_time::Time;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// How a set-up ended at a simulated server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// The server set the session up, and it plays.
    Plays,
    /// Rejected for lack of capacity; the set-up never ran.
    Full,
    /// The server answered with an error; the set-up may have run.
    Error,
    /// The server reset the connection before an answer; the set-up may have run.
    Reset,
    /// The front closed the connection before an answer, or had already ended the session; the set-up may have run.
    Left,
}

/// How a player's call was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlayerReply {
    /// The front answered that the session is established.
    Plays,
    /// Rejected; no set-up ran.
    Refused,
    /// Failed; a set-up may have run.
    Failed,
    /// Another connection of the player took over the session.
    Superseded,
    /// The front answered the call itself with an error.
    Error,
}

/// An event at a socket, or a change of a process that the testbed made.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Seen {
    /// A player sent an open request to a front.
    #[serde(rename = "asked")] // The name in recordings on disk.
    OpenSent {
        /// Number of the call, unique in a run.
        call: u64,
        /// Number of the front.
        front: u32,
        /// The billing reference of the session.
        bill: String,
        /// Number of the class.
        class: u8,
        /// The player gives up at this time.
        #[serde(rename = "gives_up", with = "time_as_nanoseconds")]
        deadline: Time,
    },
    /// A player received the answer to a call.
    #[serde(rename = "told")]
    CallAnswered {
        /// Number of the answered call.
        call: u64,
        /// How the call was answered.
        #[serde(rename = "told")]
        reply: PlayerReply,
    },
    /// A player's connection closed before the answer to a call, because the player closed it or the front died. No answer is
    /// due any more.
    #[serde(rename = "broke")]
    Disconnected {
        /// Number of the call that stays without an answer.
        call: u64,
    },
    /// A set-up was completely received by a server.
    SetUp {
        /// The session's name at the server, unique in a run.
        name: String,
        /// Number of the server.
        server: u32,
        /// The name that the front states for itself.
        front: String,
        /// The billing reference of the session.
        bill: String,
        /// Name of the class.
        class: String,
        /// Name of the title.
        title: String,
        /// Number of the rung that the session starts at.
        rung: u8,
        /// The viewer's zone; empty where the front did not state it.
        #[serde(default)]
        zone: String,
    },
    /// A set-up was billed, so it ran.
    Billed {
        /// The session's name at the server.
        name: String,
        /// The billing reference of the session.
        bill: String,
    },
    /// A server stated to a front that a set-up, which the front had ended, never ran and never will.
    Disowned {
        /// The session's name at the server.
        name: String,
    },
    /// A set-up ended at the server.
    Replied {
        /// The session's name at the server.
        name: String,
        /// How the set-up ended.
        reply: Reply,
    },
    /// A rung was set for a session.
    Rung {
        /// The session's name at the server.
        name: String,
        /// Number of the new rung.
        rung: u8,
    },
    /// A session ended at its server.
    Ended {
        /// The session's name at the server.
        name: String,
        /// Number of media bytes that the server sent for the session.
        bytes: u64,
    },
    /// A player stopped reading the media of a session.
    Fetched {
        /// The session's name at the server.
        name: String,
        /// Number of media bytes that the player read.
        bytes: u64,
    },
    /// A server's process started, and with it the server's slow start.
    Started {
        /// Number of the server.
        server: u32,
        /// Maximum number of streams that the server runs.
        places: f64,
    },
    /// A server was overloaded during its slow start and stopped.
    Fell {
        /// Number of the server.
        server: u32,
    },
    /// The list service sent a server's state to a front.
    Listed {
        /// The name that the front states for itself.
        front: String,
        /// Number of the server.
        server: u32,
        /// Whether the server takes new sessions.
        ready: bool,
    },
    /// A front's process was killed. No answer is due to the requests that it had received.
    Died {
        /// Number of the front.
        front: u32,
    },
    /// A front's process was stopped by a signal, or resumed.
    Stalled {
        /// Number of the front.
        front: u32,
        /// `true` where the process was stopped, `false` where it was resumed.
        #[serde(rename = "stands")]
        stopped: bool,
    },
}

/// An event and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When the event was recorded, on the clock that all parts of the testbed share.
    #[serde(with = "time_as_nanoseconds")]
    pub at: Time,
    /// The recorded event; its fields are flattened into the JSON object.
    #[serde(flatten)]
    pub seen: Seen,
}

/// Serializes times as a number of nanoseconds.
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

/// Collects the records of all parts of a run. Clones share the same records.
#[derive(Clone, Default)]
pub struct Recorder(Arc<Mutex<Vec<Record>>>);

impl Recorder {
    /// Records an event with the current time.
    pub fn record(&self, seen: Seen) {
        let mut records = self.lock();
        let at = clock::now();
        records.push(Record { at, seen });
    }

    /// All records so far, sorted by time.
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
