//! Simulated endpoint that a prompt part crashes: it loses all connections and restarts later.

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// Time from receiving a request to the first event of its answer, or to the crash.
const PREFILL_TIME: Duration = Duration::from_millis(60);
/// Time between two events of an answer.
const EVENT_INTERVAL: Duration = Duration::from_millis(30);
/// Number of events of a complete answer.
const EVENTS: u32 = 5;
/// Time from a crash until the endpoint listens again.
const RESTART_TIME: Duration = Duration::from_millis(2_000);
/// Maximum length of a request head.
const MAX_HEAD_BYTES: usize = 16_384;

/// A request that reached a fragile endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FragileArrival {
    /// The value of its `attempt-id` header.
    pub attempt: String,
    /// Whether its prompt holds the fatal part.
    pub fatal: bool,
}

/// Requests that reached the fragile endpoints of a test, and their crashes.
#[derive(Clone, Debug, Default)]
pub struct FragileRecord {
    /// The requests in the order of their arrival.
    pub arrivals: Vec<FragileArrival>,
    /// The number of crashes.
    pub crashes: u32,
}

/// A running fragile endpoint.
#[derive(Clone, Debug)]
pub struct Fragile {
    instance: String,
    fatal_part: String,
    record: Rc<RefCell<FragileRecord>>,
    crashed: Rc<watch::Sender<u32>>,
}

impl Fragile {
    /// Starts an endpoint that crashes at a prompt part other than the last; fails if the address
    /// cannot be bound.
    pub async fn start(
        addr: SocketAddr,
        instance: &str,
        fatal_part: &str,
        record: Rc<RefCell<FragileRecord>>,
    ) -> anyhow::Result<()> {
        let listener = TcpListener::bind(addr).await?;
        let crashed = Rc::new(watch::channel(0).0);
        let (instance, fatal_part) = (instance.to_owned(), fatal_part.to_owned());
        let endpoint = Self { instance, fatal_part, record, crashed };
        actix_rt::spawn(endpoint.run(addr, listener));
        Ok(())
    }

    async fn run(self, addr: SocketAddr, mut listener: TcpListener) {
        loop {
            let mut crashed = self.crashed.subscribe();
            loop {
                tokio::select! {
                    _ = crashed.changed() => break,
                    accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                        actix_rt::spawn(self.clone().serve(stream));
                    },
                }
            }
            drop(listener);
            actix_rt::time::sleep(RESTART_TIME).await;
            listener = loop {
                match TcpListener::bind(addr).await {
                    Ok(listener) => break listener,
                    Err(_) => actix_rt::time::sleep(EVENT_INTERVAL).await,
                }
            };
        }
    }

    /// Serves a connection until it ends or the endpoint crashes.
    async fn serve(self, mut stream: TcpStream) {
        let mut crashed = self.crashed.subscribe();
        let serving = async {
            while let Some(head) = read_head(&mut stream).await {
                if self.answer(&mut stream, &head).await.is_err() {
                    return;
                }
            }
        };
        tokio::select! {
            _ = crashed.changed() => {}
            () = serving => {}
        }
    }

    async fn answer(&self, stream: &mut TcpStream, head: &str) -> std::io::Result<()> {
        let attempt = header(head, "attempt-id").to_owned();
        if header(head, "expect-instance") != self.instance {
            let length = "content-length: 0\r\n\r\n";
            let text = format!("HTTP/1.1 421 Misdirected Request\r\nattempt-id: {attempt}\r\n");
            return stream.write_all(format!("{text}{length}").as_bytes()).await;
        }
        let parts: Vec<&str> = header(head, "prompt-prefix").split(',').collect();
        let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        let fatal =
            shared.iter().any(|part| part.trim().split(':').next() == Some(&self.fatal_part));
        self.record.borrow_mut().arrivals.push(FragileArrival { attempt: attempt.clone(), fatal });
        actix_rt::time::sleep(PREFILL_TIME).await;
        if fatal {
            self.record.borrow_mut().crashes += 1;
            self.crashed.send_modify(|crashes| *crashes += 1);
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nattempt-id: {attempt}\r\nserver-stamp: signed-{}\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            self.instance
        );
        stream.write_all(head.as_bytes()).await?;
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: token\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).await?;
            actix_rt::time::sleep(EVENT_INTERVAL).await;
        }
        stream.write_all(b"0\r\n\r\n").await
    }
}

/// Reads the head of a request without a body, `None` at the end of the connection.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = vec![];
    while !bytes.ends_with(b"\r\n\r\n") {
        let byte = stream.read_u8().await.ok()?;
        bytes.push(byte);
        if bytes.len() > MAX_HEAD_BYTES {
            return None;
        }
    }
    Some(String::from_utf8_lossy(&bytes).into_owned())
}

fn header<'a>(head: &'a str, name: &str) -> &'a str {
    let mut lines = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    let found = lines.find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map_or("", |(_, value)| value.trim())
}
