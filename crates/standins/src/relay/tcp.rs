//! TCP relay.

use std::{net::SocketAddr, time::Duration};

use actix_rt::net::{TcpListener, TcpStream};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::RelayFilter;

/// Size of the read buffer, in bytes.
const BUFFER_SIZE: usize = 65_536;
/// Time between two checks of whether a blocked connection may forward again.
const BLOCKED_POLL_INTERVAL: Duration = Duration::from_millis(200);

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

async fn relay_stream(filter: RelayFilter, down: TcpStream, source: SocketAddr, to: SocketAddr) {
    let epoch = filter.epoch();
    let Ok(up) = TcpStream::connect(to).await else { return };
    let _ = (down.set_nodelay(true), up.set_nodelay(true));
    let ((down_read, down_write), (up_read, up_write)) = (down.into_split(), up.into_split());
    let allows = move || filter.allows(source.ip(), epoch);
    actix_rt::spawn(copy_bytes(down_read, up_write, allows.clone()));
    copy_bytes(up_read, down_write, allows).await;
}

/// Copies bytes while the filter allows it; a blocked connection stays open.
async fn copy_bytes(from: OwnedReadHalf, to: OwnedWriteHalf, allows: impl Fn() -> bool) {
    let mut buffer = vec![0; BUFFER_SIZE];
    loop {
        let Ok(()) = from.readable().await else { return };
        if !allows() {
            actix_rt::time::sleep(BLOCKED_POLL_INTERVAL).await;
            continue;
        }
        let size = match from.try_read(&mut buffer) {
            Ok(0) => return,
            Ok(size) => size,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
            Err(_) => return,
        };
        if write_all(&to, &buffer[..size]).await.is_err() {
            return;
        }
    }
}

async fn write_all(to: &OwnedWriteHalf, mut data: &[u8]) -> std::io::Result<()> {
    while !data.is_empty() {
        to.writable().await?;
        match to.try_write(data) {
            Ok(size) => data = &data[size..],
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
