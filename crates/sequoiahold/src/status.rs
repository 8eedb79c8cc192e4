//! Status of a process and the HTTP endpoint that serves it.

use std::{collections::BTreeMap, fmt, net::SocketAddr};

use actix_http::{Request, Response, StatusCode, body::BoxBody};
use sequoiahold_core::{
    histogram::{Measure, Summary},
    ids::{Generation, Incarnation, VersionId, VmId, ZoneId},
};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use crate::{alarm::Alarm, http, net::WireTraffic};

/// Status of a process.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// The name of the VM.
    pub vm: String,
    /// The role of the process.
    pub role: String,
    /// The availability zone of the VM.
    pub zone: String,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The generation of the configuration in use.
    pub generation: Generation,
    /// The version loaded in the engine.
    pub version: Option<VersionId>,
    /// The number of chunks that are still missing.
    pub missing: usize,
    /// The maximum number of concurrent requests that the engine accepts.
    pub limit: u32,
    /// The number of running requests.
    pub running: u32,
    /// Whether new requests are accepted.
    pub open: bool,
    /// Whether the engine has accepted commands of a newer process.
    pub superseded: bool,
    /// The endpoints known to an entry.
    pub endpoints: BTreeMap<VmId, EndpointStatus>,
    /// The traffic between this process and the system's other processes.
    #[serde(default)]
    pub wire: WireTraffic,
    /// Counters by name.
    pub counters: BTreeMap<String, u64>,
    /// Summaries of durations by client account and measure.
    #[serde(default)]
    pub times: BTreeMap<String, BTreeMap<Measure, Summary>>,
    /// The conditions that need an operator's attention.
    #[serde(default)]
    pub alarms: Vec<Alarm>,
}

/// Status of an endpoint as known to an entry.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EndpointStatus {
    /// The zone of the endpoint.
    pub zone: Option<ZoneId>,
    /// The version that the endpoint serves.
    pub version: Option<VersionId>,
    /// The maximum number of concurrent requests that the endpoint accepts.
    pub limit: u32,
    /// The number of requests running at the endpoint.
    pub running: u32,
    /// Whether the endpoint accepts new requests.
    pub open: bool,
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} {} in {}", self.role, self.vm, self.zone)?;
        for alarm in &self.alarms {
            writeln!(f, "ALARM        {alarm}")?;
        }
        writeln!(f, "generation   {}", self.generation)?;
        let version = self.version.as_ref().map_or("-", |v| v.as_str());
        writeln!(f, "version      {version}")?;
        writeln!(f, "missing      {}", self.missing)?;
        writeln!(f, "running      {} of {}", self.running, self.limit)?;
        writeln!(f, "open         {}", self.open)?;
        writeln!(f, "wire         {} sent, {} received", self.wire.sent, self.wire.received)?;
        for (vm, endpoint) in &self.endpoints {
            let version = endpoint.version.as_ref().map_or("-", |v| v.as_str());
            let (running, limit) = (endpoint.running, endpoint.limit);
            writeln!(f, "  {vm:24} {version:16} {running:>4}/{limit:<4} open {}", endpoint.open)?;
        }
        for (name, count) in &self.counters {
            writeln!(f, "  {name:40} {count}")?;
        }
        for (account, measures) in &self.times {
            for (measure, summary) in measures {
                let Summary { count, p50, p95, p99 } = summary;
                let name = format!("{account} {measure}");
                writeln!(f, "  {name:40} {count} p50 {p50} p95 {p95} p99 {p99}")?;
            }
        }
        Ok(())
    }
}

/// Serves the status on `addr`; each request obtains it from the event loop behind `events`.
pub async fn serve<E: 'static>(
    addr: SocketAddr,
    events: mpsc::UnboundedSender<E>,
    event: fn(oneshot::Sender<Status>) -> E,
) -> anyhow::Result<()> {
    http::serve(addr, move |_: Request| {
        let events = events.clone();
        async move {
            let (tx, rx) = oneshot::channel();
            let _ = events.send(event(tx));
            match rx.await {
                Ok(mut status) => {
                    status.alarms = Alarm::from_status(&status);
                    let body = serde_json::to_vec(&status).unwrap_or_default();
                    Response::build(StatusCode::OK).body(body).map_into_boxed_body()
                }
                Err(_) => Response::new(StatusCode::SERVICE_UNAVAILABLE).set_body(BoxBody::new(())),
            }
        }
    })
    .await
}
