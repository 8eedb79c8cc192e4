//! The body of an answer to a caller.

use std::{
    fmt,
    pin::Pin,
    task::{Context, Poll},
};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use tokio::sync::mpsc;

use super::server::Active;

/// An answer that broke off before its end.
#[derive(Clone, Copy, Debug)]
pub struct BrokenOff;

impl fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for BrokenOff {}

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// The whole body.
    Whole(Bytes),
    /// Parts as they arrive; `None` from the channel without an end mark breaks the answer off.
    ///
    /// The request counts as in progress until its body is written.
    Parts(
        mpsc::Receiver<Part>,
        #[expect(dead_code, reason = "held until the body is written")] Active,
    ),
}

/// A part of a body that arrives piece by piece.
#[derive(Clone, Debug)]
pub enum Part {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is whole.
    End,
}

impl MessageBody for Body {
    type Error = BrokenOff;

    fn size(&self) -> BodySize {
        match self {
            Self::Whole(body) => BodySize::Sized(body.len() as u64),
            Self::Parts(..) => BodySize::Stream,
        }
    }

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BrokenOff>>> {
        match self.get_mut() {
            Self::Whole(body) if body.is_empty() => Poll::Ready(None),
            Self::Whole(body) => Poll::Ready(Some(Ok(std::mem::take(body)))),
            Self::Parts(parts, _) => parts.poll_recv(context).map(|part| match part {
                Some(Part::Data(data)) => Some(Ok(data)),
                Some(Part::End) => None,
                None => Some(Err(BrokenOff)),
            }),
        }
    }
}
