//! Rate limits that endpoints advertise in their answers.

use actix_http::StatusCode;
use sequoiahold_core::{direct::platform::Codec, ids::InstanceId, units::RequestRate};

use super::state::Gateway;
use crate::h1::{IncomingRequest, UpstreamResponse};

/// Records the rate limit that an answer advertises, or that it advertises none, and logs a change.
pub(super) fn record_answer<C: Codec>(
    gateway: &Gateway<C>,
    request: &IncomingRequest,
    instance: &InstanceId,
    response: &UpstreamResponse,
) {
    // Another instance may have answered at the address.
    if response.status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let names = gateway.node.codec.header_names();
    let id = request.header_text(names.attempt).unwrap_or("");
    let instance_text = instance.to_string();
    let instance_text = instance_text.as_str();
    let header = response.header_text(names.rate_limit).map(str::parse::<RequestRate>);
    let rate_limit = match header.transpose() {
        Ok(rate_limit) => rate_limit,
        Err(error) => {
            let fault = error.to_string();
            log::warn!(id, instance = instance_text, fault = fault.as_str(); "unreadable rate limit");
            return;
        }
    };
    if !gateway.scheduler.borrow_mut().record_rate_limit(instance, rate_limit) {
        return;
    }
    gateway.metrics.set_limited_endpoints(gateway.scheduler.borrow().rate_limited_endpoints());
    match rate_limit {
        Some(rate) => {
            let rate = rate.per_second();
            log::info!(id, instance = instance_text, rate; "endpoint advertises a rate limit");
        }
        None => log::info!(id, instance = instance_text; "endpoint lifts its rate limit"),
    }
}
