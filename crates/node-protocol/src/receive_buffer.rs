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
        let mut buffered = std::mem::take(&mut self.0);
        // Most messages arrive in one piece and are decoded without a copy.
        let available = if buffered.is_empty() {
            bytes
        } else {
            buffered.extend_from_slice(bytes);
            &buffered
        };
        let mut position = 0;
        while position < available.len() {
            match decode_one(&available[position..])? {
                0 => break,
                consumed => position += consumed,
            }
        }
        self.0 = available[position..].to_vec();
        Ok(())
    }

    /// Whether there is no partially received message.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
