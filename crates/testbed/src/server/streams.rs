//! What a stand-in server sends for as long as it is listened to: media, and its word to a front.
use super::{lock, Fleet, Server, Session, MILLISECOND, PIECES, SOON};
use crankpaddle_http::problem::Problem;
use crankpaddle_net::{clock, sleep, Socket, WriteBuffer};
use crankpaddle_server_protocol::event_stream::{self, StreamStart};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

impl Server {
    /// Sends a segment at the rate that is due; false where the connection is over.
    pub(super) fn media(&self, fleet: &Fleet, socket: &Socket, name: &str) -> bool {
        let playing = |s: &Session| s.plays.then(|| fleet.rate(s.class, s.rung));
        let Some(kb) = lock(&self.sessions).get(name).and_then(playing) else {
            let gone = Problem::of(404, "no such session").response(&[]);
            return socket.write_all(&gone).is_ok();
        };
        let size = ((kb * 1000.0 * self.seconds(fleet)) as usize).max(1);
        let fields =
            format!("HTTP/1.1 200 OK\r\ncontent-type: video/mp4\r\ncontent-length: {size}\r\n\r\n");
        if socket.write_all(fields.as_bytes()).is_err() {
            return false;
        }
        let count = (fleet.segment * PIECES / 1_000_000_000).max(1) as usize;
        let piece = vec![0x47u8; size.div_ceil(count)];
        let mut left = size;
        let before = lock(&self.sessions).get(name).map_or(0, |s| s.due);
        let now = clock::now();
        let mut due = if now.saturating_sub(before) < SOON {
            before
        } else {
            now
        };
        while left > 0 {
            // The whole takes longer by as much as the share is short.
            let share = lock(&fleet.model).share(self.id as usize);
            due += (fleet.segment as f64 / count as f64 / share) as u64;
            sleep(Duration::from_nanos(due.saturating_sub(clock::now())));
            let n = piece.len().min(left);
            let silent = self.mode().vanished || self.mode().hangs;
            let active = lock(&self.sessions)
                .get_mut(name)
                .map(|s| s.bytes += if silent { 0 } else { n as u64 });
            if active.is_none() {
                return false;
            }
            if silent {
                continue;
            }
            if socket.write_all(&piece[..n]).is_err() {
                return false;
            }
            left -= n;
        }
        true
    }

    pub(super) fn seconds(&self, fleet: &Fleet) -> f64 {
        fleet.segment as f64 / 1e9
    }

    pub(super) fn events(&self, socket: &Arc<Socket>, query: &str) {
        let front = query.strip_prefix("front=").unwrap_or("").to_owned();
        let outbox = Arc::new(WriteBuffer::new(socket.clone(), 1 << 20));
        let fields = [
            ("content-type", "text/event-stream"),
            ("connection", "close"),
        ];
        let mut first = b"HTTP/1.1 200 OK\r\n".to_vec();
        fields
            .iter()
            .for_each(|(n, v)| first.extend(format!("{n}: {v}\r\n").bytes()));
        first.extend(b"\r\n");
        let sessions = lock(&self.sessions);
        let active = sessions
            .iter()
            .filter(|(_, s)| s.front == front && s.plays)
            .map(|(n, _)| n.clone());
        let age = clock::now().saturating_sub(self.started.load(Ordering::Acquire)) / MILLISECOND;
        let boot = self.boot.load(Ordering::Acquire).to_string();
        let hello = StreamStart {
            boot,
            sessions: active.collect(),
            age_ms: Some(age),
        };
        first.extend(event_stream::write("hello", &hello));
        outbox.push(&first);
        lock(&self.notes).insert(front.clone(), outbox.clone());
        drop(sessions);
        outbox.until_closed(); // Nothing more comes from the front but its end.
        let mut all = lock(&self.notes);
        if all.get(&front).is_some_and(|o| Arc::ptr_eq(o, &outbox)) {
            all.remove(&front);
        }
    }
}
