//! Rate limits that endpoints advertise in their answers.

use actix_http::StatusCode;
use rand::seq::{IteratorRandom as _, SliceRandom as _};
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

use super::state::Gateway;
use crate::{
    h1::{IncomingRequest, UpstreamResponse},
    node::Datagram,
};

/// Maximum total size of the regular reports in a datagram; the others follow in later ones.
const MAX_REPORT_BYTES: usize = 500;
/// Estimated size of an encoded report without the name of the instance.
const REPORT_BYTES: usize = 20;

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
    let mut reports = gateway.scheduler.borrow().rate_limit_reports(now);
    if reports.is_empty() {
        return;
    }
    gateway.metrics.set_limited_endpoints(gateway.scheduler.borrow().rate_limited_endpoints(now));
    let rng = &mut *gateway.node.rng.borrow_mut();
    reports.shuffle(rng);
    let mut size = 0;
    let reports = reports.into_iter().take_while(|report| {
        size += report.instance.as_str().len() + REPORT_BYTES;
        size <= MAX_REPORT_BYTES
    });
    let reports = Datagram::RateLimits(reports.collect());
    let peer = gateway.node.peer_addrs(Role::Gateway).into_iter().choose(rng);
    gateway.node.send_at(now, peer, &reports);
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
