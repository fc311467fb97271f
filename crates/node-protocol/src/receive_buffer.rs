//! Bytes of a stream that do not make a complete message yet.

/// The partially received message of a stream; empty, it holds no memory.
#[derive(Debug, Default)]
pub(crate) struct ReceiveBuffer(Vec<u8>);

impl ReceiveBuffer {
    /// Hands the buffered bytes and the new ones to `decode_one` until it takes nothing more, and buffers the rest. `decode_one`
    /// returns how many bytes it took; 0 if more must be received first.
    pub(crate) fn feed<E>(
        &mut self,
        bytes: &[u8],
        mut decode_one: impl FnMut(&[u8]) -> Result<usize, E>,
    ) -> Result<(), E> {
        let mut joined = std::mem::take(&mut self.0);
        // Most messages are received completely: they are read without a copy.
        let available = if joined.is_empty() {
            bytes
        } else {
            joined.extend_from_slice(bytes);
            &joined
        };
        let mut position = 0;
        while position < available.len() {
            match decode_one(&available[position..])? {
                0 => break,
                taken => position += taken,
            }
        }
        self.0 = available[position..].to_vec();
        Ok(())
    }

    /// Whether no message is partially received.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
