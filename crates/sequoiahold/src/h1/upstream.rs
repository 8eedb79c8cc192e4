//! A connection to an endpoint, a peer or the platform.

use std::{fmt, io, net::SocketAddr, time::Duration};

use actix_codec::{Decoder as _, Encoder as _};
use actix_http::{
    Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, StatusCode,
    body::BodySize,
    h1::{ClientCodec, ClientPayloadCodec, Message, MessageType},
    header::{self, HeaderMap},
};
use actix_rt::time::Instant;
use bytes::{Bytes, BytesMut};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

/// Time that an idle connection is kept where the endpoint names none.
const KEEP: Duration = Duration::from_secs(4);
/// Time before the named end of an idle connection at which it is no longer used.
const KEEP_MARGIN: Duration = Duration::from_millis(600);

/// How the body of an answer ends.
enum Framing {
    /// There is none, or its end was read.
    Done,
    /// By its length or its last chunk.
    Marked(Box<ClientPayloadCodec>),
    /// With the connection.
    Closed,
}

/// Why an exchange failed.
#[derive(Debug)]
pub enum UpstreamError {
    /// The connection broke or ended early.
    Io(io::Error),
    /// The bytes are no answer.
    Malformed(String),
}

impl fmt::Display for UpstreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "connection: {error}"),
            Self::Malformed(fault) => write!(f, "malformed answer: {fault}"),
        }
    }
}

impl std::error::Error for UpstreamError {}

impl UpstreamError {
    /// Returns whether the connection broke, as it does where the other end crashes.
    pub fn is_break(&self) -> bool {
        matches!(self, Self::Io(_))
    }
}

impl From<io::Error> for UpstreamError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// Why a request was not sent whole.
#[derive(Debug)]
pub struct SendError {
    /// Whether any byte may have reached the other end.
    pub begun: bool,
    /// What went wrong.
    pub error: io::Error,
}

/// The head of an answer.
#[derive(Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
}

impl Answer {
    /// Returns a header as text.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A connection.
pub struct Upstream {
    stream: TcpStream,
    addr: SocketAddr,
    config: ServiceConfig,
    codec: Option<ClientCodec>,
    framing: Framing,
    bytes: BytesMut,
    bodiless: bool,
    reusable: bool,
    uses: u32,
    until: Instant,
    since: Instant,
}

impl Upstream {
    /// Takes a connection that was opened.
    pub fn new(stream: TcpStream, addr: SocketAddr, config: ServiceConfig) -> Self {
        let now = Instant::now();
        Self {
            stream,
            addr,
            config,
            codec: None,
            framing: Framing::Done,
            bytes: BytesMut::new(),
            bodiless: false,
            reusable: true,
            uses: 0,
            until: now + KEEP,
            since: now,
        }
    }

    /// Returns the address of the other end.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns whether a request was sent on it before.
    pub fn is_used(&self) -> bool {
        self.uses > 1
    }

    /// Returns how long the connection has been idle.
    pub fn idle(&self) -> Duration {
        self.since.elapsed()
    }

    /// Sends a request and reads the whole answer, where it does not matter what left before a fault.
    pub async fn call(
        &mut self,
        method: Method,
        target: &str,
        headers: HeaderMap,
        body: &Bytes,
        most: usize,
    ) -> Result<(StatusCode, Bytes), UpstreamError> {
        let sent = self.send(method, target, headers, body).await;
        sent.map_err(|error| error.error)?;
        let answer = self.head().await?;
        Ok((answer.status, self.body(most).await?))
    }

    /// Sends a request; an answer that begins before the body is out stops the sending.
    pub async fn send(
        &mut self,
        method: Method,
        target: &str,
        headers: HeaderMap,
        body: &Bytes,
    ) -> Result<(), SendError> {
        let unsent = |error| SendError { begun: false, error };
        let mut out = self.encode(method, target, headers, body).map_err(unsent)?;
        self.uses += 1;
        let whole = out.len();
        let (mut read, mut write) = self.stream.split();
        while !out.is_empty() {
            tokio::select! {
                biased;
                written = write.write_buf(&mut out) => {
                    let begun = out.len() < whole;
                    let written = written.map_err(|error| SendError { begun, error })?;
                    if written == 0 {
                        let error = io::ErrorKind::WriteZero.into();
                        return Err(SendError { begun, error });
                    }
                }
                ready = early(&mut read, &mut self.bytes) => {
                    let begun = out.len() < whole;
                    ready.map_err(|error| SendError { begun, error })?;
                    self.reusable = false;
                    return Ok(());
                }
            }
        }
        Ok(())
    }

    /// Reads the head of the next answer; interim answers are passed over.
    pub async fn head(&mut self) -> Result<Answer, UpstreamError> {
        let mut codec = self.codec.take().unwrap_or_else(|| ClientCodec::new(self.config.clone()));
        loop {
            let malformed = |error| UpstreamError::Malformed(format!("{error}"));
            let Some(mut head) = codec.decode(&mut self.bytes).map_err(malformed)? else {
                self.fill().await?;
                continue;
            };
            if head.status.is_informational() {
                codec = ClientCodec::new(self.config.clone());
                continue;
            }
            self.keep(&head, codec.keep_alive());
            self.framing = framing(&head, codec, self.bodiless);
            if matches!(self.framing, Framing::Closed) {
                self.reusable = false;
            }
            let headers = std::mem::take(&mut head.headers);
            return Ok(Answer { status: head.status, headers });
        }
    }

    /// Reads the next part of the body; `None` is its sound end.
    pub async fn part(&mut self) -> Result<Option<Bytes>, UpstreamError> {
        loop {
            match &mut self.framing {
                Framing::Done => return Ok(None),
                Framing::Closed if !self.bytes.is_empty() => {
                    return Ok(Some(self.bytes.split().freeze()));
                }
                Framing::Closed => {
                    if self.stream.read_buf(&mut self.bytes).await? == 0 {
                        self.framing = Framing::Done;
                        return Ok(None);
                    }
                    continue;
                }
                Framing::Marked(codec) => {
                    let malformed = |error| UpstreamError::Malformed(format!("{error}"));
                    match codec.decode(&mut self.bytes).map_err(malformed)? {
                        Some(Some(part)) => return Ok(Some(part)),
                        Some(None) => {
                            self.framing = Framing::Done;
                            return Ok(None);
                        }
                        None => {}
                    }
                }
            }
            self.fill().await?;
        }
    }

    /// Reads the whole body, up to `most` bytes.
    pub async fn body(&mut self, most: usize) -> Result<Bytes, UpstreamError> {
        let mut body = BytesMut::new();
        while let Some(part) = self.part().await? {
            body.extend_from_slice(&part);
            if body.len() > most {
                return Err(UpstreamError::Malformed(format!("body of over {most} bytes")));
            }
        }
        Ok(body.freeze())
    }

    /// Returns whether the connection can carry another request: the last answer was read to its
    /// end, nothing follows it, and neither end has announced the close.
    pub fn is_idle(&mut self) -> bool {
        let done = matches!(self.framing, Framing::Done);
        self.reusable
            && done
            && self.bytes.is_empty()
            && Instant::now() < self.until
            && self.quiet()
    }

    /// Takes note that the connection may not be used again.
    pub fn spoil(&mut self) {
        self.reusable = false;
    }

    fn quiet(&self) -> bool {
        let mut byte = [0];
        let read = self.stream.try_read(&mut byte);
        matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    async fn fill(&mut self) -> Result<(), UpstreamError> {
        match self.stream.read_buf(&mut self.bytes).await? {
            0 => Err(UpstreamError::Io(io::ErrorKind::UnexpectedEof.into())),
            _ => Ok(()),
        }
    }

    fn encode(
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
        let plain = body.is_empty() && (method == Method::GET || method == Method::HEAD);
        let size = if plain { BodySize::None } else { BodySize::Sized(body.len() as u64) };
        self.bodiless = method == Method::HEAD;
        let mut head = RequestHead::default();
        head.method = method;
        head.uri = target.parse().map_err(io::Error::other)?;
        head.headers = headers;
        let mut codec = ClientCodec::new(self.config.clone());
        let mut out = BytesMut::with_capacity(1_024 + body.len());
        codec.encode(Message::Item((RequestHeadType::Owned(head), size)), &mut out)?;
        if !body.is_empty() {
            codec.encode(Message::Chunk(Some(body.clone())), &mut out)?;
        }
        self.codec = Some(codec);
        self.framing = Framing::Done;
        Ok(out)
    }

    fn keep(&mut self, head: &ResponseHead, keep: bool) {
        self.reusable &= keep;
        let named = head.headers.get("keep-alive").and_then(|value| value.to_str().ok());
        let seconds = named.and_then(|text| {
            let part = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="));
            part.and_then(|number| number.parse().ok())
        });
        let idle = seconds.map_or(KEEP, Duration::from_secs);
        let now = Instant::now();
        self.since = now;
        self.until = now + idle.saturating_sub(KEEP_MARGIN);
    }
}

async fn early(read: &mut tokio::net::tcp::ReadHalf<'_>, bytes: &mut BytesMut) -> io::Result<()> {
    match read.read_buf(bytes).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}

/// Returns how the body ends; the codec takes an answer with neither length nor chunks for empty.
fn framing(head: &ResponseHead, codec: ClientCodec, bodiless: bool) -> Framing {
    match codec.message_type() {
        MessageType::Payload | MessageType::Stream => {
            Framing::Marked(Box::new(codec.into_payload_codec()))
        }
        MessageType::None => {
            let bodiless = bodiless || matches!(head.status.as_u16(), 204 | 304);
            let marked = head.headers.contains_key(header::CONTENT_LENGTH);
            if bodiless || marked { Framing::Done } else { Framing::Closed }
        }
    }
}
