//! TCP connections that notice a peer which falls silent.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Idle time after which a connection is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is closed.
const KEEPALIVE_RETRIES: u32 = 2;
/// Time that sent bytes may stay without an acknowledgement.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Opens a connection within `timeout`.
pub async fn connect(addr: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(addr);
    let stream = actix_rt::time::timeout(timeout, connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_stream_options(&stream)?;
    Ok(stream)
}

/// Makes the kernel close a connection whose peer falls silent, and send without delay.
pub fn set_stream_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

/// Accepts connections for as long as it is polled and hands each to `take`.
pub async fn accept_loop(
    listener: &TcpListener,
    peer_kind: &'static str,
    mut on_connection: impl FnMut(TcpStream),
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => on_connection(stream),
            Err(error) => {
                log::warn!("accepting {peer_kind}: {error}");
                actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Listens on an address, also right after another process did.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(LISTEN_BACKLOG)
}
