//! The record of what a run with one API version exchanged, and players that add to it.
use crate::support::{wait_until, TEST_TIMEOUT};
use crankpaddle_api::conform::Exchange;
use crankpaddle_session_api::SessionApiVersion;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use tungstenite::client::IntoClientRequest;
use tungstenite::{Message, WebSocket};

/// All messages and HTTP exchanges of a run with one version. Clones share the same record.
#[derive(Clone, Default)]
pub(crate) struct Transcript(Arc<Mutex<Vec<Exchange>>>);

impl Transcript {
    pub(crate) fn exchanges(&self) -> Vec<Exchange> {
        self.0.lock().unwrap().clone()
    }

    fn add(&self, exchange: Exchange) {
        self.0.lock().unwrap().push(exchange);
    }

    /// Sends the text of an HTTP request and records the exchange; returns the status of the response.
    pub(crate) fn http(&self, address: SocketAddr, request: &str) -> u16 {
        let (status, exchange) = exchange_http(address, request);
        self.add(exchange);
        status
    }

    pub(crate) fn get(&self, address: SocketAddr, path: &str) -> u16 {
        self.http(address, &get_request(path))
    }

    /// Polls a resource until its status and body meet a condition, which `awaited` describes; records each exchange.
    pub(crate) fn get_until(
        &self,
        awaited: &str,
        address: SocketAddr,
        path: &str,
        is_met: impl Fn(u16, &str) -> bool,
    ) {
        wait_until(awaited, || {
            let (status, exchange) = exchange_http(address, &get_request(path));
            self.add(exchange.clone());
            matches!(exchange, Exchange::Http { body, .. } if is_met(status, &body))
        });
    }
}

fn get_request(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n")
}

fn exchange_http(address: SocketAddr, request: &str) -> (u16, Exchange) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    let (head, body) = response
        .split_once("\r\n\r\n")
        .expect("the end of the response header");
    let status: u16 = head.split(' ').nth(1).unwrap().parse().unwrap();
    let mut fields = head.lines();
    let media_type = fields.find_map(|field| field.strip_prefix("content-type: "));
    let mut words = request.split(' ');
    let exchange = Exchange::Http {
        method: words.next().unwrap_or("").to_owned(),
        path: words.next().unwrap_or("").to_owned(),
        status,
        media: media_type.unwrap_or("").to_owned(),
        body: body.to_owned(),
    };
    (status, exchange)
}

/// A player whose messages are recorded in both directions.
pub(crate) struct RecordedPlayer {
    socket: WebSocket<TcpStream>,
    transcript: Transcript,
    /// Number of calls so far, which is the id of the last one.
    pub(crate) calls: u64,
}

impl RecordedPlayer {
    pub(crate) fn connect(
        address: SocketAddr,
        version: SessionApiVersion,
        transcript: &Transcript,
    ) -> RecordedPlayer {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let mut request = format!("ws://{address}/session")
            .into_client_request()
            .unwrap();
        let subprotocol = version.subprotocol();
        request
            .headers_mut()
            .insert("sec-websocket-protocol", subprotocol.parse().unwrap());
        let (socket, response) = tungstenite::client::client(request, stream).unwrap();
        assert_eq!(response.headers()["sec-websocket-protocol"], subprotocol);
        transcript.add(Exchange::Http {
            method: "GET".into(),
            path: "/session".into(),
            status: response.status().as_u16(),
            media: String::new(),
            body: String::new(),
        });
        RecordedPlayer {
            socket,
            transcript: transcript.clone(),
            calls: 0,
        }
    }

    pub(crate) fn send(&mut self, text: &str) {
        self.transcript.add(Exchange::Text {
            call: true,
            text: text.to_owned(),
        });
        self.socket.send(Message::text(text)).unwrap();
    }

    /// Reads and records messages until one meets a condition, which `awaited` describes; returns that message.
    pub(crate) fn receive_until(
        &mut self,
        awaited: &str,
        is_met: impl Fn(&Value) -> bool,
    ) -> Value {
        loop {
            let message = self.socket.read();
            let Message::Text(text) =
                message.unwrap_or_else(|error| panic!("waiting for {awaited}: {error}"))
            else {
                continue;
            };
            self.transcript.add(Exchange::Text {
                call: false,
                text: text.to_string(),
            });
            let value: Value = serde_json::from_str(&text).unwrap();
            if is_met(&value) {
                return value;
            }
        }
    }

    /// Sends a call; returns its id.
    pub(crate) fn send_call(&mut self, method: &str, params: Value) -> u64 {
        self.calls += 1;
        let id = self.calls;
        let call = json!({"jsonrpc": "2.0", "id": id, "method": method, "params": params});
        self.send(&call.to_string());
        id
    }

    /// Sends a call and waits for its answer.
    pub(crate) fn call(&mut self, method: &str, params: Value) -> Value {
        let id = self.send_call(method, params);
        self.receive_until(method, |value| value["id"] == id)
    }

    pub(crate) fn open(&mut self, key: &str, class: &str, title: &str) -> Value {
        self.call("session.open", open_params(key, class, title))
    }

    /// Waits for a notification; returns its parameters.
    pub(crate) fn notification(&mut self, method: &str) -> Value {
        self.receive_until(method, |value| value["method"] == method)["params"].clone()
    }
}

pub(crate) fn open_params(key: &str, class: &str, title: &str) -> Value {
    json!({"key": key, "class": class, "title": title, "tenant": "main"})
}

/// The reason that an error answer states; empty if it states none.
pub(crate) fn reason(answer: &Value) -> &str {
    answer["error"]["data"]["reason"].as_str().unwrap_or("")
}
