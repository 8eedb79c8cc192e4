//! Relays the events of a stream to the caller as they arrive.

use std::time::Duration;

use actix_http::header;
use actix_rt::time::{Instant, timeout};
use sequoiahold_core::direct::event_splitter::{EventSplitter, SplitEvents};

use crate::h1::{ResponseWriter, Upstream, UpstreamResponse, end_to_end_headers};

/// Relay of a stream to a caller, across all endpoints that produce parts of it.
pub(super) struct Relay<'a> {
    writer: &'a mut ResponseWriter,
    /// Splits the stream and tracks the last event id.
    pub(super) events: EventSplitter,
    /// Whether the response head was written.
    pub(super) started: bool,
    /// Time at which the response head was written.
    pub(super) first_event: Option<Instant>,
    /// Time of the first event from the current endpoint.
    attempt_event: Option<Instant>,
    close: bool,
}

/// Outcome of relaying a stream from one endpoint.
#[derive(Debug)]
pub(super) enum RelayOutcome {
    /// The stream ended.
    Completed,
    /// The stream broke or stalled before its end.
    Broken {
        /// The error, for the log.
        error: String,
        /// Whether the connection broke, as it does when the endpoint crashes.
        disconnected: bool,
    },
    /// Writing to the caller failed.
    CallerDisconnected,
}

impl RelayOutcome {
    fn broken(error: impl Into<String>, disconnected: bool) -> Self {
        Self::Broken { error: error.into(), disconnected }
    }
}

impl<'a> Relay<'a> {
    /// Returns a relay for a stream that continues after the last event received by the caller.
    pub(super) fn new(
        writer: &'a mut ResponseWriter,
        last_event: Option<u64>,
        close: bool,
    ) -> Self {
        Self {
            writer,
            events: EventSplitter::resume_after(last_event),
            started: false,
            first_event: None,
            attempt_event: None,
            close,
        }
    }

    /// Returns whether the caller has any event of the stream, from this answer or an earlier one.
    fn has_events(&self) -> bool {
        self.started || self.events.last_id().is_some()
    }

    /// Returns whether the current endpoint sent its first event less than `age` ago, or none yet.
    pub(super) fn is_recent(&self, age: Duration) -> bool {
        self.attempt_event.is_none_or(|at| at.elapsed() < age)
    }

    /// Returns the connection to the caller, for a response that is not a stream.
    pub(super) fn writer(&mut self) -> &mut ResponseWriter {
        self.writer
    }

    /// Relays events from one endpoint until the stream ends, fails or is idle for `idle_timeout`.
    pub(super) async fn forward(
        &mut self,
        response: &UpstreamResponse,
        upstream: &mut Upstream,
        idle_timeout: Duration,
        mut on_events: impl FnMut(),
    ) -> RelayOutcome {
        self.events.discard_partial();
        self.attempt_event = None;
        loop {
            let chunk = match timeout(idle_timeout, upstream.read_chunk()).await {
                Err(_) => return RelayOutcome::broken("no data within the idle timeout", false),
                Ok(Err(error)) => {
                    return RelayOutcome::broken(error.to_string(), error.is_disconnect());
                }
                Ok(Ok(None)) if !self.events.is_complete() => {
                    let disconnected = upstream.ends_with_connection();
                    return RelayOutcome::broken("stream ended within an event", disconnected);
                }
                Ok(Ok(None)) if upstream.ends_with_connection() && !self.has_events() => {
                    return RelayOutcome::broken("connection ended before an event", true);
                }
                Ok(Ok(None)) => return self.finish(response).await,
                Ok(Ok(Some(chunk))) => chunk,
            };
            let SplitEvents { events, error } = self.events.push(&chunk);
            if !events.is_empty() {
                on_events();
                self.attempt_event.get_or_insert_with(Instant::now);
                let begun = self.write_head(response);
                if begun.is_err() || self.writer.write_chunk(events).await.is_err() {
                    return RelayOutcome::CallerDisconnected;
                }
            }
            if let Some(error) = error {
                return RelayOutcome::broken(error.to_string(), false);
            }
        }
    }

    /// Ends the response; a stream without events still gets its head.
    async fn finish(&mut self, response: &UpstreamResponse) -> RelayOutcome {
        match self.write_head(response).is_ok() && self.writer.end_response().await.is_ok() {
            true => RelayOutcome::Completed,
            false => RelayOutcome::CallerDisconnected,
        }
    }

    /// Writes the response head unless it was written before.
    fn write_head(&mut self, response: &UpstreamResponse) -> std::io::Result<()> {
        if self.started {
            return Ok(());
        }
        self.started = true;
        self.first_event = Some(Instant::now());
        let mut headers = end_to_end_headers(&response.headers);
        headers.remove(header::CONTENT_ENCODING);
        self.writer.begin(response.status, headers, self.close)
    }
}
