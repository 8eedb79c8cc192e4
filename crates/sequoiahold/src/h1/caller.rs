//! A caller's connection.

use std::{io, time::Duration};

use actix_codec::{Decoder as _, Encoder as _};
use actix_http::{
    ConnectionType, Method, Request, Response, ServiceConfig, StatusCode,
    body::BodySize,
    h1::{Codec, Message},
    header::{self, HeaderMap},
};
use actix_rt::time::Instant;
use bytes::{Bytes, BytesMut};
use sequoiahold_core::direct::catalog::CallerLimits;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::timeout_at,
};

/// Bytes that are read ahead while a request is in progress.
const READ_AHEAD: usize = 65_536;
/// Longest time between two parts of a body.
const BODY_PAUSE: Duration = Duration::from_secs(10);

/// A request that was read whole.
#[derive(Debug)]
pub struct Incoming {
    /// The method.
    pub method: Method,
    /// The path and query as the caller wrote them.
    pub target: String,
    /// The host without a port, in lower case.
    pub host: String,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// When its last byte was read.
    pub arrived: Instant,
}

impl Incoming {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("/")
    }

    /// Returns a header as text.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// What came from a caller.
#[derive(Debug)]
pub enum Received {
    /// A whole request.
    Request(Box<Incoming>),
    /// Bytes that are no request, and the status that says why.
    Malformed(StatusCode),
    /// The caller closed the connection, or it was idle for too long.
    Closed,
}

/// The half that reads.
#[derive(Debug)]
pub struct Reader {
    half: OwnedReadHalf,
    bytes: BytesMut,
}

/// The half that writes.
#[derive(Debug)]
pub struct Writer {
    half: OwnedWriteHalf,
    codec: Codec,
    bytes: BytesMut,
}

/// A caller's connection.
#[derive(Debug)]
pub struct Caller {
    /// The half that reads.
    pub reader: Reader,
    /// The half that writes.
    pub writer: Writer,
}

impl Caller {
    /// Takes a connection.
    pub fn new(stream: TcpStream, config: ServiceConfig) -> Self {
        let (read, write) = stream.into_split();
        Self {
            reader: Reader { half: read, bytes: BytesMut::new() },
            writer: Writer { half: write, codec: Codec::new(config), bytes: BytesMut::new() },
        }
    }

    /// Reads the next request.
    pub async fn receive(&mut self, bounds: &CallerLimits) -> Received {
        let head = match self.head(bounds).await {
            Ok(head) => head,
            Err(received) => return received,
        };
        let Some(head) = head else { return Received::Closed };
        match self.incoming(head, bounds).await {
            Ok(incoming) => Received::Request(Box::new(incoming)),
            Err(received) => received,
        }
    }

    async fn head(&mut self, bounds: &CallerLimits) -> Result<Option<Request>, Received> {
        let mut until = Instant::now() + Duration::from(bounds.idle_timeout);
        let mut begun = !self.reader.bytes.is_empty();
        if begun {
            until = Instant::now() + Duration::from(bounds.head_timeout);
        }
        loop {
            let malformed = |_| Received::Malformed(StatusCode::BAD_REQUEST);
            match self.writer.codec.decode(&mut self.reader.bytes).map_err(malformed)? {
                Some(Message::Item(request)) => return Ok(Some(request)),
                Some(Message::Chunk(_)) => return Err(Received::Closed),
                None if self.reader.bytes.len() as u64 > bounds.max_head.0 => {
                    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
                    return Err(Received::Malformed(status));
                }
                None => {}
            }
            match timeout_at(until, self.reader.fill()).await {
                Ok(Ok(read)) if read > 0 => {}
                Err(_) if begun => return Err(Received::Malformed(StatusCode::REQUEST_TIMEOUT)),
                _ => return Ok(None),
            }
            if !begun {
                begun = true;
                until = Instant::now() + Duration::from(bounds.head_timeout);
            }
        }
    }

    async fn incoming(
        &mut self,
        mut request: Request,
        bounds: &CallerLimits,
    ) -> Result<Incoming, Received> {
        if request.head().expect() {
            self.writer.proceed().await.map_err(|_| Received::Closed)?;
        }
        let body = self.body(bounds).await?;
        let uri = request.uri();
        let target = uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
        let authority = uri.host().map(str::to_owned);
        let named = request.head().headers.get(header::HOST).and_then(|v| v.to_str().ok());
        let host = authority.or_else(|| named.map(without_port)).unwrap_or_default();
        let method = request.method().clone();
        let headers = std::mem::take(&mut request.head_mut().headers);
        Ok(Incoming {
            method,
            target,
            host: host.to_ascii_lowercase(),
            headers,
            body,
            arrived: Instant::now(),
        })
    }

    async fn body(&mut self, bounds: &CallerLimits) -> Result<Bytes, Received> {
        use actix_http::h1::MessageType;
        if self.writer.codec.message_type() == MessageType::None {
            return Ok(Bytes::new());
        }
        let mut body = BytesMut::new();
        loop {
            let malformed = |_| Received::Malformed(StatusCode::BAD_REQUEST);
            match self.writer.codec.decode(&mut self.reader.bytes).map_err(malformed)? {
                Some(Message::Chunk(Some(part))) => body.extend_from_slice(&part),
                Some(Message::Chunk(None)) => return Ok(body.freeze()),
                Some(Message::Item(_)) => return Err(Received::Closed),
                None => {
                    let until = Instant::now() + BODY_PAUSE;
                    match timeout_at(until, self.reader.fill()).await {
                        Ok(Ok(read)) if read > 0 => {}
                        _ => return Err(Received::Closed),
                    }
                }
            }
            if body.len() as u64 > bounds.max_body.0 {
                return Err(Received::Malformed(StatusCode::PAYLOAD_TOO_LARGE));
            }
        }
    }
}

impl Reader {
    /// Returns once the caller has closed the connection, or it has broken.
    pub async fn closed(&mut self) {
        while self.bytes.len() < READ_AHEAD {
            match self.fill().await {
                Ok(read) if read > 0 => {}
                _ => return,
            }
        }
        std::future::pending().await
    }

    /// Returns whether a further request has begun to arrive.
    pub fn has_more(&self) -> bool {
        !self.bytes.is_empty()
    }

    async fn fill(&mut self) -> io::Result<usize> {
        self.half.read_buf(&mut self.bytes).await
    }
}

impl Writer {
    /// Writes a whole answer; `close` announces the end of the connection.
    pub async fn answer(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: &[u8],
        close: bool,
    ) -> io::Result<()> {
        self.head(status, headers, BodySize::Sized(body.len() as u64), close)?;
        self.encode(Message::Chunk(Some(Bytes::copy_from_slice(body))))?;
        self.flush().await
    }

    /// Begins an answer whose parts follow; they go out with the first one.
    pub fn begin(&mut self, status: StatusCode, headers: HeaderMap, close: bool) -> io::Result<()> {
        self.head(status, headers, BodySize::Stream, close)
    }

    /// Writes a part of an answer that was begun.
    pub async fn part(&mut self, part: Bytes) -> io::Result<()> {
        self.encode(Message::Chunk(Some(part)))?;
        self.flush().await
    }

    /// Ends an answer that was begun.
    pub async fn end(&mut self) -> io::Result<()> {
        self.encode(Message::Chunk(None))?;
        self.flush().await
    }

    /// Closes the writing side so that the last bytes arrive before the end.
    pub async fn close(&mut self) -> io::Result<()> {
        self.half.shutdown().await
    }

    /// Returns whether the caller wants to keep the connection.
    pub fn keeps(&self) -> bool {
        self.codec.keep_alive()
    }

    async fn proceed(&mut self) -> io::Result<()> {
        self.bytes.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        self.flush().await
    }

    fn head(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        size: BodySize,
        close: bool,
    ) -> io::Result<()> {
        let mut response = Response::with_body(status, ());
        *response.headers_mut() = headers;
        if close {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        self.encode(Message::Item((response, size)))
    }

    fn encode(&mut self, message: Message<(Response<()>, BodySize)>) -> io::Result<()> {
        self.codec.encode(message, &mut self.bytes)
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.half.write_all_buf(&mut self.bytes).await
    }
}

/// Answers the requests on a connection, one after the other, with whole bodies.
pub async fn answer_each(
    mut caller: Caller,
    mut answer: impl AsyncFnMut(&Incoming) -> (StatusCode, HeaderMap, Bytes),
) {
    let bounds = CallerLimits::default();
    while let Received::Request(request) = caller.receive(&bounds).await {
        let (status, headers, body) = answer(&request).await;
        let written = caller.writer.answer(status, headers, &body, false).await;
        if written.is_err() || !caller.writer.keeps() {
            return;
        }
    }
}

fn without_port(host: &str) -> String {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name.to_owned(),
        _ => host.to_owned(),
    }
}
