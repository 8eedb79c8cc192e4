//! TCP relay.

use std::{net::SocketAddr, time::Duration};

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
        join(
            copy_bytes(down_read, up_write, &filter, allows(Direction::ToServer)),
            copy_bytes(up_read, down_write, &filter, allows(Direction::ToClient)),
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

/// Copies bytes while it is allowed; a blocked connection stays open.
async fn copy_bytes(
    from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    filter: &RelayFilter,
    allows: impl Fn() -> bool,
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
        if to.write_all(&buffer[..size]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
