//! TCP relay.

use std::{cell::Cell, net::SocketAddr, time::Duration};

use actix_rt::net::{TcpListener, TcpStream};
use futures_util::future::join;
use tokio::{
    io::AsyncWriteExt as _,
    net::tcp::{ReadHalf, WriteHalf},
};

use super::{Direction, RelayFilter};

/// Size of the read buffer, in bytes.
const BUFFER_SIZE: usize = 65_536;
/// Time between two checks of whether a blocked connection may forward again.
const BLOCKED_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The start of the answers whose status a relay can replace.
const SUCCESS: &[u8] = b"HTTP/1.1 200";

/// A running TCP relay.
#[derive(Clone, Debug)]
pub struct TcpRelay {
    /// Filter for the forwarded traffic.
    pub filter: RelayFilter,
    /// Address that the relay listens on.
    pub addr: SocketAddr,
}

impl TcpRelay {
    /// Relays connections from `addr` to `to`; fails if `addr` cannot be bound.
    pub async fn start(addr: SocketAddr, to: SocketAddr) -> anyhow::Result<Self> {
        let relay = Self { filter: RelayFilter::default(), addr };
        let listener = TcpListener::bind(addr).await?;
        let filter = relay.filter.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, source)) = listener.accept().await {
                actix_rt::spawn(relay_stream(filter.clone(), stream, source, to));
            }
        });
        Ok(relay)
    }
}

async fn relay_stream(
    filter: RelayFilter,
    mut down: TcpStream,
    source: SocketAddr,
    to: SocketAddr,
) {
    let epoch = filter.epoch();
    let mut resets = filter.resets.subscribe();
    if filter.down.get() {
        let _ = down.set_zero_linger();
        return;
    }
    let Ok(mut up) = TcpStream::connect(to).await else { return };
    let _ = (down.set_nodelay(true), up.set_nodelay(true));
    let copies = async {
        let ((down_read, down_write), (up_read, up_write)) = (down.split(), up.split());
        let allows = |direction| {
            let filter = filter.clone();
            move || filter.allows(source.ip(), epoch) && filter.allows_direction(direction)
        };
        let is_call = Cell::new(false);
        let note_request = |data: &[u8]| {
            is_call.set(is_call_head(data).unwrap_or(is_call.get()));
            data.to_vec()
        };
        let replace_status = |data: &[u8]| match filter.status.borrow().as_deref() {
            Some(status) if is_call.get() => with_status(data, status),
            _ => data.to_vec(),
        };
        let repeat_delay = |data: &[u8]| filter.repeat_delay(data);
        let (to_server, to_client) = (allows(Direction::ToServer), allows(Direction::ToClient));
        join(
            copy_bytes(down_read, up_write, &filter, to_server, note_request, |_| None),
            copy_bytes(up_read, down_write, &filter, to_client, replace_status, repeat_delay),
        )
        .await;
    };
    let reset = tokio::select! {
        () = copies => false,
        _ = resets.changed() => true,
    };
    if reset {
        let _ = (down.set_zero_linger(), up.set_zero_linger());
    }
}

/// Returns whether data that begins with the head of a request is a caller's, `None` for other data.
fn is_call_head(data: &[u8]) -> Option<bool> {
    let text = std::str::from_utf8(data).ok()?;
    let (head, _) = text.split_once("\r\n\r\n")?;
    let (line, headers) = head.split_once("\r\n")?;
    line.ends_with("HTTP/1.1")
        .then(|| line.starts_with("POST") || headers.to_ascii_lowercase().contains("attempt-id:"))
}

/// Returns data with another status if it begins with an answer of status 200.
fn with_status(data: &[u8], status: &str) -> Vec<u8> {
    match data.strip_prefix(SUCCESS) {
        Some(rest) => [b"HTTP/1.1 ", status.as_bytes(), rest].concat(),
        None => data.to_vec(),
    }
}

/// Copies bytes while it is allowed, as `change` returns them, and once more after the time that
/// `repeat_delay` returns; a blocked connection stays open.
async fn copy_bytes(
    from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    filter: &RelayFilter,
    allows: impl Fn() -> bool,
    change: impl Fn(&[u8]) -> Vec<u8>,
    repeat_delay: impl Fn(&[u8]) -> Option<Duration>,
) {
    let mut buffer = vec![0; BUFFER_SIZE];
    loop {
        let Ok(()) = from.readable().await else { break };
        if !allows() {
            actix_rt::time::sleep(BLOCKED_POLL_INTERVAL).await;
            continue;
        }
        let size = match from.try_read(&mut buffer) {
            Ok(0) => break,
            Ok(size) => size,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
            Err(_) => break,
        };
        let delay = filter.delay.get();
        if !delay.is_zero() {
            actix_rt::time::sleep(delay).await;
        }
        let data = change(&buffer[..size]);
        if to.write_all(&data).await.is_err() {
            break;
        }
        if let Some(delay) = repeat_delay(&data) {
            actix_rt::time::sleep(delay).await;
            let _ = to.write_all(&data).await;
        }
    }
    let _ = to.shutdown().await;
}
