//! What the machine's limits leave for viewers, servers and buffers.
use crankpaddle_node_protocol::config::Limits;

/// Descriptors that are neither a viewer's nor a server's: listener, directory, signals, logs, the runtime's own, and
/// what is being closed.
const RESERVED_DESCRIPTORS: usize = 32;
/// Descriptors that are shared out at least, however few the machine allows.
const MIN_SHARED_DESCRIPTORS: usize = 4;
/// Set-ups without an answer that each MB of memory allows, in all.
const PENDING_PER_MB: usize = 16;
/// Set-ups without an answer at most, in all, however much memory there is.
const MAX_PENDING: usize = 8192;
/// Set-ups without an answer that each MB of memory allows one connection.
const PENDING_PER_CONNECTION_PER_MB: usize = 4;
/// Set-ups without an answer of one connection at most, however much memory there is.
const MAX_PENDING_PER_CONNECTION: usize = 512;
/// Bytes that wait for one slow reader at most.
const OUTBOX_BYTES: usize = 64 * 1024;

/// Bounds that follow from the limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Budget {
    /// Viewers' connections: half of the shared descriptors. Honest viewers need at most a third of all; the rest is headroom,
    /// so that faulty clients can be accepted and closed.
    pub(crate) viewers: usize,
    /// Connections to servers.
    pub(crate) links: usize,
    /// Set-ups without an answer, in all.
    pub(crate) pending_set_ups: usize,
    /// Set-ups without an answer of one connection.
    pub(crate) pending_set_ups_per_connection: usize,
    /// Bytes that wait for one slow reader.
    pub(crate) outbox: usize,
}

impl Budget {
    pub(crate) fn new(limits: &Limits) -> Budget {
        let descriptors = limits
            .sockets
            .saturating_sub(RESERVED_DESCRIPTORS)
            .max(MIN_SHARED_DESCRIPTORS);
        let viewers = descriptors / 2;
        let memory_mb = usize::try_from(limits.memory_mb)
            .unwrap_or(usize::MAX)
            .max(1);
        Budget {
            viewers,
            links: descriptors - viewers,
            pending_set_ups: memory_mb.saturating_mul(PENDING_PER_MB).min(MAX_PENDING),
            pending_set_ups_per_connection: memory_mb
                .saturating_mul(PENDING_PER_CONNECTION_PER_MB)
                .min(MAX_PENDING_PER_CONNECTION),
            outbox: OUTBOX_BYTES,
        }
    }
}

#[cfg(test)]
mod tests;
