//! The clock of the process: Unix time at the first call, advanced by the monotonic clock from then on.
use crankpaddle_time::Time;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A reading of the monotonic clock and the wall clock at the same instant.
struct Origin {
    instant: Instant,
    unix_time: Time,
}

static ORIGIN: OnceLock<Origin> = OnceLock::new();

/// The current time, in Unix time.
///
/// It never goes back, even if the host's wall clock is set back. The endpoint list states the start times of servers in
/// Unix time, so hosts whose wall clocks differ misjudge a server's slow start by the difference.
#[must_use]
pub fn now() -> Time {
    let origin = ORIGIN.get_or_init(|| {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO);
        Origin {
            instant: Instant::now(),
            unix_time: Time::ZERO + unix,
        }
    });
    origin.unix_time + origin.instant.elapsed()
}
