//! When the directory is queried, and which responses are expected. Without I/O.
//!
//! A response is used however long it took. Its serial tells whether its list is newer than the one in force; its age does not, as a
//! slow directory may send its present list. After the directory has become slow, no response would be young enough for any limit.
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time between a response and the next query. A node has to learn of a change within 1.5 s.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time without a response after which the next query is sent.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);
/// The queries that wait at a slow directory, as long as it answers one after the other.
const QUERIES_PER_RESPONSE_TIME: u32 = 4;
/// The longest interval between queries to a directory that takes long for each response. A node has to learn of a change within
/// 1.5 s, and a response tells of the changes up to when it was sent.
const MAX_QUERY_INTERVAL: Duration = Duration::from_secs(1);
/// Number of queries since the last one with a response above which [`MAX_QUERY_INTERVAL`] does not apply: the directory answers
/// fewer than one a second, and would fall further and further behind.
const MAX_QUERIES_IN_FLIGHT: usize = 64;
/// Number of queries without a response that are remembered.
const MAX_OUTSTANDING: usize = 256;
/// A directory that takes longer for a response is slow: queries do not wait for its responses.
const SLOW_RESPONSE_TIME: Duration = Duration::from_secs(1);

/// A query whose response may still be received.
struct OutstandingQuery {
    id: u16,
    sent_at: Instant,
}

/// The queries to one directory.
///
/// Every response is taken from the socket as soon as it is there, and queries have a least interval that grows with the time of a
/// response. So neither the socket nor the directory is left with a queue after a time in which queries and responses differed in
/// number. A poller that waited after each response took one and caused one: after 3 s without a response it stayed 15 responses
/// behind.
pub(crate) struct DirectoryQueries {
    outstanding: VecDeque<OutstandingQuery>,
    last_query_at: Instant,
    next_query_at: Instant,
    /// The least time between two queries, which is above zero while responses take long. More queries than a slow directory
    /// answers would put it further and further behind.
    min_interval: Duration,
}

impl DirectoryQueries {
    /// The first query is due at once.
    pub(crate) fn starting_at(now: Instant) -> DirectoryQueries {
        DirectoryQueries {
            outstanding: VecDeque::new(),
            last_query_at: now,
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
        if let Some(id) = id {
            self.outstanding
                .push_back(OutstandingQuery { id, sent_at: now });
        }
        if self.outstanding.len() > MAX_OUTSTANDING {
            self.outstanding.pop_front();
        }
        self.last_query_at = now;
        self.next_query_at = now + RESPONSE_TIMEOUT.max(self.min_interval);
    }

    /// Whether a response with this id is expected. If only the latest query counted, no response of a directory that takes
    /// longer than the timeout would ever be used.
    pub(crate) fn is_outstanding(&self, id: u16) -> bool {
        self.outstanding.iter().any(|query| query.id == id)
    }

    /// Records a readable response, and returns whether it answers an outstanding query, so that its list may be used. A list with
    /// a lower serial than that in force is rejected elsewhere.
    pub(crate) fn record_response(&mut self, id: u16, now: Instant) -> bool {
        let Some(position) = self.outstanding.iter().position(|query| query.id == id) else {
            return false;
        };
        let queries_in_flight = self.outstanding.len() - position - 1;
        let sent_at = self.outstanding.remove(position).map(|query| query.sent_at);
        let age = sent_at.map_or(Duration::ZERO, |sent_at| now.duration_since(sent_at));
        self.min_interval = least_interval(age, queries_in_flight);
        self.next_query_at = if age <= SLOW_RESPONSE_TIME {
            now + POLL_INTERVAL
        } else {
            // Responses that arrive close together must not put the next query off.
            now.max(self.last_query_at + self.min_interval)
        };
        true
    }
}

/// The least time between queries after a response that took `age`, when `queries_in_flight` queries were sent after its query.
fn least_interval(age: Duration, queries_in_flight: usize) -> Duration {
    let interval = age / QUERIES_PER_RESPONSE_TIME;
    if queries_in_flight > MAX_QUERIES_IN_FLIGHT {
        interval
    } else {
        interval.min(MAX_QUERY_INTERVAL)
    }
}

#[cfg(test)]
mod tests;
