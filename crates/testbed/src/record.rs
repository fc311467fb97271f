//! What was seen on the sockets, and when.
use crankpaddle_net::clock;
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, PoisonError};

/// How a set-up was answered by a stand-in server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reply {
    /// It plays.
    Plays,
    /// Turned away unseen, and said so: it never ran.
    Full,
    /// Failed.
    Error,
    /// The stand-in broke the connection.
    Reset,
    /// The front closed it without an answer.
    Left,
}

/// How a player's call was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PlayerReply {
    /// It plays.
    Plays,
    /// Refused: nothing ran.
    Refused,
    /// Failed, perhaps with effect.
    Failed,
    /// Another connection has it.
    Superseded,
    /// An error of the call itself.
    Error,
}

/// One thing seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Seen {
    /// A player's open left for a front.
    #[serde(rename = "asked")] // As recordings on disk have it.
    OpenSent {
        /// The call, unique in a day.
        call: u64,
        /// Which front, by its number.
        front: u32,
        /// What the session is billed under.
        bill: String,
        /// Class by number.
        class: u8,
        /// It gives up at this time.
        #[serde(rename = "gives_up")]
        deadline: u64,
    },
    /// The player got an answer.
    #[serde(rename = "told")]
    CallAnswered {
        /// The call.
        call: u64,
        /// Which.
        #[serde(rename = "told")]
        reply: PlayerReply,
    },
    /// A player's connection broke before its answer (it broke it itself, or the front died): none is owed on it.
    #[serde(rename = "broke")]
    Disconnected {
        /// The call.
        call: u64,
    },
    /// A set-up arrived whole at a server.
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
        /// The viewer's zone; empty where the front did not tell it.
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
    /// A server told the front, which had ended it, that this set-up never ran and never will.
    Disowned {
        /// The session's name.
        name: String,
    },
    /// A set-up came to its end at the server.
    Replied {
        /// The session's name.
        name: String,
        /// How.
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
    /// A server's process started; zero warm from now.
    Started {
        /// The server.
        server: u32,
        /// Streams that it runs at most.
        places: f64,
    },
    /// A cold server was sent too much and fell over.
    Fell {
        /// The server.
        server: u32,
    },
    /// The list service told a front of a server's state.
    Listed {
        /// The front's name for itself.
        front: String,
        /// The server.
        server: u32,
        /// Whether new work may go there.
        ready: bool,
    },
    /// A front's process was killed: it owes no answer to what it had taken.
    Died {
        /// Which front, by its number.
        front: u32,
    },
    /// A front's process stood still from this time on (`true`), or goes on.
    Stalled {
        /// Which front, by its number.
        front: u32,
        /// Whether it is stopped.
        #[serde(rename = "stands")]
        stopped: bool,
    },
}

/// Something seen at a time: nanoseconds of the one clock of the laboratory.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When.
    pub at: u64,
    /// What.
    #[serde(flatten)]
    pub seen: Seen,
}

/// Collects records from all stand-ins.
#[derive(Clone, Default)]
pub struct Recorder(Arc<Mutex<Vec<Record>>>);

impl Recorder {
    /// Adds what is seen now.
    pub fn see(&self, seen: Seen) {
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        all.push(Record {
            at: clock::now(),
            seen,
        });
    }

    /// All so far, in the order of their times.
    pub fn all(&self) -> Vec<Record> {
        let mut all = self
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        all.sort_by_key(|r| r.at);
        all
    }
}
