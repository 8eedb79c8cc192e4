//! Short answers of the stand-ins.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use actix_http::{
    Request, Response, StatusCode,
    body::{BodySize, MessageBody},
    header,
};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt as _;
use serde::Serialize;
use tokio::sync::mpsc;

/// A body that is whole or arrives piece by piece.
#[derive(Debug)]
pub enum Body {
    /// The whole body.
    Full(Bytes),
    /// Pieces; the end of the channel without an empty piece breaks the body off.
    Stream(mpsc::UnboundedReceiver<Bytes>),
}

impl Body {
    /// Returns a body that breaks off before its first byte.
    pub fn aborted() -> Self {
        Self::Stream(mpsc::unbounded_channel().1)
    }

    /// Returns a body that breaks off after a part.
    pub fn aborted_after(part: Bytes) -> Self {
        let (pieces, receiver) = mpsc::unbounded_channel();
        let _ = pieces.send(part);
        Self::Stream(receiver)
    }
}

/// A body that broke off.
#[derive(Clone, Copy, Debug)]
pub struct BodyAborted;

impl std::fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the stand-in broke the answer off")
    }
}

impl std::error::Error for BodyAborted {}

impl MessageBody for Body {
    type Error = BodyAborted;

    fn size(&self) -> BodySize {
        match self {
            Self::Full(body) => BodySize::Sized(body.len() as u64),
            Self::Stream(_) => BodySize::Stream,
        }
    }

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyAborted>>> {
        match self.get_mut() {
            Self::Full(body) if body.is_empty() => Poll::Ready(None),
            Self::Full(body) => Poll::Ready(Some(Ok(std::mem::take(body)))),
            Self::Stream(pieces) => pieces.poll_recv(context).map(|piece| match piece {
                Some(piece) if piece.is_empty() => None,
                Some(piece) => Some(Ok(piece)),
                None => Some(Err(BodyAborted)),
            }),
        }
    }
}

/// Returns an answer with a JSON body.
pub fn json(value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::with_body(StatusCode::OK, Body::Full(Bytes::from(body)))
}

/// Returns an answer with bytes.
pub fn data(body: Bytes) -> Response<Body> {
    Response::with_body(StatusCode::OK, Body::Full(body))
}

/// Returns an answer without a body.
pub fn status(code: u16) -> Response<Body> {
    let code = StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    Response::with_body(code, Body::Full(Bytes::new()))
}

/// Returns a refusal that asks the caller to come back after whole seconds.
pub fn retry_after(code: u16, seconds: u64) -> Response<Body> {
    let mut response = status(code);
    response.headers_mut().insert(header::RETRY_AFTER, header::HeaderValue::from(seconds));
    response
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
