//! Response bodies for callers.

use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll},
};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use tokio::sync::mpsc;

use super::server::RequestGuard;

/// The error of a response body that ended before it was complete.
#[derive(Clone, Copy, Debug)]
pub struct TruncatedResponse;

impl fmt::Display for TruncatedResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response ended before it was complete")
    }
}

impl std::error::Error for TruncatedResponse {}

/// The body of a response to a caller.
#[derive(Debug)]
pub enum Body {
    /// A complete body.
    Complete(Bytes),
    /// A body that arrives in parts; a channel that closes before [`BodyPart::End`] truncates it.
    ///
    /// The guard counts the request as in progress until the body is written.
    Streamed(
        mpsc::Receiver<BodyPart>,
        #[expect(dead_code, reason = "held until the body is written")] RequestGuard,
    ),
}

/// A part of a streamed body.
#[derive(Clone, Debug)]
pub enum BodyPart {
    /// The next bytes of the body.
    Data(Bytes),
    /// The end of a complete body.
    End,
}

impl MessageBody for Body {
    type Error = TruncatedResponse;

    fn size(&self) -> BodySize {
        match self {
            Self::Complete(body) => BodySize::Sized(body.len() as u64),
            Self::Streamed(..) => BodySize::Stream,
        }
    }

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, TruncatedResponse>>> {
        match self.get_mut() {
            Self::Complete(body) if body.is_empty() => Poll::Ready(None),
            Self::Complete(body) => Poll::Ready(Some(Ok(std::mem::take(body)))),
            Self::Streamed(parts, _) => parts.poll_recv(context).map(|part| match part {
                Some(BodyPart::Data(data)) => Some(Ok(data)),
                Some(BodyPart::End) => None,
                None => Some(Err(TruncatedResponse)),
            }),
        }
    }
}
