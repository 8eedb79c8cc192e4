//! The status that a process shows, and the port that shows it.

use std::{collections::BTreeMap, fmt, net::SocketAddr};

use actix_http::{Request, Response, StatusCode, body::BoxBody};
use sequoiahold_core::{
    histogram::{Measure, Summary},
    ids::{Generation, Incarnation, VersionId, VmId, ZoneId},
};
use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot};

use crate::{alarm::Alarm, http, net::WireTraffic};

/// What a process holds and does.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Status {
    /// The VM.
    pub vm: String,
    /// The role.
    pub role: String,
    /// The availability zone.
    pub zone: String,
    /// The incarnation of the process.
    pub incarnation: Incarnation,
    /// The generation in force.
    pub generation: Generation,
    /// The version that the engine holds.
    pub version: Option<VersionId>,
    /// The chunks that are still missing.
    pub missing: usize,
    /// The requests that the engine bears now.
    pub limit: u32,
    /// The requests that run now.
    pub running: u32,
    /// Whether new work is taken.
    pub open: bool,
    /// Whether the engine has taken orders of a later process.
    pub superseded: bool,
    /// The endpoints that an entry knows.
    pub endpoints: BTreeMap<VmId, EndpointStatus>,
    /// Bytes between this process and the system's others.
    #[serde(default)]
    pub wire: WireTraffic,
    /// Counters by name.
    pub counters: BTreeMap<String, u64>,
    /// Times by client account and measure.
    #[serde(default)]
    pub times: BTreeMap<String, BTreeMap<Measure, Summary>>,
    /// What an operator should look at.
    #[serde(default)]
    pub alarms: Vec<Alarm>,
}

/// What an entry knows of an endpoint.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EndpointStatus {
    /// The zone of the endpoint.
    pub zone: Option<ZoneId>,
    /// The version that it serves.
    pub version: Option<VersionId>,
    /// The requests that it bears.
    pub limit: u32,
    /// The requests that run there.
    pub running: u32,
    /// Whether it takes new work.
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

/// Serves `/status` on `addr` by asking the event loop behind `events`.
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
