//! Callers in virtual time: they call at their time, and come back when a refusal tells them to.

use std::{collections::BTreeMap, path::PathBuf};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng, seq::IndexedRandom as _};
use sequoiahold_core::{declare::Role, ids::VmId, route::Policy, time::Time, units::Span};

use crate::driver::{CallId, CallRequest, Outcome, World, WorldConfig};

/// Time between two looks at the calls.
const STEP: Span = Span::millis(10);
/// Calls after which a caller gives up.
const MAX_CALLS: u32 = 8;
/// Time for all processes to adopt the first set and load the first version.
const WARM_UP: Span = Span::secs(5);
/// Time that an engine runs a request after its first token.
const RUN: Span = Span::millis(450);
/// The share of the calls that the large accounts make, in percent.
const LARGE: u32 = 60;

/// What an experiment is run with.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed of all random choices.
    pub seed: u64,
    /// The deployment whose size is taken.
    pub deployment: String,
    /// The offered load in percent of the warm capacity.
    pub load: u32,
    /// The directory for raw figures and charts.
    pub out: Option<PathBuf>,
}

/// One caller's plan and what became of it.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// When it first called.
    pub at: Time,
    /// The client account.
    pub client: String,
    /// Its calls.
    pub calls: u32,
    /// When its answer began, and when it ended.
    pub answered: Option<(Time, Time)>,
    /// The refusals that it got, by their time.
    pub refused: Vec<Time>,
    /// Whether it failed after the hand-over.
    pub failed: bool,
    due: Option<Time>,
    open: Option<CallId>,
}

/// Callers before a driven world.
pub struct Traffic {
    /// The world.
    pub world: World,
    /// The plans of all callers.
    pub plans: Vec<CallerRequest>,
    entries: Vec<VmId>,
    rng: SmallRng,
    live: Vec<usize>,
}

/// Returns the shape of a deployment.
pub fn shape(deployment: &str, seed: u64, policy: Policy) -> WorldConfig {
    let (endpoints, extra_endpoints) = if deployment == "tannverket" { (3, 1) } else { (5, 0) };
    let base = WorldConfig {
        zones: 3,
        entries: 3,
        endpoints,
        extra_endpoints,
        slots: 8,
        cold_slots: 2,
        ..WorldConfig::default()
    };
    WorldConfig { clients: 10, large_clients: 2, seed, policy, run_time: RUN, ..base }
}

/// Returns the requests a second that the warm endpoints of a shape serve.
pub fn capacity(shape: &WorldConfig) -> f64 {
    let endpoints =
        u32::from(shape.zones) * u32::from(shape.endpoints) + u32::from(shape.extra_endpoints);
    f64::from(endpoints * shape.slots) / (shape.run_time.as_secs_f64() + 0.05)
}

impl Traffic {
    /// Returns a started deployment whose engines hold the version and are cold.
    pub fn new(shape: WorldConfig) -> Self {
        let mut world = World::new(shape);
        world.publish(|_| ());
        world.advance(WARM_UP);
        let vms = world.fleet().vms.values().filter(|vm| vm.role == Role::Entry);
        let entries = vms.map(|vm| vm.name.clone()).collect();
        let rng = SmallRng::seed_from_u64(shape.seed);
        Self { world, plans: vec![], entries, rng, live: vec![] }
    }

    /// Adds callers that first call between two times, evenly at random.
    pub fn add(&mut self, from: Time, span: Span, count: usize) {
        for _ in 0..count {
            let at = from + Span(self.rng.random_range(0..span.0));
            let large = self.rng.random_range(0..100) < LARGE;
            let client = if large { 1..=2 } else { 3..=10 };
            let client = format!("c{}", self.rng.random_range(client));
            self.live.push(self.plans.len());
            self.plans.push(CallerRequest {
                at,
                client,
                calls: 0,
                answered: None,
                refused: vec![],
                failed: false,
                due: Some(at),
                open: None,
            });
        }
    }

    /// Lets time pass; callers call, come back and take their answers.
    pub fn run(&mut self, span: Span) {
        let end = self.world.now + span;
        while self.world.now < end {
            self.world.advance(STEP);
            let now = self.world.now;
            for index in std::mem::take(&mut self.live) {
                if self.follow(now, index) {
                    self.live.push(index);
                }
            }
        }
    }

    /// Returns the requests given to engines above what they bear.
    pub fn overloads(&self) -> u32 {
        self.world.engines.values().map(|engine| engine.overloads).sum()
    }

    /// Returns the plans of each account.
    pub fn by_client(&self) -> BTreeMap<&str, Vec<&CallerRequest>> {
        let mut all: BTreeMap<&str, Vec<&CallerRequest>> = BTreeMap::new();
        for plan in &self.plans {
            all.entry(&plan.client).or_default().push(plan);
        }
        all
    }

    /// Follows one plan and returns whether it goes on.
    fn follow(&mut self, now: Time, index: usize) -> bool {
        let plan = &mut self.plans[index];
        if let Some(call) = plan.open {
            let record = &self.world.calls[call.0];
            let Some((end, outcome)) = &record.end else { return true };
            plan.open = None;
            match outcome {
                Outcome::Answered(_) => {
                    plan.answered = Some((record.first_token.unwrap_or(*end), *end));
                    return false;
                }
                Outcome::Refused(_, retry) => {
                    plan.refused.push(*end);
                    let whole = retry.map(|span| Span::secs(span.0.div_ceil(1_000_000)));
                    plan.due = whole.map(|span| *end + span);
                }
                _ => plan.failed = true,
            }
        }
        let Some(due) = plan.due.filter(|_| plan.calls < MAX_CALLS) else { return false };
        if due <= now {
            plan.due = None;
            plan.calls += 1;
            let entry = self.entries.choose(&mut self.rng).expect("a world has entries").clone();
            let client = plan.client.clone();
            let asked = CallRequest { service: "llm", client: &client, key: None, body: None };
            let call = self.world.call(&entry, asked);
            self.plans[index].open = Some(call);
        }
        true
    }
}

/// Returns a quantile of spans in milliseconds, 0 where there are none.
pub fn quantile(spans: &[Span], share: usize) -> f64 {
    let mut sorted = spans.to_vec();
    sorted.sort_unstable();
    let at = (sorted.len() * share / 100).min(sorted.len().saturating_sub(1));
    sorted.get(at).map_or(0.0, |span| span.0 as f64 / 1e3)
}
