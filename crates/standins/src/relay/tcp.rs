//! A relay of byte streams.

use std::{net::SocketAddr, time::Duration};

use actix_rt::net::{TcpListener, TcpStream};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::Passage;

/// Size of one read, in bytes.
const READ: usize = 65_536;
/// Pause between two looks at a connection that was made silent.
const LOOK: Duration = Duration::from_millis(200);

/// A running relay.
#[derive(Clone, Debug)]
pub struct TcpRelay {
    /// What the relay lets through.
    pub passage: Passage,
    /// The address that the relay listens on.
    pub addr: SocketAddr,
}

impl TcpRelay {
    /// Relays connections that are made to `addr` to `to`.
    pub async fn start(addr: SocketAddr, to: SocketAddr) -> anyhow::Result<Self> {
        let relay = Self { passage: Passage::default(), addr };
        let listener = TcpListener::bind(addr).await?;
        let passage = relay.passage.clone();
        actix_rt::spawn(async move {
            while let Ok((stream, source)) = listener.accept().await {
                actix_rt::spawn(connect(passage.clone(), stream, source, to));
            }
        });
        Ok(relay)
    }
}

async fn connect(passage: Passage, down: TcpStream, source: SocketAddr, to: SocketAddr) {
    let epoch = passage.epoch();
    let Ok(up) = TcpStream::connect(to).await else { return };
    let _ = (down.set_nodelay(true), up.set_nodelay(true));
    let ((down_read, down_write), (up_read, up_write)) = (down.into_split(), up.into_split());
    let lets = move || passage.lets(source.ip(), epoch);
    actix_rt::spawn(copy(down_read, up_write, lets.clone()));
    copy(up_read, down_write, lets).await;
}

/// Copies bytes while the relay lets them through; a silent connection stays open.
async fn copy(from: OwnedReadHalf, to: OwnedWriteHalf, lets: impl Fn() -> bool) {
    let mut buffer = vec![0; READ];
    loop {
        let Ok(()) = from.readable().await else { return };
        if !lets() {
            actix_rt::time::sleep(LOOK).await;
            continue;
        }
        let size = match from.try_read(&mut buffer) {
            Ok(0) => return,
            Ok(size) => size,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
            Err(_) => return,
        };
        if write(&to, &buffer[..size]).await.is_err() {
            return;
        }
    }
}

async fn write(to: &OwnedWriteHalf, mut data: &[u8]) -> std::io::Result<()> {
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
