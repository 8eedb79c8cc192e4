//! Takes callers' connections and the requests on them.

use std::{net::SocketAddr, rc::Rc};

use actix_http::header::HeaderMap;
use anyhow::Context as _;
use sequoiahold_core::direct::{catalog::CallerLimits, platform::Codec};
use tokio::net::TcpStream;

use super::{request, state::Gateway};
use crate::h1::{CallerConnection, Received, accept_loop, listen, set_stream_options};

/// Starts to take callers; at most `most` connections are open at the same time.
pub(super) fn start<D: Codec>(
    gateway: &Rc<Gateway<D>>,
    addr: SocketAddr,
    most: u32,
) -> anyhow::Result<()> {
    let listener = listen(addr).with_context(|| format!("cannot listen for callers on {addr}"))?;
    let gateway = gateway.clone();
    let mut closing = gateway.closing();
    actix_rt::spawn(async move {
        let take = |stream| {
            if gateway.open() < most as usize {
                actix_rt::spawn(serve(gateway.clone(), stream));
            } else {
                log::debug!("a caller's connection is over the limit of {most}");
            }
        };
        tokio::select! {
            () = accept_loop(&listener, "callers", take) => {}
            // The end of the listener sends new callers to other gateways.
            _ = closing.wait_for(|closing| *closing) => {}
        }
    });
    Ok(())
}

async fn serve<D: Codec>(gateway: Rc<Gateway<D>>, stream: TcpStream) {
    let _open = gateway.connect();
    if let Err(error) = set_stream_options(&stream) {
        log::debug!("a caller's connection: {error}");
        return;
    }
    let mut caller = CallerConnection::new(stream, gateway.config.clone());
    let mut closing = gateway.closing();
    loop {
        let bounds = bounds(&gateway);
        let received = tokio::select! {
            received = caller.read_request(&bounds) => received,
            _ = closing.wait_for(|closing| *closing) => {
                if !caller.reader.has_buffered() {
                    return;
                }
                caller.read_request(&bounds).await
            }
        };
        match received {
            Received::Request(incoming) => {
                let _active = gateway.enter();
                let (reader, writer) = (&mut caller.reader, &mut caller.writer);
                let kept = tokio::select! {
                    kept = request::serve(&gateway, *incoming, writer) => kept,
                    () = reader.wait_closed() => false,
                };
                if !kept || gateway.is_draining() {
                    break;
                }
            }
            Received::Malformed(status) => {
                let answer = caller.writer.write_response(status, HeaderMap::new(), b"", true);
                if let Err(error) = answer.await {
                    log::debug!("a caller that sent no request: {error}");
                }
                break;
            }
            Received::Closed => return,
        }
    }
    if let Err(error) = caller.writer.shutdown().await {
        log::debug!("closing a caller's connection: {error}");
    }
}

fn bounds<D: Codec>(gateway: &Gateway<D>) -> CallerLimits {
    let view = gateway.node.view.borrow();
    view.catalog().map_or(CallerLimits::default(), |catalog| catalog.limits)
}
