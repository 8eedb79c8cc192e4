//! Request counters and latency histograms of a gateway by route and by client account.

use std::{cell::RefCell, collections::BTreeSet, rc::Rc, sync::atomic::AtomicU64};

use prometheus_client::{
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::{Metric, Registry},
};
use sequoiahold_core::{direct::view::AnnouncedVersion, ids::ServiceId};

/// Maximum number of client accounts with a label of their own, which bounds the number of series.
const MAX_ACCOUNT_LABELS: usize = 24;
/// Label value shared by the remaining client accounts.
const OTHER_ACCOUNTS: &str = "rest";
/// Upper bound of the first latency bucket.
const FIRST_BUCKET_SECONDS: f64 = 0.005;
/// Number of latency buckets; each upper bound is twice the previous one.
const BUCKET_COUNT: u16 = 12;

type Labels = Vec<(&'static str, String)>;

/// Metrics of a gateway.
pub(super) struct Metrics {
    registry: Rc<Registry>,
    route_requests: Family<Labels, Counter>,
    account_requests: Family<Labels, Counter>,
    route_latency: Family<Labels, Histogram>,
    account_latency: Family<Labels, Histogram>,
    sends: Family<Labels, Counter>,
    retries: Family<Labels, Counter>,
    blocked_parts: Counter,
    memory_shortages: Family<Labels, Counter>,
    limited_endpoints: Gauge,
    paced_endpoints: Gauge,
    announced_versions: Family<Labels, Gauge<f64, AtomicU64>>,
    unavailable_endpoints: Family<Labels, Gauge>,
    account_labels: RefCell<BTreeSet<String>>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("sequoiahold");
        let r = &mut registry;
        Self {
            route_requests: counters(r, "requests", "Requests by route and outcome"),
            account_requests: counters(
                r,
                "account_requests",
                "Requests by client account and outcome",
            ),
            route_latency: histograms(
                r,
                "first_seconds",
                "Time to the first event or the answer by route",
            ),
            account_latency: histograms(
                r,
                "account_first_seconds",
                "Time to the first event or the answer by client account",
            ),
            sends: counters(r, "sends", "Sends to endpoints by route"),
            retries: counters(r, "retries", "Retries charged to the budget or refused by service"),
            blocked_parts: register(
                r,
                "blocked_parts",
                "Prompt parts blocked as they crash endpoints",
                Counter::default(),
            ),
            memory_shortages: counters(
                r,
                "memory_shortages",
                "Requests refused and connections closed for the memory of callers",
            ),
            limited_endpoints: gauge(
                r,
                "rate_limited_endpoints",
                "Endpoints that advertise a rate limit",
            ),
            paced_endpoints: gauge(
                r,
                "paced_endpoints",
                "Endpoints whose pace limits their requests in progress",
            ),
            announced_versions: register(
                r,
                "version_announced_seconds",
                "Unix time from which the rollout of a version counts, if it is known",
                Family::default(),
            ),
            unavailable_endpoints: register(
                r,
                "unavailable_endpoints",
                "Endpoints that get no requests by cause",
                Family::default(),
            ),
            registry: Rc::new(registry),
            account_labels: RefCell::default(),
        }
    }
}

/// Registers counters by labels and returns them.
fn counters(registry: &mut Registry, name: &str, help: &str) -> Family<Labels, Counter> {
    register(registry, name, help, Family::default())
}

/// Registers histograms by labels and returns them.
fn histograms(registry: &mut Registry, name: &str, help: &str) -> Family<Labels, Histogram> {
    register(registry, name, help, Family::new_with_constructor(histogram as fn() -> Histogram))
}

/// Registers a gauge and returns it.
fn gauge(registry: &mut Registry, name: &str, help: &str) -> Gauge {
    register(registry, name, help, Gauge::default())
}

/// Registers a metric and returns it.
fn register<M: Clone + Metric>(registry: &mut Registry, name: &str, help: &str, metric: M) -> M {
    registry.register(name, help, metric.clone());
    metric
}

impl Metrics {
    /// Returns the registry for the metrics endpoint.
    pub(super) fn registry(&self) -> Rc<Registry> {
        self.registry.clone()
    }

    /// Records a completed request and, if it was answered, its time to the first event or the
    /// response in `ms`.
    pub(super) fn add_request(&self, route: &str, account: &str, outcome: &'static str, ms: u64) {
        let account = self.account_label(account);
        let labels =
            |name, value: &str| vec![(name, value.to_owned()), ("outcome", outcome.to_owned())];
        self.route_requests.get_or_create(&labels("route", route)).inc();
        self.account_requests.get_or_create(&labels("account", &account)).inc();
        if outcome == "answered" {
            let seconds = ms as f64 / 1e3;
            let route = vec![("route", route.to_owned())];
            self.route_latency.get_or_create(&route).observe(seconds);
            self.account_latency.get_or_create(&vec![("account", account)]).observe(seconds);
        }
    }

    /// Adds the attempts of a request that may have reached an endpoint.
    pub(super) fn add_sends(&self, route: &str, sends: u32) {
        self.sends.get_or_create(&vec![("route", route.to_owned())]).inc_by(u64::from(sends));
    }

    /// Counts a retry that was charged to the budget of a service, or refused.
    pub(super) fn add_retry(&self, service: &ServiceId, spent: bool) {
        let outcome = if spent { "charged" } else { "refused" };
        let labels = vec![("service", service.to_string()), ("outcome", outcome.to_owned())];
        self.retries.get_or_create(&labels).inc();
    }

    /// Counts a prompt part that was blocked.
    pub(super) fn add_blocked_part(&self) {
        self.blocked_parts.inc();
    }

    /// Counts a body that was refused or a connection that was closed for want of memory.
    pub(super) fn add_memory_shortage(&self, outcome: &'static str) {
        self.memory_shortages.get_or_create(&vec![("outcome", outcome.to_owned())]).inc();
    }

    /// Sets the number of endpoints that advertise a rate limit.
    pub(super) fn set_limited_endpoints(&self, endpoints: usize) {
        self.limited_endpoints.set(endpoints as i64);
    }

    /// Sets the number of endpoints whose pace limits their requests in progress.
    pub(super) fn set_paced_endpoints(&self, endpoints: usize) {
        self.paced_endpoints.set(endpoints as i64);
    }

    /// Sets the versions with known times of announcement, in seconds since the Unix epoch.
    pub(super) fn set_announced(
        &self,
        versions: impl IntoIterator<Item = (AnnouncedVersion, f64)>,
    ) {
        self.announced_versions.clear();
        for (announced, seconds) in versions {
            let labels = vec![
                ("model", announced.model.to_string()),
                ("version", announced.version.to_string()),
            ];
            self.announced_versions.get_or_create(&labels).set(seconds);
        }
    }

    /// Sets the number of endpoints that get no requests for a cause.
    pub(super) fn set_unavailable_endpoints(&self, cause: &'static str, endpoints: usize) {
        let labels = vec![("cause", cause.to_owned())];
        self.unavailable_endpoints.get_or_create(&labels).set(endpoints as i64);
    }

    fn account_label(&self, account: &str) -> String {
        let mut account_labels = self.account_labels.borrow_mut();
        if account_labels.contains(account) || account_labels.len() < MAX_ACCOUNT_LABELS {
            account_labels.insert(account.to_owned());
            return account.to_owned();
        }
        OTHER_ACCOUNTS.to_owned()
    }
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT))
}
