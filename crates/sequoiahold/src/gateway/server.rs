//! Listener for callers' connections and the requests on them.

use std::{net::SocketAddr, rc::Rc};

use actix_http::header::HeaderMap;
use anyhow::Context as _;
use sequoiahold_core::direct::{catalog::CallerLimits, memory_budget::Phase, platform::Codec};
use tokio::net::TcpStream;

use super::{
    memory::{Hold, RequestMemory},
    request,
    state::Gateway,
};
use crate::h1::{CallerConnection, Received, accept_loop, listen, set_stream_options};

/// Starts to accept callers, at most `max_connections` at the same time; fails if the address
/// cannot be bound.
pub(super) fn start<C: Codec>(
    gateway: &Rc<Gateway<C>>,
    addr: SocketAddr,
    max_connections: u32,
) -> anyhow::Result<()> {
    let listener = listen(addr).with_context(|| format!("cannot listen for callers on {addr}"))?;
    let gateway = gateway.clone();
    let mut closing = gateway.closing_signal();
    actix_rt::spawn(async move {
        let on_connection = |stream| {
            if gateway.open_connections() < max_connections as usize {
                actix_rt::spawn(serve(gateway.clone(), stream));
            } else {
                log::debug!(
                    "closing a caller's connection: {max_connections} connections are open"
                );
            }
        };
        tokio::select! {
            () = accept_loop(&listener, "callers", on_connection) => {}
            // Closing the listener makes new callers connect to other gateways.
            _ = closing.wait_for(|closing| *closing) => {}
        }
    });
    Ok(())
}

async fn serve<C: Codec>(gateway: Rc<Gateway<C>>, stream: TcpStream) {
    let _open = gateway.count_connection();
    if let Err(error) = set_stream_options(&stream) {
        log::debug!("cannot configure a caller's connection: {error}");
        return;
    }
    let hold = Hold::new(&gateway);
    let caller = CallerConnection::new(stream, gateway.http_config.clone());
    tokio::select! {
        biased;
        () = hold.evicted() => {}
        () = serve_requests(&gateway, caller, &hold) => {}
    }
}

/// Serves the requests of a connection one after the other until it ends.
async fn serve_requests<C: Codec>(
    gateway: &Rc<Gateway<C>>,
    mut caller: CallerConnection,
    hold: &Hold<C>,
) {
    let memory = RequestMemory(hold);
    let mut closing = gateway.closing_signal();
    loop {
        hold.clear();
        let limits = caller_limits(gateway);
        let received = tokio::select! {
            received = caller.read_request(&limits, &memory) => received,
            _ = closing.wait_for(|closing| *closing) => {
                if !caller.reader.has_buffered() {
                    return;
                }
                caller.read_request(&limits, &memory).await
            }
        };
        match received {
            Received::Request(incoming) => {
                hold.set_phase(Phase::Running);
                let _active = gateway.count_request();
                let (reader, writer) = (&mut caller.reader, &mut caller.writer);
                let keep_alive = tokio::select! {
                    keep_alive = request::serve(gateway, *incoming, writer, hold) => keep_alive,
                    () = reader.wait_closed() => false,
                };
                if !keep_alive || gateway.is_draining() {
                    break;
                }
            }
            Received::Malformed(status) => {
                let written = caller.writer.write_response(status, HeaderMap::new(), b"", true);
                if let Err(error) = written.await {
                    log::debug!("cannot reject a malformed request: {error}");
                }
                break;
            }
            Received::Closed => return,
        }
    }
    if let Err(error) = caller.writer.shutdown().await {
        log::debug!("cannot close a caller's connection: {error}");
    }
}

fn caller_limits<C: Codec>(gateway: &Gateway<C>) -> CallerLimits {
    let view = gateway.node.view.borrow();
    view.catalog().map_or(CallerLimits::default(), |catalog| catalog.limits)
}
