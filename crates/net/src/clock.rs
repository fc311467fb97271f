//! The one clock of a process: nanoseconds of Unix time at its start, going on without steps.
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static START: OnceLock<(Instant, u64)> = OnceLock::new();

/// Now. Danger: the list tells starts of servers in Unix time, so hosts whose clocks differ misjudge how cold a server
/// is by as much; but the clock itself never goes back, whatever is done to the host's.
pub fn now() -> u64 {
    let (start, unix) = START.get_or_init(|| {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        (Instant::now(), unix.as_nanos() as u64)
    });
    unix + start.elapsed().as_nanos() as u64
}
