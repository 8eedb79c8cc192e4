//! Server side of an HTTP/1.1 connection from a caller.

use std::{io, time::Duration};

use actix_codec::{Decoder as _, Encoder as _};
use actix_http::{
    ConnectionType, Method, Request, Response, ServiceConfig, StatusCode,
    body::BodySize,
    h1::{Codec, Message},
    header::{self, HeaderMap},
};
use actix_rt::time::Instant;
use bytes::{Buf, Bytes, BytesMut};
use sequoiahold_core::direct::catalog::CallerLimits;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::timeout_at,
};

use super::body::{Allowance, BodyBuffer, Unlimited};
use crate::client::ends_with_head;

/// Length of a body from which it is written from where it is, not copied behind the head.
const MIN_UNCOPIED_BYTES: usize = 16_384;
/// Bytes buffered beyond the current request; more are left in the socket.
const MAX_READ_AHEAD_BYTES: usize = 65_536;
/// Maximum time without a new byte of a request body.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time in which a caller takes no byte of a response.
const READER_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// A request with its complete body.
#[derive(Debug)]
pub struct IncomingRequest {
    /// The HTTP method.
    pub method: Method,
    /// The path and query as received.
    pub target: String,
    /// The host in lower case, without the port.
    pub host: String,
    /// The request headers.
    pub headers: HeaderMap,
    /// The complete body, empty if the request has none.
    pub body: Bytes,
    /// The time at which the last byte was read.
    pub received_at: Instant,
}

impl IncomingRequest {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("/")
    }

    /// Returns the value of a header, `None` if it is absent or not visible ASCII.
    pub fn header_text(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Outcome of reading the next request.
#[derive(Debug)]
pub enum Received {
    /// A complete request.
    Request(Box<IncomingRequest>),
    /// The bytes are not an acceptable request, or there is no memory for it; the status is the
    /// response to send.
    Malformed(StatusCode),
    /// The caller closed the connection, or the connection was idle for too long.
    Closed,
}

/// The read half of the connection.
#[derive(Debug)]
pub struct RequestReader {
    stream: OwnedReadHalf,
    buffer: BytesMut,
}

/// The write half of the connection.
#[derive(Debug)]
pub struct ResponseWriter {
    stream: OwnedWriteHalf,
    codec: Codec,
    buffer: BytesMut,
}

/// Server side of an HTTP/1.1 connection from a caller.
#[derive(Debug)]
pub struct CallerConnection {
    /// The read half of the connection.
    pub reader: RequestReader,
    /// The write half of the connection.
    pub writer: ResponseWriter,
}

impl CallerConnection {
    /// Wraps an accepted TCP stream.
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

    /// Reads the next request within the time and size limits of `limits`.
    ///
    /// A body that `allowance` does not allow is answered with status 503.
    pub async fn read_request(
        &mut self,
        limits: &CallerLimits,
        allowance: &impl Allowance,
    ) -> Received {
        let head = match self.read_head(limits).await {
            Ok(head) => head,
            Err(received) => return received,
        };
        let Some(head) = head else { return Received::Closed };
        match self.complete_request(head, limits, allowance).await {
            Ok(incoming) => Received::Request(Box::new(incoming)),
            Err(received) => received,
        }
    }

    async fn read_head(&mut self, limits: &CallerLimits) -> Result<Option<Request>, Received> {
        let mut deadline = Instant::now() + Duration::from(limits.idle_timeout);
        let mut started = !self.reader.buffer.is_empty();
        if started {
            deadline = Instant::now() + Duration::from(limits.head_timeout);
        }
        loop {
            let malformed = |_| Received::Malformed(StatusCode::BAD_REQUEST);
            match self.writer.codec.decode(&mut self.reader.buffer).map_err(malformed)? {
                Some(Message::Item(request)) => return Ok(Some(request)),
                Some(Message::Chunk(_)) => return Err(Received::Closed),
                None if self.reader.buffer.len() as u64 > limits.max_head.0 => {
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
                deadline = Instant::now() + Duration::from(limits.head_timeout);
            }
        }
    }

    async fn complete_request(
        &mut self,
        mut request: Request,
        limits: &CallerLimits,
        allowance: &impl Allowance,
    ) -> Result<IncomingRequest, Received> {
        if request.head().expect() {
            self.writer.write_continue().await.map_err(|_| Received::Closed)?;
        }
        let length = request.head().headers.get(header::CONTENT_LENGTH);
        let length = length.and_then(|value| value.to_str().ok()?.parse().ok());
        let body = self.read_body(limits, length, allowance).await?;
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

    async fn read_body(
        &mut self,
        limits: &CallerLimits,
        length: Option<u64>,
        allowance: &impl Allowance,
    ) -> Result<Bytes, Received> {
        use actix_http::h1::MessageType;
        if self.writer.codec.message_type() == MessageType::None {
            return Ok(Bytes::new());
        }
        let max_len = length.unwrap_or(u64::MAX).min(limits.max_body.0) as usize;
        let mut body = BodyBuffer::new(max_len, allowance);
        loop {
            let malformed = |_| Received::Malformed(StatusCode::BAD_REQUEST);
            match self.writer.codec.decode(&mut self.reader.buffer).map_err(malformed)? {
                Some(Message::Chunk(Some(chunk))) => {
                    if !body.push(&chunk) {
                        return Err(Received::Malformed(StatusCode::SERVICE_UNAVAILABLE));
                    }
                }
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
            if body.len() as u64 > limits.max_body.0 {
                return Err(Received::Malformed(StatusCode::PAYLOAD_TOO_LARGE));
            }
        }
    }
}

impl RequestReader {
    /// Returns when the caller has closed the connection or the connection has failed.
    pub async fn wait_closed(&mut self) {
        while self.buffer.len() < MAX_READ_AHEAD_BYTES {
            match self.fill_buffer().await {
                Ok(read) if read > 0 => {}
                _ => return,
            }
        }
        std::future::pending().await
    }

    /// Returns whether bytes of a further request are buffered.
    pub fn has_buffered(&self) -> bool {
        !self.buffer.is_empty()
    }

    async fn fill_buffer(&mut self) -> io::Result<usize> {
        self.stream.read_buf(&mut self.buffer).await
    }
}

impl ResponseWriter {
    /// Writes a complete response; `close` announces that the connection will be closed.
    ///
    /// A body is left out where the status has none.
    pub async fn write_response(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: &[u8],
        close: bool,
    ) -> io::Result<()> {
        if ends_with_head(status.as_u16()) {
            self.encode_head(status, headers, BodySize::None, close)?;
            return self.flush().await;
        }
        self.encode_head(status, headers, BodySize::Sized(body.len() as u64), close)?;
        if body.len() >= MIN_UNCOPIED_BYTES {
            return write_all(&mut self.stream, &mut (&mut self.buffer).chain(body)).await;
        }
        self.encode(Message::Chunk(Some(Bytes::copy_from_slice(body))))?;
        self.flush().await
    }

    /// Starts a streamed response; the headers are sent together with the first chunk.
    pub fn begin(&mut self, status: StatusCode, headers: HeaderMap, close: bool) -> io::Result<()> {
        self.encode_head(status, headers, BodySize::Stream, close)
    }

    /// Writes a chunk of a streamed response.
    pub async fn write_chunk(&mut self, chunk: Bytes) -> io::Result<()> {
        self.encode(Message::Chunk(Some(chunk)))?;
        self.flush().await
    }

    /// Writes the end of a streamed response.
    pub async fn end_response(&mut self) -> io::Result<()> {
        self.encode(Message::Chunk(None))?;
        self.flush().await
    }

    /// Shuts down the write half, so that all bytes written before are delivered.
    pub async fn shutdown(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }

    /// Returns whether the caller keeps the connection open for further requests.
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
        write_all(&mut self.stream, &mut self.buffer).await
    }
}

/// Writes all bytes; fails once the caller has taken none for [`READER_IDLE_TIMEOUT`].
async fn write_all(stream: &mut OwnedWriteHalf, bytes: &mut impl Buf) -> io::Result<()> {
    while bytes.has_remaining() {
        let deadline = Instant::now() + READER_IDLE_TIMEOUT;
        if timeout_at(deadline, stream.write_buf(bytes)).await?? == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
    }
    Ok(())
}

/// Serves the requests of a connection one after the other, each with a complete response body.
pub async fn serve_requests(
    mut caller: CallerConnection,
    mut handler: impl AsyncFnMut(&IncomingRequest) -> (StatusCode, HeaderMap, Bytes),
) {
    let limits = CallerLimits::default();
    while let Received::Request(request) = caller.read_request(&limits, &Unlimited).await {
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
