//! Experiment on how fast a whole fleet adopts a configuration, in virtual time.

pub mod fleet;
pub mod platform;
pub mod simulation;

use std::{collections::BTreeSet, fmt};

use sequoiahold_core::{
    config::SyncParams,
    declare::{PublishedSet, SetId},
    ids::ZoneId,
    time::Time,
    units::Span,
};
use serde::Serialize;

use self::{
    fleet::{Fleet, FleetSize},
    simulation::Simulation,
};

/// Size of the fleet that the system is designed for.
pub const DESIGN_SIZE: FleetSize =
    FleetSize { zones: 8, entries: 810, endpoints: 4_500, clients: 300 };
/// The default synchronization parameters of a process.
pub const DEFAULT_SYNC: SyncParams = SyncParams {
    gossip_interval: Span::secs(2),
    fanout: 4,
    readers: 3,
    seed_timeout: Span::secs(2),
    stale_after: Span::secs(4),
};
/// Maximum time to wait until a change is in force everywhere.
const ADOPTION_TIMEOUT: Span = Span::secs(60);
/// Time for a started fleet to reach a steady state.
const SETTLE_TIME: Span = Span::secs(5);
/// Time between two changes at 11,000 changes a day.
const CHANGE_INTERVAL: Span = Span::millis(7_855);

/// The measurements of one scenario.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ScenarioResult {
    /// Name of the scenario.
    pub name: &'static str,
    /// Number of processes running at the end.
    pub running: usize,
    /// Number of running processes that hold the expected set at the end.
    pub in_force: usize,
    /// Seconds until half of the processes had adopted it.
    pub p50: f64,
    /// Seconds until 99% of the processes had adopted it.
    pub p99: f64,
    /// Seconds until all processes had adopted it.
    pub max: f64,
    /// Maximum number of platform calls within one second.
    pub peak: u64,
    /// Total number of platform calls.
    pub calls: u64,
    /// Bytes sent and received per second, mean over the processes.
    pub mean_bytes: u64,
    /// Bytes sent and received per second, maximum over the processes.
    pub max_bytes: u64,
    /// Number of times that a process replaced its set by an older one.
    pub reverted: u64,
}

impl fmt::Display for ScenarioResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { name, running, in_force, p50, p99, max, .. } = self;
        write!(f, "{name:<22} {in_force:>5}/{running:<5} {p50:>6.2} {p99:>6.2} {max:>6.2} s ")?;
        write!(f, "{:>5} calls/s {:>6} calls ", self.peak, self.calls)?;
        write!(f, "{:>7} B/s mean {:>8} B/s max ", self.mean_bytes, self.max_bytes)?;
        write!(f, "{} reverted", self.reverted)
    }
}

/// One run of a scenario, which starts when all processes hold the first set.
pub struct ScenarioRun {
    /// The simulated processes and platform.
    pub sim: Simulation,
    /// The declarations.
    pub fleet: Fleet,
    /// Id of the set that the processes must adopt.
    pub id: SetId,
    set: PublishedSet,
    /// Time from which bytes are counted.
    measured_from: Time,
    /// Time of the measured change.
    changed_at: Time,
}

impl ScenarioRun {
    /// Starts all processes within one second and waits until the first set is in force everywhere.
    pub fn start(size: FleetSize, sync: SyncParams, seed: u64) -> anyhow::Result<Self> {
        let mut fleet = Fleet::new(size);
        let set = fleet.change_client()?;
        let mut sim = Simulation::new(&set.verified_fleet()?, sync, seed);
        let id = sim.publish(set.clone());
        for i in 0..sim.processes.len() {
            sim.restart(i, Span::millis(i as u64 % 1_000));
        }
        sim.run(Time::default() + ADOPTION_TIMEOUT, |sim| all_adopted(sim, id));
        Ok(Self {
            sim,
            fleet,
            id,
            set,
            measured_from: Time::default(),
            changed_at: Time::default(),
        })
    }

    /// Publishes a change of one client account.
    pub fn publish_change(&mut self) -> anyhow::Result<()> {
        self.set = self.fleet.change_client()?;
        self.id = self.sim.publish(self.set.clone());
        Ok(())
    }

    /// Publishes a different set under the same generation; returns its id.
    pub fn publish_conflict(&mut self) -> anyhow::Result<SetId> {
        let set = self.fleet.change_same_generation()?;
        Ok(self.sim.publish(set))
    }

    /// Resets the counts of calls and bytes and starts the measurement.
    pub fn begin_measurement(&mut self) {
        self.measured_from = self.sim.now;
        self.changed_at = self.sim.now;
        self.sim.platform.calls.clear();
        self.sim.processes.iter_mut().for_each(|process| process.bytes = 0);
    }

    /// Waits until all running processes hold the set, for at most `ADOPTION_TIMEOUT`.
    pub fn wait_for_adoption(&mut self) {
        let id = self.id;
        let until = self.sim.now + ADOPTION_TIMEOUT;
        self.sim.run(until, |sim| all_adopted(sim, id));
    }

    /// Runs the simulation for `span`.
    pub fn advance(&mut self, span: Span) {
        let until = self.sim.now + span;
        self.sim.run(until, |_| false);
    }

    /// Returns the measurements since [`Self::begin_measurement`].
    pub fn result(&self, name: &'static str) -> ScenarioResult {
        let running: Vec<_> = self.sim.running().collect();
        let held = running.iter().filter_map(|process| process.held);
        let mut times: Vec<f64> = held
            .filter(|(id, _)| *id >= self.id)
            .map(|(_, at)| (at - self.changed_at).as_secs_f64())
            .collect();
        times.sort_by(f64::total_cmp);
        let quantile = |share: f64| {
            let i = ((times.len() as f64 * share).ceil() as usize).saturating_sub(1);
            times.get(i).copied().unwrap_or_default()
        };
        let seconds = (self.sim.now - self.measured_from).as_secs_f64().max(1.0);
        let rate = |bytes: u64| (bytes as f64 / seconds) as u64;
        let bytes: Vec<u64> = running.iter().map(|process| process.bytes).collect();
        ScenarioResult {
            name,
            running: running.len(),
            in_force: times.len(),
            p50: quantile(0.5),
            p99: quantile(0.99),
            max: quantile(1.0),
            peak: self.sim.platform.calls.values().copied().max().unwrap_or(0),
            calls: self.sim.platform.calls.values().sum(),
            mean_bytes: rate(bytes.iter().sum::<u64>() / bytes.len().max(1) as u64),
            max_bytes: rate(bytes.iter().copied().max().unwrap_or(0)),
            reverted: self.sim.reverted,
        }
    }
}

/// Runs the scenarios whose names contain `only` and prints their results.
///
/// Returns 1 if a running process lacks the expected set or went back to an older one, else 0.
pub fn run(seed: u64, json: bool, only: Option<&str>) -> anyhow::Result<u8> {
    let rows = run_scenarios(DESIGN_SIZE, DEFAULT_SYNC, seed, only, |row| {
        if !json {
            println!("{row}");
        }
    })?;
    if json {
        println!("{}", serde_json::to_string(&rows)?);
    }
    let passed = |row: &ScenarioResult| row.in_force == row.running && row.reverted == 0;
    Ok(u8::from(!rows.iter().all(passed)))
}

/// The steps of a scenario, from a fleet that holds the first set.
type Scenario = fn(&mut ScenarioRun) -> anyhow::Result<()>;

/// The scenarios by name.
const SCENARIOS: [(&str, Scenario); 9] = [
    ("all start", all_start),
    ("one change", one_change),
    ("11,000 changes a day", daily_rate),
    ("a fifth restarts", restart_fifth),
    ("all readers lost", readers_lost),
    ("platform down", platform_down),
    ("platform rolled back", rolled_back),
    ("zone cut, healed", zone_cut),
    ("two sets, one number", conflict),
];

/// Runs the scenarios whose names contain `only` and calls `show` with each result.
pub fn run_scenarios(
    size: FleetSize,
    sync: SyncParams,
    seed: u64,
    only: Option<&str>,
    mut show: impl FnMut(&ScenarioResult),
) -> anyhow::Result<Vec<ScenarioResult>> {
    let mut rows = Vec::new();
    let selected = |name: &str| only.is_none_or(|only| name.contains(only));
    for (name, scenario) in SCENARIOS.into_iter().filter(|(name, _)| selected(name)) {
        let mut run = ScenarioRun::start(size, sync, seed)?;
        scenario(&mut run)?;
        let row = run.result(name);
        show(&row);
        rows.push(row);
    }
    Ok(rows)
}

/// All processes start without any state within one second.
fn all_start(_: &mut ScenarioRun) -> anyhow::Result<()> {
    Ok(())
}

fn one_change(run: &mut ScenarioRun) -> anyhow::Result<()> {
    run.advance(SETTLE_TIME);
    run.begin_measurement();
    run.publish_change()?;
    run.wait_for_adoption();
    Ok(())
}

/// One minute at 11,000 changes a day; the adoption times are those of the last change.
fn daily_rate(run: &mut ScenarioRun) -> anyhow::Result<()> {
    run.advance(SETTLE_TIME);
    run.begin_measurement();
    for _ in 0..8 {
        run.changed_at = run.sim.now;
        run.publish_change()?;
        run.advance(CHANGE_INTERVAL);
    }
    Ok(())
}

/// A change while a fifth of the processes restart.
fn restart_fifth(run: &mut ScenarioRun) -> anyhow::Result<()> {
    run.advance(SETTLE_TIME);
    run.begin_measurement();
    run.publish_change()?;
    for (n, i) in run.sim.sample(20).into_iter().enumerate() {
        run.sim.restart(i, Span::millis(500 + n as u64 % 1_500));
    }
    run.advance(Span::secs(2));
    run.wait_for_adoption();
    Ok(())
}

/// A change just after all processes that read the platform have stopped.
fn readers_lost(run: &mut ScenarioRun) -> anyhow::Result<()> {
    run.advance(SETTLE_TIME);
    let now = run.sim.now;
    let is_reader = |process: &simulation::Process| {
        process.node.as_ref().is_some_and(|node| node.is_reader(now))
    };
    let readers: Vec<_> = run
        .sim
        .processes
        .iter()
        .enumerate()
        .filter(|(_, p)| is_reader(p))
        .map(|(i, _)| i)
        .collect();
    readers.into_iter().for_each(|i| run.sim.stop(i));
    run.begin_measurement();
    run.publish_change()?;
    run.wait_for_adoption();
    Ok(())
}

/// The platform goes down 100 ms after a change; a fifth of the processes restart meanwhile.
fn platform_down(run: &mut ScenarioRun) -> anyhow::Result<()> {
    run.advance(SETTLE_TIME);
    run.publish_change()?;
    run.advance(Span::millis(100));
    run.sim.platform.down = true;
    run.begin_measurement();
    for (n, i) in run.sim.sample(20).into_iter().enumerate() {
        run.sim.restart(i, Span::millis(n as u64 % 1_000));
    }
    run.advance(Span::secs(2));
    run.wait_for_adoption();
    run.advance(Span::secs(20));
    Ok(())
}

/// The platform serves the previous set again; a fifth of the processes restart meanwhile.
fn rolled_back(run: &mut ScenarioRun) -> anyhow::Result<()> {
    run.advance(SETTLE_TIME);
    let old = run.set.clone();
    run.publish_change()?;
    run.wait_for_adoption();
    run.sim.publish(old);
    run.begin_measurement();
    for (n, i) in run.sim.sample(20).into_iter().enumerate() {
        run.sim.restart(i, Span::millis(n as u64 % 1_000));
    }
    run.advance(Span::secs(2));
    run.wait_for_adoption();
    run.advance(Span::secs(20));
    Ok(())
}

/// A change while a zone is isolated for 30 s; measured from the end of the isolation.
fn zone_cut(run: &mut ScenarioRun) -> anyhow::Result<()> {
    run.advance(SETTLE_TIME);
    let zone: ZoneId = run.sim.processes[0].vm.zone.clone();
    run.sim.isolated_zones = BTreeSet::from([zone]);
    run.publish_change()?;
    run.advance(Span::secs(30));
    run.sim.isolated_zones.clear();
    run.begin_measurement();
    run.wait_for_adoption();
    Ok(())
}

/// Two different sets are published under the same generation; the higher id must win.
fn conflict(run: &mut ScenarioRun) -> anyhow::Result<()> {
    run.advance(SETTLE_TIME);
    run.begin_measurement();
    let other = run.publish_conflict()?;
    run.id = run.id.max(other);
    run.advance(Span::secs(10));
    run.wait_for_adoption();
    Ok(())
}

fn all_adopted(sim: &Simulation, id: SetId) -> bool {
    sim.processes
        .iter()
        .all(|process| process.node.is_none() || process.held.is_some_and(|(held, _)| held >= id))
}
