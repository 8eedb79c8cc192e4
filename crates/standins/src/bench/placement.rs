//! Time that the scheduler of a gateway takes to place requests, measured within this process.

use std::{collections::BTreeMap, time::Instant};

use rand::{SeedableRng as _, rngs::SmallRng};
use sequoiahold_core::{
    direct::{
        catalog::{Catalog, EndpointEntry, Service},
        endpoint_state::AttemptOutcome,
        platform::PublishedValue,
        scheduler::{Decision, Grant, PlacementRequest, Scheduler, SchedulerConfig},
        view::View,
    },
    ids::{InstanceId, ServiceId},
    time::Time,
    units::Span,
};
use serde::Serialize;

use super::declared::name;

/// Endpoints of each service.
const ENDPOINTS: u16 = 60;
/// Slots of an endpoint.
const SLOTS: u32 = 8;
/// Of this number of endpoints, one gets no requests.
const OUT_DIVISOR: usize = 3;
/// Requests that are placed and released for one measurement.
const PLACED_REQUESTS: u64 = 100_000;
/// Simulated time between two of them.
const REQUEST_INTERVAL: Span = Span(100);
/// Requests that wait for a slot.
const QUEUED_REQUESTS: usize = 500;
/// Number of times that the queue is dispatched for one measurement.
const DISPATCHES: u64 = 200;
/// Time for which requests wait and endpoints pause, beyond any measurement.
const LONG_TIME: Span = Span::secs(3_600);
/// Rate that endpoints advertise, in requests per second.
const RATE: &str = "1";
/// Seed of the random choices.
const SEED: u64 = 1;

/// Why a part of the endpoints gets no requests.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum Out {
    None,
    Leaving,
    Pausing,
    Limited,
    /// Endpoints of another service pause.
    OtherService,
}

/// The result of a measurement.
#[derive(Debug, Serialize)]
struct Measurement {
    operation: &'static str,
    out: Out,
    queued: usize,
    /// Time per operation, in ns.
    ns: f64,
}

/// A service of the scheduler.
#[derive(Clone, Copy, Debug)]
enum ServiceName {
    Own,
    Other,
}

impl ServiceName {
    fn id(self) -> ServiceId {
        name(match self {
            Self::Own => "own",
            Self::Other => "other",
        })
    }
}

/// A scheduler with two services and its random choices.
struct Placement {
    scheduler: Scheduler,
    rng: SmallRng,
}

/// Prints the time per operation of each case, one JSON object a line.
pub(super) fn run() -> anyhow::Result<()> {
    let placed = [Out::None, Out::Leaving, Out::Pausing, Out::Limited].map(place);
    let dispatched =
        [Out::None, Out::Leaving, Out::Pausing, Out::Limited, Out::OtherService].map(dispatch);
    for measurement in placed.iter().chain(&dispatched) {
        println!("{}", serde_json::to_string(measurement)?);
    }
    Ok(())
}

/// Measures the placement and release of a request.
fn place(out: Out) -> Measurement {
    let mut placement = Placement::new();
    let grants = placement.fill(ServiceName::Own);
    placement.take_out(&grants, out);
    for grant in grants {
        placement.release(Time::default(), grant);
    }
    let started = Instant::now();
    for number in 1..=PLACED_REQUESTS {
        let now = Time(REQUEST_INTERVAL.0 * number);
        if let Some(grant) = placement.submit(now, ServiceName::Own) {
            placement.release(now, grant);
        }
    }
    let ns = started.elapsed().as_nanos() as f64 / PLACED_REQUESTS as f64;
    Measurement { operation: "place", out, queued: 0, ns }
}

/// Measures the dispatch of a queue none of whose requests can be placed.
fn dispatch(out: Out) -> Measurement {
    let mut placement = Placement::new();
    let grants = placement.fill(ServiceName::Own);
    match out {
        Out::OtherService => {
            let grants = placement.fill(ServiceName::Other);
            placement.take_out(&grants, out);
        }
        _ => placement.take_out(&grants, out),
    }
    for _ in 0..QUEUED_REQUESTS {
        placement.submit(Time::default(), ServiceName::Own);
    }
    let queued = placement.scheduler.queued_requests();
    let started = Instant::now();
    for _ in 0..DISPATCHES {
        placement.scheduler.dispatch_queued(Time::default(), &mut placement.rng);
    }
    let ns = started.elapsed().as_nanos() as f64 / DISPATCHES as f64;
    Measurement { operation: "dispatch", out, queued, ns }
}

impl Placement {
    fn new() -> Self {
        let mut scheduler = Scheduler::new(SchedulerConfig {
            zone: name("zone"),
            regions: BTreeMap::from([(name("zone"), name("region"))]),
            rollout_time: Span::secs(8),
            cold_factor: 1.5,
            cold_extra: 5.0,
            pace: false,
        });
        scheduler.update(&view());
        Self { scheduler, rng: SmallRng::seed_from_u64(SEED) }
    }

    /// Fills all slots of a service.
    fn fill(&mut self, service: ServiceName) -> Vec<Grant> {
        let slots = u32::from(ENDPOINTS) * SLOTS;
        (0..slots).filter_map(|_| self.submit(Time::default(), service)).collect()
    }

    /// Takes a part of the endpoints out that granted slots.
    fn take_out(&mut self, grants: &[Grant], out: Out) {
        let by_instance: BTreeMap<&InstanceId, &Grant> =
            grants.iter().map(|grant| (&grant.instance, grant)).collect();
        let now = Time::default();
        for (instance, grant) in by_instance.into_iter().step_by(OUT_DIVISOR) {
            match out {
                Out::None => {}
                Out::Leaving => drop(self.scheduler.record_leaving(now, now, grant, true)),
                Out::Pausing | Out::OtherService => {
                    self.scheduler.record_pause(now, grant, LONG_TIME);
                }
                Out::Limited => {
                    self.scheduler.record_rate_limit(now, instance, Some(name(RATE)));
                }
            }
        }
    }

    /// Submits a request and returns its slot, `None` if it is queued or refused.
    fn submit(&mut self, now: Time, service: ServiceName) -> Option<Grant> {
        let request = PlacementRequest {
            service: service.id(),
            account: None,
            priority: 1.into(),
            regions: None,
            model: None,
            tokens: (0, 0),
            objective: now + LONG_TIME,
            deadline: now + LONG_TIME,
            tried: vec![],
            healthy_only: false,
        };
        match self.scheduler.submit(now, request, &mut self.rng) {
            Decision::Dispatch(grant) => Some(grant),
            Decision::Wait(_) | Decision::Refuse(_) => None,
        }
    }

    fn release(&mut self, now: Time, mut grant: Grant) {
        self.scheduler.release(now, &mut grant, AttemptOutcome::Answered);
    }
}

/// Returns the published state.
fn view() -> View {
    let services = [ServiceName::Own, ServiceName::Other];
    let mut catalog = Catalog::new(1, []);
    catalog.services.extend(services.map(|service| {
        let service = Service {
            name: service.id(),
            max_connections: SLOTS,
            cold_rate: None,
            engine: None,
            origin: None,
        };
        (service.name.clone(), service)
    }));
    let mut view = View::default();
    let now = Time::default();
    view.apply(now, PublishedValue::Catalog(Box::new(catalog)), Some(now));
    for (service, number) in services.into_iter().flat_map(|s| (0..ENDPOINTS).map(move |n| (s, n)))
    {
        let entry = entry(service, number);
        let published = PublishedValue::Endpoint(entry.instance.clone(), Some(entry));
        view.apply(now, published, Some(now));
    }
    view
}

fn entry(service: ServiceName, number: u16) -> EndpointEntry {
    let service = service.id();
    EndpointEntry {
        instance: name(&format!("{service}-{number}")),
        service,
        addr: ([127, 0, 0, 1], 1 + number).into(),
        zone: name("zone"),
        slots: SLOTS,
        leaving: false,
        cold_time: Span(0),
        loaded: None,
        started_ms: Some(1),
    }
}
