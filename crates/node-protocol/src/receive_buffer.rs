//! Bytes of a stream that do not make a whole message yet.

/// What is held of a stream; empty, it holds no memory.
#[derive(Debug, Default)]
pub struct ReceiveBuffer(Vec<u8>);

impl ReceiveBuffer {
    /// Hands what is held and what came to `take` until it takes nothing more, and holds the rest. `take` says how many
    /// bytes it took; 0: more must come first.
    pub(crate) fn feed<E>(
        &mut self,
        bytes: &[u8],
        mut take: impl FnMut(&[u8]) -> Result<usize, E>,
    ) -> Result<(), E> {
        let mut joined = std::mem::take(&mut self.0);
        // Most messages come whole: they are read where they lie.
        let all = if joined.is_empty() {
            bytes
        } else {
            joined.extend_from_slice(bytes);
            &joined
        };
        let mut at = 0;
        while at < all.len() {
            match take(&all[at..])? {
                0 => break,
                n => at += n,
            }
        }
        self.0 = all[at..].to_vec();
        Ok(())
    }

    /// Whether a message has begun and is not whole.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
