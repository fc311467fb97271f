//! The protocol with viewers: one JSON object per line.
mod decode;
mod encode;
mod field_value;
mod set_up_params;

use crate::Tag;
use std::collections::BTreeMap;

pub use decode::{DecodeError, Decoder};
pub use encode::{echoed, finish, finished, moved, started};
pub use set_up_params::{InvalidField, SetUpParams};

/// The protocol's causes of a release (`rc` on the wire).
pub mod cause {
    /// The session has ended normally. If its set-up is still in progress, the set-up is cancelled.
    pub const NORMAL: u16 = 16;
    /// The session was migrated, or its viewer ended it.
    pub const CANCELLED: u16 = 31;
    /// The set-up was rejected because no server has capacity.
    pub const NO_CAPACITY: u16 = 34;
    /// The session ended abnormally, or its set-up failed.
    pub const FAILED: u16 = 41;
    /// The set-up was rejected because the front node is overloaded.
    pub const CONGESTION: u16 = 42;
    /// The set-up has an invalid field, such as an unknown class or a number out of range.
    pub const INVALID: u16 = 100;
}

/// A set-up request of a viewer, with its fields unchecked.
///
/// The fields are parsed separately, by [`ViewerSetUp::set_up_params`], so that a set-up with an invalid field still has a tag
/// with which it can be rejected.
#[derive(Clone, Debug, PartialEq)]
pub struct ViewerSetUp {
    /// The id of the requested session.
    pub tag: Tag,
    /// The fields of the request by name.
    pub opts: Opts,
    /// The session description, which is passed on to the server unchanged; `None` if the viewer sent none.
    pub blob: Option<String>,
}

/// The fields of a message by name. Values are texts or numbers on the wire; both are kept as text.
pub type Opts = BTreeMap<String, String>;

/// A message of a viewer.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// The viewer requests a session.
    Start(ViewerSetUp),
    /// The viewer cancels its set-up or ends its session.
    Finish {
        /// The id of the session.
        tag: Tag,
        /// Why it ends; see [`cause`].
        cause: u16,
    },
    /// The viewer tests whether the node responds; the answer is [`echoed`].
    Echo(Tag),
    /// A message that needs no action: a progress report, the acknowledgement of a release, a notice or an echo.
    Idle,
}
