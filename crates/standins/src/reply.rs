//! Short answers of the stand-ins.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use actix_http::{
    Request, Response, StatusCode,
    body::{BodySize, MessageBody},
};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use serde::Serialize;
use tokio::sync::mpsc;

/// A body that is whole or arrives piece by piece.
#[derive(Debug)]
pub enum Body {
    /// The whole body.
    Whole(Bytes),
    /// Pieces; the end of the channel without an empty piece breaks the body off.
    Pieces(mpsc::UnboundedReceiver<Bytes>),
}

impl Body {
    /// Returns a body that breaks off before its first byte.
    pub fn broken() -> Self {
        Self::Pieces(mpsc::unbounded_channel().1)
    }
}

/// A body that broke off.
#[derive(Clone, Copy, Debug)]
pub struct BrokenOff;

impl std::fmt::Display for BrokenOff {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stand-in broke the answer off")
    }
}

impl std::error::Error for BrokenOff {}

impl MessageBody for Body {
    type Error = BrokenOff;

    fn size(&self) -> BodySize {
        match self {
            Self::Whole(body) => BodySize::Sized(body.len() as u64),
            Self::Pieces(_) => BodySize::Stream,
        }
    }

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BrokenOff>>> {
        match self.get_mut() {
            Self::Whole(body) if body.is_empty() => Poll::Ready(None),
            Self::Whole(body) => Poll::Ready(Some(Ok(std::mem::take(body)))),
            Self::Pieces(pieces) => pieces.poll_recv(context).map(|piece| match piece {
                Some(piece) if piece.is_empty() => None,
                Some(piece) => Some(Ok(piece)),
                None => Some(Err(BrokenOff)),
            }),
        }
    }
}

/// Returns an answer with a JSON body.
pub fn json(value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::with_body(StatusCode::OK, Body::Whole(Bytes::from(body)))
}

/// Returns an answer with bytes.
pub fn data(body: Bytes) -> Response<Body> {
    Response::with_body(StatusCode::OK, Body::Whole(body))
}

/// Returns an answer without a body.
pub fn status(code: u16) -> Response<Body> {
    let code = StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    Response::with_body(code, Body::Whole(Bytes::new()))
}

/// Reads the body of a request.
pub async fn read_body(request: &mut Request) -> Bytes {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(Ok(part)) = payload.next().await {
        body.extend_from_slice(&part);
    }
    body.freeze()
}

/// Returns a value of the query of a request.
pub fn query<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let pairs = request.uri().query()?.split('&');
    pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, v)| v)
}
