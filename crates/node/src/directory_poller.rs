//! The directory: asked again and again on a thread of its own, which only waits.
use crate::shared::{Msg, Shared};
use crankpaddle_node_protocol::directory::{answer, id_of, query, List, MOST_ANSWER};
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between an answer and the next question. What happened counts as told after 1.5 s at the latest.
const EVERY: Duration = Duration::from_millis(250);
/// Without an answer it is asked again after this time.
const WITHIN: Duration = Duration::from_millis(200);
/// An answer that takes longer is none: what it tells may be long past.
const LATEST: Duration = Duration::from_secs(4);
/// Answers with a lower serial in a row that are worth a word.
const LOWER: u32 = 20;
/// The thread's stack.
const STACK: usize = 128 * 1024;

/// Follows the directory until told to stop.
///
/// # Errors
/// No socket can be had, or the thread can't be started.
pub(crate) fn follow(shared: Arc<Shared>, until: Arc<AtomicBool>) -> io::Result<()> {
    // Danger: a socket that is opened when the directory moves wants a descriptor at a time when crowds may hold them all. This one
    // is bound at the start, from the node's own address, and turned to whoever is asked; only he comes through.
    let socket = UdpSocket::bind(SocketAddr::new(shared.config.listen.ip(), 0))?;
    let thread = std::thread::Builder::new()
        .name("directory".into())
        .stack_size(STACK);
    thread.spawn(move || {
        let mut line = Line {
            socket,
            to: None,
            asked: VecDeque::new(),
        };
        let mut held = Held {
            list: shared.config.known.clone(),
            lower: 0,
        };
        while !until.load(Ordering::Acquire) {
            line.turn_to(shared.nameserver());
            line.ask();
            if let Some(list) = line.answer() {
                held.take(list)
                    .into_iter()
                    .for_each(|news| shared.tell(Msg::List(news)));
                std::thread::sleep(EVERY);
            }
        }
    })?;
    Ok(())
}

/// The list in force.
struct Held {
    list: List,
    lower: u32, // Answers in a row that told a lower serial.
}

impl Held {
    /// A list that was told, if it says anything new.
    ///
    /// Danger: an old answer would bring back servers that are gone. Serials go on wherever the directory is asked, so a lower one
    /// is never taken, from whom it may come. Harm: a directory that counts anew is not believed until a restart; that is said.
    fn take(&mut self, told: List) -> Option<List> {
        if told.is_older_than(&self.list) {
            self.lower += 1;
            if self.lower == LOWER {
                let (told, held) = (told.serial, self.list.serial);
                tracing::error!(
                    told,
                    held,
                    "the directory counts lower than it did; its lists are not taken until a restart"
                );
            }
            return None;
        }
        self.lower = 0;
        (told != self.list).then(|| {
            self.list = told.clone();
            told
        })
    }
}

/// Questions to one directory, of which any may still be answered.
struct Line {
    socket: UdpSocket,
    to: Option<SocketAddr>,
    asked: VecDeque<(u16, Instant)>,
}

impl Line {
    /// From now on another directory is asked; what was asked of the former may not answer any more.
    fn turn_to(&mut self, to: SocketAddr) {
        if self.to != Some(to) {
            self.asked.clear();
            let connected = self.socket.connect(to);
            let said = connected
                .inspect_err(|fault| tracing::error!(%fault, %to, "the directory can't be asked"));
            self.to = said.ok().map(|()| to);
        }
    }

    fn ask(&mut self) {
        let now = Instant::now();
        while self
            .asked
            .front()
            .is_some_and(|(_, at)| now.duration_since(*at) > LATEST)
        {
            self.asked.pop_front();
        }
        let id: u16 = rand::random();
        match query(id)
            .map_err(io::Error::other)
            .and_then(|bytes| self.socket.send(&bytes))
        {
            Ok(_) => self.asked.push_back((id, now)),
            Err(fault) => tracing::debug!(%fault, "the directory can't be asked"),
        }
    }

    /// The answer to any of the questions, within the time to the next.
    ///
    /// Danger: a directory that takes longer than that would never be heard if only the last question counted. Harm: an answer may
    /// be as old as [`LATEST`]; what was told since has a higher serial, and goes before it.
    fn answer(&mut self) -> Option<List> {
        let until = Instant::now() + WITHIN;
        let mut bytes = [0u8; MOST_ANSWER];
        loop {
            let left = until
                .checked_duration_since(Instant::now())
                .filter(|left| !left.is_zero())?;
            match self
                .socket
                .set_read_timeout(Some(left))
                .and_then(|()| self.socket.recv(&mut bytes))
            {
                Ok(got) => {
                    if let Some(list) = self.read(&bytes[..got]) {
                        return Some(list);
                    }
                }
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) =>
                {
                    return None
                }
                Err(_) => std::thread::sleep(left), // Nobody listens there, or the machine can't ask.
            }
        }
    }

    fn read(&mut self, bytes: &[u8]) -> Option<List> {
        let asked =
            id_of(bytes).and_then(|id| self.asked.iter().position(|(asked, _)| *asked == id));
        let Some(at) = asked else {
            tracing::debug!("an answer that was not asked for");
            return None;
        };
        match answer(self.asked[at].0, bytes) {
            Ok(list) => {
                self.asked.remove(at);
                Some(list)
            }
            // Others may be answers to earlier questions, or another copy of this one: the right one may still come.
            Err(fault) => {
                tracing::debug!(%fault, "the directory's answer is of no use");
                None
            }
        }
    }
}
