//! Divides the machine's limits into bounds for viewers' connections, links to servers, set-ups and buffers.
use crankpaddle_node_protocol::config::Limits;

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
/// Maximum number of bytes that are buffered for one slow reader.
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
    /// Bytes that are buffered for one slow reader, viewer or server.
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
        ResourceBudget {
            max_viewers,
            max_links: descriptors - max_viewers,
            max_pending_set_ups: memory_mb
                .saturating_mul(PENDING_SET_UPS_PER_MB)
                .min(MAX_PENDING_SET_UPS),
            max_pending_set_ups_per_connection: memory_mb
                .saturating_mul(PENDING_SET_UPS_PER_CONNECTION_PER_MB)
                .min(MAX_PENDING_SET_UPS_PER_CONNECTION),
            max_outbox_bytes: MAX_OUTBOX_BYTES,
        }
    }
}

#[cfg(test)]
mod tests;
