//! A player that sends and receives raw JSON texts, and a function that masks the numbers in them.
use crate::support::TEST_TIMEOUT;
use serde_json::{json, Value};
use std::net::{SocketAddr, TcpStream};
use tungstenite::client::IntoClientRequest;
use tungstenite::{Message, WebSocket};

pub(crate) const V1: &str = "session.v1.jsonrpc";

/// Replaces each integer in a JSON text by `#` and each other number by `#.#`. The rest is the same in all runs: the keys,
/// their order, the type of each value, and all words. Digits inside strings stay.
pub(crate) fn masked(text: &str) -> String {
    let mut masked = String::new();
    for (index, piece) in text.split('"').enumerate() {
        let is_in_string = index % 2 == 1;
        if index > 0 {
            masked.push('"');
        }
        let is_in_number =
            |character: char| character.is_ascii_digit() || "+-.".contains(character);
        let mut rest = piece;
        while let (false, Some(start)) = (is_in_string, rest.find(is_in_number)) {
            let tail = &rest[start..];
            let end = tail.find([',', ']', '}']).unwrap_or(tail.len());
            masked.push_str(&rest[..start]);
            let is_integer = tail[..end].parse::<i64>().is_ok();
            masked.push_str(if is_integer { "#" } else { "#.#" });
            rest = &tail[end..];
        }
        masked.push_str(rest);
    }
    masked
}

pub(crate) fn parsed(text: &str) -> Value {
    serde_json::from_str(text).unwrap()
}

/// A player that sends and receives raw JSON texts.
pub(crate) struct TextPlayer(pub WebSocket<TcpStream>);

impl TextPlayer {
    pub(crate) fn connect(address: SocketAddr, version: &str) -> TextPlayer {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let mut request = format!("ws://{address}/session")
            .into_client_request()
            .unwrap();
        request
            .headers_mut()
            .insert("sec-websocket-protocol", version.parse().unwrap());
        TextPlayer(tungstenite::client::client(request, stream).unwrap().0)
    }

    pub(crate) fn read(&mut self) -> String {
        loop {
            if let Message::Text(text) = self.0.read().unwrap() {
                return text.to_string();
            }
        }
    }

    /// Reads until a text contains `word`; returns that text.
    pub(crate) fn read_until(&mut self, word: &str) -> String {
        loop {
            let text = self.read();
            if text.contains(word) {
                return text;
            }
        }
    }

    pub(crate) fn call(&mut self, text: &str) -> String {
        self.0.send(Message::text(text)).unwrap();
        self.read()
    }

    pub(crate) fn call_open(&mut self, id: u64, key: &str, class: &str) {
        let call = json!({"jsonrpc": "2.0", "id": id, "method": "session.open",
            "params": {"key": key, "class": class, "title": "clip-00"}});
        self.0.send(Message::text(call.to_string())).unwrap();
    }

    pub(crate) fn open(&mut self, id: u64, key: &str, class: &str) -> String {
        self.call_open(id, key, class);
        self.read_until(&format!("\"id\":{id},"))
    }
}
