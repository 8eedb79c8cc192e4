//! HTTP endpoint for metrics in the OpenMetrics text format.

use std::{net::SocketAddr, rc::Rc};

use actix_http::{
    ServiceConfig, StatusCode,
    header::{CONTENT_TYPE, HeaderMap, HeaderValue},
};
use anyhow::Context as _;
use prometheus_client::{encoding::text::encode, registry::Registry};

use crate::h1::{CallerConnection, IncomingRequest, accept_loop, listen, serve_requests};

/// Path of the metrics endpoint.
const METRICS_PATH: &str = "/metrics";
/// Content type of the OpenMetrics text format.
const OPENMETRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Starts to serve the metrics of a registry; fails if `addr` cannot be bound.
pub fn start(registry: Rc<Registry>, addr: SocketAddr) -> anyhow::Result<()> {
    let listener = listen(addr).with_context(|| format!("cannot serve metrics on {addr}"))?;
    actix_rt::spawn(async move {
        let config = ServiceConfig::default();
        let on_connection = |stream| {
            let caller = CallerConnection::new(stream, config.clone());
            actix_rt::spawn(serve(registry.clone(), caller));
        };
        accept_loop(&listener, "metrics", on_connection).await;
    });
    Ok(())
}

async fn serve(registry: Rc<Registry>, caller: CallerConnection) {
    let handler = async |request: &IncomingRequest| {
        let (status, text) = render_metrics(&registry, request.path());
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(OPENMETRICS_TYPE));
        (status, headers, text.into())
    };
    serve_requests(caller, handler).await;
}

fn render_metrics(registry: &Registry, path: &str) -> (StatusCode, String) {
    if path != METRICS_PATH {
        return (StatusCode::NOT_FOUND, String::new());
    }
    let mut text = String::new();
    match encode(&mut text, registry) {
        Ok(()) => (StatusCode::OK, text),
        Err(error) => (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
