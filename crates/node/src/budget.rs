//! Divides the machine's limits into bounds for viewers' connections, links to servers, set-ups and buffers.
use crankpaddle_node_protocol::config::Limits;
use crankpaddle_node_protocol::MAX_MESSAGE_BYTES;

/// Bytes in a MB of the configured memory.
const BYTES_PER_MB: usize = 1024 * 1024;
/// Descriptors reserved for everything but connections to viewers and servers: the listener, the directory, signals, logs, the
/// runtime, and connections that are being closed.
const RESERVED_DESCRIPTORS: usize = 32;
/// Minimum number of descriptors for viewers and servers together, however few the machine allows.
const MIN_SHARED_DESCRIPTORS: usize = 4;
/// Unanswered set-ups of the whole node that each MB of memory allows.
const PENDING_SET_UPS_PER_MB: usize = 16;
/// Maximum number of unanswered set-ups of the whole node, however much memory there is.
const MAX_PENDING_SET_UPS: usize = 8192;
/// Unanswered set-ups of one connection that each MB of memory allows.
const PENDING_SET_UPS_PER_CONNECTION_PER_MB: usize = 4;
/// Maximum number of unanswered set-ups of one connection, however much memory there is.
const MAX_PENDING_SET_UPS_PER_CONNECTION: usize = 512;
/// Sessions that each MB of memory allows before no more are adopted. A session takes less than 2 KiB.
const SESSIONS_PER_MB: usize = 128;
/// The share of the memory for messages that were read and are not handled: one part in this many.
const QUEUED_INPUT_SHARE: usize = 16;
/// Maximum number of bytes of one connection that were read and are not handled, however much memory there is.
const MAX_QUEUED_INPUT_BYTES: usize = 128 * 1024;
/// The share of the memory for what slow readers have not taken: one part in this many.
const OUTBOX_SHARE: usize = 4;
/// Maximum number of bytes that are buffered for one slow reader, however much memory there is.
const MAX_OUTBOX_BYTES: usize = 64 * 1024;

/// Bounds on resources, derived from the machine's limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ResourceBudget {
    /// Viewers' connections: half of the descriptors that viewers and servers share. Honest viewers need at most a third of all
    /// descriptors; the rest is headroom, so that faulty clients can be accepted and closed.
    pub(crate) max_viewers: usize,
    /// Links to servers: the other half.
    pub(crate) max_links: usize,
    /// Unanswered set-ups of the whole node.
    pub(crate) max_pending_set_ups: usize,
    /// Unanswered set-ups of one connection.
    pub(crate) max_pending_set_ups_per_connection: usize,
    /// Sessions of the whole node beyond which none is adopted. Sessions that the node sets up are bounded by its servers' capacity,
    /// but any client can claim that sessions were under way.
    pub(crate) max_sessions: usize,
    /// Memory for the messages of one connection that were read and are not handled ([`crate::input_gate`]). One message may
    /// always be queued, also if it is longer.
    pub(crate) max_queued_input_bytes: usize,
    /// Bytes that are buffered for one slow reader, viewer or server; at least one message of the greatest length.
    pub(crate) max_outbox_bytes: usize,
}

impl ResourceBudget {
    pub(crate) fn new(limits: &Limits) -> ResourceBudget {
        let descriptors = limits
            .sockets
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(MIN_SHARED_DESCRIPTORS);
        let max_viewers = descriptors / 2;
        let memory_mb = usize::try_from(limits.memory_mb)
            .unwrap_or(usize::MAX)
            .max(1);
        let memory_bytes = memory_mb.saturating_mul(BYTES_PER_MB);
        ResourceBudget {
            max_viewers,
            max_links: descriptors - max_viewers,
            max_pending_set_ups: memory_mb
                .saturating_mul(PENDING_SET_UPS_PER_MB)
                .min(MAX_PENDING_SET_UPS),
            max_pending_set_ups_per_connection: memory_mb
                .saturating_mul(PENDING_SET_UPS_PER_CONNECTION_PER_MB)
                .min(MAX_PENDING_SET_UPS_PER_CONNECTION),
            max_sessions: memory_mb.saturating_mul(SESSIONS_PER_MB),
            max_queued_input_bytes: (memory_bytes / QUEUED_INPUT_SHARE / descriptors)
                .min(MAX_QUEUED_INPUT_BYTES),
            max_outbox_bytes: (memory_bytes / OUTBOX_SHARE / descriptors)
                .clamp(MAX_MESSAGE_BYTES, MAX_OUTBOX_BYTES),
        }
    }
}

#[cfg(test)]
mod tests;
