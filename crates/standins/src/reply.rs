//! HTTP responses of the simulated services.

use std::{
    cell::RefCell,
    pin::Pin,
    rc::Rc,
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

/// A response body.
#[derive(Debug)]
pub enum Body {
    /// A body that is known in full.
    Full(Bytes),
    /// A streamed body that an empty item ends; closing the channel before that aborts it.
    Stream(mpsc::UnboundedReceiver<Bytes>),
}

impl Body {
    /// Returns a body that is aborted before its first byte.
    pub fn aborted() -> Self {
        Self::Stream(mpsc::unbounded_channel().1)
    }

    /// Returns a body that is aborted after `part`.
    pub fn aborted_after(part: Bytes) -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        let _ = sender.send(part);
        Self::Stream(receiver)
    }
}

/// The error of an aborted body.
#[derive(Clone, Copy, Debug)]
pub struct BodyAborted;

impl std::fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("response body aborted by the simulated service")
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
            Self::Stream(items) => items.poll_recv(context).map(|item| match item {
                Some(item) if item.is_empty() => None,
                Some(item) => Some(Ok(item)),
                None => Some(Err(BodyAborted)),
            }),
        }
    }
}

/// Returns a response of status 200 with a JSON body.
pub fn json(value: &impl Serialize) -> Response<Body> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    Response::with_body(StatusCode::OK, Body::Full(Bytes::from(body)))
}

/// Returns a response of status 200 with these bytes as its body.
pub fn data(body: Bytes) -> Response<Body> {
    Response::with_body(StatusCode::OK, Body::Full(body))
}

/// Returns a response without a body; an invalid `code` becomes 500.
pub fn status(code: u16) -> Response<Body> {
    let code = StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    Response::with_body(code, Body::Full(Bytes::new()))
}

/// Returns a response without a body and with a `Retry-After` header.
pub fn retry_after(code: u16, seconds: u64) -> Response<Body> {
    let mut response = status(code);
    response.headers_mut().insert(header::RETRY_AFTER, header::HeaderValue::from(seconds));
    response
}

/// Sets headers of a response; leaves out values that are not valid.
pub fn with_headers<B>(mut response: Response<B>, headers: &[(&'static str, &str)]) -> Response<B> {
    for (name, value) in headers {
        if let Ok(value) = header::HeaderValue::from_str(value) {
            response.headers_mut().insert(header::HeaderName::from_static(name), value);
        }
    }
    response
}

/// A `Keep-Alive` header that a simulated service adds to all its answers.
#[derive(Clone, Debug, Default)]
pub struct KeepAlive(Rc<RefCell<Option<String>>>);

impl KeepAlive {
    /// Sets the value of the header, `None` for answers without it.
    pub fn set(&self, value: Option<&str>) {
        *self.0.borrow_mut() = value.map(str::to_owned);
    }

    /// Adds the header to a response.
    pub fn add_to<B>(&self, response: Response<B>) -> Response<B> {
        match self.0.borrow().as_deref() {
            Some(value) => with_headers(response, &[("keep-alive", value)]),
            None => response,
        }
    }
}

/// Reads the body of a request, up to its end or the first error.
pub async fn read_body(request: &mut Request) -> Bytes {
    let mut payload = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(Ok(part)) = payload.next().await {
        body.extend_from_slice(&part);
    }
    body.freeze()
}

/// Returns the value of a query parameter, without percent-decoding.
pub fn query<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    let pairs = request.uri().query()?.split('&');
    pairs.filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, v)| v)
}
