//! Rate limits that endpoints advertise in their answers.

use actix_http::StatusCode;
use sequoiahold_core::{
    direct::{
        membership::Role,
        platform::Codec,
        rate_limit::{RateChange, RateLimitReport},
    },
    ids::InstanceId,
    time::Time,
    units::{RequestRate, Span},
};

use super::{datagrams, state::Gateway};
use crate::{
    h1::{IncomingRequest, UpstreamResponse},
    node::Datagram,
};

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
    let header = response.header_text(names.rate_limit).map(str::parse::<RequestRate>);
    let rate = match header.transpose() {
        Ok(rate) => rate,
        Err(error) => {
            let fault = error.to_string();
            log::warn!(id, instance = instance.as_str(), fault = fault.as_str(); "unreadable rate limit");
            return;
        }
    };
    let now = gateway.node.now();
    let change = gateway.scheduler.borrow_mut().record_rate_limit(now, instance, rate);
    if change != RateChange::None {
        log_change(gateway, id, instance, rate);
    }
    // The regular reports are fast enough for another rate.
    if matches!(change, RateChange::Begun | RateChange::Lifted) {
        let report = RateLimitReport { instance: instance.clone(), rate, age: Span(0) };
        let peers = gateway.node.peer_addrs(Role::Gateway);
        gateway.node.send_at(now, peers, &Datagram::RateLimits(vec![report]));
    }
}

/// Applies the reports that another gateway sent at `sent`.
pub(super) fn receive<C: Codec>(gateway: &Gateway<C>, sent: Time, reports: Vec<RateLimitReport>) {
    let changes = gateway.scheduler.borrow_mut().merge_rate_limits(sent, reports);
    for (instance, rate) in changes {
        log_change(gateway, "", &instance, rate);
    }
}

/// Reports the known limits to one other gateway, which may have missed their start or end.
pub(super) fn send_reports<C: Codec>(gateway: &Gateway<C>) {
    let now = gateway.node.now();
    let reports = gateway.scheduler.borrow().rate_limit_reports(now);
    gateway.metrics.set_limited_endpoints(gateway.scheduler.borrow().rate_limited_endpoints(now));
    let name_bytes = |report: &RateLimitReport| report.instance.as_str().len();
    datagrams::send_reports(gateway, now, reports, name_bytes, Datagram::RateLimits);
}

/// Logs another limit of an endpoint than known, with the request whose answer had it, if any.
fn log_change<C: Codec>(
    gateway: &Gateway<C>,
    id: &str,
    instance: &InstanceId,
    rate: Option<RequestRate>,
) {
    let now = gateway.node.now();
    gateway.metrics.set_limited_endpoints(gateway.scheduler.borrow().rate_limited_endpoints(now));
    let instance = instance.as_str();
    match rate.map(RequestRate::per_second) {
        Some(rate) => log::info!(id, instance, rate; "endpoint advertises a rate limit"),
        None => log::info!(id, instance; "endpoint lifts its rate limit"),
    }
}
