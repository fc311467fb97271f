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
