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
    world: Simulation,
    recorded_calls: Vec<CallId>,
    ticket: Option<CallKey>,
}

impl ScenarioRunner {
    fn new() -> Self {
        Self {
            world: Simulation::new(SimulationConfig::default()),
            recorded_calls: vec![],
            ticket: None,
        }
    }

    fn start_fleet(&mut self, shape: SimulationConfig) {
        self.world = Simulation::new(shape);
        self.world.publish(|_| ());
        self.world.advance(WARM_UP);
        self.recorded_calls.clear();
    }

    fn summary(&self) -> String {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for call in &self.recorded_calls {
            let text = match &self.world.calls[call.0].end {
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
        for (vm, engine) in &self.world.engines {
            let Some(core) = self.world.endpoint(vm) else {
                let _ = writeln!(out, "{vm}: no process");
                continue;
            };
            let gate = core.gate();
            let version = gate.version().map_or("-", VersionId::as_str);
            let (life, open) = (core.lifecycle(), gate.is_open());
            let (overloads, crashes) = (engine.overloads, engine.crashes);
            let _ = writeln!(
                out,
                "{vm}: {life:?} {version} open {open} overloads {overloads} crashes {crashes}"
            );
        }
        out
    }

    fn ask(&mut self, command: &Command) -> Result<(), Box<dyn Error>> {
        let mut args = command.consume_args();
        let at: VmId = args.next_pos().ok_or("which entry?")?.parse()?;
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
                .push(self.world.call(&at, CallRequest { service, client, key, body }));
            every.into_iter().for_each(|span| self.world.advance(span));
        }
        Ok(())
    }

    /// Returns an unused key of a kind: `plain`, `timed` (with its creation time) or `ticket`.
    fn unused_key(&mut self, kind: &str) -> Result<CallKey, Box<dyn Error>> {
        let number = self.world.calls.len();
        match kind {
            "plain" => Ok(format!("key-{number}").parse()?),
            "timed" => {
                let millis = format!("{:012x}", self.world.now.0 / 1_000);
                let (high, low) = millis.split_at(8);
                Ok(format!("{high}-{low}-7000-8000-{number:012x}").parse()?)
            }
            "ticket" => {
                let vms: Vec<VmId> = self.world.engines.keys().cloned().collect();
                let mut issued =
                    vms.iter().filter_map(|vm| self.world.issue_ticket(vm, "c1", "orders"));
                Ok(CallKey::Ticket(issued.next().ok_or("no endpoint issues a ticket")?))
            }
            other => Err(format!("unknown key kind {other}").into()),
        }
    }

    fn inject_fault(&mut self, command: &Command) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let mut next = || args.next_pos().ok_or("an argument is missing");
        let world = &mut self.world;
        match command.name.as_str() {
            "kill" => world.kill(&next()?.parse()?),
            "start" => world.start(&next()?.parse()?),
            "pause" => world.pause(&next()?.parse()?, next()?.parse()?),
            "drain" => return Ok(format!("in progress: {}", world.drain(&next()?.parse()?))),
            "cut" => world.partition(&next()?.parse()?, &next()?.parse()?),
            "heal" => world.heal_partitions(),
            "platform" => world.platform_down = next()? == "down",
            "copies" => world.faults.duplicate_delay = Some(next()?.parse()?),
            "poison" => {
                let print = Fingerprint::from(&Digest::of(next()?.as_bytes()));
                world.faults.poison_requests.insert(print);
            }
            "silence" => drop(world.faults.silenced.insert((next()?.parse()?, next()?.parse()?))),
            "mute" => world.faults.muted_vms.push(next()?.parse()?),
            "unmute" => world.faults.muted_vms.clear(),
            "vanish" => drop(world.vm_states.remove(&next()?.parse()?)),
            "live" => drop(world.vm_states.insert(next()?.parse()?, VmState::Live)),
            "leaving" => drop(world.vm_states.insert(next()?.parse()?, VmState::Leaving)),
            "crash" => {
                let vm: VmId = next()?.parse()?;
                world.engines.get_mut(&vm).ok_or("no such engine")?.crash();
            }
            "fence" => {
                let vm: VmId = next()?.parse()?;
                let engine = world.engines.get_mut(&vm).ok_or("no such engine")?;
                match next()? {
                    "above" => engine.fence = engine.fence.next(),
                    _ => engine.checks_fence = false,
                }
            }
            "swap" => world.load_with_stale_fence(&next()?.parse()?, &next()?.parse()?),
            "cool" => {
                let vm: VmId = next()?.parse()?;
                world.engines.get_mut(&vm).ok_or("no such engine")?.finished = 0;
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
                let base = SimulationConfig::default();
                let shape = SimulationConfig {
                    zones: parse_key(&mut args, "zones")?.unwrap_or(base.zones),
                    entries: parse_key(&mut args, "entries")?.unwrap_or(base.entries),
                    endpoints: parse_key(&mut args, "endpoints")?.unwrap_or(base.endpoints),
                    plain_endpoints: parse_key(&mut args, "plain")?.unwrap_or(base.plain_endpoints),
                    slots: parse_key(&mut args, "slots")?.unwrap_or(base.slots),
                    cold_slots: parse_key(&mut args, "cold")?.unwrap_or(base.cold_slots),
                    clients: parse_key(&mut args, "clients")?.unwrap_or(base.clients),
                    seed: parse_key(&mut args, "seed")?.unwrap_or(base.seed),
                    ..base
                };
                args.reject_next()?;
                self.start_fleet(shape);
            }
            "advance" => {
                let span = args.next_pos().ok_or("how long?")?.parse()?;
                args.reject_next()?;
                self.world.advance(span);
            }
            "out" | "back" => {
                let zone: ZoneId = args.next_pos().ok_or("which zone?")?.parse()?;
                self.world.set_zone_out(&zone, command.name == "out");
            }
            "version" => {
                let version: VersionId = args.next_pos().ok_or("which version?")?.parse()?;
                self.world.set_model_version(&version);
            }
            "ask" => self.ask(command)?,
            "mark" => self.recorded_calls.clear(),
            "received" => return Ok(self.summary()),
            "endpoints" => return Ok(self.endpoints()),
            "runs" => {
                let runs: Vec<u32> =
                    self.recorded_calls.iter().map(|c| self.world.calls[c.0].runs).collect();
                return Ok(format!("most runs of a call: {}", runs.iter().max().unwrap_or(&0)));
            }
            "key-runs" => return Ok(format!("most runs of a key: {}", self.world.max_key_runs())),
            "ticket" => {
                let vm: VmId = args.next_pos().ok_or("which endpoint?")?.parse()?;
                args.reject_next()?;
                self.ticket = self.world.issue_ticket(&vm, "c1", "orders").map(CallKey::Ticket);
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
