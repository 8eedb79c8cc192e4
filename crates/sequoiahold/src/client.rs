//! HTTP clients that reject incomplete responses.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::ServiceExt as _;
use actix_tls::connect::{Connection, Connector as TcpConnector, Resolver};
use awc::{Client, Connector, http::Uri};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A TCP stream whose end is an error, since responses must end by a length or by chunks.
#[derive(Debug)]
struct StrictEofStream(TcpStream);

/// Returns a client whose requests fail after `timeout`.
///
/// Responses with neither a length nor chunks fail too: they end with the connection, so that a
/// truncated one cannot be detected.
pub fn new_client(timeout: Duration) -> Client {
    let connect = TcpConnector::new(Resolver::default()).service();
    let framed = connect.map(|connection: Connection<Uri, TcpStream>| {
        let (stream, request) = connection.into_parts();
        Connection::new(request, StrictEofStream(stream))
    });
    Client::builder().connector(Connector::new().connector(framed)).timeout(timeout).finish()
}

/// Returns whether a status is that of an answer, from 200 to 599; servers in trouble send others too.
pub fn is_final_status(status: u16) -> bool {
    (200..600).contains(&status)
}

/// Returns whether a final response of this status ends with its head, whatever its headers say of a
/// body (RFC 9112, section 6.3).
pub fn ends_with_head(status: u16) -> bool {
    matches!(status, 204 | 304)
}

impl AsyncRead for StrictEofStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let (filled, room) = (buffer.filled().len(), buffer.remaining());
        ready!(Pin::new(&mut self.get_mut().0).poll_read(context, buffer))?;
        let ended = room > 0 && buffer.filled().len() == filled;
        Poll::Ready(if ended { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(()) })
    }
}

impl AsyncWrite for StrictEofStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().0).poll_write(context, data)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().0).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().0).poll_shutdown(context)
    }
}

impl ActixStream for StrictEofStream {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, context)
    }
}
