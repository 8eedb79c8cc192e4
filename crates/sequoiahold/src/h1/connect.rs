//! TCP connections that detect an unresponsive peer.

use std::{io, net::SocketAddr, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Idle time before the first keep-alive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keep-alive probes after which the kernel closes a connection.
const KEEPALIVE_RETRIES: u32 = 2;
/// Time that sent bytes may stay unacknowledged (`TCP_USER_TIMEOUT`).
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Delay before the next `accept` after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Length of the queue of connections that are not yet accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Opens a connection; fails with `TimedOut` after `timeout`.
pub async fn connect(addr: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(addr);
    let stream = actix_rt::time::timeout(timeout, connecting)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_stream_options(&stream)?;
    Ok(stream)
}

/// Enables `TCP_NODELAY` and makes the kernel close a connection whose peer stops responding.
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

/// Accepts connections for as long as it is polled and passes each to `on_connection`.
pub async fn accept_loop(
    listener: &TcpListener,
    peer_kind: &'static str,
    mut on_connection: impl FnMut(TcpStream),
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => on_connection(stream),
            Err(error) => {
                log::warn!("cannot accept a connection for {peer_kind}: {error}");
                actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Listens on an address with `SO_REUSEADDR`, so that a restarted process can bind it at once.
pub fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    socket.listen(LISTEN_BACKLOG)
}
