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
            sockets < 64 || budget.viewers + budget.links + RESERVED_DESCRIPTORS <= sockets,
            "{sockets}: {budget:?}"
        );
        assert!(
            sockets < 256 || budget.viewers > sockets / 3,
            "what viewers may hold is taken: {budget:?}"
        );
    }
}
