//! Simulated callers that retry refused calls after the time that the refusal states.

use std::{collections::BTreeMap, path::PathBuf};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng, seq::IndexedRandom as _};
use sequoiahold_core::{declare::Role, ids::VmId, route::Policy, time::Time, units::Span};

use crate::driver::{CallId, CallRequest, Outcome, Simulation, SimulationConfig};

/// Time between two checks of the calls in progress.
const POLL_INTERVAL: Span = Span::millis(10);
/// Maximum number of calls per caller.
const MAX_CALLS: u32 = 8;
/// Time for all processes to adopt the first set and load the first version.
const WARM_UP: Span = Span::secs(5);
/// Time from the first token of a request to its end.
const RUN_TIME: Span = Span::millis(450);
/// Share of the callers that belong to the large accounts, in percent.
const LARGE_PERCENT: u32 = 60;

/// Options of a traffic experiment.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the random number generators.
    pub seed: u64,
    /// Name of the deployment whose size is simulated.
    pub deployment: String,
    /// Offered load in percent of the warm capacity.
    pub load: u32,
    /// Directory for raw figures and charts, `None` to write none.
    pub out: Option<PathBuf>,
}

/// The request of one caller, which may take several calls.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Time of the first call.
    pub at: Time,
    /// Name of the client account.
    pub client: String,
    /// Number of calls made.
    pub calls: u32,
    /// Times of the first token and of the end of the answer.
    pub answered: Option<(Time, Time)>,
    /// Times of the refusals.
    pub refused: Vec<Time>,
    /// Whether a call failed after it was sent to an endpoint.
    pub failed: bool,
    due_at: Option<Time>,
    open_call: Option<CallId>,
}

/// Callers and the simulation that they call.
pub struct Traffic {
    /// The simulated deployment.
    pub sim: Simulation,
    /// The requests of all callers.
    pub requests: Vec<CallerRequest>,
    entries: Vec<VmId>,
    rng: SmallRng,
    pending: Vec<usize>,
}

/// Returns the simulation parameters for a deployment.
pub fn simulation_config(deployment: &str, seed: u64, policy: Policy) -> SimulationConfig {
    let (endpoints, extra_endpoints) = if deployment == "tannverket" { (3, 1) } else { (5, 0) };
    let base = SimulationConfig {
        zones: 3,
        entries: 3,
        endpoints,
        extra_endpoints,
        slots: 8,
        cold_slots: 2,
        ..SimulationConfig::default()
    };
    SimulationConfig { clients: 10, large_clients: 2, seed, policy, run_time: RUN_TIME, ..base }
}

/// Returns the requests per second that the endpoints serve when warm.
pub fn capacity(config: &SimulationConfig) -> f64 {
    let endpoints =
        u32::from(config.zones) * u32::from(config.endpoints) + u32::from(config.extra_endpoints);
    f64::from(endpoints * config.slots) / (config.run_time.as_secs_f64() + 0.05)
}

impl Traffic {
    /// Returns a started deployment whose engines have loaded the version and are cold.
    pub fn new(config: SimulationConfig) -> Self {
        let mut sim = Simulation::new(config);
        sim.publish(|_| ());
        sim.advance(WARM_UP);
        let vms = sim.fleet().vms.values().filter(|vm| vm.role == Role::Entry);
        let entries = vms.map(|vm| vm.name.clone()).collect();
        let rng = SmallRng::seed_from_u64(config.seed);
        Self { sim, requests: vec![], entries, rng, pending: vec![] }
    }

    /// Adds `count` callers whose first calls are uniformly distributed over `span` after `from`.
    pub fn add_callers(&mut self, from: Time, span: Span, count: usize) {
        for _ in 0..count {
            let at = from + Span(self.rng.random_range(0..span.0));
            let large = self.rng.random_range(0..100) < LARGE_PERCENT;
            let client = if large { 1..=2 } else { 3..=10 };
            let client = format!("c{}", self.rng.random_range(client));
            self.pending.push(self.requests.len());
            self.requests.push(CallerRequest {
                at,
                client,
                calls: 0,
                answered: None,
                refused: vec![],
                failed: false,
                due_at: Some(at),
                open_call: None,
            });
        }
    }

    /// Runs the simulation for `span`, with calls, retries and answers.
    pub fn run(&mut self, span: Span) {
        let end = self.sim.now + span;
        while self.sim.now < end {
            self.sim.advance(POLL_INTERVAL);
            let now = self.sim.now;
            for index in std::mem::take(&mut self.pending) {
                if self.poll_request(now, index) {
                    self.pending.push(index);
                }
            }
        }
    }

    /// Returns the number of requests that engines received above their capacity.
    pub fn overloads(&self) -> u32 {
        self.sim.engines.values().map(|engine| engine.overloads).sum()
    }

    /// Returns the requests by client account.
    pub fn by_client(&self) -> BTreeMap<&str, Vec<&CallerRequest>> {
        let mut all: BTreeMap<&str, Vec<&CallerRequest>> = BTreeMap::new();
        for request in &self.requests {
            all.entry(&request.client).or_default().push(request);
        }
        all
    }

    /// Processes the outcome and the next call of a request; returns whether it is still pending.
    fn poll_request(&mut self, now: Time, index: usize) -> bool {
        let request = &mut self.requests[index];
        if let Some(call) = request.open_call {
            let record = &self.sim.calls[call.0];
            let Some((end, outcome)) = &record.end else { return true };
            request.open_call = None;
            match outcome {
                Outcome::Answered(_) => {
                    request.answered = Some((record.first_token.unwrap_or(*end), *end));
                    return false;
                }
                Outcome::Refused(_, retry) => {
                    request.refused.push(*end);
                    let retry_after = retry.map(|span| Span::secs(span.0.div_ceil(1_000_000)));
                    request.due_at = retry_after.map(|span| *end + span);
                }
                _ => request.failed = true,
            }
        }
        let Some(due) = request.due_at.filter(|_| request.calls < MAX_CALLS) else { return false };
        if due <= now {
            request.due_at = None;
            request.calls += 1;
            let entry =
                self.entries.choose(&mut self.rng).expect("the simulation has entries").clone();
            let client = request.client.clone();
            let call_request =
                CallRequest { service: "llm", client: &client, key: None, body: None };
            let call = self.sim.call(&entry, call_request);
            self.requests[index].open_call = Some(call);
        }
        true
    }
}

/// Returns the `percent`-th percentile of spans in milliseconds, 0 if there are none.
pub fn percentile(spans: &[Span], percent: usize) -> f64 {
    let mut sorted = spans.to_vec();
    sorted.sort_unstable();
    let index = (sorted.len() * percent / 100).min(sorted.len().saturating_sub(1));
    sorted.get(index).map_or(0.0, |span| span.0 as f64 / 1e3)
}
