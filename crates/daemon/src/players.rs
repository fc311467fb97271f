//! Players' connections: HTTP, the upgrade to WebSocket, and the session API on it.
use crate::names;
use crate::player::{silence, Player, Silence, LINGER};
use crate::shared::{Msg, Shared};
use crankpaddle_api::describe::{Health, State};
use crankpaddle_front::{Call, Input, PlayerId, RequestId, Time};
use crankpaddle_http::head::{self, Request};
use crankpaddle_http::problem::Problem;
use crankpaddle_net::exchange::{ExchangeError, HttpExchange};
use crankpaddle_net::{clock, recv_until, sleep, spawn, Socket, Stack, WriteBuffer};
use crankpaddle_session_api::jsonrpc::{self, Error, Message as Rpc};
use crankpaddle_session_api::methods::{session_number, Method};
use crankpaddle_session_api::Version;
use std::io::{self, Read, Write};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tungstenite::protocol::frame::coding::CloseCode;
use tungstenite::protocol::frame::Frame;
use tungstenite::protocol::{CloseFrame, Role, WebSocketConfig, WebSocketContext};
use tungstenite::{handshake, Message};

/// Bytes of a body that comes to the HTTP side at most.
const MOST_BODY: u64 = 64 * 1024;
/// Bytes read at once; it stands in memory for each connection.
const READ_BUFFER: usize = 1024;
/// The hub makes a report of traffic within this time, nanoseconds.
const REPORT_WITHIN: u64 = 2_000_000_000;

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Pings players that have been silent and ends those that stay so.
pub(crate) fn watch_idle(shared: Arc<Shared>, until: Arc<AtomicBool>) {
    let idle = shared.limits().idle;
    spawn(Stack::Usual, move || {
        while !until.load(Ordering::Acquire) {
            let now = clock::now();
            let alive = |player: &std::sync::Weak<Player>| {
                let Some(player) = player.upgrade() else {
                    return false;
                };
                let heard = player.heard.load(Ordering::Relaxed);
                match silence(now, heard, player.pinged.load(Ordering::Relaxed), idle) {
                    Silence::Ping => {
                        player.pinged.store(now, Ordering::Relaxed);
                        player.push(Frame::ping(Vec::new()));
                    }
                    Silence::Cut => player.outbox.socket().close(),
                    Silence::Bear => {}
                }
                true
            };
            shared
                .players
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .retain(alive);
            sleep(Duration::from_millis(500));
        }
    });
}

/// Serves a connection to its end.
pub(crate) fn serve(socket: Socket, shared: &Arc<Shared>) {
    let socket = Arc::new(socket);
    let _counted = Counted::new(shared.clone());
    let limits = shared.limits();
    if shared.connections.load(Ordering::Relaxed) > limits.connections {
        let advice = shared.config.settings.max_retry_after / 1_000_000;
        let mut problem = Problem::of(503, "the front has as many connections as it may");
        problem.retry_after_ms = Some(advice);
        let _ = socket.try_write(&problem.response(&[("connection", "close")])); // It goes at once or not at all.
        return socket.finish(LINGER / 4);
    }
    socket.set_expiry(clock::now().saturating_add(limits.handshake));
    shared.slow.watch(&socket);
    let mut wire = HttpExchange::new(socket.clone());
    loop {
        let request = match wire.request(MOST_BODY, limits.handshake) {
            Ok((request, _)) => request,
            Err(ExchangeError::Bad(bad)) => {
                let problem =
                    Problem::of(bad.status(), bad.detail()).response(&[("connection", "close")]);
                let _ = socket.write_all(&problem); // Broken: it is over all the same.
                return socket.finish(LINGER);
            }
            Err(_) => return,
        };
        if wants_websocket(&request) {
            match accept(&request) {
                Ok((version, answer)) => {
                    return talk(shared, &socket, wire.into_rest(), version, &answer)
                }
                Err(problem) => {
                    let _ = socket.write_all(&problem); // As above.
                    return socket.finish(LINGER);
                }
            }
        }
        let keeps = request.keeps_alive();
        let answer = answer_http(shared, &request, keeps);
        if socket.write_all(&answer).is_err() || !keeps {
            return socket.finish(LINGER);
        }
        socket.set_expiry(clock::now().saturating_add(limits.handshake));
    }
}

struct Counted(Arc<Shared>);

impl Counted {
    fn new(shared: Arc<Shared>) -> Counted {
        shared.connections.fetch_add(1, Ordering::Relaxed);
        Counted(shared)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

// ---- HTTP ----

fn wants_websocket(request: &Request) -> bool {
    request.fields.has_word("upgrade", "websocket")
        && request.fields.has_word("connection", "upgrade")
}

/// The answer to an opening handshake (RFC 6455, 4.2), or the refusal.
fn accept(request: &Request) -> Result<(Version, Vec<u8>), Vec<u8>> {
    let refuse = |status, what: &str| {
        let fields = [("connection", "close"), ("sec-websocket-version", "13")];
        Err(Problem::of(status, what).response(&fields[..if status == 426 { 2 } else { 1 }]))
    };
    if request.path().0 != "/session" {
        return refuse(404, "WebSocket is spoken at /session");
    }
    if request.method != "GET" || request.minor == 0 {
        return refuse(400, "a WebSocket handshake is a GET of HTTP/1.1");
    }
    if request.fields.get("sec-websocket-version") != Some("13") {
        return refuse(426, "WebSocket version 13 is spoken here");
    }
    let mut keys = request.fields.all("sec-websocket-key");
    let key = keys.next().unwrap_or("");
    // 16 bytes in base64.
    let base64 = key.len() == 24
        && key.ends_with("==")
        && !key[..22].contains(|c: char| !c.is_ascii_alphanumeric() && c != '+' && c != '/');
    if !base64 || keys.next().is_some() {
        return refuse(400, "Sec-WebSocket-Key is 16 bytes in base64, once");
    }
    let offers = request.fields.get("sec-websocket-protocol").is_some();
    let offered = request
        .fields
        .all("sec-websocket-protocol")
        .flat_map(|v| v.split(','));
    let ours = Version::of_offers(offered);
    if offers && ours.is_none() {
        let known = Version::SERVED.map(Version::subprotocol).join(", ");
        return refuse(
            400,
            &format!("no known subprotocol is offered; known: {known}"),
        );
    }
    let accepted = handshake::derive_accept_key(key.as_bytes());
    let mut fields = vec![
        ("upgrade", "websocket"),
        ("connection", "Upgrade"),
        ("sec-websocket-accept", &accepted),
    ];
    fields.extend(ours.map(|version| ("sec-websocket-protocol", version.subprotocol())));
    Ok((
        ours.unwrap_or(Version::V1),
        head::response(101, &fields, b""),
    ))
}

/// The descriptions of what is spoken here, as they are published.
fn description(path: &str) -> Option<(&'static str, &'static str)> {
    const JSON: &str = "application/json";
    match path {
        "/api" => Some(("text/html", crankpaddle_api::PAGE)),
        "/api/session.v2.asyncapi.json" => Some((JSON, crankpaddle_api::PRESENT)),
        "/api/session.v1.asyncapi.json" => Some((JSON, crankpaddle_api::PREVIOUS)),
        "/api/openapi.json" => Some((JSON, crankpaddle_api::OPENAPI)),
        _ => None,
    }
}

fn answer_http(shared: &Shared, request: &Request, keeps: bool) -> Vec<u8> {
    let connection = ("connection", if keeps { "keep-alive" } else { "close" });
    let problem = |status, what: &str, more: &[(&str, &str)]| {
        Problem::of(status, what).response(&[&[connection], more].concat())
    };
    match (request.method.as_str(), request.path().0) {
        ("GET", "/health") => {
            let draining = shared.draining.load(Ordering::Relaxed);
            let count = |of: &AtomicUsize| of.load(Ordering::Relaxed) as u64;
            let health = Health {
                state: if draining {
                    State::Draining
                } else {
                    State::Ready
                },
                waiting: count(&shared.waiting),
                playing: count(&shared.playing),
                connections: count(&shared.connections),
            };
            let body = serde_json::to_string(&health).unwrap_or_default();
            let status = if draining { 503 } else { 200 };
            head::response(
                status,
                &[("content-type", "application/json"), connection],
                body.as_bytes(),
            )
        }
        ("GET", "/traffic") => {
            let (answer, told) = may::sync::mpsc::channel();
            shared.tell(Msg::Report(answer));
            match recv_until(&told, clock::now().saturating_add(REPORT_WITHIN)) {
                Ok(report) => head::response(
                    200,
                    &[("content-type", "application/json"), connection],
                    report.as_bytes(),
                ),
                Err(_) => problem(503, "the front has more to do than to report", &[]),
            }
        }
        ("GET", "/members") => match &shared.peers {
            None => problem(404, "this front has no peers in its configuration", &[]),
            Some(peers) => match peers.members(clock::now().saturating_add(REPORT_WITHIN)) {
                Some(members) => {
                    let body = serde_json::to_string(&members).unwrap_or_default();
                    let fields = [("content-type", "application/json"), connection];
                    head::response(200, &fields, body.as_bytes())
                }
                None => problem(503, "the front has more to do than to tell", &[]),
            },
        },
        ("GET", "/fleet") => {
            let (answer, told) = may::sync::mpsc::channel();
            shared.tell(Msg::Fleet(answer));
            match recv_until(&told, clock::now().saturating_add(REPORT_WITHIN)) {
                Ok(Some(fleet)) => {
                    let body = serde_json::to_string(&fleet).unwrap_or_default();
                    let fields = [("content-type", "application/json"), connection];
                    head::response(200, &fields, body.as_bytes())
                }
                Ok(None) => problem(404, "this front has no store in its configuration", &[]),
                Err(_) => problem(503, "the front has more to do than to tell", &[]),
            }
        }
        ("GET", path) if description(path).is_some() => {
            let (media, text) = description(path).unwrap_or_default();
            head::response(200, &[("content-type", media), connection], text.as_bytes())
        }
        ("GET", "/session") => problem(
            426,
            "this is spoken over WebSocket",
            &[("upgrade", "websocket"), ("sec-websocket-version", "13")],
        ),
        (_, path)
            if ["/fleet", "/health", "/members", "/session", "/traffic"].contains(&path)
                || description(path).is_some() =>
        {
            problem(405, "only GET is known here", &[("allow", "GET")])
        }
        (_, path) => problem(
            404,
            &format!(
                "nothing at {path}; known: /api, /fleet, /health, /members, /session, /traffic"
            ),
            &[],
        ),
    }
}

// ---- WebSocket ----

/// The connection as tungstenite reads and writes it: what it writes goes in order with what the hub sends.
struct Stream<'a> {
    player: &'a Player,
}

impl Read for Stream<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let (outbox, socket) = (&self.player.outbox, self.player.outbox.socket());
        loop {
            outbox.flush();
            if let Some(n) = socket.try_read(buffer)? {
                self.player.heard.store(clock::now(), Ordering::Relaxed);
                self.player.pinged.store(0, Ordering::Relaxed);
                return Ok(n);
            }
            socket.wait();
        }
    }
}

impl Write for Stream<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let open = self.player.outbox.push(bytes);
        if open {
            Ok(bytes.len())
        } else {
            Err(io::ErrorKind::BrokenPipe.into())
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Tells the hub that a player is gone, also where its coroutine panics.
struct Leaves(Arc<Shared>, PlayerId);

impl Drop for Leaves {
    fn drop(&mut self) {
        self.0.tell(Msg::Gone(self.1));
    }
}

fn talk(
    shared: &Arc<Shared>,
    socket: &Arc<Socket>,
    rest: Vec<u8>,
    version: Version,
    answer: &[u8],
) {
    let limits = shared.limits();
    socket.set_expiry(u64::MAX);
    let player = Arc::new(Player {
        id: PlayerId(NEXT.fetch_add(1, Ordering::Relaxed)),
        version,
        outbox: WriteBuffer::new(socket.clone(), limits.unread),
        calls: Mutex::default(),
        heard: AtomicU64::new(clock::now()),
        pinged: AtomicU64::new(0),
    });
    shared
        .players
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(Arc::downgrade(&player));
    shared.tell(Msg::Joined(player.clone()));
    let leaves = Leaves(shared.clone(), player.id);
    player.outbox.push(answer);
    let config = WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER)
        .write_buffer_size(0)
        .max_message_size(Some(limits.message))
        .max_frame_size(Some(limits.message));
    let mut context = WebSocketContext::from_partially_read(rest, Role::Server, Some(config));
    let code = converse(shared, &player, &mut context);
    drop(leaves);
    if let Some((code, reason)) = code {
        player.push(Frame::close(Some(CloseFrame {
            code,
            reason: reason.into(),
        })));
    }
    player.outbox.flush();
    socket.finish(LINGER);
}

/// Reads until the end; the code to close with, where it is ours to say.
fn converse(
    shared: &Shared,
    player: &Player,
    context: &mut WebSocketContext,
) -> Option<(CloseCode, String)> {
    use tungstenite::error::CapacityError;
    use tungstenite::Error as E;
    let mut stream = Stream { player };
    let mut calls = 0u64;
    loop {
        match context.read(&mut stream) {
            Ok(Message::Text(text)) => hear(shared, player, &text, &mut calls),
            Ok(Message::Binary(_)) => {
                return Some((CloseCode::Unsupported, "texts are spoken here".into()))
            }
            Ok(_) => {} // Pings are answered and closes returned by the context's next read.
            Err(E::Capacity(CapacityError::MessageTooLong { max_size, .. })) => {
                return Some((
                    CloseCode::Size,
                    format!("a message has {max_size} bytes at most"),
                ));
            }
            Err(E::Utf8(_)) => return Some((CloseCode::Invalid, "a text is UTF-8".into())),
            Err(E::Protocol(what)) => {
                let reason: String = what.to_string().chars().take(100).collect();
                return Some((CloseCode::Protocol, reason));
            }
            Err(_) => return None,
        }
        // Back-pressure: while the hub has much unread, nothing more is read here.
        while shared.queued.load(Ordering::Relaxed)
            > shared.config.terms.max_pending.saturating_mul(2)
        {
            sleep(Duration::from_millis(1));
        }
    }
}

/// What a call becomes: an input for the core, or an error at once.
fn input(shared: &Shared, call: Call, method: Method) -> Result<Input, Error> {
    let config = &shared.config;
    Ok(match method {
        Method::Open(open) => {
            let open = names::open(config, open)?;
            Input::Open {
                call,
                open,
                received: Time(clock::now()),
            }
        }
        Method::Resume(resume) => {
            let tenant = names::tenant(config, resume.tenant.as_deref())?;
            Input::Resume {
                call,
                tenant,
                key: crankpaddle_server_protocol::sessions::bill(&resume.key),
            }
        }
        Method::Close(close) => {
            // A name that is none of ours is a session that nobody has.
            let session = RequestId(session_number(&close.session).unwrap_or(0));
            Input::Close { call, session }
        }
    })
}

fn hear(shared: &Shared, player: &Player, text: &str, calls: &mut u64) {
    let (members, together) = match jsonrpc::read(text) {
        Rpc::One(member) => (vec![member], false),
        Rpc::Batch(members) => (members, true),
    };
    let owed = members
        .iter()
        .filter(|m| m.as_ref().map_or(true, |call| call.id.is_some()))
        .count();
    let batch = together.then_some(*calls + 1);
    batch
        .into_iter()
        .for_each(|number| player.calls().begin(number, owed));
    let mut inputs = Vec::new();
    for member in members {
        *calls += 1;
        let number = *calls;
        let named = match member {
            Err((id, error)) => Err((Some(id), error)),
            Ok(call) => {
                let read = Method::of(&call.method, call.params);
                let at = Call {
                    player: player.id,
                    number,
                };
                match read.and_then(|method| input(shared, at, method)) {
                    // A set-up without an answer would play for nobody.
                    Ok(Input::Open { .. } | Input::Resume { .. }) if call.id.is_none() => continue,
                    Ok(input) => Ok((call.id, input)),
                    Err(error) => Err((call.id, error)),
                }
            }
        };
        match named {
            Ok((id, input)) => {
                if let Some(id) = id {
                    player.calls().wait(number, id, batch);
                }
                inputs.push(input);
            }
            Err((Some(id), error)) => {
                let mut calls = player.calls();
                let out = calls.answer_directly(batch, None, jsonrpc::error(&id, &error));
                out.iter().for_each(|value| player.tell(value));
            }
            Err((None, _)) => {} // A notification gets no answer, not even an error.
        }
    }
    // The answers of a batch go back together, so none may be waited for longer than the most impatient wants.
    let patience = |input: &Input| {
        if let Input::Open { open, .. } = input {
            open.max_wait
        } else {
            u64::MAX
        }
    };
    let bound = |input: &Input| match input {
        Input::Open { open, .. } => {
            let of_class = shared
                .config
                .terms
                .max_wait
                .get(usize::from(open.class))
                .copied();
            patience(input).min(of_class.unwrap_or(u64::MAX))
        }
        _ => u64::MAX,
    };
    let least = inputs.iter().map(bound).min().unwrap_or(u64::MAX);
    for mut input in inputs {
        if let (true, Input::Open { open, .. }) = (together, &mut input) {
            open.max_wait = open.max_wait.min(least);
        }
        shared.tell(Msg::Player(input));
    }
}
