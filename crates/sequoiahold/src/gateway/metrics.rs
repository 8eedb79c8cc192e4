//! Counters and latency histograms of a gateway, by route and by client account.

use std::{cell::RefCell, collections::BTreeSet, rc::Rc};

use prometheus_client::{
    metrics::{
        counter::Counter,
        family::Family,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

/// Client accounts with figures of their own; the rest share one label.
const NAMED: usize = 24;
/// Label of the accounts beyond those.
const REST: &str = "rest";
/// Upper bound of the first bucket of a latency, in seconds.
const FIRST_BUCKET: f64 = 0.005;
/// Buckets of a latency; each is twice as wide as the one before.
const BUCKETS: u16 = 12;

type Labels = Vec<(&'static str, String)>;

/// The metrics of a gateway.
pub(super) struct Metrics {
    registry: Rc<Registry>,
    routes: Family<Labels, Counter>,
    accounts: Family<Labels, Counter>,
    route_time: Family<Labels, Histogram>,
    account_time: Family<Labels, Histogram>,
    sends: Family<Labels, Counter>,
    named: RefCell<BTreeSet<String>>,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut registry = Registry::with_prefix("sequoiahold");
        let counters = || Family::<Labels, Counter>::default();
        let times = || Family::<Labels, Histogram>::new_with_constructor(histogram);
        let (routes, accounts, sends) = (counters(), counters(), counters());
        let (route_time, account_time) = (times(), times());
        registry.register("requests", "Requests by route and outcome", routes.clone());
        registry.register(
            "account_requests",
            "Requests by client account and outcome",
            accounts.clone(),
        );
        registry.register(
            "first_seconds",
            "Time to the first event or the answer by route",
            route_time.clone(),
        );
        registry.register(
            "account_first_seconds",
            "Time to the first event or the answer by client account",
            account_time.clone(),
        );
        registry.register("sends", "Sends to endpoints by route", sends.clone());
        let registry = Rc::new(registry);
        let named = RefCell::default();
        Self { registry, routes, accounts, route_time, account_time, sends, named }
    }
}

impl Metrics {
    /// Returns the registry, to be served.
    pub(super) fn registry(&self) -> Rc<Registry> {
        self.registry.clone()
    }

    /// Takes note of a request that ended, and of its time to the first event or the answer in ms.
    pub(super) fn request(&self, route: &str, account: &str, outcome: &'static str, ms: u64) {
        let account = self.label(account);
        let with =
            |name, value: &str| vec![(name, value.to_owned()), ("outcome", outcome.to_owned())];
        self.routes.get_or_create(&with("route", route)).inc();
        self.accounts.get_or_create(&with("account", &account)).inc();
        if outcome == "answered" {
            let seconds = ms as f64 / 1e3;
            let route = vec![("route", route.to_owned())];
            self.route_time.get_or_create(&route).observe(seconds);
            self.account_time.get_or_create(&vec![("account", account)]).observe(seconds);
        }
    }

    /// Takes note of the sends that a request took.
    pub(super) fn sends(&self, route: &str, sends: u32) {
        self.sends.get_or_create(&vec![("route", route.to_owned())]).inc_by(u64::from(sends));
    }

    fn label(&self, account: &str) -> String {
        let mut named = self.named.borrow_mut();
        if named.contains(account) || named.len() < NAMED {
            named.insert(account.to_owned());
            return account.to_owned();
        }
        REST.to_owned()
    }
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET, 2.0, BUCKETS))
}
