//! Callers that keep their connections to gateways open, and the checks on their answers.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use actix_rt::time::{sleep, timeout};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng, seq::IndexedRandom as _};
use tokio::{
    io::{AsyncBufReadExt as _, AsyncReadExt as _, AsyncWriteExt as _, BufReader},
    net::TcpStream,
};

use super::{
    engine::STREAM_EVENTS,
    fleet::Fleet,
    journal::{AttemptId, Journal, Sent},
};

/// Time that a caller waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
/// Time that a caller waits for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum pause between two requests of a caller, in milliseconds.
const MAX_PAUSE_MS: u64 = 120;
/// Maximum size of the head of an answer, in bytes.
const MAX_HEAD: usize = 16_384;

/// What may be done with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Mode {
    /// It may run more than once.
    Read,
    /// It may run at most once.
    Order,
    /// A stream that may continue at another endpoint.
    Stream,
    /// A stream that may run at most once.
    StreamOnce,
}

impl Mode {
    /// Returns whether the request may run at most once.
    pub(super) fn runs_once(self) -> bool {
        matches!(self, Self::Order | Self::StreamOnce)
    }

    fn streams(self) -> bool {
        matches!(self, Self::Stream | Self::StreamOnce)
    }

    fn path(self) -> &'static str {
        match self {
            Self::Read => "/read/1",
            Self::Order => "/order/1",
            Self::Stream => "/stream/1",
            Self::StreamOnce => "/stream/once/1",
        }
    }
}

/// An answer as far as it was received.
#[derive(Debug, Default)]
pub(super) struct Answer {
    /// The status, 0 without a complete head.
    pub(super) status: u16,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
    whole: bool,
}

impl Answer {
    fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers.find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    fn closes(&self) -> bool {
        !self.whole || self.header("connection").is_some_and(|value| value.contains("close"))
    }
}

/// A caller.
pub(super) struct Caller<'a> {
    fleet: &'a Fleet,
    rng: SmallRng,
    connection: Option<(usize, BufReader<TcpStream>)>,
}

impl<'a> Caller<'a> {
    /// Returns a caller with its own random numbers.
    pub(super) fn new(fleet: &'a Fleet, seed: u64) -> Self {
        Self { fleet, rng: SmallRng::seed_from_u64(seed), connection: None }
    }

    /// Sends requests until the future is dropped.
    pub(super) async fn run(mut self) {
        let modes = [Mode::Read, Mode::Order, Mode::Stream, Mode::StreamOnce];
        loop {
            let mode = *modes.choose(&mut self.rng).unwrap_or(&Mode::Read);
            let mut last_event = None;
            for _ in 0..3 {
                match self.send(mode, last_event).await {
                    Some(last) if mode == Mode::Stream => last_event = Some(last),
                    _ => break,
                }
            }
            sleep(Duration::from_millis(self.rng.random_range(0..MAX_PAUSE_MS))).await;
        }
    }

    /// Sends a request and checks its answer; returns the last event of a stream that broke.
    async fn send(&mut self, mode: Mode, last_event: Option<u64>) -> Option<u64> {
        let (attempt, key) = (AttemptId(self.rng.random()), self.fleet.choose_key(&mut self.rng));
        let (gateway, mut stream) = match self.connection.take() {
            Some(open) => open,
            None => {
                let gateway = self.rng.random_range(0..self.fleet.gateways.len());
                (gateway, connect(self.fleet.gateways[gateway].entrance()).await?)
            }
        };
        let resume = last_event.map(|last| format!("Last-Event-Id: {last}\r\n"));
        let request = format!(
            "POST {} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {attempt}\r\n\
             Deadline-Ms: 3000\r\nAuthorization: Bearer {key}\r\nModel: assist\r\n\
             Token-Counts: 100,6\r\n{}Content-Length: 0\r\n\r\n",
            mode.path(),
            resume.unwrap_or_default()
        );
        let journal = &self.fleet.journal;
        journal.send(attempt, Sent { gateway, mode, key, at: Instant::now() });
        let mut answer = Answer::default();
        if stream.write_all(request.as_bytes()).await.is_ok() {
            let read = read_answer(&mut stream, &mut answer);
            if !matches!(timeout(ANSWER_TIMEOUT, read).await, Ok(Ok(()))) {
                answer.whole = false;
            }
        }
        journal.check_status(attempt, answer.status);
        let signature = answer.header("server-stamp").unwrap_or_default();
        journal.notices(|notices| notices.pass_on(Instant::now(), attempt, signature));
        let last = check_body(journal, attempt, mode, last_event, &answer);
        if !answer.closes() {
            if !stream.buffer().is_empty() {
                journal.report("MIXED", attempt, "bytes after the answer");
            }
            self.connection = Some((gateway, stream));
        }
        last.filter(|_| !answer.whole)
    }
}

/// Checks that a success is the answer to its request; returns the last event of a stream.
fn check_body(
    journal: &Journal,
    attempt: AttemptId,
    mode: Mode,
    last_event: Option<u64>,
    answer: &Answer,
) -> Option<u64> {
    let id = attempt.to_string();
    if answer.status != 0 && answer.header("attempt-id") != Some(id.as_str()) {
        let echo = answer.header("attempt-id");
        journal.report("MIXED", attempt, format_args!("{} echoes {echo:?}", answer.status));
    }
    if answer.status != 200 {
        return None;
    }
    if answer.header("server-stamp").is_none() {
        journal.report("MIXED", attempt, "success without signature");
    }
    let text = String::from_utf8_lossy(&answer.body);
    if !mode.streams() {
        if answer.whole && text != format!("done {id}") {
            journal.report("MIXED", attempt, format_args!("body {text:?}"));
        }
        return None;
    }
    let mut last = last_event.unwrap_or(0);
    for event in text.split_inclusive("\n\n").filter(|event| event.ends_with("\n\n")) {
        if event != format!("id: {}\ndata: {id}\n\n", last + 1) {
            journal.report("ORDER", attempt, format_args!("event {event:?} after {last}"));
        }
        last += 1;
    }
    if answer.whole && last != STREAM_EVENTS {
        journal.report("ORDER", attempt, format_args!("complete after event {last}"));
    }
    Some(last)
}

async fn connect(addr: SocketAddr) -> Option<BufReader<TcpStream>> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await.ok()?.ok()?;
    Some(BufReader::new(stream))
}

/// Asks for a path on a new connection and returns the status, 0 without an answer.
pub(super) async fn probe(addr: SocketAddr, path: &str) -> u16 {
    let Some(mut stream) = connect(addr).await else { return 0 };
    let request = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    let mut answer = Answer::default();
    let exchange = async {
        stream.write_all(request.as_bytes()).await?;
        read_answer(&mut stream, &mut answer).await
    };
    let _ = timeout(CONNECT_TIMEOUT, exchange).await;
    answer.status
}

/// Reads an answer; after an error `answer` holds what was received before.
async fn read_answer(
    stream: &mut BufReader<TcpStream>,
    answer: &mut Answer,
) -> std::io::Result<()> {
    let status_line = read_line(stream).await?;
    let status = status_line.split(' ').nth(1).and_then(|word| word.parse().ok());
    loop {
        let line = read_line(stream).await?;
        match line.split_once(':') {
            Some((name, value)) => {
                answer.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
            None if line.is_empty() => break,
            None => return Err(std::io::ErrorKind::InvalidData.into()),
        }
    }
    answer.status = status.ok_or(std::io::ErrorKind::InvalidData)?;
    match answer.header("content-length").and_then(|text| text.parse().ok()) {
        Some(length) => read_part(stream, length, &mut answer.body).await?,
        None if answer.header("transfer-encoding").is_some() => loop {
            let size = usize::from_str_radix(&read_line(stream).await?, 16);
            let size = size.map_err(|_| std::io::ErrorKind::InvalidData)?;
            read_part(stream, size, &mut answer.body).await?;
            read_line(stream).await?;
            if size == 0 {
                break;
            }
        },
        None => {}
    }
    answer.whole = true;
    Ok(())
}

/// Reads a line without its line break; fails at the end of the connection.
async fn read_line(stream: &mut BufReader<TcpStream>) -> std::io::Result<String> {
    let mut line = String::new();
    stream.take(MAX_HEAD as u64).read_line(&mut line).await?;
    let text = line.strip_suffix("\r\n").ok_or(std::io::ErrorKind::UnexpectedEof)?;
    Ok(text.to_owned())
}

/// Appends `length` bytes to `body`, as they arrive.
async fn read_part(
    stream: &mut BufReader<TcpStream>,
    length: usize,
    body: &mut Vec<u8>,
) -> std::io::Result<()> {
    let end = body.len() + length;
    while body.len() < end {
        let left = (end - body.len()) as u64;
        if stream.take(left).read_buf(body).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(())
}
