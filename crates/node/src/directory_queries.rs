//! When the directory is queried, and which responses are used. Without I/O.
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time between a response and the next query. A node has to learn of a change within 1.5 s.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a response after which the next query is sent.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);
/// Responses that take longer than this are dropped, because their lists may be long out of date.
const MAX_RESPONSE_AGE: Duration = Duration::from_secs(4);
/// Queries without a response are forgotten after this time. A response after [`MAX_RESPONSE_AGE`] still shows that the directory
/// is behind.
const MAX_QUERY_AGE: Duration = Duration::from_secs(16);
/// The most queries that wait at a slow directory, as long as it answers one after the other.
const QUERIES_PER_RESPONSE_TIME: u32 = 4;
/// Time without any query after a response that was too old, so that the directory catches up.
const CATCH_UP_PAUSE: Duration = Duration::from_secs(2);

/// A query whose response may still be received.
struct OutstandingQuery {
    id: u16,
    sent_at: Instant,
}

/// The queries to one directory.
///
/// Every response is taken from the socket as soon as it is there, and one response leads to at most one query. So neither the
/// socket nor the directory is left with a queue after a time in which queries and responses differed in number. A poller
/// that waited after each response took one and caused one: after 3 s without a response it stayed 15 responses behind.
pub(crate) struct DirectoryQueries {
    outstanding: VecDeque<OutstandingQuery>,
    next_query_at: Instant,
    /// The least time between two queries, which is above zero while responses take long. More queries than a slow directory
    /// answers would put it further and further behind, until all its responses are too old.
    min_interval: Duration,
}

impl DirectoryQueries {
    /// The first query is due at once.
    pub(crate) fn starting_at(now: Instant) -> DirectoryQueries {
        DirectoryQueries {
            outstanding: VecDeque::new(),
            next_query_at: now,
            min_interval: Duration::ZERO,
        }
    }

    /// The time until the next query is due; zero if it is.
    pub(crate) fn time_to_next_query(&self, now: Instant) -> Duration {
        self.next_query_at.saturating_duration_since(now)
    }

    /// Records that a query was sent, or could not be sent: then `id` is `None`.
    pub(crate) fn record_query(&mut self, id: Option<u16>, now: Instant) {
        self.remove_older_than(MAX_QUERY_AGE, now);
        if let Some(id) = id {
            self.outstanding
                .push_back(OutstandingQuery { id, sent_at: now });
        }
        self.next_query_at = now + RESPONSE_TIMEOUT.max(self.min_interval);
    }

    /// Whether a response with this id is expected. If only the latest query counted, no response of a directory that takes
    /// longer than the timeout would ever be used.
    pub(crate) fn is_outstanding(&self, id: u16) -> bool {
        self.outstanding.iter().any(|query| query.id == id)
    }

    /// Records a readable response to an outstanding query, and returns whether its list may be used. A list with a lower serial
    /// than that in force is rejected elsewhere.
    pub(crate) fn record_response(&mut self, id: u16, now: Instant) -> bool {
        let Some(position) = self.outstanding.iter().position(|query| query.id == id) else {
            return false;
        };
        let sent_at = self.outstanding.remove(position).map(|query| query.sent_at);
        let age = sent_at.map_or(Duration::ZERO, |sent_at| now.duration_since(sent_at));
        let is_usable = age <= MAX_RESPONSE_AGE;
        self.min_interval = if is_usable {
            age / QUERIES_PER_RESPONSE_TIME
        } else {
            CATCH_UP_PAUSE
        };
        self.next_query_at = now + POLL_INTERVAL.max(self.min_interval);
        is_usable
    }

    fn remove_older_than(&mut self, age: Duration, now: Instant) {
        while let Some(oldest) = self.outstanding.front() {
            if now.duration_since(oldest.sent_at) <= age {
                return;
            }
            self.outstanding.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
