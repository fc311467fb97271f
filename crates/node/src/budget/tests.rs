use super::*;

#[test]
fn viewers_and_servers_together_stay_within_the_descriptors() {
    for sockets in [0, 10, 64, 256, 1024, 1 << 20] {
        let budget = ResourceBudget::new(&Limits {
            cores: 0.3,
            memory_mb: 32,
            sockets,
        });
        assert!(budget.max_viewers > 0 && budget.max_links > 0);
        assert!(
            sockets < 64 || budget.max_viewers + budget.max_links + RESERVED_DESCRIPTORS <= sockets,
            "{sockets}: {budget:?}"
        );
        assert!(
            sockets < 256 || budget.max_viewers > sockets / 3,
            "a third of the descriptors must be available to viewers: {budget:?}"
        );
    }
}

/// Guards against bounds of single connections that add up to more than the memory, at the least and the most that the platform
/// gives.
#[test]
fn what_all_connections_may_buffer_stays_within_half_of_the_memory() {
    for memory_mb in [32, 64, 192] {
        for sockets in [256, 1024] {
            let budget = ResourceBudget::new(&Limits {
                cores: 0.3,
                memory_mb,
                sockets,
            });
            let connections = budget.max_viewers + budget.max_links;
            let bytes = connections * (budget.max_queued_input_bytes + budget.max_outbox_bytes);
            let half = usize::try_from(memory_mb).unwrap() * BYTES_PER_MB / 2;
            assert!(
                bytes <= half + connections * MAX_MESSAGE_BYTES,
                "{budget:?}"
            );
            assert!(budget.max_outbox_bytes >= MAX_MESSAGE_BYTES);
        }
    }
}
