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
use sequoiahold_core::direct::catalog::CallerBounds;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::timeout_at,
};

/// Bytes that are read ahead while a request is in progress.
const MAX_READ_AHEAD_BYTES: usize = 65_536;
/// Longest time between two parts of a body.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A request that was read whole.
#[derive(Debug)]
pub struct IncomingRequest {
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
    pub received_at: Instant,
}

impl IncomingRequest {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("/")
    }

    /// Returns a header as text.
    pub fn header_text(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// What came from a caller.
#[derive(Debug)]
pub enum Received {
    /// A whole request.
    Request(Box<IncomingRequest>),
    /// Bytes that are no request, and the status that says why.
    Malformed(StatusCode),
    /// The caller closed the connection, or it was idle for too long.
    Closed,
}

/// The half that reads.
#[derive(Debug)]
pub struct RequestReader {
    stream: OwnedReadHalf,
    buffer: BytesMut,
}

/// The half that writes.
#[derive(Debug)]
pub struct ResponseWriter {
    stream: OwnedWriteHalf,
    codec: Codec,
    buffer: BytesMut,
}

/// A caller's connection.
#[derive(Debug)]
pub struct CallerConnection {
    /// The half that reads.
    pub reader: RequestReader,
    /// The half that writes.
    pub writer: ResponseWriter,
}

impl CallerConnection {
    /// Takes a connection.
    pub fn new(stream: TcpStream, config: ServiceConfig) -> Self {
        let (read, write) = stream.into_split();
        Self {
            reader: RequestReader { stream: read, buffer: BytesMut::new() },
            writer: ResponseWriter {
                stream: write,
                codec: Codec::new(config),
                buffer: BytesMut::new(),
            },
        }
    }

    /// Reads the next request.
    pub async fn read_request(&mut self, bounds: &CallerBounds) -> Received {
        let head = match self.read_head(bounds).await {
            Ok(head) => head,
            Err(received) => return received,
        };
        let Some(head) = head else { return Received::Closed };
        match self.complete_request(head, bounds).await {
            Ok(incoming) => Received::Request(Box::new(incoming)),
            Err(received) => received,
        }
    }

    async fn read_head(&mut self, bounds: &CallerBounds) -> Result<Option<Request>, Received> {
        let mut deadline = Instant::now() + Duration::from(bounds.idle);
        let mut started = !self.reader.buffer.is_empty();
        if started {
            deadline = Instant::now() + Duration::from(bounds.head_time);
        }
        loop {
            let malformed = |_| Received::Malformed(StatusCode::BAD_REQUEST);
            match self.writer.codec.decode(&mut self.reader.buffer).map_err(malformed)? {
                Some(Message::Item(request)) => return Ok(Some(request)),
                Some(Message::Chunk(_)) => return Err(Received::Closed),
                None if self.reader.buffer.len() as u64 > bounds.head.0 => {
                    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
                    return Err(Received::Malformed(status));
                }
                None => {}
            }
            match timeout_at(deadline, self.reader.fill_buffer()).await {
                Ok(Ok(read)) if read > 0 => {}
                Err(_) if started => return Err(Received::Malformed(StatusCode::REQUEST_TIMEOUT)),
                _ => return Ok(None),
            }
            if !started {
                started = true;
                deadline = Instant::now() + Duration::from(bounds.head_time);
            }
        }
    }

    async fn complete_request(
        &mut self,
        mut request: Request,
        bounds: &CallerBounds,
    ) -> Result<IncomingRequest, Received> {
        if request.head().expect() {
            self.writer.write_continue().await.map_err(|_| Received::Closed)?;
        }
        let body = self.read_body(bounds).await?;
        let uri = request.uri();
        let target = uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
        let authority = uri.host().map(str::to_owned);
        let host_header = request.head().headers.get(header::HOST).and_then(|v| v.to_str().ok());
        let host = authority.or_else(|| host_header.map(without_port)).unwrap_or_default();
        let method = request.method().clone();
        let headers = std::mem::take(&mut request.head_mut().headers);
        Ok(IncomingRequest {
            method,
            target,
            host: host.to_ascii_lowercase(),
            headers,
            body,
            received_at: Instant::now(),
        })
    }

    async fn read_body(&mut self, bounds: &CallerBounds) -> Result<Bytes, Received> {
        use actix_http::h1::MessageType;
        if self.writer.codec.message_type() == MessageType::None {
            return Ok(Bytes::new());
        }
        let mut body = BytesMut::new();
        loop {
            let malformed = |_| Received::Malformed(StatusCode::BAD_REQUEST);
            match self.writer.codec.decode(&mut self.reader.buffer).map_err(malformed)? {
                Some(Message::Chunk(Some(chunk))) => body.extend_from_slice(&chunk),
                Some(Message::Chunk(None)) => return Ok(body.freeze()),
                Some(Message::Item(_)) => return Err(Received::Closed),
                None => {
                    let deadline = Instant::now() + BODY_IDLE_TIMEOUT;
                    match timeout_at(deadline, self.reader.fill_buffer()).await {
                        Ok(Ok(read)) if read > 0 => {}
                        _ => return Err(Received::Closed),
                    }
                }
            }
            if body.len() as u64 > bounds.body.0 {
                return Err(Received::Malformed(StatusCode::PAYLOAD_TOO_LARGE));
            }
        }
    }
}

impl RequestReader {
    /// Returns once the caller has closed the connection, or it has broken.
    pub async fn wait_closed(&mut self) {
        while self.buffer.len() < MAX_READ_AHEAD_BYTES {
            match self.fill_buffer().await {
                Ok(read) if read > 0 => {}
                _ => return,
            }
        }
        std::future::pending().await
    }

    /// Returns whether a further request has begun to arrive.
    pub fn has_buffered(&self) -> bool {
        !self.buffer.is_empty()
    }

    async fn fill_buffer(&mut self) -> io::Result<usize> {
        self.stream.read_buf(&mut self.buffer).await
    }
}

impl ResponseWriter {
    /// Writes a whole answer; `close` announces the end of the connection.
    pub async fn write_response(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: &[u8],
        close: bool,
    ) -> io::Result<()> {
        self.encode_head(status, headers, BodySize::Sized(body.len() as u64), close)?;
        self.encode(Message::Chunk(Some(Bytes::copy_from_slice(body))))?;
        self.flush().await
    }

    /// Begins an answer whose parts follow; they go out with the first one.
    pub fn begin(&mut self, status: StatusCode, headers: HeaderMap, close: bool) -> io::Result<()> {
        self.encode_head(status, headers, BodySize::Stream, close)
    }

    /// Writes a part of an answer that was begun.
    pub async fn write_chunk(&mut self, chunk: Bytes) -> io::Result<()> {
        self.encode(Message::Chunk(Some(chunk)))?;
        self.flush().await
    }

    /// Ends an answer that was begun.
    pub async fn end_response(&mut self) -> io::Result<()> {
        self.encode(Message::Chunk(None))?;
        self.flush().await
    }

    /// Closes the writing side so that the last bytes arrive before the end.
    pub async fn shutdown(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }

    /// Returns whether the caller wants to keep the connection.
    pub fn keep_alive(&self) -> bool {
        self.codec.keep_alive()
    }

    async fn write_continue(&mut self) -> io::Result<()> {
        self.buffer.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
        self.flush().await
    }

    fn encode_head(
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
        self.codec.encode(message, &mut self.buffer)
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.stream.write_all_buf(&mut self.buffer).await
    }
}

/// Answers the requests on a connection, one after the other, with whole bodies.
pub async fn serve_requests(
    mut caller: CallerConnection,
    mut handler: impl AsyncFnMut(&IncomingRequest) -> (StatusCode, HeaderMap, Bytes),
) {
    let bounds = CallerBounds::default();
    while let Received::Request(request) = caller.read_request(&bounds).await {
        let (status, headers, body) = handler(&request).await;
        let written = caller.writer.write_response(status, headers, &body, false).await;
        if written.is_err() || !caller.writer.keep_alive() {
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
