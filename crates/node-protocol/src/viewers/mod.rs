//! Viewers: one JSON object a line.
mod decode;
mod encode;
mod set_up_params;

use crate::Tag;
use std::collections::BTreeMap;

pub use decode::{DecodeError, Decoder};
pub use encode::{echoed, finish, finished, moved, started};
pub use set_up_params::{InvalidField, SetUpParams};

/// The protocol's causes of a release (`rc` on the wire).
pub mod cause {
    /// The session has ended normally; if it has no answer yet, its set-up is cancelled.
    pub const NORMAL: u16 = 16;
    /// Migrated, or ended by its viewer.
    pub const CANCELLED: u16 = 31;
    /// Rejected: no server has capacity.
    pub const NO_CAPACITY: u16 = 34;
    /// The session was cut, or its set-up failed.
    pub const CUT: u16 = 41;
    /// Rejected: the front node is overloaded.
    pub const CONGESTION: u16 = 42;
    /// The set-up can't be read (no such class, a figure out of range).
    pub const INVALID: u16 = 100;
}

/// A set-up as it was sent.
///
/// Why its fields are read apart, by [`SetUp::set_up_params`]: a set-up with an invalid field still has a tag, by which it
/// can be rejected.
#[derive(Clone, Debug, PartialEq)]
pub struct SetUp {
    /// The session.
    pub tag: Tag,
    /// Its fields.
    pub opts: Opts,
    /// The description, passed on unchanged.
    pub blob: Option<String>,
}

/// Fields of a message: text or numbers, both as text.
pub type Opts = BTreeMap<String, String>;

/// What a viewer sends.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// It requests a session.
    Start(SetUp),
    /// It cancels its set-up, or ends its session.
    Finish {
        /// The session.
        tag: Tag,
        /// Why.
        cause: u16,
    },
    /// It tests whether the node answers.
    Echo(Tag),
    /// A message that needs no action: progress, the acknowledgement of a release, a notice.
    Idle,
}
