//! HTTP/1.1 and HTTP/2 server without TLS on the current thread.

use std::{cell::Cell, convert::Infallible, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{HttpService, KeepAlive, Request, Response, body::MessageBody};
use actix_rt::net::TcpListener;
use actix_service::{Service as _, ServiceFactory as _, fn_service};

use crate::settings::CallerLimits;

/// Maximum time to close a connection.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves `handler` on `addr` until the process ends, with the default limits.
pub async fn serve<H, F, B>(addr: SocketAddr, handler: H) -> anyhow::Result<()>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: MessageBody + 'static,
{
    serve_with_limits(addr, CallerLimits::default(), handler).await.map(drop)
}

/// Serves `handler` on `addr` until the process ends; returns a counter of the open connections.
///
/// Closes connections above the limit at once, and those that send a request head too slowly.
pub async fn serve_with_limits<H, F, B>(
    addr: SocketAddr,
    limits: CallerLimits,
    handler: H,
) -> anyhow::Result<Rc<Cell<u32>>>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: MessageBody + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    let http_service = fn_service(move |request: Request| {
        let response = handler(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(limits.idle.into()))
        .client_request_timeout(limits.head.into())
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
        .finish(http_service)
        .tcp_auto_h2c();
    let service = factory
        .new_service(())
        .await
        .map_err(|()| anyhow::anyhow!("cannot create the HTTP service"))?;
    let open = Rc::new(Cell::new(0));
    let count = open.clone();
    actix_rt::spawn(async move {
        loop {
            match listener.accept().await {
                Ok(_) if open.get() >= limits.connections => {}
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    let guard = ConnectionGuard::new(&open);
                    let connection = service.call(stream);
                    actix_rt::spawn(async move {
                        let _ = connection.await;
                        drop(guard);
                    });
                }
                Err(error) => log::warn!("cannot accept an HTTP connection: {error}"),
            }
        }
    });
    Ok(count)
}

/// Counts a connection as open until it is dropped.
struct ConnectionGuard(Rc<Cell<u32>>);

impl ConnectionGuard {
    fn new(count: &Rc<Cell<u32>>) -> Self {
        count.set(count.get() + 1);
        Self(count.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
