//! HTTP messages over a socket.
use crate::socket::after;
use crate::Socket;
use crankpaddle_http::body::Body;
use crankpaddle_http::head::{Bad, Framing, Request, Response};
use crankpaddle_http::sse::{Event, Reader};
use std::sync::Arc;

/// Why no message came.
#[derive(Debug)]
pub enum ExchangeError {
    /// The connection ended before the first byte of it.
    Closed,
    /// The connection broke in the midst of it.
    Broken,
    /// It is malformed.
    Bad(Bad),
}

impl From<Bad> for ExchangeError {
    fn from(bad: Bad) -> ExchangeError {
        ExchangeError::Bad(bad)
    }
}

impl std::fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ExchangeError::Closed => f.write_str("closed"),
            ExchangeError::Broken => f.write_str("broken"),
            ExchangeError::Bad(bad) => write!(f, "malformed: {bad}"),
        }
    }
}

/// A connection that carries HTTP, and what was read beyond the last message.
pub struct HttpExchange {
    /// The connection.
    pub socket: Arc<Socket>,
    buffer: Vec<u8>,
}

/// Bytes asked of the kernel at once.
const PIECE: usize = 2048;

impl HttpExchange {
    /// A connection on which nothing was read.
    pub fn new(socket: Arc<Socket>) -> HttpExchange {
        HttpExchange {
            socket,
            buffer: Vec::new(),
        }
    }

    /// What was read beyond the last message.
    pub fn into_rest(self) -> Vec<u8> {
        self.buffer
    }

    /// Whether nothing was read beyond the last message.
    pub fn is_clean(&self) -> bool {
        self.buffer.is_empty()
    }

    fn more(&mut self) -> Result<(), ExchangeError> {
        let mut piece = [0u8; PIECE];
        match self.socket.read(&mut piece) {
            Ok(0) | Err(_) if self.buffer.is_empty() => Err(ExchangeError::Closed),
            Ok(0) | Err(_) => Err(ExchangeError::Broken),
            Ok(n) => {
                self.buffer.extend_from_slice(&piece[..n]);
                Ok(())
            }
        }
    }

    /// The next request's head; `within` bounds the time from its first byte, nanoseconds (0: unbounded).
    ///
    /// # Errors
    /// None came.
    pub fn request_head(&mut self, within: u64) -> Result<Request, ExchangeError> {
        loop {
            if let Some((request, length)) = Request::parse(&self.buffer)? {
                self.buffer.drain(..length);
                return Ok(request);
            }
            let first = self.buffer.is_empty();
            self.more()?;
            if first && within > 0 {
                self.socket.set_expiry(after(within));
            }
        }
    }

    /// A whole request with a body of at most `most` bytes.
    ///
    /// # Errors
    /// None came.
    pub fn request(&mut self, most: u64, within: u64) -> Result<(Request, Vec<u8>), ExchangeError> {
        let request = self.request_head(within)?;
        let body = Body::new(request.framing()?, most)?;
        let data = self.body(body)?;
        if within > 0 {
            self.socket.set_expiry(u64::MAX);
        }
        Ok((request, data))
    }

    /// The next final response's head.
    ///
    /// # Errors
    /// None came.
    pub fn response_head(&mut self) -> Result<Response, ExchangeError> {
        loop {
            if let Some((response, length)) = Response::parse(&self.buffer)? {
                self.buffer.drain(..length);
                if response.status >= 200 || response.status == 101 {
                    return Ok(response);
                }
                continue;
            }
            self.more()?;
        }
    }

    /// A whole response with a body of at most `most` bytes.
    ///
    /// # Errors
    /// None came.
    pub fn response(&mut self, most: u64) -> Result<(Response, Vec<u8>), ExchangeError> {
        let response = self.response_head()?;
        let body = Body::new(response.framing()?, most)?;
        let data = self.body(body)?;
        Ok((response, data))
    }

    fn body(&mut self, mut body: Body) -> Result<Vec<u8>, ExchangeError> {
        let mut data = Vec::new();
        loop {
            let taken = body.feed(&self.buffer, &mut data)?;
            self.buffer.drain(..taken);
            if body.done() {
                return Ok(data);
            }
            match self.more() {
                Ok(()) => {}
                Err(_) if body.may_close() => return Ok(data),
                Err(_) => return Err(ExchangeError::Broken),
            }
        }
    }

    /// Reads a body and throws it away, counting its bytes.
    ///
    /// # Errors
    /// It broke off, after so many bytes.
    pub fn drain_body(&mut self, framing: Framing) -> Result<u64, (u64, ExchangeError)> {
        let mut body = Body::new(framing, u64::MAX).map_err(|b| (0, b.into()))?;
        let (mut data, mut count) = (Vec::new(), 0);
        loop {
            let taken = body
                .feed(&self.buffer, &mut data)
                .map_err(|b| (count, b.into()))?;
            self.buffer.drain(..taken);
            count += data.len() as u64;
            data.clear();
            if body.done() {
                return Ok(count);
            }
            if let Err(fault) = self.more() {
                return if body.may_close() {
                    Ok(count)
                } else {
                    Err((count, fault))
                };
            }
        }
    }

    /// Goes on as a stream of events, whose head was read.
    ///
    /// # Errors
    /// Its body is framed in an unknown way.
    pub fn events(self, head: &Response, silence: u64) -> Result<Events, ExchangeError> {
        let body = Body::new(head.framing()?, u64::MAX)?;
        Ok(Events {
            wire: self,
            body,
            reader: Reader::default(),
            ready: Vec::new().into_iter(),
            silence,
        })
    }
}

/// A stream of server-sent events.
pub struct Events {
    wire: HttpExchange,
    body: Body,
    reader: Reader,
    ready: std::vec::IntoIter<Event>,
    silence: u64,
}

impl Events {
    /// The next event, waited for; each byte that comes, heartbeats too, puts the end by silence off.
    ///
    /// # Errors
    /// The stream ended, broke or is malformed.
    #[allow(clippy::should_implement_trait)]
    pub fn next(&mut self) -> Result<Event, ExchangeError> {
        loop {
            if let Some(event) = self.ready.next() {
                return Ok(event);
            }
            let (mut data, mut events) = (Vec::new(), Vec::new());
            let taken = self.body.feed(&self.wire.buffer, &mut data)?;
            self.wire.buffer.drain(..taken);
            self.reader
                .feed(&data, &mut events)
                .map_err(|e| ExchangeError::Bad(Bad::request(e)))?;
            self.ready = events.into_iter();
            if self.ready.len() == 0 {
                if self.body.done() {
                    return Err(ExchangeError::Closed);
                }
                self.wire.socket.set_expiry(after(self.silence));
                self.wire.more()?;
            }
        }
    }
}
