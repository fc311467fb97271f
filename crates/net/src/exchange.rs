//! HTTP messages over a socket.
use crate::clock;
use crate::Socket;
use crankpaddle_http::body::Body;
use crankpaddle_http::head::{Framing, Request, Response};
use crankpaddle_http::sse::{Event, Reader};
use crankpaddle_http::HttpError;
use crankpaddle_time::Time;
use std::sync::Arc;
use std::time::Duration;

/// Why no message was received.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection ended before the first byte of the message.
    #[error("closed")]
    Closed,
    /// The connection failed in the middle of the message.
    #[error("broken")]
    Broken,
    /// The message is malformed.
    #[error("malformed: {0}")]
    Bad(#[from] HttpError),
}

/// A body that was not received completely.
#[derive(Debug, thiserror::Error)]
#[error("{source} (after {received} bytes of the body)")]
pub struct DrainError {
    /// Bytes of the body that were received.
    pub received: u64,
    /// Why the rest was not.
    pub source: ExchangeError,
}

/// A connection that carries HTTP, and what was read beyond the last message.
pub struct HttpExchange {
    /// The connection.
    pub socket: Arc<Socket>,
    buffer: Vec<u8>,
}

/// Bytes requested from the kernel at once.
const READ_SIZE: usize = 2048;

impl HttpExchange {
    /// A connection on which nothing was read.
    #[must_use]
    pub fn new(socket: Arc<Socket>) -> HttpExchange {
        HttpExchange {
            socket,
            buffer: Vec::new(),
        }
    }

    /// What was read beyond the last message.
    #[must_use]
    pub fn into_rest(self) -> Vec<u8> {
        self.buffer
    }

    /// Whether nothing was read beyond the last message.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Reads at least one byte into the buffer.
    fn fill_buffer(&mut self) -> Result<(), ExchangeError> {
        let mut bytes = [0u8; READ_SIZE];
        match self.socket.read(&mut bytes) {
            Ok(0) | Err(_) if self.buffer.is_empty() => Err(ExchangeError::Closed),
            Ok(0) | Err(_) => Err(ExchangeError::Broken),
            Ok(count) => {
                self.buffer.extend_from_slice(&bytes[..count]);
                Ok(())
            }
        }
    }

    /// The next request's head. `timeout` bounds the time from its first byte; `None`: unbounded.
    ///
    /// # Errors
    /// None was received.
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

    /// A complete request with a body of at most `max_body` bytes; `timeout` as in [`HttpExchange::request_head`].
    ///
    /// # Errors
    /// None was received.
    pub fn request(
        &mut self,
        max_body: u64,
        timeout: Option<Duration>,
    ) -> Result<(Request, Vec<u8>), ExchangeError> {
        let request = self.request_head(timeout)?;
        let body = Body::new(request.framing()?, max_body)?;
        let data = self.read_body(body)?;
        if timeout.is_some() {
            self.socket.set_expiry(Time::MAX);
        }
        Ok((request, data))
    }

    /// The next response's head; interim responses (1xx, but 101) are skipped.
    ///
    /// # Errors
    /// None was received.
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

    /// A complete response with a body of at most `max_body` bytes.
    ///
    /// # Errors
    /// None was received.
    pub fn response(&mut self, max_body: u64) -> Result<(Response, Vec<u8>), ExchangeError> {
        let response = self.response_head()?;
        let body = Body::new(response.framing()?, max_body)?;
        let data = self.read_body(body)?;
        Ok((response, data))
    }

    fn read_body(&mut self, mut body: Body) -> Result<Vec<u8>, ExchangeError> {
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

    /// Reads and discards a body; returns its length in bytes.
    ///
    /// # Errors
    /// It is malformed or the connection failed, maybe after a part of the body.
    pub fn drain_body(&mut self, framing: Framing) -> Result<u64, DrainError> {
        let mut received = 0;
        match self.discard_body(framing, &mut received) {
            Ok(()) => Ok(received),
            Err(source) => Err(DrainError { received, source }),
        }
    }

    /// Reads and discards a body; `received` counts its bytes, also up to an error.
    fn discard_body(&mut self, framing: Framing, received: &mut u64) -> Result<(), ExchangeError> {
        let mut body = Body::new(framing, u64::MAX)?;
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

    /// Continues as a stream of events after its head; `silence` is the longest time without a byte.
    ///
    /// # Errors
    /// The framing of its body is unknown.
    pub fn events(self, head: &Response, silence: Duration) -> Result<Events, ExchangeError> {
        let body = Body::new(head.framing()?, u64::MAX)?;
        Ok(Events {
            exchange: self,
            body,
            reader: Reader::default(),
            ready: Vec::new().into_iter(),
            silence,
        })
    }
}

/// A stream of server-sent events.
pub struct Events {
    exchange: HttpExchange,
    body: Body,
    reader: Reader,
    ready: std::vec::IntoIter<Event>,
    silence: Duration,
}

impl Events {
    /// Waits for the next event. Each read, also of a heartbeat, restarts the time after which a silent stream expires.
    ///
    /// # Errors
    /// The stream ended, failed or is malformed.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Event, ExchangeError> {
        loop {
            if let Some(event) = self.ready.next() {
                return Ok(event);
            }
            let mut data = Vec::new();
            let mut events = Vec::new();
            let taken = self.body.feed(&self.exchange.buffer, &mut data)?;
            self.exchange.buffer.drain(..taken);
            self.reader.feed(&data, &mut events)?;
            self.ready = events.into_iter();
            if self.ready.len() == 0 {
                if self.body.is_complete() {
                    return Err(ExchangeError::Closed);
                }
                self.exchange.socket.set_expiry(clock::now() + self.silence);
                self.exchange.fill_buffer()?;
            }
        }
    }
}
