//! The body of an answer to a caller.

use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll},
};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use tokio::sync::mpsc;

use super::server::RequestGuard;

/// An answer that broke off before its end.
#[derive(Clone, Copy, Debug)]
pub struct TruncatedAnswer;

impl fmt::Display for TruncatedAnswer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for TruncatedAnswer {}

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// The whole body.
    Complete(Bytes),
    /// Parts as they arrive; `None` from the channel without an end mark breaks the answer off.
    ///
    /// The request counts as in progress until its body is written.
    Streamed(
        mpsc::Receiver<BodyPart>,
        #[expect(dead_code, reason = "held until the body is written")] RequestGuard,
    ),
}

/// A part of a body that arrives piece by piece.
#[derive(Clone, Debug)]
pub enum BodyPart {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is whole.
    End,
}

impl MessageBody for Body {
    type Error = TruncatedAnswer;

    fn size(&self) -> BodySize {
        match self {
            Self::Complete(body) => BodySize::Sized(body.len() as u64),
            Self::Streamed(..) => BodySize::Stream,
        }
    }

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, TruncatedAnswer>>> {
        match self.get_mut() {
            Self::Complete(body) if body.is_empty() => Poll::Ready(None),
            Self::Complete(body) => Poll::Ready(Some(Ok(std::mem::take(body)))),
            Self::Streamed(parts, _) => parts.poll_recv(context).map(|part| match part {
                Some(BodyPart::Data(data)) => Some(Ok(data)),
                Some(BodyPart::End) => None,
                None => Some(Err(TruncatedAnswer)),
            }),
        }
    }
}
