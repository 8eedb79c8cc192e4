//! Runs the scenarios in `scenarios/` on the decision core in virtual time.

use std::{collections::BTreeMap, error::Error, fmt::Write as _, path::PathBuf, str::FromStr};

use goldenscript::{ArgumentConsumer, Command, Context, Runner};
use rstest::rstest;
use sequoiahold_core::{
    ids::{Digest, VersionId, VmId, ZoneId},
    once::CallKey,
    refusal::Failure,
    suspect::Fingerprint,
    units::Span,
    vm_state::VmState,
};
use sequoiahold_standins::driver::{CallId, CallRequest, Outcome, Simulation, SimulationConfig};

/// Time for all processes to adopt the first configuration and load the first version.
const WARM_UP: Span = Span::secs(5);

struct ScenarioRunner {
    sim: Simulation,
    recorded_calls: Vec<CallId>,
    ticket: Option<CallKey>,
}

impl ScenarioRunner {
    fn new() -> Self {
        Self {
            sim: Simulation::new(SimulationConfig::default()),
            recorded_calls: vec![],
            ticket: None,
        }
    }

    fn start_fleet(&mut self, config: SimulationConfig) {
        self.sim = Simulation::new(config);
        self.sim.publish(|_| ());
        self.sim.advance(WARM_UP);
        self.recorded_calls.clear();
    }

    fn summary(&self) -> String {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for call in &self.recorded_calls {
            let text = match &self.sim.calls[call.0].end {
                None => "open".to_owned(),
                Some((_, Outcome::Answered(_))) => "answered".to_owned(),
                Some((_, Outcome::Refused(reason, _))) => format!("refused {reason:?}"),
                Some((_, Outcome::KeyedRefused(reason))) => {
                    format!("refused {reason:?}, key may have run")
                }
                Some((_, Outcome::Failed(Failure::Unknown))) => "unknown".to_owned(),
                Some((_, Outcome::Failed(failure))) => format!("failed {failure:?}"),
            };
            *counts.entry(text).or_default() += 1;
        }
        let mut out = String::new();
        for (text, count) in counts {
            let _ = writeln!(out, "{text}: {count}");
        }
        out
    }

    fn endpoints(&self) -> String {
        let mut out = String::new();
        for (vm, engine) in &self.sim.engines {
            let Some(core) = self.sim.endpoint(vm) else {
                let _ = writeln!(out, "{vm}: no process");
                continue;
            };
            let gate = core.gate();
            let version = gate.version().map_or("-", VersionId::as_str);
            let (lifecycle, open) = (core.lifecycle(), gate.is_open());
            let (overloads, crashes) = (engine.overloads, engine.crashes);
            let _ = writeln!(
                out,
                "{vm}: {lifecycle:?} {version} open {open} overloads {overloads} crashes {crashes}"
            );
        }
        out
    }

    fn make_calls(&mut self, command: &Command) -> Result<(), Box<dyn Error>> {
        let mut args = command.consume_args();
        let entry: VmId = args.next_pos().ok_or("no entry given")?.parse()?;
        let count: usize = parse_key(&mut args, "count")?.unwrap_or(1);
        let every: Option<Span> = parse_key(&mut args, "every")?;
        let client = args.take_key("client").unwrap_or("c1").to_owned();
        let service = args.take_key("service").unwrap_or("llm").to_owned();
        let key = match args.take_key("key") {
            Some("ticket") => self.ticket.clone(),
            key => key.map(str::parse).transpose()?,
        };
        let body = args.take_key("body").map(ToOwned::to_owned);
        let keys = args.take_key("keys").map(ToOwned::to_owned);
        args.reject_next()?;
        let body = body.as_deref();
        for _ in 0..count {
            let unused = keys.as_deref().map(|kind| self.unused_key(kind)).transpose()?;
            let (service, client, key) = (&*service, &*client, unused.or_else(|| key.clone()));
            self.recorded_calls
                .push(self.sim.call(&entry, CallRequest { service, client, key, body }));
            every.into_iter().for_each(|span| self.sim.advance(span));
        }
        Ok(())
    }

    /// Returns an unused key of a kind: `plain`, `timed` (with its creation time) or `ticket`.
    fn unused_key(&mut self, kind: &str) -> Result<CallKey, Box<dyn Error>> {
        let number = self.sim.calls.len();
        match kind {
            "plain" => Ok(format!("key-{number}").parse()?),
            "timed" => {
                let millis = format!("{:012x}", self.sim.now.0 / 1_000);
                let (high, low) = millis.split_at(8);
                Ok(format!("{high}-{low}-7000-8000-{number:012x}").parse()?)
            }
            "ticket" => {
                let vms: Vec<VmId> = self.sim.engines.keys().cloned().collect();
                let mut issued =
                    vms.iter().filter_map(|vm| self.sim.issue_ticket(vm, "c1", "orders"));
                Ok(CallKey::Ticket(issued.next().ok_or("no endpoint issues a ticket")?))
            }
            other => Err(format!("unknown key kind {other}").into()),
        }
    }

    fn inject_fault(&mut self, command: &Command) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let mut next = || args.next_pos().ok_or("an argument is missing");
        let sim = &mut self.sim;
        match command.name.as_str() {
            "kill" => sim.kill(&next()?.parse()?),
            "start" => sim.start(&next()?.parse()?),
            "pause" => sim.pause(&next()?.parse()?, next()?.parse()?),
            "drain" => return Ok(format!("in progress: {}", sim.drain(&next()?.parse()?))),
            "cut" => sim.partition(&next()?.parse()?, &next()?.parse()?),
            "heal" => sim.heal_partitions(),
            "platform" => sim.platform_down = next()? == "down",
            "copies" => sim.faults.duplicate_delay = Some(next()?.parse()?),
            "poison" => {
                let fingerprint = Fingerprint::from(&Digest::of(next()?.as_bytes()));
                sim.faults.poison_requests.insert(fingerprint);
            }
            "silence" => drop(sim.faults.silent_pairs.insert((next()?.parse()?, next()?.parse()?))),
            "mute" => sim.faults.muted_vms.push(next()?.parse()?),
            "unmute" => sim.faults.muted_vms.clear(),
            "vanish" => drop(sim.vm_states.remove(&next()?.parse()?)),
            "live" => drop(sim.vm_states.insert(next()?.parse()?, VmState::Live)),
            "leaving" => drop(sim.vm_states.insert(next()?.parse()?, VmState::Leaving)),
            "crash" => {
                let vm: VmId = next()?.parse()?;
                sim.engines.get_mut(&vm).ok_or("no such engine")?.crash();
            }
            "fence" => {
                let vm: VmId = next()?.parse()?;
                let engine = sim.engines.get_mut(&vm).ok_or("no such engine")?;
                match next()? {
                    "above" => engine.fence = engine.fence.next(),
                    _ => engine.checks_fence = false,
                }
            }
            "swap" => sim.load_with_stale_fence(&next()?.parse()?, &next()?.parse()?),
            "cool" => {
                let vm: VmId = next()?.parse()?;
                sim.engines.get_mut(&vm).ok_or("no such engine")?.finished = 0;
            }
            other => return Err(format!("unknown command {other}").into()),
        }
        args.reject_next()?;
        Ok(String::new())
    }
}

impl Runner for ScenarioRunner {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        match command.name.as_str() {
            "fleet" => {
                let defaults = SimulationConfig::default();
                let config = SimulationConfig {
                    zones: parse_key(&mut args, "zones")?.unwrap_or(defaults.zones),
                    entries: parse_key(&mut args, "entries")?.unwrap_or(defaults.entries),
                    endpoints: parse_key(&mut args, "endpoints")?.unwrap_or(defaults.endpoints),
                    plain_endpoints: parse_key(&mut args, "plain")?
                        .unwrap_or(defaults.plain_endpoints),
                    slots: parse_key(&mut args, "slots")?.unwrap_or(defaults.slots),
                    cold_slots: parse_key(&mut args, "cold")?.unwrap_or(defaults.cold_slots),
                    clients: parse_key(&mut args, "clients")?.unwrap_or(defaults.clients),
                    seed: parse_key(&mut args, "seed")?.unwrap_or(defaults.seed),
                    ..defaults
                };
                args.reject_next()?;
                self.start_fleet(config);
            }
            "advance" => {
                let span = args.next_pos().ok_or("no time span given")?.parse()?;
                args.reject_next()?;
                self.sim.advance(span);
            }
            "out" | "back" => {
                let zone: ZoneId = args.next_pos().ok_or("no zone given")?.parse()?;
                self.sim.set_zone_out(&zone, command.name == "out");
            }
            "version" => {
                let version: VersionId = args.next_pos().ok_or("no version given")?.parse()?;
                self.sim.set_model_version(&version);
            }
            "ask" => self.make_calls(command)?,
            "mark" => self.recorded_calls.clear(),
            "received" => return Ok(self.summary()),
            "endpoints" => return Ok(self.endpoints()),
            "runs" => {
                let runs: Vec<u32> =
                    self.recorded_calls.iter().map(|c| self.sim.calls[c.0].runs).collect();
                return Ok(format!("most runs of a call: {}", runs.iter().max().unwrap_or(&0)));
            }
            "key-runs" => return Ok(format!("most runs of a key: {}", self.sim.max_key_runs())),
            "ticket" => {
                let vm: VmId = args.next_pos().ok_or("no endpoint given")?.parse()?;
                args.reject_next()?;
                self.ticket = self.sim.issue_ticket(&vm, "c1", "orders").map(CallKey::Ticket);
                return Ok(format!("issued: {}", self.ticket.is_some()));
            }
            _ => return self.inject_fault(command),
        }
        Ok(String::new())
    }
}

fn parse_key<T: FromStr<Err: Error + 'static>>(
    args: &mut ArgumentConsumer<'_>,
    name: &str,
) -> Result<Option<T>, Box<dyn Error>> {
    Ok(args.take_key(name).map(str::parse).transpose()?)
}

#[rstest]
fn scenario_matches_its_golden_file(#[files("../../scenarios/*.txt")] path: PathBuf) {
    goldenscript::run(&mut ScenarioRunner::new(), path)
        .expect("the output differs from the scenario file");
}
