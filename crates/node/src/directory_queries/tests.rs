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

/// Guards against a limit on the age of responses: those of a directory that took longer for each were all dropped, although their
/// lists were of the time at which they were sent.
#[test]
fn a_response_is_used_once_however_late_it_arrives() {
    let start = Instant::now();
    let mut queries = DirectoryQueries::starting_at(start);
    for id in 1..=3 {
        queries.record_query(Some(id), start);
    }
    assert!(queries.record_response(2, start + STEP));
    assert!(!queries.is_outstanding(2) && !queries.record_response(2, start + STEP));
    assert!(queries.record_response(1, start + Duration::from_secs(60)));
    assert!(!queries.record_response(4, start), "no such query was sent");
    for id in 0..MAX_OUTSTANDING as u16 {
        assert!(queries.is_outstanding(3));
        queries.record_query(Some(100 + id), start);
    }
    assert!(!queries.is_outstanding(3), "it is forgotten");
}

/// A directory that answers each query after a time of its own, independent of the others, with its list of then.
struct ParallelDirectory {
    queries: DirectoryQueries,
    /// Ids of queries with the time at which each is answered.
    in_progress: Vec<(u16, Duration)>,
    answered_at: Vec<Duration>,
}

impl ParallelDirectory {
    /// Runs for a minute. Responses take `slow` from 10 s to 36 s, and one step otherwise.
    fn run(slow: Duration) -> ParallelDirectory {
        let started_at = Instant::now();
        let mut directory = ParallelDirectory {
            queries: DirectoryQueries::starting_at(started_at),
            in_progress: Vec::new(),
            answered_at: Vec::new(),
        };
        let mut id = 0;
        for step in 0..6000 {
            let now = STEP * step;
            directory.answer(now, started_at);
            if directory
                .queries
                .time_to_next_query(started_at + now)
                .is_zero()
            {
                id += 1;
                directory.queries.record_query(Some(id), started_at + now);
                let is_slow = (10..36).contains(&now.as_secs());
                let time = if is_slow { slow } else { STEP };
                directory.in_progress.push((id, now + time));
            }
        }
        directory
    }

    fn answer(&mut self, now: Duration, started_at: Instant) {
        let queries = &mut self.queries;
        let answered = self
            .in_progress
            .extract_if(.., |(_, due_at)| *due_at <= now);
        for (id, _) in answered {
            if queries.is_outstanding(id) && queries.record_response(id, started_at + now) {
                self.answered_at.push(now);
            }
        }
    }

    /// The longest time between two answers that were used, in a period.
    fn longest_gap(&self, from: Duration, to: Duration) -> Duration {
        let mut previous = from;
        let mut longest = Duration::ZERO;
        let within = self
            .answered_at
            .iter()
            .filter(|time| (from..to).contains(*time));
        for time in within.chain([&to]) {
            longest = longest.max(*time - previous);
            previous = *time;
        }
        longest
    }
}

/// Guards against a slow directory that is followed late or not at all: a change must be told within 1.5 s, by an answer that the
/// directory sends.
#[test]
fn changes_are_asked_for_in_time_however_slow_the_directory_is() {
    const LIMIT: Duration = Duration::from_millis(1500);
    for slow_ms in [300, 900, 1100, 2000, 4500, 9700] {
        let slow = Duration::from_millis(slow_ms);
        let directory = ParallelDirectory::run(slow);
        let became_slow = Duration::from_secs(10) + slow + POLL_INTERVAL;
        let ended = Duration::from_secs(59);
        let gap = directory.longest_gap(became_slow, ended);
        assert!(gap <= LIMIT, "{slow_ms} ms: nothing was told for {gap:?}");
        let queries = directory.answered_at.len() + directory.in_progress.len();
        assert!(queries < 300, "{slow_ms} ms: {queries} queries in a minute");
    }
}

/// Guards against a directory that answers one query after the other, less than one a second, and is asked so often that it falls
/// further and further behind.
#[test]
fn a_directory_that_answers_rarely_does_not_fall_behind_without_end() {
    let time_per_query = Duration::from_secs(2);
    let mut simulation = Simulation::new();
    for minute in 1..=10 {
        simulation.run_until(Duration::from_secs(60) * minute, Some(time_per_query));
        let waiting = simulation.waiting.len();
        assert!(
            waiting <= MAX_QUERIES_IN_FLIGHT + 2,
            "{waiting} queries wait"
        );
    }
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
