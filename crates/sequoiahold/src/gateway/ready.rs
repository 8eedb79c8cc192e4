//! Tells the platform whether this gateway takes new callers.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{StatusCode, header::HeaderMap};
use anyhow::Context as _;
use sequoiahold_core::direct::{catalog::CallerBounds, seam::Dialect};

use super::state::Gateway;
use crate::h1::{Caller, Received, listen};

/// Starts to answer.
pub(super) fn start<D: Dialect>(gateway: &Rc<Gateway<D>>, addr: SocketAddr) -> anyhow::Result<()> {
    let listener = listen(addr).with_context(|| format!("cannot tell readiness on {addr}"))?;
    let gateway = gateway.clone();
    actix_rt::spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let caller = Caller::new(stream, gateway.config.clone());
                    actix_rt::spawn(serve(gateway.clone(), caller));
                }
                Err(error) => {
                    log::warn!("accepting questions for readiness: {error}");
                    actix_rt::time::sleep(Duration::from_millis(50)).await;
                }
            }
        }
    });
    Ok(())
}

async fn serve<D: Dialect>(gateway: Rc<Gateway<D>>, mut caller: Caller) {
    let bounds = CallerBounds::default();
    while let Received::Request(request) = caller.receive(&bounds).await {
        let status = match request.path() == gateway.node.dialect.ready_path() {
            false => StatusCode::NOT_FOUND,
            true if gateway.is_ready() => StatusCode::OK,
            true => StatusCode::SERVICE_UNAVAILABLE,
        };
        let written = caller.writer.answer(status, HeaderMap::new(), b"", false).await;
        if written.is_err() || !caller.writer.keeps() {
            return;
        }
    }
}
