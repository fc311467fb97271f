use super::*;

const STEP: Duration = Duration::from_millis(10);

/// A directory that answers one query after the other, and the poller's queries to it, in virtual time.
struct Simulation {
    queries: DirectoryQueries,
    started_at: Instant,
    now: Instant,
    /// Ids of the queries that wait at the directory.
    waiting: VecDeque<u16>,
    last_id: u16,
    /// When the directory has answered the first of the waiting queries.
    answered_at: Option<Instant>,
    last_usable_response: Instant,
}

impl Simulation {
    fn new() -> Simulation {
        let now = Instant::now();
        Simulation {
            queries: DirectoryQueries::starting_at(now),
            started_at: now,
            now,
            waiting: VecDeque::new(),
            last_id: 0,
            answered_at: None,
            last_usable_response: now,
        }
    }

    /// Runs until `end`, with a directory that takes `time_per_query`; `None` if it stands still.
    fn run_until(&mut self, end: Duration, time_per_query: Option<Duration>) {
        while self.now < self.started_at + end {
            if self.queries.time_to_next_query(self.now).is_zero() {
                self.last_id += 1;
                self.queries.record_query(Some(self.last_id), self.now);
                self.waiting.push_back(self.last_id);
            }
            if let Some(time_per_query) = time_per_query {
                self.answer(time_per_query);
            }
            self.now += STEP;
        }
    }

    fn answer(&mut self, time_per_query: Duration) {
        if self.waiting.is_empty() {
            return;
        }
        let answered_at = *self.answered_at.get_or_insert(self.now + time_per_query);
        if self.now < answered_at {
            return;
        }
        self.answered_at = None;
        let id = self.waiting.pop_front().expect("a query waits");
        if self.queries.is_outstanding(id) && self.queries.record_response(id, self.now) {
            self.last_usable_response = self.now;
        }
    }

    fn silence(&self) -> Duration {
        self.now - self.last_usable_response
    }
}

/// Guards against queries that are answered later and later, until all responses are too old to be used.
#[test]
fn a_slow_directory_catches_up_after_it_stood_still() {
    for time_per_query_ms in [0, 100, 300, 500] {
        let time_per_query = Duration::from_millis(time_per_query_ms);
        let mut simulation = Simulation::new();
        for period in 1..=3 {
            let start = Duration::from_secs(60) * (period - 1);
            simulation.run_until(start + Duration::from_secs(3), None);
            for second in 30..60 {
                let end = start + Duration::from_secs(second);
                simulation.run_until(end, Some(time_per_query));
                let silence = simulation.silence();
                assert!(
                    silence <= Duration::from_millis(1500),
                    "{time_per_query_ms} ms a query, {end:?}: nothing was told for {silence:?}"
                );
            }
        }
    }
}

#[test]
fn a_response_is_used_up_to_its_greatest_age_and_once() {
    let start = Instant::now();
    let mut queries = DirectoryQueries::starting_at(start);
    for id in 1..=3 {
        queries.record_query(Some(id), start);
    }
    assert!(queries.record_response(2, start + MAX_RESPONSE_AGE));
    assert!(!queries.is_outstanding(2) && !queries.record_response(2, start + MAX_RESPONSE_AGE));
    assert!(!queries.record_response(1, start + MAX_RESPONSE_AGE + STEP));
    queries.record_query(Some(4), start + MAX_QUERY_AGE + STEP);
    assert!(!queries.is_outstanding(3), "it is forgotten");
}

#[test]
fn a_query_is_sent_after_a_response_and_sooner_without_one() {
    let start = Instant::now();
    let mut queries = DirectoryQueries::starting_at(start);
    assert_eq!(queries.time_to_next_query(start), Duration::ZERO);
    queries.record_query(Some(1), start);
    assert_eq!(queries.time_to_next_query(start), RESPONSE_TIMEOUT);
    queries.record_response(1, start + STEP);
    assert_eq!(queries.time_to_next_query(start + STEP), POLL_INTERVAL);
    queries.record_query(None, start + STEP);
    assert_eq!(queries.time_to_next_query(start + STEP), RESPONSE_TIMEOUT);
}
