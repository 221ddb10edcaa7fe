//! Parse server-sent events (SSE).

use eyre::ensure;

/// The longest accepted line and the largest data of an event, in bytes. The event of a token has
/// about 100 bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a byte stream into the data of its events.
#[derive(Debug, Default)]
pub struct SseParser {
    /// The bytes after the last complete line.
    buf: Vec<u8>,
    /// How much of `buf` has no end of a line.
    scanned: usize,
    /// The data of the event that is not complete yet.
    data: String,
}

impl SseParser {
    /// Parse the next bytes of the stream and append the data of each complete event to `out`.
    ///
    /// Comments (keep-alives) and fields other than `data` are skipped.
    ///
    /// # Errors
    ///
    /// Return an error for an event that is too long and for a line that isn't UTF-8.
    pub fn push(&mut self, bytes: &[u8], out: &mut Vec<String>) -> eyre::Result<()> {
        self.buf.extend_from_slice(bytes);
        let mut start = 0;
        let mut scanned = self.scanned;
        while let Some(length) = self.buf[scanned..].iter().position(|byte| *byte == b'\n') {
            let end = scanned + length;
            let line = std::str::from_utf8(&self.buf[start..end])?;
            let line = line.strip_suffix('\r').unwrap_or(line);
            if line.is_empty() {
                if !self.data.is_empty() {
                    out.push(std::mem::take(&mut self.data));
                }
            } else if let Some(data) = line.strip_prefix("data:") {
                if !self.data.is_empty() {
                    self.data.push('\n');
                }
                self.data.push_str(data.strip_prefix(' ').unwrap_or(data));
            }
            start = end + 1;
            scanned = start;
        }
        self.buf.drain(..start);
        self.scanned = self.buf.len();
        ensure!(
            self.buf.len() <= MAX_EVENT_BYTES && self.data.len() <= MAX_EVENT_BYTES,
            "an event is longer than {MAX_EVENT_BYTES} bytes"
        );
        Ok(())
    }
}
