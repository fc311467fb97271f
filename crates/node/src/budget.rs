//! What the machine's limits leave for viewers, servers and buffers.
use crankpaddle_node_protocol::config::Limits;

/// Descriptors that are neither a viewer's nor a server's: listener, directory, signals, logs, the runtime's own, and
/// what is being closed.
const OWN: usize = 32;

/// Bounds that follow from the limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Budget {
    /// Viewers' connections. Viewers hold at most a third of all descriptors; the rest is room to close bad ones.
    pub viewers: usize,
    /// Connections to servers.
    pub links: usize,
    /// Set-ups without an answer, in all ...
    pub open: usize,
    /// ... and of one connection.
    pub open_per_connection: usize,
    /// Bytes that wait for one slow reader.
    pub outbox: usize,
}

impl Budget {
    pub(crate) fn new(limits: &Limits) -> Budget {
        let free = limits.sockets.saturating_sub(OWN).max(4);
        let memory = usize::try_from(limits.memory_mb)
            .unwrap_or(usize::MAX)
            .max(1);
        Budget {
            viewers: free / 2,
            links: free - free / 2,
            open: memory.saturating_mul(16).min(8192),
            open_per_connection: memory.saturating_mul(4).min(512),
            outbox: 64 * 1024,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn viewers_and_servers_together_stay_within_the_descriptors() {
        for sockets in [0, 10, 64, 256, 1024, 1 << 20] {
            let budget = Budget::new(&Limits {
                cores: 0.3,
                memory_mb: 32,
                sockets,
            });
            assert!(budget.viewers > 0 && budget.links > 0);
            assert!(
                sockets < 64 || budget.viewers + budget.links + OWN <= sockets,
                "{sockets}: {budget:?}"
            );
            assert!(
                sockets < 256 || budget.viewers > sockets / 3,
                "what viewers may hold is taken: {budget:?}"
            );
        }
    }
}
