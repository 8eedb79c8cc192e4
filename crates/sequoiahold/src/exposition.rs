//! Serves metrics as text.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{
    ServiceConfig, StatusCode,
    header::{CONTENT_TYPE, HeaderMap, HeaderValue},
};
use anyhow::Context as _;
use prometheus_client::{encoding::text::encode, registry::Registry};
use sequoiahold_core::direct::catalog::CallerBounds;

use crate::h1::{Caller, Received, listen};

/// Path of the metrics.
const PATH: &str = "/metrics";
/// Type of the text.
const TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Pause after a connection could not be accepted.
const PAUSE: Duration = Duration::from_millis(50);

/// Starts to serve the metrics of a registry.
pub fn start(registry: Rc<Registry>, addr: SocketAddr) -> anyhow::Result<()> {
    let listener = listen(addr).with_context(|| format!("cannot serve metrics on {addr}"))?;
    actix_rt::spawn(async move {
        let config = ServiceConfig::default();
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    actix_rt::spawn(serve(registry.clone(), Caller::new(stream, config.clone())));
                }
                Err(error) => {
                    log::warn!("accepting readers of metrics: {error}");
                    actix_rt::time::sleep(PAUSE).await;
                }
            }
        }
    });
    Ok(())
}

async fn serve(registry: Rc<Registry>, mut caller: Caller) {
    let bounds = CallerBounds::default();
    while let Received::Request(request) = caller.receive(&bounds).await {
        let (status, text) = page(&registry, request.path());
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(TYPE));
        let written = caller.writer.answer(status, headers, text.as_bytes(), false).await;
        if written.is_err() || !caller.writer.keeps() {
            return;
        }
    }
}

fn page(registry: &Registry, path: &str) -> (StatusCode, String) {
    if path != PATH {
        return (StatusCode::NOT_FOUND, String::new());
    }
    let mut text = String::new();
    match encode(&mut text, registry) {
        Ok(()) => (StatusCode::OK, text),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
