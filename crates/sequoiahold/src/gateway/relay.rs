//! Passes the events of a stream on as they arrive.

use std::time::Duration;

use actix_http::header;
use actix_rt::time::{Instant, timeout};
use sequoiahold_core::direct::event_splitter::EventSplitter;

use crate::h1::{ResponseWriter, Upstream, UpstreamResponse, end_to_end_headers};

/// What the caller has got of a stream.
pub(super) struct Relay<'a> {
    writer: &'a mut ResponseWriter,
    /// The events.
    pub(super) events: EventSplitter,
    /// Whether the head of the answer has gone out.
    pub(super) begun: bool,
    /// When the first event went out.
    pub(super) first: Option<Instant>,
    close: bool,
}

/// How a part of a stream from one endpoint ended.
#[derive(Debug)]
pub(super) enum Part {
    /// With the end of the stream.
    Done,
    /// Before that.
    Broken {
        /// What went wrong.
        fault: String,
        /// Whether the connection broke, as it does where the endpoint crashes.
        broke: bool,
    },
    /// The caller takes no more.
    CallerGone,
}

impl Part {
    fn broken(fault: impl Into<String>, broke: bool) -> Self {
        Self::Broken { fault: fault.into(), broke }
    }
}

impl<'a> Relay<'a> {
    /// Returns a relay that goes on after the event that the caller holds.
    pub(super) fn new(writer: &'a mut ResponseWriter, last: Option<u64>, close: bool) -> Self {
        Self { writer, events: EventSplitter::resume_after(last), begun: false, first: None, close }
    }

    /// Returns the caller's side, to write another answer where nothing has gone out.
    pub(super) fn writer(&mut self) -> &mut ResponseWriter {
        self.writer
    }

    /// Passes on what one endpoint produces; a pause of `silence` ends it.
    pub(super) async fn pass(
        &mut self,
        answer: &UpstreamResponse,
        upstream: &mut Upstream,
        silence: Duration,
        mut moved: impl FnMut(),
    ) -> Part {
        self.events.discard_partial();
        loop {
            let part = match timeout(silence, upstream.read_chunk()).await {
                Err(_) => return Part::broken("no event in time", false),
                Ok(Err(error)) => return Part::broken(error.to_string(), error.is_disconnect()),
                Ok(Ok(None)) if self.events.is_complete() => return self.end(answer).await,
                Ok(Ok(None)) => return Part::broken("ended within an event", false),
                Ok(Ok(Some(part))) => part,
            };
            let whole = match self.events.push(&part) {
                Ok(whole) if whole.is_empty() => continue,
                Ok(whole) => whole,
                Err(error) => return Part::broken(format!("{error:?}"), false),
            };
            moved();
            if self.begin(answer).is_err() || self.writer.write_chunk(whole).await.is_err() {
                return Part::CallerGone;
            }
        }
    }

    async fn end(&mut self, answer: &UpstreamResponse) -> Part {
        match self.begin(answer).is_ok() && self.writer.end_response().await.is_ok() {
            true => Part::Done,
            false => Part::CallerGone,
        }
    }

    fn begin(&mut self, answer: &UpstreamResponse) -> std::io::Result<()> {
        if self.begun {
            return Ok(());
        }
        self.begun = true;
        self.first = Some(Instant::now());
        let mut headers = end_to_end_headers(&answer.headers);
        headers.remove(header::CONTENT_ENCODING);
        self.writer.begin(answer.status, headers, self.close)
    }
}
