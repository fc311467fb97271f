//! Receiving HTTP messages and event streams from a socket.
use crate::{clock, Socket, YieldBudget};
use crankpaddle_http::body::BodyDecoder;
use crankpaddle_http::head::{Framing, Request, Response};
use crankpaddle_http::sse::{Event, EventDecoder};
use crankpaddle_http::HttpError;
use crankpaddle_time::Time;
use std::sync::Arc;
use std::time::Duration;

/// Why no complete message was received.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection ended before the first byte of the message.
    #[error("the connection ended before the first byte of the message")]
    Closed,
    /// The connection failed in the middle of the message.
    #[error("the connection failed in the middle of the message")]
    Broken,
    /// The message is malformed.
    #[error("malformed message: {0}")]
    Malformed(#[from] HttpError),
}

/// Why a body was not received completely, and how much of it was.
#[derive(Debug, thiserror::Error)]
#[error("{source} (after {received} bytes of the body)")]
pub struct DrainError {
    /// Bytes of the body that were received before the error, without chunk framing.
    pub received: u64,
    /// Why the rest was not received.
    pub source: ExchangeError,
}

/// A connection that carries HTTP messages, with the bytes that were read beyond the last message.
pub struct HttpExchange {
    /// The connection; messages are sent by writing to it directly.
    pub socket: Arc<Socket>,
    /// Received bytes that belong to no message returned so far.
    buffer: Vec<u8>,
    yield_budget: YieldBudget,
}

/// Most bytes of one read from the socket.
const READ_BYTES: usize = 2048;

impl HttpExchange {
    /// Wraps a connection from which nothing was read yet.
    #[must_use]
    pub fn new(socket: Arc<Socket>) -> HttpExchange {
        HttpExchange {
            socket,
            buffer: Vec::new(),
            yield_budget: YieldBudget::default(),
        }
    }

    /// The bytes that were read beyond the last message, for instance the first ones after a protocol switch.
    #[must_use]
    pub fn into_unread_bytes(self) -> Vec<u8> {
        self.buffer
    }

    /// Whether nothing was read beyond the last message, so that the connection can be reused.
    #[must_use]
    pub fn is_buffer_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Reads at least one byte into the buffer.
    fn fill_buffer(&mut self) -> Result<(), ExchangeError> {
        let mut bytes = [0u8; READ_BYTES];
        match self.yield_budget.read(&self.socket, &mut bytes) {
            Ok(0) | Err(_) if self.buffer.is_empty() => Err(ExchangeError::Closed),
            Ok(0) | Err(_) => Err(ExchangeError::Broken),
            Ok(count) => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Ok(())
            }
        }
    }

    /// Receives the head of the next request. `timeout` starts with its first byte and sets the expiry of the socket; `None`
    /// means no limit.
    ///
    /// # Errors
    /// No complete head was received, or it is malformed.
    pub fn request_head(&mut self, timeout: Option<Duration>) -> Result<Request, ExchangeError> {
        loop {
            if let Some((request, length)) = Request::parse(&self.buffer)? {
                self.buffer.drain(..length);
                return Ok(request);
            }
            let is_first_read = self.buffer.is_empty();
            self.fill_buffer()?;
            if let Some(timeout) = timeout.filter(|_| is_first_read) {
                self.socket.set_expiry(clock::now() + timeout);
            }
        }
    }

    /// Receives a complete request with a body of at most `max_body` bytes. `timeout` is as in
    /// [`HttpExchange::request_head`]; the expiry that it sets is cleared once the request is complete.
    ///
    /// # Errors
    /// No complete request was received, or it is malformed or too large.
    pub fn request(
        &mut self,
        max_body: u64,
        timeout: Option<Duration>,
    ) -> Result<(Request, Vec<u8>), ExchangeError> {
        let request = self.request_head(timeout)?;
        let body = BodyDecoder::new(request.framing()?, max_body)?;
        let data = self.read_body(body)?;
        if timeout.is_some() {
            self.socket.set_expiry(Time::MAX);
        }
        Ok((request, data))
    }

    /// Receives the head of the next response. Interim responses (1xx) are skipped, except 101, which switches protocols.
    ///
    /// # Errors
    /// No complete head was received, or it is malformed.
    pub fn response_head(&mut self) -> Result<Response, ExchangeError> {
        loop {
            if let Some((response, length)) = Response::parse(&self.buffer)? {
                self.buffer.drain(..length);
                if response.status >= 200 || response.status == 101 {
                    return Ok(response);
                }
                continue;
            }
            self.fill_buffer()?;
        }
    }

    /// Receives a complete response with a body of at most `max_body` bytes.
    ///
    /// # Errors
    /// No complete response was received, or it is malformed or too large.
    pub fn response(&mut self, max_body: u64) -> Result<(Response, Vec<u8>), ExchangeError> {
        let response = self.response_head()?;
        let body = BodyDecoder::new(response.framing()?, max_body)?;
        let data = self.read_body(body)?;
        Ok((response, data))
    }

    fn read_body(&mut self, mut body: BodyDecoder) -> Result<Vec<u8>, ExchangeError> {
        let mut data = Vec::new();
        loop {
            let taken = body.feed(&self.buffer, &mut data)?;
            self.buffer.drain(..taken);
            if body.is_complete() {
                return Ok(data);
            }
            match self.fill_buffer() {
                Ok(()) => {}
                Err(_) if body.may_end_at_close() => return Ok(data),
                Err(_) => return Err(ExchangeError::Broken),
            }
        }
    }

    /// Reads and discards a body; returns its length in bytes, without chunk framing.
    ///
    /// # Errors
    /// The body is malformed, or the connection failed, possibly after a part of the body.
    pub fn drain_body(&mut self, framing: Framing) -> Result<u64, DrainError> {
        let mut received = 0;
        match self.discard_body(framing, &mut received) {
            Ok(()) => Ok(received),
            Err(source) => Err(DrainError { received, source }),
        }
    }

    /// Reads and discards a body, and adds its bytes to `received`, also those before an error.
    fn discard_body(&mut self, framing: Framing, received: &mut u64) -> Result<(), ExchangeError> {
        let mut body = BodyDecoder::new(framing, u64::MAX)?;
        let mut data = Vec::new();
        loop {
            let taken = body.feed(&self.buffer, &mut data)?;
            self.buffer.drain(..taken);
            *received += data.len() as u64;
            data.clear();
            if body.is_complete() {
                return Ok(());
            }
            match self.fill_buffer() {
                Ok(()) => {}
                Err(_) if body.may_end_at_close() => return Ok(()),
                Err(error) => return Err(error),
            }
        }
    }

    /// Reads the body of the response with this `head` as a stream of server-sent events. The socket expires after
    /// `max_silence` without a byte.
    ///
    /// # Errors
    /// The head states contradictory or unsupported framing of the body.
    pub fn events(self, head: &Response, max_silence: Duration) -> Result<Events, ExchangeError> {
        let body = BodyDecoder::new(head.framing()?, u64::MAX)?;
        Ok(Events {
            exchange: self,
            body,
            decoder: EventDecoder::default(),
            decoded: Vec::new().into_iter(),
            max_silence,
        })
    }
}

/// A stream of server-sent events in the body of a response.
pub struct Events {
    exchange: HttpExchange,
    body: BodyDecoder,
    decoder: EventDecoder,
    /// Events that were received and not returned yet.
    decoded: std::vec::IntoIter<Event>,
    /// Longest time without a received byte.
    max_silence: Duration,
}

impl Events {
    /// Waits for the next event. Each read, also of a heartbeat, restarts the time after which the silent socket expires.
    ///
    /// # Errors
    /// The stream ended, the connection failed, or an event is malformed.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Event, ExchangeError> {
        loop {
            if let Some(event) = self.decoded.next() {
                return Ok(event);
            }
            let mut data = Vec::new();
            let mut events = Vec::new();
            let taken = self.body.feed(&self.exchange.buffer, &mut data)?;
            self.exchange.buffer.drain(..taken);
            self.decoder.feed(&data, &mut events)?;
            self.decoded = events.into_iter();
            if self.decoded.len() == 0 {
                if self.body.is_complete() {
                    return Err(ExchangeError::Closed);
                }
                let expiry = clock::now() + self.max_silence;
                self.exchange.socket.set_expiry(expiry);
                self.exchange.fill_buffer()?;
            }
        }
    }
}
