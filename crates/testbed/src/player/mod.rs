//! Scripted players: they open a session over WebSocket, fetch its media, and come again as viewers do.
use crate::loss_analysis::Losses;
use crate::record::{PlayerReply, Recorder, Seen};
use crankpaddle_http::head;
use crankpaddle_net::exchange::HttpExchange;
use crankpaddle_net::{clock, sleep, IdleSweeper, Socket, WriteBuffer};
use crankpaddle_server_protocol::sessions::bill;
use crankpaddle_session_api::client::{self, ClientEvent};
use crankpaddle_session_api::methods::Open;
use crankpaddle_session_api::Version;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tungstenite::handshake::client::generate_key;
use tungstenite::handshake::derive_accept_key;
use tungstenite::protocol::{Role, WebSocketConfig, WebSocketContext};
use tungstenite::Message;

const MILLISECOND: u64 = 1_000_000;
const SECOND: u64 = 1000 * MILLISECOND;
/// After giving up a player still listens for so long, so that a late answer is seen.
const LISTEN_ON: u64 = SECOND;
/// Connecting and shaking hands may take so long.
const CONNECT: Duration = Duration::from_secs(5);

/// A WebSocket connection to a front.
pub struct Client {
    outbox: WriteBuffer,
    context: WebSocketContext,
    ready: VecDeque<ClientEvent>,
}

struct Stream<'a>(&'a WriteBuffer);

impl Read for Stream<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.0.flush();
        self.0
            .socket()
            .try_read(buffer)?
            .ok_or_else(|| ErrorKind::WouldBlock.into())
    }
}

impl Write for Stream<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if self.0.push(bytes) {
            Ok(bytes.len())
        } else {
            Err(ErrorKind::BrokenPipe.into())
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Client {
    /// Connects and shakes hands.
    ///
    /// # Errors
    /// The front is not there or does not agree.
    pub fn connect(address: &SocketAddr, sweeper: &IdleSweeper) -> io::Result<Client> {
        let socket = Arc::new(Socket::connect(address, CONNECT)?);
        socket.set_expiry(clock::now() + CONNECT.as_nanos() as u64);
        sweeper.watch(&socket);
        let key = generate_key();
        let fields = [
            ("upgrade", "websocket"),
            ("connection", "Upgrade"),
            ("sec-websocket-version", "13"),
            ("sec-websocket-key", &key),
            ("sec-websocket-protocol", Version::V2.subprotocol()),
        ];
        let request = head::request("GET", "/session", &address.to_string(), &fields, b"");
        socket.write_all(&request).map_err(|(_, e)| e)?;
        let mut wire = HttpExchange::new(socket.clone());
        let refused = |what: String| io::Error::new(ErrorKind::ConnectionRefused, what);
        let answer = wire.response_head().map_err(|e| refused(e.to_string()))?;
        if answer.status != 101
            || answer.fields.get("sec-websocket-accept") != Some(&derive_accept_key(key.as_bytes()))
        {
            return Err(refused(format!("handshake answered {}", answer.status)));
        }
        socket.set_expiry(u64::MAX);
        let config = WebSocketConfig::default()
            .read_buffer_size(1024)
            .write_buffer_size(0);
        let context =
            WebSocketContext::from_partially_read(wire.into_rest(), Role::Client, Some(config));
        Ok(Client {
            outbox: WriteBuffer::new(socket, 1 << 20),
            context,
            ready: VecDeque::new(),
        })
    }

    /// Sends a text.
    ///
    /// # Errors
    /// The connection is gone.
    pub fn send(&mut self, text: String) -> io::Result<()> {
        let sent = self
            .context
            .write(&mut Stream(&self.outbox), Message::text(text));
        sent.map_err(|e| io::Error::new(ErrorKind::BrokenPipe, e.to_string()))
    }

    /// What the front said, if anything is there.
    ///
    /// # Errors
    /// The connection is gone, or what came is no message of a front.
    pub fn poll(&mut self) -> io::Result<Option<ClientEvent>> {
        while self.ready.is_empty() {
            match self.context.read(&mut Stream(&self.outbox)) {
                Ok(Message::Text(text)) => {
                    let event = client::read(&text)
                        .map_err(|e| io::Error::new(ErrorKind::InvalidData, e))?;
                    self.ready.extend(event);
                }
                Ok(_) => {}
                Err(tungstenite::Error::Io(e)) if e.kind() == ErrorKind::WouldBlock => {
                    return Ok(None)
                }
                Err(e) => return Err(io::Error::new(ErrorKind::ConnectionAborted, e.to_string())),
            }
        }
        Ok(self.ready.pop_front())
    }

    /// Waits for what the front says next, until a time.
    ///
    /// # Errors
    /// The time has come ([`ErrorKind::TimedOut`]) or the connection is gone.
    pub fn next(&mut self, until: u64) -> io::Result<ClientEvent> {
        loop {
            if let Some(said) = self.poll()? {
                return Ok(said);
            }
            let now = clock::now();
            if now >= until {
                return Err(ErrorKind::TimedOut.into());
            }
            self.outbox.socket().set_expiry(until);
            self.outbox.socket().wait();
            if self.outbox.socket().is_closed() && clock::now() >= until {
                return Err(ErrorKind::TimedOut.into());
            }
            self.outbox.socket().set_expiry(u64::MAX);
        }
    }

    /// Ends the connection at once, as a lost player does.
    pub fn cut(&self) {
        self.outbox.socket().close();
    }

    /// Ends the connection as WebSocket has it.
    pub fn close(mut self) {
        let _ = self.context.close(&mut Stream(&self.outbox), None); // Gone is as good.
        self.outbox.socket().finish(SECOND / 5);
    }
}

/// How viewers behave.
#[derive(Clone, Debug)]
pub struct Habits {
    /// Part that comes again after a refusal or a break.
    pub returns: f64,
    /// After so long, where no advice was given; nanoseconds.
    pub return_after: u64,
    /// Part that keeps the advice.
    pub honour: f64,
    /// Part whose connection breaks mid-attempt.
    pub reconnect: f64,
    /// Who loses his front comes back to it with the same key as soon as it is there, as long as he wants.
    pub keeps_key: bool,
}

/// One viewer's session.
#[derive(Clone, Debug)]
pub struct Visit {
    /// For the viewer's own choices, and his keys.
    pub seed: u64,
    /// Title by name.
    pub title: String,
    /// Class by number and name.
    pub class: (u8, String),
    /// How long he watches; nanoseconds.
    pub watch: u64,
    /// How long he waits for an answer; nanoseconds.
    pub patience: u64,
    /// Highest rung he can use.
    pub top: u8,
    /// The fronts of his hall, by number and address.
    pub fronts: Vec<(u32, SocketAddr)>,
}

/// What all players share.
pub struct PlayerPool {
    /// Where all is recorded.
    pub recorder: Recorder,
    /// How they behave.
    pub habits: Habits,
    sweeper: IdleSweeper,
    calls: AtomicU64,
    there: AtomicU64,
    aborted: AtomicU64,
    losses: Mutex<Losses>,
    finder: Finder,
    leaving: AtomicBool,
}

/// Where a front is now; `None`: it does not run.
pub type Finder = Box<dyn Fn(u32) -> Option<SocketAddr> + Send + Sync>;

/// How a try ended.
enum Came {
    /// He watched as long as he wanted.
    Watched,
    /// Refused, failed where he may ask again, or broken off; with advice in nanoseconds.
    Returning(Option<u64>),
    /// He stays away.
    Absent,
    /// His front is gone, and he did not hear what became of his session.
    Lost,
}

impl PlayerPool {
    /// Nobody is there yet.
    pub fn new(recorder: Recorder, habits: Habits) -> PlayerPool {
        PlayerPool {
            recorder,
            habits,
            sweeper: IdleSweeper::start(Duration::from_millis(50)),
            calls: AtomicU64::new(1),
            there: AtomicU64::new(0),
            aborted: AtomicU64::new(0),
            losses: Mutex::default(),
            finder: Box::new(|_| None),
            leaving: AtomicBool::new(false),
        }
    }

    /// Players that lose their front look for it here.
    pub fn finding(self, finder: Finder) -> PlayerPool {
        PlayerPool { finder, ..self }
    }

    /// All leave as soon as they have their answer.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    fn stays(&self, until: u64) -> bool {
        clock::now() < until && !self.leaving.load(Ordering::Acquire)
    }

    /// The power goes: who can't watch on from here on has lost what he watched.
    pub fn power_went(&self) {
        self.losses().power_went();
    }

    /// Of those in such a class who lost it: how many watch again, how many left without, and how many there are.
    pub fn lost(&self, of: impl Fn(u8) -> bool) -> (u64, u64, u64) {
        self.losses().count(of)
    }

    fn losses(&self) -> MutexGuard<'_, Losses> {
        self.losses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Players that are there.
    pub fn there(&self) -> u64 {
        self.there.load(Ordering::Acquire)
    }

    /// Tries that found no front to talk to.
    pub fn found_no_front(&self) -> u64 {
        self.aborted.load(Ordering::Acquire)
    }

    /// Watches connections of clients made by hand.
    pub fn sweeper(&self) -> &IdleSweeper {
        &self.sweeper
    }

    /// Plays a visit to its end. Call in a coroutine.
    pub fn visit(&self, visit: &Visit, until: u64) {
        self.there.fetch_add(1, Ordering::AcqRel);
        let mut rng = StdRng::seed_from_u64(visit.seed);
        let wants = clock::now() + visit.watch + visit.patience;
        let mut again = false;
        while self.stays(wants.min(until)) {
            let key = format!("{:016x}{:08x}", visit.seed, rng.random::<u32>());
            let mut front = visit.fronts[rng.random_range(0..visit.fronts.len())];
            let mut came = self.attend(visit, &key, front, wants.min(until), again, &mut rng);
            while matches!(came, Came::Lost)
                && self.habits.keeps_key
                && self.stays(wants.min(until))
            {
                sleep(Duration::from_nanos(
                    rng.random_range(20..200) * MILLISECOND,
                ));
                if let Some(address) = (self.finder)(front.0) {
                    front.1 = address;
                    came = self.attend(visit, &key, front, wants.min(until), true, &mut rng);
                }
            }
            let advice = match came {
                Came::Watched | Came::Absent | Came::Lost => break,
                Came::Returning(advice) => advice,
            };
            if !rng.random_bool(self.habits.returns) {
                break;
            }
            let own = (self.habits.return_after as f64 * rng.random_range(0.7..1.3)) as u64;
            let followed = advice.filter(|_| rng.random_bool(self.habits.honour));
            sleep(Duration::from_nanos(
                followed.map_or(own, |a| a.max(own / 4)),
            ));
            again = true;
        }
        self.losses().leaves(visit.seed);
        self.there.fetch_sub(1, Ordering::AcqRel);
    }

    fn attend(
        &self,
        visit: &Visit,
        key: &str,
        front: (u32, SocketAddr),
        wants: u64,
        again: bool,
        rng: &mut StdRng,
    ) -> Came {
        let Ok(mut client) = Client::connect(&front.1, &self.sweeper) else {
            self.aborted.fetch_add(1, Ordering::AcqRel);
            return if self.habits.keeps_key {
                Came::Lost
            } else {
                Came::Returning(None)
            };
        };
        let open = Open {
            key: key.to_owned(),
            title: visit.title.clone(),
            class: visit.class.1.clone(),
            viewer: Some(format!("v{:x}", visit.seed)),
            top: Some(visit.top),
            give_up_ms: Some(visit.patience / MILLISECOND),
            again,
            ..Open::default()
        };
        let deadline = clock::now() + visit.patience;
        let mut call = self.send_open(&mut client, front.0, &open, visit, deadline);
        if rng.random_bool(self.habits.reconnect) {
            sleep(Duration::from_nanos(rng.random_range(1..150) * MILLISECOND));
            // Same front: another knows nothing of the key, and for a paid class would set it up again.
            client.cut();
            match self.drain(&mut client, call) {
                Some(PlayerReply::Plays) | None => self.recorder.see(Seen::Disconnected { call }),
                Some(_) => return Came::Absent,
            }
            let Ok(fresh) = Client::connect(&front.1, &self.sweeper) else {
                return Came::Returning(None);
            };
            client = fresh;
            call = self.send_open(&mut client, front.0, &open, visit, deadline);
        }
        let event = self.answer(&mut client, call, deadline);
        if event.is_none() && self.habits.keeps_key && clock::now() < deadline + LISTEN_ON {
            self.recorder.see(Seen::Disconnected { call });
            return Came::Lost;
        }
        match event {
            Some(ClientEvent::Plays { session, media, .. }) => {
                self.losses().watches(visit.seed, visit.class.0);
                let time = visit.watch.min(wants.saturating_sub(clock::now()));
                let came = self.watch(client, &session, &media, time);
                if !matches!(came, Came::Watched) {
                    self.losses().is_cut_off(visit.seed, visit.class.0);
                }
                came
            }
            // What he had is lost with his server: he buys anew.
            Some(ClientEvent::Failed { .. }) if again && self.habits.keeps_key => {
                client.close();
                Came::Returning(None)
            }
            Some(ClientEvent::Refused { retry_after_ms, .. }) => {
                client.close();
                Came::Returning(retry_after_ms.map(|ms| ms * MILLISECOND))
            }
            Some(_) => {
                client.close();
                Came::Absent
            }
            None => Came::Absent,
        }
    }

    fn send_open(
        &self,
        client: &mut Client,
        front: u32,
        open: &Open,
        visit: &Visit,
        deadline: u64,
    ) -> u64 {
        let call = self.calls.fetch_add(1, Ordering::Relaxed);
        let (bill, class) = (bill(&open.key), visit.class.0);
        self.recorder.see(Seen::OpenSent {
            call,
            front,
            bill,
            class,
            deadline,
        });
        let left = deadline.saturating_sub(clock::now());
        let open = Open {
            give_up_ms: Some(left / MILLISECOND),
            ..open.clone()
        };
        let _ = client.send(client::open(call, &open)); // Its loss is found while reading.
        call
    }

    /// An answer that had come before the connection was cut.
    fn drain(&self, client: &mut Client, call: u64) -> Option<PlayerReply> {
        while let Ok(Some(said)) = client.poll() {
            if let Some(told) = reply_of(&said, call) {
                self.recorder.see(Seen::CallAnswered { call, reply: told });
                return Some(told);
            }
        }
        None
    }

    /// Waits for the answer to a call; `None` if none came.
    fn answer(&self, client: &mut Client, call: u64, gives_up: u64) -> Option<ClientEvent> {
        loop {
            match client.next(gives_up + LISTEN_ON) {
                Ok(said) => {
                    if let Some(told) = reply_of(&said, call) {
                        self.recorder.see(Seen::CallAnswered { call, reply: told });
                        return Some(said);
                    }
                }
                // Broken by the front: it owes the answer all the same, and the judge will miss it.
                Err(_) => return None,
            }
        }
    }

    fn watch(&self, mut client: Client, session: &str, media: &str, time: u64) -> Came {
        let until = clock::now() + time;
        let Some((address, path)) = media
            .strip_prefix("http://")
            .and_then(|m| m.split_once('/'))
        else {
            return Came::Absent;
        };
        let name = path.split('/').nth(1).unwrap_or("").to_owned();
        let Ok(address) = address.parse::<SocketAddr>() else {
            return Came::Absent;
        };
        let mut bytes = 0u64;
        let target = format!("/{path}");
        let mut wire: Option<HttpExchange> = None;
        let mut over = None;
        while self.stays(until) && over.is_none() {
            let fetched = self.segment(&mut wire, &address, &target, until);
            bytes += fetched.as_ref().map_or_else(|n| *n, |n| *n);
            if fetched.is_err() {
                wire = None;
                sleep(Duration::from_millis(100));
            }
            loop {
                match client.poll() {
                    Ok(Some(ClientEvent::End { retry_after_ms, .. })) => {
                        over = Some(retry_after_ms.map(|ms| ms * MILLISECOND));
                    }
                    Ok(Some(_)) => {}
                    Ok(None) => break,
                    Err(_) if self.habits.keeps_key && clock::now() < until => {
                        self.recorder.see(Seen::Fetched { name, bytes });
                        return Came::Lost;
                    }
                    Err(_) => break,
                }
            }
        }
        self.recorder.see(Seen::Fetched { name, bytes });
        if let Some(advice) = over {
            client.close();
            return Came::Returning(advice);
        }
        let call = self.calls.fetch_add(1, Ordering::Relaxed);
        let _ = client.send(client::close(call, session)); // A lost front's sessions are over too.
        let patience = clock::now() + 2 * SECOND;
        while let Ok(said) = client.next(patience) {
            if matches!(said, ClientEvent::Closed { id } | ClientEvent::Unknown { id } if id == call)
            {
                break;
            }
        }
        client.close();
        Came::Watched
    }

    /// Fetches a segment; the bytes read, also where it broke off.
    fn segment(
        &self,
        wire: &mut Option<HttpExchange>,
        address: &SocketAddr,
        target: &str,
        until: u64,
    ) -> Result<u64, u64> {
        if wire.is_none() {
            let socket = Arc::new(Socket::connect(address, CONNECT).map_err(|_| 0u64)?);
            self.sweeper.watch(&socket);
            *wire = Some(HttpExchange::new(socket));
        }
        let Some(wire) = wire else { return Err(0) };
        wire.socket.set_expiry(until + SECOND);
        wire.socket
            .write_all(&head::request(
                "GET",
                target,
                &address.to_string(),
                &[],
                b"",
            ))
            .map_err(|_| 0u64)?;
        let answer = wire.response_head().map_err(|_| 0u64)?;
        if answer.status != 200 {
            return Err(0);
        }
        wire.drain_body(answer.framing().map_err(|_| 0u64)?)
            .map_err(|(n, _)| n)
    }
}

/// What an answer to this call tells; `None` for other messages.
fn reply_of(said: &ClientEvent, call: u64) -> Option<PlayerReply> {
    match said {
        ClientEvent::Plays { id, .. } if *id == call => Some(PlayerReply::Plays),
        ClientEvent::Refused { id, .. } if *id == call => Some(PlayerReply::Refused),
        ClientEvent::Failed { id, .. } if *id == call => Some(PlayerReply::Failed),
        ClientEvent::Superseded { id } if *id == call => Some(PlayerReply::Superseded),
        ClientEvent::Error { id, .. } if *id == Some(call) => Some(PlayerReply::Error),
        _ => None,
    }
}
