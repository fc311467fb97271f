//! Responses to HTTP requests of players and operators.
use crate::message::EventLoopMessage;
use crate::shared::Shared;
use crankpaddle_api::describe::{Health, State};
use crankpaddle_http::head::{self, Request};
use crankpaddle_http::problem::Problem;
use crankpaddle_net::{clock, recv_until};
use may::sync::mpsc::{channel, Sender};
use std::time::Duration;

/// The name and value of a header field.
type Field<'a> = (&'a str, &'a str);

/// The field with which a response announces that the connection is closed after it.
pub(crate) const CLOSE: Field<'static> = ("connection", "close");
const KEEP_ALIVE: Field<'static> = ("connection", "keep-alive");
const JSON: &str = "application/json";
/// Longest wait for a reply of the event loop or the membership; without one the front counts as overloaded.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// The paths of resources other than the published descriptions of the API.
const PATHS: [&str; 5] = ["/fleet", "/health", "/members", "/session", "/traffic"];

/// The event loop did not reply in time.
struct ReplyTimeout;

/// A published description of the API.
struct ApiDescription {
    media_type: &'static str,
    text: &'static str,
}

/// Returns the bytes of the response to a request.
pub(crate) fn respond(shared: &Shared, request: &Request) -> Vec<u8> {
    let connection = if request.keeps_alive() {
        KEEP_ALIVE
    } else {
        CLOSE
    };
    let responder = Responder { shared, connection };
    let path = request.path().0;
    if request.method != "GET" {
        return responder.reject_method(path);
    }
    responder.get(path)
}

/// Creates the response to one request.
struct Responder<'a> {
    shared: &'a Shared,
    /// The `connection` field of the response.
    connection: Field<'static>,
}

impl Responder<'_> {
    fn get(&self, path: &str) -> Vec<u8> {
        match path {
            "/health" => self.health(),
            "/traffic" => self.traffic(),
            "/members" => self.members(),
            "/fleet" => self.fleet(),
            "/session" => self.problem(
                426,
                "this is spoken over WebSocket",
                &[("upgrade", "websocket"), ("sec-websocket-version", "13")],
            ),
            _ => match api_description(path) {
                Some(found) => self.success(200, found.media_type, found.text),
                None => self.not_found(path),
            },
        }
    }

    fn reject_method(&self, path: &str) -> Vec<u8> {
        if PATHS.contains(&path) || api_description(path).is_some() {
            return self.problem(405, "only GET is known here", &[("allow", "GET")]);
        }
        self.not_found(path)
    }

    fn not_found(&self, path: &str) -> Vec<u8> {
        let detail = format!(
            "nothing at {path}; known: /api, /fleet, /health, /members, /session, /traffic"
        );
        self.problem(404, &detail, &[])
    }

    fn health(&self) -> Vec<u8> {
        let shared = self.shared;
        let is_draining = shared.is_draining();
        let work = shared.work_in_progress();
        let health = Health {
            state: if is_draining {
                State::Draining
            } else {
                State::Ready
            },
            waiting: work.waiting as u64,
            playing: work.playing as u64,
            connections: shared.connections() as u64,
        };
        let body = serde_json::to_string(&health).unwrap_or_default();
        let status = if is_draining { 503 } else { 200 };
        self.success(status, JSON, &body)
    }

    fn traffic(&self) -> Vec<u8> {
        match self.request(|reply| EventLoopMessage::TrafficReportRequested { reply }) {
            Ok(report) => self.success(200, JSON, &report),
            Err(ReplyTimeout) => self.problem(503, "the front has more to do than to report", &[]),
        }
    }

    fn members(&self) -> Vec<u8> {
        let Some(membership) = &self.shared.membership else {
            return self.problem(404, "this front has no peers in its configuration", &[]);
        };
        match membership.members(clock::now() + REPLY_TIMEOUT) {
            Some(members) => {
                let body = serde_json::to_string(&members).unwrap_or_default();
                self.success(200, JSON, &body)
            }
            None => self.overloaded(),
        }
    }

    fn fleet(&self) -> Vec<u8> {
        match self.request(|reply| EventLoopMessage::FleetStatusRequested { reply }) {
            Ok(Some(fleet)) => {
                let body = serde_json::to_string(&fleet).unwrap_or_default();
                self.success(200, JSON, &body)
            }
            Ok(None) => self.problem(404, "this front has no store in its configuration", &[]),
            Err(ReplyTimeout) => self.overloaded(),
        }
    }

    /// Sends a request to the event loop and waits for its reply.
    fn request<T>(
        &self,
        message: impl FnOnce(Sender<T>) -> EventLoopMessage,
    ) -> Result<T, ReplyTimeout> {
        let (reply, replies) = channel();
        self.shared.send(message(reply));
        recv_until(&replies, clock::now() + REPLY_TIMEOUT).map_err(|_| ReplyTimeout)
    }

    fn overloaded(&self) -> Vec<u8> {
        self.problem(503, "the front has more to do than to tell", &[])
    }

    fn success(&self, status: u16, media_type: &str, body: &str) -> Vec<u8> {
        let fields = [("content-type", media_type), self.connection];
        head::response(status, &fields, body.as_bytes())
    }

    fn problem(&self, status: u16, detail: &str, fields: &[Field<'_>]) -> Vec<u8> {
        let mut all = vec![self.connection];
        all.extend_from_slice(fields);
        Problem::new(status, detail).response(&all)
    }
}

/// The description of the API at this path; `None` if there is none.
fn api_description(path: &str) -> Option<ApiDescription> {
    let (media_type, text) = match path {
        "/api" => ("text/html", crankpaddle_api::PAGE),
        "/api/session.v2.asyncapi.json" => (JSON, crankpaddle_api::PRESENT),
        "/api/session.v1.asyncapi.json" => (JSON, crankpaddle_api::PREVIOUS),
        "/api/openapi.json" => (JSON, crankpaddle_api::OPENAPI),
        _ => return None,
    };
    Some(ApiDescription { media_type, text })
}
