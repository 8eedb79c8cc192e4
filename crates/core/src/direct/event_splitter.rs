//! Splits a stream of server-sent events so that only complete events are relayed.

use bytes::{Bytes, BytesMut};

/// Maximum length of an event in bytes.
pub const MAX_EVENT_BYTES: usize = 1_048_576;

/// Splitter for the events of one answer, across all endpoints that produced parts of it.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
}

/// Why a stream cannot be relayed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamError {
    /// The id of an event is not greater than the previous one.
    OutOfOrder,
    /// An event is longer than [`MAX_EVENT_BYTES`].
    TooLong,
}

impl EventSplitter {
    /// Returns a splitter for a stream that continues after the last event received by the caller.
    pub fn resume_after(last: Option<u64>) -> Self {
        Self { partial: BytesMut::new(), last_id: last }
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Discards the buffered start of an incomplete event.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns whether the bytes so far end at an event boundary.
    pub fn is_complete(&self) -> bool {
        self.partial.is_empty()
    }

    /// Appends bytes and returns the events that are now complete, or why they cannot be relayed.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, StreamError> {
        let scanned = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_boundary(&self.partial, scanned) else {
            let too_long = self.partial.len() > MAX_EVENT_BYTES;
            return if too_long { Err(StreamError::TooLong) } else { Ok(Bytes::new()) };
        };
        let complete = self.partial.split_to(end).freeze();
        for id in event_ids(&complete) {
            if self.last_id.is_some_and(|last| id <= last) {
                return Err(StreamError::OutOfOrder);
            }
            self.last_id = Some(id);
        }
        Ok(complete)
    }
}

/// Returns the position after the last blank line at or after `from`.
fn last_boundary(bytes: &[u8], from: usize) -> Option<usize> {
    let tail = &bytes[from..];
    let end = |pattern: &[u8]| {
        let position = tail.windows(pattern.len()).rposition(|window| window == pattern);
        position.map(|position| from + position + pattern.len())
    };
    end(b"\n\n").max(end(b"\r\n\r\n"))
}

/// Returns the numeric event ids in order.
fn event_ids(bytes: &[u8]) -> impl Iterator<Item = u64> {
    bytes.split(|byte| *byte == b'\n').filter_map(|line| {
        let text = std::str::from_utf8(line.strip_prefix(b"id:")?).ok()?;
        text.trim().parse().ok()
    })
}
