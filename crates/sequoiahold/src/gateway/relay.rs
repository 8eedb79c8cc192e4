//! Passes the events of a stream on as they arrive.

use std::time::Duration;

use actix_http::header;
use actix_rt::time::{Instant, timeout};
use sequoiahold_core::direct::event_splitter::EventSplitter;

use crate::h1::{Answer, Upstream, Writer, end_to_end};

/// What the caller has got of a stream.
pub(super) struct Relay<'a> {
    writer: &'a mut Writer,
    /// The events.
    pub(super) events: EventSplitter,
    /// Whether the head of the answer has gone out.
    pub(super) started: bool,
    /// When the first event went out.
    pub(super) first_event: Option<Instant>,
    close: bool,
}

/// How a part of a stream from one endpoint ended.
#[derive(Debug)]
pub(super) enum RelayOutcome {
    /// With the end of the stream.
    Completed,
    /// Before that.
    Broken {
        /// What went wrong.
        error: String,
        /// Whether the connection broke, as it does where the endpoint crashes.
        disconnected: bool,
    },
    /// The caller takes no more.
    CallerDisconnected,
}

impl RelayOutcome {
    fn broken(error: impl Into<String>, disconnected: bool) -> Self {
        Self::Broken { error: error.into(), disconnected }
    }
}

impl<'a> Relay<'a> {
    /// Returns a relay that goes on after the event that the caller holds.
    pub(super) fn new(writer: &'a mut Writer, last_event: Option<u64>, close: bool) -> Self {
        Self {
            writer,
            events: EventSplitter::resume_after(last_event),
            started: false,
            first_event: None,
            close,
        }
    }

    /// Returns the caller's side, to write another answer where nothing has gone out.
    pub(super) fn writer(&mut self) -> &mut Writer {
        self.writer
    }

    /// Passes on what one endpoint produces; a pause of `idle_timeout` ends it.
    pub(super) async fn forward(
        &mut self,
        answer: &Answer,
        upstream: &mut Upstream,
        idle_timeout: Duration,
        mut on_events: impl FnMut(),
    ) -> RelayOutcome {
        self.events.discard_partial();
        loop {
            let chunk = match timeout(idle_timeout, upstream.part()).await {
                Err(_) => return RelayOutcome::broken("no event in time", false),
                Ok(Err(error)) => return RelayOutcome::broken(error.to_string(), error.is_break()),
                Ok(Ok(None)) if self.events.is_complete() => return self.finish(answer).await,
                Ok(Ok(None)) => return RelayOutcome::broken("ended within an event", false),
                Ok(Ok(Some(chunk))) => chunk,
            };
            let events = match self.events.push(&chunk) {
                Ok(events) if events.is_empty() => continue,
                Ok(events) => events,
                Err(error) => return RelayOutcome::broken(format!("{error:?}"), false),
            };
            on_events();
            if self.write_head(answer).is_err() || self.writer.part(events).await.is_err() {
                return RelayOutcome::CallerDisconnected;
            }
        }
    }

    async fn finish(&mut self, answer: &Answer) -> RelayOutcome {
        match self.write_head(answer).is_ok() && self.writer.end().await.is_ok() {
            true => RelayOutcome::Completed,
            false => RelayOutcome::CallerDisconnected,
        }
    }

    fn write_head(&mut self, answer: &Answer) -> std::io::Result<()> {
        if self.started {
            return Ok(());
        }
        self.started = true;
        self.first_event = Some(Instant::now());
        let mut headers = end_to_end(&answer.headers);
        headers.remove(header::CONTENT_ENCODING);
        self.writer.begin(answer.status, headers, self.close)
    }
}
