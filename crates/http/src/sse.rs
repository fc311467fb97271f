//! Server-sent events as the HTML standard has them: read from any pieces, written whole.

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Its type; empty stands for "message".
    pub name: String,
    /// Its data, lines joined by newlines.
    pub data: String,
    /// The last id that the stream gave, for a call that goes on behind it.
    pub id: String,
}

/// Bytes of one event at most: a server that never ends a line must not fill the memory.
pub const MOST_EVENT: usize = 4 << 20;

/// Reads a stream.
#[derive(Clone, Debug, Default)]
pub struct Reader {
    line: Vec<u8>,
    after_cr: bool,
    begun: bool,
    name: String,
    data: String,
    id: String,
    size: usize,
}

impl Reader {
    /// Takes bytes and adds the events that are whole to `events`.
    ///
    /// # Errors
    /// An event is larger than [`MOST_EVENT`].
    pub fn feed(&mut self, bytes: &[u8], events: &mut Vec<Event>) -> Result<(), String> {
        for &byte in bytes {
            let feed_after_return = self.after_cr && byte == b'\n';
            self.after_cr = byte == b'\r';
            if feed_after_return {
                continue;
            }
            if byte == b'\r' || byte == b'\n' {
                let line = std::mem::take(&mut self.line);
                self.take(&String::from_utf8_lossy(&line), events);
            } else {
                self.line.push(byte);
                self.size += 1;
                if self.size > MOST_EVENT {
                    return Err(format!("an event of more than {MOST_EVENT} bytes"));
                }
            }
        }
        Ok(())
    }

    fn take(&mut self, line: &str, events: &mut Vec<Event>) {
        let line = if self.begun {
            line
        } else {
            line.strip_prefix('\u{feff}').unwrap_or(line)
        };
        self.begun = true;
        if line.is_empty() {
            let (name, data) = (
                std::mem::take(&mut self.name),
                std::mem::take(&mut self.data),
            );
            self.size = 0;
            if let Some(data) = data.strip_suffix('\n') {
                events.push(Event {
                    name,
                    data: data.to_owned(),
                    id: self.id.clone(),
                });
            }
            return;
        }
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "event" => self.name = value.to_owned(),
            "data" => {
                self.data.push_str(value);
                self.data.push('\n');
            }
            "id" if !value.contains('\0') => self.id = value.to_owned(),
            "" => self.size = self.size.saturating_sub(line.len()), // A comment, as heartbeats are.
            _ => {}
        }
    }
}

/// The bytes of an event.
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

/// A comment: it says that the stream lives.
pub const HEARTBEAT: &[u8] = b":\n\n";

#[cfg(test)]
mod tests;
