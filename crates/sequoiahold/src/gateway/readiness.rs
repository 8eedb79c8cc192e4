//! Readiness check for the platform.

use std::{net::SocketAddr, rc::Rc};

use actix_http::{StatusCode, header::HeaderMap};
use anyhow::Context as _;
use bytes::Bytes;
use sequoiahold_core::direct::platform::Codec;

use super::state::Gateway;
use crate::h1::{CallerConnection, IncomingRequest, accept_loop, listen, serve_requests};

/// Starts to serve the readiness check; fails if the address cannot be bound.
pub(super) fn start<C: Codec>(gateway: &Rc<Gateway<C>>, addr: SocketAddr) -> anyhow::Result<()> {
    let listener =
        listen(addr).with_context(|| format!("cannot listen for readiness checks on {addr}"))?;
    let gateway = gateway.clone();
    actix_rt::spawn(async move {
        let on_connection = |stream| {
            let caller = CallerConnection::new(stream, gateway.http_config.clone());
            actix_rt::spawn(serve_checks(gateway.clone(), caller));
        };
        accept_loop(&listener, "readiness checks", on_connection).await;
    });
    Ok(())
}

async fn serve_checks<C: Codec>(gateway: Rc<Gateway<C>>, caller: CallerConnection) {
    let respond = async |request: &IncomingRequest| {
        let status = match request.path() == gateway.node.codec.readiness_path() {
            false => StatusCode::NOT_FOUND,
            true if gateway.is_ready() => StatusCode::OK,
            true => StatusCode::SERVICE_UNAVAILABLE,
        };
        (status, HeaderMap::new(), Bytes::new())
    };
    serve_requests(caller, respond).await;
}
