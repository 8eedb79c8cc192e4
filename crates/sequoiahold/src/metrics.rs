//! Counters and histograms, shown in the status and sent to a StatsD sink.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    net::{SocketAddr, UdpSocket},
    rc::Rc,
};

use anyhow::Context as _;
use cadence::{
    BufferedUdpMetricSink, Counted as _, Gauged as _, NopMetricSink, StatsdClient, Timed as _,
};
use sequoiahold_core::{
    declare::Fleet,
    histogram::{Histograms, Measure, Summary},
    ids::ClientId,
    units::Span,
};

use crate::settings;

/// The counters and histograms of a process, shared by its tasks.
#[derive(Clone)]
pub struct Metrics {
    client: Rc<StatsdClient>,
    counters: Rc<RefCell<BTreeMap<&'static str, u64>>>,
    histograms: Rc<RefCell<Histograms>>,
}

impl Metrics {
    /// Creates metrics with the sink of the settings, if any; fails if the sink gets no socket.
    pub fn new(settings: &settings::Metrics, vm: &str) -> anyhow::Result<Self> {
        let builder = match settings.statsd {
            Some(sink) => StatsdClient::builder(&settings.prefix, udp_sink(sink)?),
            None => StatsdClient::builder(&settings.prefix, NopMetricSink),
        };
        let client = builder.with_tag("vm", vm).with_error_handler(|_| ()).build();
        Ok(Self { client: Rc::new(client), counters: Rc::default(), histograms: Rc::default() })
    }

    /// Increments a counter.
    pub fn count(&self, name: &'static str) {
        *self.counters.borrow_mut().entry(name).or_default() += 1;
        let _ = self.client.count(name, 1);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &'static str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration of a client account.
    pub fn time(&self, client: &ClientId, measure: Measure, span: Span) {
        let mut histograms = self.histograms.borrow_mut();
        histograms.record(client, measure, span);
        let name = format!("request.{measure}");
        let label = histograms.label(client);
        self.client.time_with_tags(&name, span.0 / 1_000).with_tag("account", label).send();
    }

    /// Keeps histograms for the accounts declared in `fleet`.
    pub fn track_accounts(&self, fleet: &Fleet) {
        self.histograms.borrow_mut().track_accounts(fleet);
    }

    /// Returns all counters by name, for the status.
    pub fn counters(&self) -> BTreeMap<String, u64> {
        let counters = self.counters.borrow();
        counters.iter().map(|(name, count)| ((*name).to_owned(), *count)).collect()
    }

    /// Returns the summaries of all histograms by account, for the status.
    pub fn summaries(&self) -> BTreeMap<String, BTreeMap<Measure, Summary>> {
        self.histograms.borrow().summaries()
    }
}

fn udp_sink(sink: SocketAddr) -> anyhow::Result<BufferedUdpMetricSink> {
    let local: SocketAddr =
        if sink.is_ipv4() { ([0, 0, 0, 0], 0).into() } else { ([0u16; 8], 0).into() };
    let socket = UdpSocket::bind(local).context("metrics.statsd")?;
    socket.set_nonblocking(true).context("metrics.statsd")?;
    BufferedUdpMetricSink::from(sink, socket).context("metrics.statsd")
}
