//! Buffers the incomplete last message of a byte stream.

/// The partially received message of a stream. Uses no memory while it is empty.
#[derive(Debug, Default)]
pub(crate) struct ReceiveBuffer(Vec<u8>);

impl ReceiveBuffer {
    /// Passes the buffered bytes followed by the new ones to `decode_one` until it consumes nothing more, and buffers the rest.
    /// `decode_one` returns how many bytes it consumed, or 0 if the message is incomplete.
    pub(crate) fn feed<E>(
        &mut self,
        bytes: &[u8],
        mut decode_one: impl FnMut(&[u8]) -> Result<usize, E>,
    ) -> Result<(), E> {
        if self.0.is_empty() {
            // Most messages arrive in one piece and are decoded without a copy.
            let position = decode_all(bytes, &mut decode_one)?;
            self.0 = bytes[position..].to_vec();
            return Ok(());
        }
        // The buffer grows by what is needed and is kept until it is empty. Buffers that were allocated anew for each piece, with
        // room for twice as much, fragmented the memory of hundreds of connections.
        self.0.reserve_exact(bytes.len());
        self.0.extend_from_slice(bytes);
        let position = decode_all(&self.0, &mut decode_one)?;
        if position == self.0.len() {
            self.0 = Vec::new();
        } else {
            self.0.drain(..position);
        }
        Ok(())
    }

    /// Whether there is no partially received message.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Passes bytes to `decode_one` until it consumes nothing more; returns how many bytes were consumed.
fn decode_all<E>(
    bytes: &[u8],
    decode_one: &mut impl FnMut(&[u8]) -> Result<usize, E>,
) -> Result<usize, E> {
    let mut position = 0;
    while position < bytes.len() {
        match decode_one(&bytes[position..])? {
            0 => break,
            consumed => position += consumed,
        }
    }
    Ok(position)
}
