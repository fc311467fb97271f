//! The configuration of a core.
use std::time::Duration;

/// The configuration of the core itself, in addition to the settings of the placement policy.
#[derive(Clone, Debug)]
pub struct CoreConfig {
    /// Maximum time that a viewer waits for an answer, indexed by class.
    pub max_wait: Vec<Duration>,
    /// A request is answered at the latest this long before its viewer gives up, or after half of the viewer's wait if
    /// that is later.
    pub answer_margin: Duration,
    /// The time within which a disconnected player may reattach to its requests and sessions before they end.
    pub resume_window: Duration,
    /// The time within which a viewer may reattach to a session that a previous incarnation of the front set up.
    pub recovered_resume_window: Duration,
    /// Maximum number of pending requests in total.
    pub max_pending: usize,
    /// Maximum number of pending requests of one connection.
    pub max_pending_per_player: usize,
    /// How long the keys of ended paid sessions are retained, counted from when their viewers would have given up.
    pub key_retention: Duration,
    /// Maximum number of retained keys. The oldest are removed first; 0 retains none.
    pub max_retained_keys: usize,
}
