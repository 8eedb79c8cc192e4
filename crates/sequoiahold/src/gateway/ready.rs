//! Tells the platform whether this gateway takes new callers.

use std::{net::SocketAddr, rc::Rc};

use actix_http::{StatusCode, header::HeaderMap};
use anyhow::Context as _;
use bytes::Bytes;
use sequoiahold_core::direct::platform::Codec;

use super::state::Gateway;
use crate::h1::{Caller, Incoming, accept, answer_each, listen};

/// Starts to answer.
pub(super) fn start<D: Codec>(gateway: &Rc<Gateway<D>>, addr: SocketAddr) -> anyhow::Result<()> {
    let listener = listen(addr).with_context(|| format!("cannot tell readiness on {addr}"))?;
    let gateway = gateway.clone();
    actix_rt::spawn(async move {
        let take = |stream| {
            let caller = Caller::new(stream, gateway.config.clone());
            actix_rt::spawn(serve(gateway.clone(), caller));
        };
        accept(&listener, "questions for readiness", take).await;
    });
    Ok(())
}

async fn serve<D: Codec>(gateway: Rc<Gateway<D>>, caller: Caller) {
    let answer = async |request: &Incoming| {
        let status = match request.path() == gateway.node.codec.readiness_path() {
            false => StatusCode::NOT_FOUND,
            true if gateway.is_ready() => StatusCode::OK,
            true => StatusCode::SERVICE_UNAVAILABLE,
        };
        (status, HeaderMap::new(), Bytes::new())
    };
    answer_each(caller, answer).await;
}
