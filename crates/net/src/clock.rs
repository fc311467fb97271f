//! The process's only clock: Unix time as of its start, advanced monotonically.
use crankpaddle_time::Time;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The same instant on the monotonic and on the wall clock.
struct Origin {
    instant: Instant,
    unix_time: Time,
}

static ORIGIN: OnceLock<Origin> = OnceLock::new();

/// The current time.
///
/// It never goes back, whatever happens to the host's wall clock. The endpoint list states servers' starts in Unix time,
/// so hosts whose wall clocks differ misjudge a server's slow start by as much.
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
