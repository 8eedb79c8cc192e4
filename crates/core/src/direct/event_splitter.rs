//! Splits a stream of server-sent events so that only complete events in order are relayed.

use std::fmt;

use bytes::{Bytes, BytesMut};

/// Maximum length of an event in bytes.
pub const MAX_EVENT_BYTES: usize = 1_048_576;

/// Length of the longest blank line behind an event but for its last byte.
const BOUNDARY_OVERLAP: usize = 2;

/// Splitter for the events of one answer, across all endpoints that produced parts of it.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
    last_id: Option<u64>,
    /// The id before the last one; the caller's own is not in doubt.
    previous_id: Option<u64>,
    /// Whether the events relayed so far do not tell after which one another endpoint must go on.
    is_unresumable: bool,
}

/// The events that some bytes complete.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SplitEvents {
    /// The events, up to the first that cannot be relayed.
    pub events: Bytes,
    /// Why the stream cannot be relayed beyond them, if so.
    pub error: Option<StreamError>,
}

/// Why a stream cannot be relayed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamError {
    /// The id of an event is not greater than that of an event before.
    OutOfOrder {
        /// The last id before it.
        last: u64,
        /// The id.
        id: u64,
    },
    /// An event is longer than [`MAX_EVENT_BYTES`].
    TooLong,
}

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OutOfOrder { last, id } => write!(f, "event {id} follows event {last}"),
            Self::TooLong => write!(f, "an event exceeds {MAX_EVENT_BYTES} bytes"),
        }
    }
}

impl std::error::Error for StreamError {}

/// The id of an event.
enum EventId {
    Number(u64),
    /// There is none or it is no number, in an event with data.
    Unknown,
    /// The event has neither id nor data, as a comment that keeps the connection alive.
    Irrelevant,
}

impl EventSplitter {
    /// Returns a splitter for a stream that continues after the last event received by the caller.
    pub fn resume_after(last: Option<u64>) -> Self {
        Self { last_id: last, previous_id: last, ..Self::default() }
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether another endpoint that goes on after [`EventSplitter::last_id`] neither
    /// repeats nor leaves out an event.
    pub fn can_resume(&self) -> bool {
        !self.is_unresumable
    }

    /// Discards the buffered start of an incomplete event.
    pub fn discard_partial(&mut self) {
        self.partial.clear();
    }

    /// Returns whether the bytes so far end at an event boundary.
    pub fn is_complete(&self) -> bool {
        self.partial.is_empty()
    }

    /// Appends bytes and returns the events that are now complete and in order.
    pub fn push(&mut self, bytes: &[u8]) -> SplitEvents {
        let mut scanned = self.partial.len().saturating_sub(BOUNDARY_OVERLAP);
        self.partial.extend_from_slice(bytes);
        let (mut end, mut error) = (0, None);
        while let Some(next) = first_boundary(&self.partial, scanned) {
            error = self.accept(event_id(&self.partial[end..next])).err();
            if error.is_some() {
                break;
            }
            (end, scanned) = (next, next);
        }
        let events = self.partial.split_to(end).freeze();
        if error.is_none() && self.partial.len() > MAX_EVENT_BYTES {
            error = Some(StreamError::TooLong);
        }
        SplitEvents { events, error }
    }

    /// Takes an event as the next one to relay; fails where it is not behind the last one.
    fn accept(&mut self, id: EventId) -> Result<(), StreamError> {
        match (id, self.last_id) {
            (EventId::Number(id), Some(last)) if id <= last => {
                // One of the two ids is wrong: the last one if this one fits behind those before it.
                // What the caller lacks is then not known.
                self.is_unresumable |= id > self.previous_id.unwrap_or(0).saturating_add(1);
                return Err(StreamError::OutOfOrder { last, id });
            }
            (EventId::Number(id), last) => {
                (self.previous_id, self.last_id) = (last, Some(id));
                self.is_unresumable = false;
            }
            (EventId::Unknown, _) => self.is_unresumable = true,
            (EventId::Irrelevant, _) => {}
        }
        Ok(())
    }
}

/// Returns the position after the first blank line behind an end of a line at or after `from`.
fn first_boundary(bytes: &[u8], from: usize) -> Option<usize> {
    let line_ends = (from..bytes.len()).filter(|position| bytes[*position] == b'\n');
    let mut ends = line_ends.filter_map(|position| match bytes[position + 1..] {
        [b'\n', ..] => Some(position + 2),
        [b'\r', b'\n', ..] => Some(position + 3),
        _ => None,
    });
    ends.next()
}

/// Returns the id of an event, the last one where there are several.
fn event_id(event: &[u8]) -> EventId {
    let (mut id, mut has_data) = (None, false);
    for line in event.split(|byte| *byte == b'\n') {
        has_data |= line.starts_with(b"data");
        if let Some(value) = line.strip_prefix(b"id:") {
            id = Some(std::str::from_utf8(value).ok().and_then(|text| text.trim().parse().ok()));
        }
    }
    match id {
        Some(Some(number)) => EventId::Number(number),
        Some(None) => EventId::Unknown,
        None if has_data => EventId::Unknown,
        None => EventId::Irrelevant,
    }
}
