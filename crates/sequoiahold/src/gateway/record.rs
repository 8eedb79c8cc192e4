//! Log line and metrics of each request.

use actix_rt::time::Instant;
use sequoiahold_core::{
    direct::{platform::Codec, retry_budget::RetryUsage, scheduler::Grant},
    ids::ServiceId,
    time::Time,
    units::Span,
};

use super::{
    answer::LocalReply,
    metrics::Metrics,
    plan::{Plan, PlanError},
    state::Gateway,
};
use crate::h1::IncomingRequest;

/// Outcome of a request as seen by its caller.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Outcome {
    /// The caller disconnected before the end of the response.
    #[default]
    CallerDisconnected,
    /// The caller was sent an endpoint's response with this status.
    Answered(u16),
    /// The gateway sent a local reply.
    Local(LocalReply),
    /// The response was aborted after its start.
    Truncated,
}

impl Outcome {
    /// Returns the status, the reason of a local reply, and the retry delay for the log.
    fn detail(self) -> (u16, String, Span) {
        match self {
            Self::CallerDisconnected | Self::Truncated => (0, String::new(), Span(0)),
            Self::Answered(status) => (status, String::new(), Span(0)),
            Self::Local(reply) => (
                reply.status().as_u16(),
                reply.to_string(),
                reply.retry_delay().unwrap_or_default(),
            ),
        }
    }

    /// Returns the value of the `outcome` label and log field.
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::CallerDisconnected => "left",
            Self::Answered(200..=299) => "answered",
            Self::Answered(_) => "failed",
            Self::Local(LocalReply::Refused(_) | LocalReply::Unconfigured) => "refused",
            Self::Local(LocalReply::Denied(_)) => "denied",
            Self::Local(LocalReply::Unknown | LocalReply::TimedOut) => "unknown",
            Self::Truncated => "cut",
        }
    }
}

/// Data about an active request for its log line and metrics.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestRecord {
    /// Total time spent waiting for slots.
    pub(super) waited: Span,
    /// Time at which the response head of a stream was written.
    pub(super) first_event: Option<Instant>,
    pub(super) outcome: Outcome,
    instances: Vec<String>,
    predicted_ms: u32,
    /// The version of the weights that the last send was bound to, 0 for any.
    bound_version: u64,
    /// The version that the endpoint of the last send held as published, 0 if it is unknown.
    held_version: u64,
    /// For how long a newer version had been announced at the last send, `None` if none was.
    replaced: Option<Span>,
}

impl RequestRecord {
    /// Adds a slot that was granted to the request.
    pub(super) fn add_grant(&mut self, now: Time, grant: &Grant) {
        self.instances.push(grant.instance.to_string());
        self.predicted_ms = grant.first_ms;
        self.bound_version = grant.version.unwrap_or(0);
        self.held_version = grant.loaded.unwrap_or(0);
        self.replaced = grant.replaced_at.map(|at| now - at);
    }

    /// Writes the log line and updates the metrics.
    pub(super) fn emit(&self, metrics: &Metrics, id: &str, plan: &Plan, sends: u32, took_ms: u64) {
        let account = plan.account.as_ref().map_or("", |account| account.as_str());
        let first_ms = self.first_event.map_or(0, |at| took_ms.saturating_sub(elapsed_ms(at)));
        let latency_ms = if self.first_event.is_some() { first_ms } else { took_ms };
        metrics.add_request(&plan.route, account, self.outcome.label(), latency_ms);
        metrics.add_sends(&plan.route, sends);
        let (status, reason, retry_delay) = self.outcome.detail();
        let (instances, parts) = (self.instances.join(","), plan.parts_text());
        log::info!(
            target: "request",
            id,
            route = plan.route.as_str(),
            account,
            configuration = plan.config_version,
            endpoints = instances.as_str(),
            version = self.bound_version,
            held = self.held_version,
            replaced_ms = self.replaced.map_or(-1, |replaced| (replaced.0 / 1_000) as i64),
            parts = parts.as_str(),
            sends,
            waited_ms = self.waited.0 / 1_000,
            foretold_ms = self.predicted_ms,
            first_ms = first_ms,
            took_ms = took_ms,
            outcome = self.outcome.label(),
            status,
            reason = reason.as_str(),
            retry_ms = retry_delay.0 / 1_000;
            "ended"
        );
    }
}

/// Logs the first request that is placed on a load of an engine, with what is known of the load.
pub(super) fn log_first_use(id: &str, grant: &Grant) {
    let (instance, started_ms) = (grant.instance.as_str(), grant.started_ms.unwrap_or(0));
    let (version, bound) = (grant.loaded.unwrap_or(0), grant.version.unwrap_or(0));
    log::info!(id, instance, started_ms, version, bound; "first request on a load");
}

/// Logs and counts a retry that was charged to the budget or refused, with what counted before it.
pub(super) fn log_retry<C: Codec>(
    gateway: &Gateway<C>,
    id: &str,
    service: &ServiceId,
    usage: RetryUsage,
    spent: bool,
) {
    gateway.metrics.add_retry(service, spent);
    let service = service.as_str();
    let RetryUsage { requests, retries, gateways, share, allowed } = usage;
    log::info!(
        target: "request",
        id, service, spent, requests, retries, share, allowed, gateways;
        "retry"
    );
}

/// Logs and counts a request that cannot be routed.
pub(super) fn log_rejected<C: Codec>(
    gateway: &Gateway<C>,
    request: &IncomingRequest,
    error: PlanError,
) {
    let id = request.header_text(gateway.node.codec.header_names().attempt).unwrap_or("");
    let view = gateway.node.view.borrow();
    let configuration = view.catalog().map_or(0, |catalog| catalog.version);
    let (host, path) = (request.host.as_str(), request.path());
    let reason = format!("{error:?}");
    gateway.metrics.add_request("", "", "denied", 0);
    log::info!(target: "request", id, host, path, configuration, reason = reason.as_str(); "denied");
}

fn elapsed_ms(at: Instant) -> u64 {
    at.elapsed().as_millis() as u64
}
