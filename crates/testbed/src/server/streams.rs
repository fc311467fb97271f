//! Responses that a simulated server sends over a longer time: media segments and event streams.
use super::session::SimulatedSession;
use super::{lock, SimulatedFleet, SimulatedServer};
use crankpaddle_http::problem::Problem;
use crankpaddle_net::{clock, sleep, Socket, WriteBuffer};
use crankpaddle_server_protocol::event_stream::{self, StreamStart};
use crankpaddle_time::{nanoseconds, Time};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

const NANOSECONDS_PER_SECOND: u64 = 1_000_000_000;
/// Number of pieces in which a second of media is sent.
const PIECES_PER_SECOND: u64 = 10;
/// A segment that is requested within this time after the last piece of the previous one was due continues its schedule.
const SCHEDULE_GAP: Duration = Duration::from_millis(100);
/// The byte that all media consists of: the sync byte of an MPEG transport stream.
const MEDIA_BYTE: u8 = 0x47;
/// Maximum number of unsent bytes of an event stream.
const EVENT_BUFFER: usize = 1 << 20;
const EVENT_STREAM_HEAD: &[u8] =
    b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";

impl SimulatedServer {
    /// Answers a request for a media segment. Returns false where the connection is over.
    pub(super) fn serve_media(&self, fleet: &SimulatedFleet, socket: &Socket, name: &str) -> bool {
        let rate = |session: &SimulatedSession| {
            session
                .plays
                .then(|| fleet.rate(session.class, session.rung))
        };
        let Some(rate_kb) = lock(&self.sessions).get(name).and_then(rate) else {
            let not_found = Problem::new(404, "no such session").response(&[]);
            return socket.write_all(&not_found).is_ok();
        };
        let seconds = nanoseconds(fleet.segment) as f64 / NANOSECONDS_PER_SECOND as f64;
        let size = ((rate_kb * 1000.0 * seconds) as usize).max(1);
        let head =
            format!("HTTP/1.1 200 OK\r\ncontent-type: video/mp4\r\ncontent-length: {size}\r\n\r\n");
        socket.write_all(head.as_bytes()).is_ok() && self.send_segment(fleet, socket, name, size)
    }

    /// Sends a segment at the rate that link and uplink allow. Returns false where session or connection is over.
    fn send_segment(
        &self,
        fleet: &SimulatedFleet,
        socket: &Socket,
        name: &str,
        size: usize,
    ) -> bool {
        let segment = nanoseconds(fleet.segment);
        let count = (segment * PIECES_PER_SECOND / NANOSECONDS_PER_SECOND).max(1) as usize;
        let piece = vec![MEDIA_BYTE; size.div_ceil(count)];
        let mut remaining = size;
        let mut due = self.segment_start(name);
        while remaining > 0 {
            // Where the sessions get only a share of their rates, the segment takes longer in proportion.
            let share = lock(&fleet.model).share(self.id as usize);
            due += Duration::from_nanos((segment as f64 / count as f64 / share) as u64);
            sleep(due.duration_since(clock::now()));
            let length = piece.len().min(remaining);
            let silent = self.faults().vanished || self.faults().hangs;
            if !self.count_sent(name, if silent { 0 } else { length as u64 }) {
                return false;
            }
            if silent {
                continue;
            }
            if socket.write_all(&piece[..length]).is_err() {
                return false;
            }
            remaining -= length;
        }
        true
    }

    /// Time from which the schedule of the next segment's pieces is computed.
    fn segment_start(&self, name: &str) -> Time {
        let previous_due = lock(&self.sessions)
            .get(name)
            .map_or(Time::ZERO, |session| session.media_due);
        let now = clock::now();
        if now.duration_since(previous_due) < SCHEDULE_GAP {
            previous_due
        } else {
            now
        }
    }

    /// Adds to the number of bytes sent for a session. Returns false where the session is over.
    fn count_sent(&self, name: &str, bytes: u64) -> bool {
        let mut sessions = lock(&self.sessions);
        let Some(session) = sessions.get_mut(name) else {
            return false;
        };
        session.bytes += bytes;
        true
    }

    /// Serves the event stream of a front until the front closes it.
    pub(super) fn serve_events(&self, socket: &Arc<Socket>, query: &str) {
        let front = query.strip_prefix("front=").unwrap_or("").to_owned();
        let outbox = Arc::new(WriteBuffer::new(socket.clone(), EVENT_BUFFER));
        // The lock is held so that no session can end between the first message and the registration, which would lose the
        // notification of its end.
        let sessions = lock(&self.sessions);
        let active = sessions
            .iter()
            .filter(|(_, session)| session.front == front && session.plays)
            .map(|(name, _)| name.clone());
        let age_ms = self.age().as_millis() as u64;
        let hello = StreamStart {
            boot: self.incarnation.load(Ordering::Acquire).to_string(),
            sessions: active.collect(),
            age_ms: Some(age_ms),
        };
        let mut first = EVENT_STREAM_HEAD.to_vec();
        first.extend(event_stream::write("hello", &hello));
        outbox.push(&first);
        lock(&self.event_streams).insert(front.clone(), outbox.clone());
        drop(sessions);
        outbox.flush_until_closed(); // The front sends nothing more on this connection.
        let mut streams = lock(&self.event_streams);
        if streams
            .get(&front)
            .is_some_and(|stream| Arc::ptr_eq(stream, &outbox))
        {
            streams.remove(&front);
        }
    }
}
