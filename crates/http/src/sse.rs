//! Server-sent events as specified by the HTML standard: an incremental decoder of streams, and an encoder of single events.
use crate::HttpError;

/// One event of a stream, as decoded or as it is to be encoded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The event's type; empty stands for `message`.
    pub name: String,
    /// The event's data; several lines are joined by newlines.
    pub data: String,
    /// The last event id of the stream so far, with which a client can resume the stream; empty if there was none.
    pub id: String,
}

/// The largest event in bytes, so that a server that never ends an event can't fill the memory.
pub const MAX_EVENT_BYTES: usize = 4 << 20;

/// The comment that a server sends to show that the stream is alive.
pub const HEARTBEAT: &[u8] = b":\n\n";

const BYTE_ORDER_MARK: char = '\u{feff}';

/// Incrementally decodes a stream of server-sent events.
#[derive(Clone, Debug, Default)]
pub struct EventDecoder {
    /// The current line so far.
    line: Vec<u8>,
    /// Whether the last byte was a carriage return; a newline that follows belongs to the same line break.
    after_carriage_return: bool,
    /// Whether the first line was handled; only that line may start with a byte order mark.
    has_handled_first_line: bool,
    /// The current event so far; its data has a newline after each line.
    event: Event,
    /// Bytes of the current event so far, without comments and line breaks.
    event_bytes: usize,
}

impl EventDecoder {
    /// Takes the next bytes of the stream and appends the events that they complete to `events`.
    ///
    /// # Errors
    /// [`HttpError::EventTooLarge`]: an event is larger than [`MAX_EVENT_BYTES`].
    pub fn feed(&mut self, bytes: &[u8], events: &mut Vec<Event>) -> Result<(), HttpError> {
        for &byte in bytes {
            self.feed_byte(byte, events)?;
        }
        Ok(())
    }

    fn feed_byte(&mut self, byte: u8, events: &mut Vec<Event>) -> Result<(), HttpError> {
        let ends_previous_line = self.after_carriage_return && byte == b'\n';
        self.after_carriage_return = byte == b'\r';
        if ends_previous_line {
            return Ok(());
        }
        if byte == b'\r' || byte == b'\n' {
            let line = std::mem::take(&mut self.line);
            self.handle_line(&String::from_utf8_lossy(&line), events);
            return Ok(());
        }
        self.line.push(byte);
        self.event_bytes += 1;
        if self.event_bytes > MAX_EVENT_BYTES {
            return Err(HttpError::EventTooLarge);
        }
        Ok(())
    }

    fn handle_line(&mut self, line: &str, events: &mut Vec<Event>) {
        let line = self.strip_byte_order_mark(line);
        if line.is_empty() {
            self.complete_event(events);
            return;
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => self.event.name = value.to_owned(),
            "data" => {
                self.event.data.push_str(value);
                self.event.data.push('\n');
            }
            "id" if !value.contains('\0') => self.event.id = value.to_owned(),
            // A comment, such as a heartbeat; it does not count towards the size of the event.
            "" => self.event_bytes = self.event_bytes.saturating_sub(line.len()),
            _ => {}
        }
    }

    fn strip_byte_order_mark<'a>(&mut self, line: &'a str) -> &'a str {
        if self.has_handled_first_line {
            return line;
        }
        self.has_handled_first_line = true;
        line.strip_prefix(BYTE_ORDER_MARK).unwrap_or(line)
    }

    /// Ends the current event and appends it to `events`, unless it has no data. Its id is kept for the events that follow.
    fn complete_event(&mut self, events: &mut Vec<Event>) {
        self.event_bytes = 0;
        let name = std::mem::take(&mut self.event.name);
        let data = std::mem::take(&mut self.event.data);
        if let Some(data) = data.strip_suffix('\n') {
            events.push(Event {
                name,
                data: data.to_owned(),
                id: self.event.id.clone(),
            });
        }
    }
}

/// Encodes an event; an empty type or id is left out.
#[must_use]
pub fn write(name: &str, id: &str, data: &str) -> Vec<u8> {
    let mut text = String::with_capacity(data.len() + name.len() + 32);
    for (field, value) in [("event", name), ("id", id)] {
        if !value.is_empty() {
            text.push_str(&format!("{field}: {value}\n"));
        }
    }
    for line in data.split('\n') {
        text.push_str(&format!("data: {line}\n"));
    }
    text.push('\n');
    text.into_bytes()
}

#[cfg(test)]
mod tests;
