//! The line that each request leaves in the log.

use actix_rt::time::Instant;
use sequoiahold_core::{
    direct::{platform::Codec, scheduler::Grant},
    units::Span,
};

use super::{
    answer::Own,
    metrics::Metrics,
    plan::{NoPlan, Plan},
    state::Gateway,
};
use crate::h1::Incoming;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Outcome {
    /// The caller left before its answer.
    #[default]
    Left,
    /// The caller got an endpoint's answer with this status.
    Answered(u16),
    /// The caller got an answer of the gateway itself.
    Own(Own),
    /// The answer was broken off.
    Cut,
}

impl Outcome {
    /// Returns the status, the reason of a refusal, and the time to come back.
    fn detail(self) -> (u16, String, Span) {
        match self {
            Self::Left | Self::Cut => (0, String::new(), Span(0)),
            Self::Answered(status) => (status, String::new(), Span(0)),
            Self::Own(own) => {
                (own.status().as_u16(), own.to_string(), own.retry().unwrap_or_default())
            }
        }
    }

    /// Returns the label of metrics.
    pub(super) fn label(self) -> &'static str {
        match self {
            Self::Left => "left",
            Self::Answered(200..=299) => "answered",
            Self::Answered(_) => "failed",
            Self::Own(Own::Refused(_) | Own::Unconfigured) => "refused",
            Self::Own(Own::Denied(_)) => "denied",
            Self::Own(Own::Unknown | Own::TimedOut) => "unknown",
            Self::Cut => "cut",
        }
    }
}

/// What is known of a request under way.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    /// Time that it waited for places.
    pub(super) waited: Span,
    /// When the first event went out.
    pub(super) first: Option<Instant>,
    /// How it ended.
    pub(super) outcome: Outcome,
    places: Vec<String>,
    foretold: u32,
}

impl Record {
    /// Takes note of a place that it got.
    pub(super) fn placed(&mut self, grant: &Grant) {
        self.places.push(grant.instance.to_string());
        self.foretold = grant.first_ms;
    }

    /// Writes the line.
    pub(super) fn write(&self, metrics: &Metrics, id: &str, plan: &Plan, sends: u32, took: u64) {
        let account = plan.account.as_ref().map_or("", |account| account.as_str());
        let first = self.first.map_or(0, |at| took.saturating_sub(elapsed_ms(at)));
        let first_or_end = if self.first.is_some() { first } else { took };
        metrics.request(&plan.route, account, self.outcome.label(), first_or_end);
        metrics.sends(&plan.route, sends);
        let (status, reason, retry) = self.outcome.detail();
        let places = self.places.join(",");
        log::info!(
            target: "request",
            id,
            route = plan.route.as_str(),
            account,
            configuration = plan.version,
            endpoints = places.as_str(),
            sends,
            waited_ms = self.waited.0 / 1_000,
            foretold_ms = self.foretold,
            first_ms = first,
            took_ms = took,
            outcome = self.outcome.label(),
            status,
            reason = reason.as_str(),
            retry_ms = retry.0 / 1_000;
            "ended"
        );
    }
}

/// Writes the line of a request that the configuration does not allow.
pub(super) fn unplanned<D: Codec>(gateway: &Gateway<D>, request: &Incoming, none: NoPlan) {
    let id = request.text(gateway.node.codec.header_names().attempt).unwrap_or("");
    let view = gateway.node.view.borrow();
    let configuration = view.catalog().map_or(0, |catalog| catalog.version);
    let (host, path) = (request.host.as_str(), request.path());
    let reason = format!("{none:?}");
    gateway.metrics.request("", "", "denied", 0);
    log::info!(target: "request", id, host, path, configuration, reason = reason.as_str(); "denied");
}

fn elapsed_ms(at: Instant) -> u64 {
    at.elapsed().as_millis() as u64
}
