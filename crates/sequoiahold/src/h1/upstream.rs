//! Client side of an HTTP/1.1 connection to an endpoint, a peer or the platform.

use std::{fmt, io, mem::MaybeUninit, net::SocketAddr, time::Duration};

use actix_codec::{Decoder as _, Encoder as _};
use actix_http::{
    Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode, Version,
    body::BodySize,
    h1::{ClientCodec, ClientPayloadCodec, Message, MessageType},
    header::{self, HeaderMap},
};
use actix_rt::time::Instant;
use bytes::{Buf as _, Bytes, BytesMut};
use sequoiahold_core::ids::ConnectionId;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

use super::body::{Allowance, BodyBuffer, Unlimited};
use crate::client::{ends_with_head, is_final_status};

/// Idle time for which a connection is kept where the server sends no `Keep-Alive` timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// Longest idle time for which a connection is kept, whatever the server announces: the header holds
/// any number, which added to the clock may exceed its range.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(3_600);
/// Time before the keep-alive timeout from which a connection is no longer used.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(600);

/// How the end of a response body is determined.
enum BodyFraming {
    /// There is no body, or its end was read.
    Complete,
    /// By the content length or the last chunk.
    Delimited(Box<ClientPayloadCodec>),
    /// By the end of the connection.
    UntilClose,
}

/// Error of a request and its response.
#[derive(Debug)]
pub enum UpstreamError {
    /// The connection failed or ended before the response was complete.
    Io(io::Error),
    /// The bytes are not a valid response.
    Malformed(String),
    /// There is no memory for the body.
    NoMemory,
}

impl fmt::Display for UpstreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "connection: {error}"),
            Self::Malformed(fault) => write!(f, "malformed response: {fault}"),
            Self::NoMemory => f.write_str("no memory for the body of the response"),
        }
    }
}

impl std::error::Error for UpstreamError {}

impl UpstreamError {
    /// Returns whether the connection failed, as it does when the server crashes.
    pub fn is_disconnect(&self) -> bool {
        matches!(self, Self::Io(_))
    }
}

impl From<io::Error> for UpstreamError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// Error of sending a request.
#[derive(Debug)]
pub struct SendError {
    /// Whether any byte may have reached the server.
    pub partly_sent: bool,
    /// The error of the connection.
    pub error: io::Error,
}

/// Status and headers of a response; the body follows on the connection.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// The status code.
    pub status: StatusCode,
    /// The response headers.
    pub headers: HeaderMap,
}

impl UpstreamResponse {
    /// Returns the value of a header, `None` if it is absent or not visible ASCII.
    pub fn header_text(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A connection that carries one request at a time.
pub struct Upstream {
    id: ConnectionId,
    stream: TcpStream,
    addr: SocketAddr,
    config: ServiceConfig,
    codec: Option<ClientCodec>,
    framing: BodyFraming,
    content_length: Option<usize>,
    buffer: BytesMut,
    bodiless: bool,
    until_close: bool,
    reusable: bool,
    request_count: u32,
    usable_until: Instant,
    idle_since: Instant,
}

impl Upstream {
    /// Wraps an established TCP stream.
    pub fn new(
        id: ConnectionId,
        stream: TcpStream,
        addr: SocketAddr,
        config: ServiceConfig,
    ) -> Self {
        let now = Instant::now();
        Self {
            id,
            stream,
            addr,
            config,
            codec: None,
            framing: BodyFraming::Complete,
            content_length: None,
            buffer: BytesMut::new(),
            bodiless: false,
            until_close: false,
            reusable: true,
            request_count: 0,
            usable_until: now + DEFAULT_KEEP_ALIVE,
            idle_since: now,
        }
    }

    /// Returns the identifier.
    pub fn id(&self) -> ConnectionId {
        self.id
    }

    /// Returns the address of the server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns whether an earlier request was sent on this connection.
    pub fn is_reused(&self) -> bool {
        self.request_count > 1
    }

    /// Returns the time since the last response head was read, or since the connection was opened.
    pub fn idle_time(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// Sends a request and reads the complete response; an error may leave the request partly sent.
    pub async fn exchange(
        &mut self,
        method: Method,
        target: &str,
        headers: HeaderMap,
        body: &Bytes,
        max_bytes: usize,
    ) -> Result<(UpstreamResponse, Bytes), UpstreamError> {
        let sent = self.send(method, target, headers, body).await;
        sent.map_err(|error| error.error)?;
        let response = self.read_head().await?;
        let body = self.read_body(max_bytes, &Unlimited).await?;
        Ok((response, body))
    }

    /// Sends a request; stops early if the response starts before the whole body is sent.
    ///
    /// Sends nothing on a connection that has ended or on which bytes have arrived unasked: they
    /// would be taken for the response (RFC 9112, section 9.2).
    pub async fn send(
        &mut self,
        method: Method,
        target: &str,
        headers: HeaderMap,
        body: &Bytes,
    ) -> Result<(), SendError> {
        let not_sent = |error| SendError { partly_sent: false, error };
        if !self.is_quiet() {
            let fault = "the connection has ended or brought bytes unasked";
            return Err(not_sent(io::Error::new(io::ErrorKind::InvalidData, fault)));
        }
        let head = self.encode_request(method, target, headers, body).map_err(not_sent)?;
        let mut out = head.chain(body.clone());
        self.request_count += 1;
        let total_len = out.remaining();
        let (mut read, mut write) = self.stream.split();
        while out.has_remaining() {
            tokio::select! {
                biased;
                written = write.write_buf(&mut out) => {
                    let partly_sent = out.remaining() < total_len;
                    let written = written.map_err(|error| SendError { partly_sent, error })?;
                    if written == 0 {
                        let error = io::ErrorKind::WriteZero.into();
                        return Err(SendError { partly_sent, error });
                    }
                }
                ready = read_early_response(&mut read, &mut self.buffer) => {
                    let partly_sent = out.remaining() < total_len;
                    ready.map_err(|error| SendError { partly_sent, error })?;
                    self.reusable = false;
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// Reads the head of the next response; skips informational (1xx) responses, and fails where the
    /// status is not that of an answer.
    pub async fn read_head(&mut self) -> Result<UpstreamResponse, UpstreamError> {
        let mut codec = self.codec.take().unwrap_or_else(|| ClientCodec::new(self.config.clone()));
        loop {
            let malformed = |error| UpstreamError::Malformed(format!("{error}"));
            let Some(mut head) = codec.decode(&mut self.buffer).map_err(malformed)? else {
                self.fill_buffer().await?;
                continue;
            };
            if head.status.is_informational() && head.status != StatusCode::SWITCHING_PROTOCOLS {
                codec = ClientCodec::new(self.config.clone());
                continue;
            }
            let status = head.status.as_u16();
            if !is_final_status(status) {
                let fault = format!("status {status} is not that of an answer");
                return Err(UpstreamError::Malformed(fault));
            }
            self.update_keep_alive(&head, codec.keep_alive());
            self.framing = body_framing(&head, codec, self.bodiless)?;
            self.until_close = matches!(self.framing, BodyFraming::UntilClose);
            self.reusable &= !self.until_close;
            let headers = std::mem::take(&mut head.headers);
            let length = headers.get(header::CONTENT_LENGTH);
            self.content_length = length.and_then(|value| value.to_str().ok()?.parse().ok());
            return Ok(UpstreamResponse { status: head.status, headers });
        }
    }

    /// Reads the next chunk of the body, `None` at its regular end.
    pub async fn read_chunk(&mut self) -> Result<Option<Bytes>, UpstreamError> {
        loop {
            match &mut self.framing {
                BodyFraming::Complete => return Ok(None),
                BodyFraming::UntilClose if !self.buffer.is_empty() => {
                    return Ok(Some(self.buffer.split().freeze()));
                }
                BodyFraming::UntilClose => {
                    if self.stream.read_buf(&mut self.buffer).await? == 0 {
                        self.framing = BodyFraming::Complete;
                        return Ok(None);
                    }
                    continue;
                }
                BodyFraming::Delimited(codec) => {
                    let malformed = |error| UpstreamError::Malformed(format!("{error}"));
                    match codec.decode(&mut self.buffer).map_err(malformed)? {
                        Some(Some(part)) => return Ok(Some(part)),
                        Some(None) => {
                            self.framing = BodyFraming::Complete;
                            return Ok(None);
                        }
                        None => {}
                    }
                }
            }
            self.fill_buffer().await?;
        }
    }

    /// Reads the whole body; fails above `max_bytes` and where `allowance` does not allow it.
    pub async fn read_body(
        &mut self,
        max_bytes: usize,
        allowance: &impl Allowance,
    ) -> Result<Bytes, UpstreamError> {
        let max_len = self.content_length.unwrap_or(usize::MAX).min(max_bytes);
        let mut body = BodyBuffer::new(max_len, allowance);
        while let Some(part) = self.read_chunk().await? {
            if !body.push(&part) {
                return Err(UpstreamError::NoMemory);
            }
            if body.len() > max_bytes {
                return Err(UpstreamError::Malformed(format!("body exceeds {max_bytes} bytes")));
            }
        }
        Ok(body.freeze())
    }

    /// Reads the whole body and drops it; fails above `max_bytes`.
    pub async fn skip_body(&mut self, max_bytes: usize) -> Result<(), UpstreamError> {
        let mut skipped = 0;
        while let Some(part) = self.read_chunk().await? {
            skipped += part.len();
            if skipped > max_bytes {
                return Err(UpstreamError::Malformed(format!("body exceeds {max_bytes} bytes")));
            }
        }
        Ok(())
    }

    /// Returns whether the connection can carry another request: the last response was read to its
    /// end, no further bytes have arrived, and neither side has announced the close.
    pub fn is_reusable(&mut self) -> bool {
        let done = matches!(self.framing, BodyFraming::Complete);
        self.reusable && done && Instant::now() < self.usable_until && self.is_quiet()
    }

    /// Returns whether the last response has neither length nor chunks, so that its regular end
    /// looks like that of a server that crashed.
    pub fn ends_with_connection(&self) -> bool {
        self.until_close
    }

    /// Marks the connection as not reusable.
    pub fn forbid_reuse(&mut self) {
        self.reusable = false;
    }

    /// Returns whether the connection is open and all that has arrived on it was read.
    ///
    /// Asks the kernel: the runtime learns of new input only when it polls the next time.
    fn is_quiet(&self) -> bool {
        let peeked = SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        let is_empty = matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        self.buffer.is_empty() && is_empty
    }

    async fn fill_buffer(&mut self) -> Result<(), UpstreamError> {
        match self.stream.read_buf(&mut self.buffer).await? {
            0 => Err(UpstreamError::Io(io::ErrorKind::UnexpectedEof.into())),
            _ => Ok(()),
        }
    }

    fn encode_request(
        &mut self,
        method: Method,
        target: &str,
        mut headers: HeaderMap,
        body: &Bytes,
    ) -> io::Result<BytesMut> {
        if !headers.contains_key(header::HOST) {
            let host = self.addr.to_string().parse().map_err(io::Error::other)?;
            headers.insert(header::HOST, host);
        }
        let no_body = body.is_empty() && (method == Method::GET || method == Method::HEAD);
        let size = if no_body { BodySize::None } else { BodySize::Sized(body.len() as u64) };
        self.bodiless = method == Method::HEAD;
        let mut head = RequestHead::default();
        head.method = method;
        head.uri = target.parse().map_err(io::Error::other)?;
        head.headers = headers;
        let mut codec = ClientCodec::new(self.config.clone());
        let mut out = BytesMut::with_capacity(1_024);
        codec.encode(Message::Item((RequestHeadType::Owned(head), size)), &mut out)?;
        self.codec = Some(codec);
        self.framing = BodyFraming::Complete;
        Ok(out)
    }

    fn update_keep_alive(&mut self, head: &ResponseHead, keep_alive: bool) {
        self.reusable &= keep_alive;
        let header_value = head.headers.get("keep-alive").and_then(|value| value.to_str().ok());
        let seconds = header_value.and_then(|text| {
            let part = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
            part.and_then(|number| number.parse().ok())
        });
        let max_idle = seconds.map_or(DEFAULT_KEEP_ALIVE, Duration::from_secs).min(MAX_KEEP_ALIVE);
        let now = Instant::now();
        self.idle_since = now;
        self.usable_until = now + max_idle.saturating_sub(KEEP_ALIVE_MARGIN);
    }
}

async fn read_early_response(
    read: &mut tokio::net::tcp::ReadHalf<'_>,
    bytes: &mut BytesMut,
) -> io::Result<()> {
    match read.read_buf(bytes).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}

/// Returns how the body ends (RFC 9112, section 6.3); fails where the head does not tell for sure.
///
/// The codec looks neither at the status nor at the version, and reports a response with neither
/// length nor chunks as empty.
fn body_framing(
    head: &ResponseHead,
    codec: ClientCodec,
    bodiless: bool,
) -> Result<BodyFraming, UpstreamError> {
    if bodiless || ends_with_head(head.status.as_u16()) {
        return Ok(BodyFraming::Complete);
    }
    let is_old = head.version < Version::HTTP_11;
    if is_old && head.headers.contains_key(header::TRANSFER_ENCODING) {
        let fault = "transfer coding in a response before HTTP/1.1".to_owned();
        return Err(UpstreamError::Malformed(fault));
    }
    let has_length = head.headers.contains_key(header::CONTENT_LENGTH);
    Ok(match codec.message_type() {
        MessageType::None if has_length => BodyFraming::Complete,
        MessageType::Payload | MessageType::Stream if has_length || !is_old => {
            BodyFraming::Delimited(Box::new(codec.into_payload_codec()))
        }
        _ => BodyFraming::UntilClose,
    })
}
