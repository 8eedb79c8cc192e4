//! A small HTTP server on the current thread, HTTP/1.1 and HTTP/2 without TLS.

use std::{convert::Infallible, net::SocketAddr};

use actix_http::{HttpService, Request, Response, body::MessageBody};
use actix_rt::net::TcpListener;
use actix_service::{Service as _, ServiceFactory as _, fn_service};

/// Serves `handler` on `addr` until the process ends.
pub async fn serve<H, F, B>(addr: SocketAddr, handler: H) -> anyhow::Result<()>
where
    H: Fn(Request) -> F + Clone + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: MessageBody + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    let answer = fn_service(move |request: Request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let factory = HttpService::build().finish(answer).tcp_auto_h2c();
    let service = factory.new_service(()).await.map_err(|()| anyhow::anyhow!("no service"))?;
    actix_rt::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    actix_rt::spawn(service.call(stream));
                }
                Err(error) => log::warn!("accept failed: {error}"),
            }
        }
    });
    Ok(())
}
