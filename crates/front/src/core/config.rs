//! The configuration of a core.
use std::time::Duration;

/// The core's own configuration, beside the placement policy's settings.
#[derive(Clone, Debug)]
pub struct CoreConfig {
    /// Longest wait of a viewer, for each class.
    pub max_wait: Vec<Duration>,
    /// A request is answered at least this long before its viewer gives up.
    pub answer_margin: Duration,
    /// A disconnected player may reattach to its sessions within this time.
    pub resume_window: Duration,
    /// The viewer of a session that a previous incarnation had set up may reattach to it within this time.
    pub recovered_resume_window: Duration,
    /// Most pending requests in all.
    pub max_pending: usize,
    /// Most pending requests of one connection.
    pub max_pending_per_player: usize,
    /// Keys of ended paid sessions are retained for this time ...
    pub key_retention: Duration,
    /// ... but no more than this many of them.
    pub max_retained_keys: usize,
}
