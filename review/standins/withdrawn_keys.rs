//! Operators withdraw the last API key of the last tenant.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    case::Case,
    http::{Connection, Message, Reply, serve},
    platform::{Machine, Store, config, request, route, service, worker_entry},
    process::Process,
};

/// Time after an acknowledgement within which a configuration must be in force.
const CONFIG_APPLY: Duration = Duration::from_millis(2_000);
/// Time beyond that in which the requests are not judged.
const MARGIN: Duration = Duration::from_millis(2_000);

/// A request that a worker ran: its attempt id and the tenant that it names.
type Run = (String, Option<String>);

/// Returns whether a request ran whose key no configuration held.
pub fn run(case: &Case) -> Result<bool, String> {
    let platform = case.free_addr(&case.machine());
    let store = Store::start(platform)?;
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    for number in 0..3 {
        let (id, addr) = (format!("i-{number}"), case.free_addr(&case.machine()));
        let runs = runs.clone();
        let name = id.clone();
        serve(addr, move |request| answer(&name, &runs, request))?;
        store.put(&format!("servers/{id}"), &worker_entry("postgang", addr));
    }
    let routes = [
        route("book-return", "/book/", "non_idempotent", "postgang", 2_500),
        route("parcel-status", "/parcel/", "idempotent", "postgang", 2_500),
    ];
    let services = [service("postgang")];
    let publish = |version, first: &[&str], second: &[&str]| {
        let tenants = [("bergen-home", first), ("oslo-home", second)];
        store.put("op/config", &config(version, &routes, &services, &tenants));
        case.note(&format!("configuration {version} acknowledged, keys {first:?} and {second:?}"));
    };
    publish(3, &["key-bergen"], &["key-oslo"]);

    let machines = [Machine::new(case, "front-1"), Machine::new(case, "front-2")];
    let peer_port = case.free_addr(&machines[0].ip).port();
    for machine in &machines {
        let settings = machine.gateway_settings(peer_port, &machines, platform);
        Process::start(case, "gateway", &machine.vm, &settings)?;
    }
    machines.iter().try_for_each(Machine::wait_ready)?;
    // Machines are in touch `contact_ms` after their start.
    thread::sleep(Duration::from_millis(3_500));

    let caller = Caller { case, machines: &machines, runs: &runs };
    caller.expect_all(Some("key-bergen"), 200)?;
    caller.expect_all(Some("key-oslo"), 200)?;
    caller.expect_all(Some("key-nobody"), 401)?;
    caller.expect_all(None, 401)?;
    if !case.is_calm() {
        publish(7, &["key-bergen"], &[]);
        thread::sleep(Duration::from_millis(1_500));
        publish(9, &[], &[]);
    }
    thread::sleep(CONFIG_APPLY + MARGIN);

    let unknown = caller.count_runs(Some("key-nobody"))?;
    let missing = caller.count_runs(None)?;
    let mut withdrawn = 0;
    for key in ["key-bergen", "key-oslo"] {
        let count = caller.count_runs(Some(key))?;
        if case.is_calm() && count < 10 {
            return Err(format!("only {count} of 10 requests with {key} ran"));
        }
        withdrawn += if case.is_calm() { 0 } else { count };
    }
    case.note(&format!(
        "ran: {unknown} of 10 requests with a key that no configuration held, {missing} of 10 \
         without a key, {withdrawn} of 20 with a withdrawn key"
    ));
    // The others break further rules, which are not judged here.
    Ok(unknown > 0)
}

fn answer(id: &str, runs: &Mutex<Vec<Run>>, request: &Message) -> Reply {
    if request.target() == "/health" {
        return Reply::status(200).with("Instance-Id", id);
    }
    if request.header("expect-instance").is_some_and(|expected| expected != id) {
        return Reply::status(421).with("Instance-Id", id);
    }
    let attempt = request.header("attempt-id").unwrap_or("").to_owned();
    let tenant = request.header("tenant").map(str::to_owned);
    runs.lock().unwrap().push((attempt.clone(), tenant));
    thread::sleep(Duration::from_millis(30));
    let reply = Reply::status(200).with("Attempt-Id", &attempt).with("Server-Stamp", id);
    reply.body(format!("booked {attempt}").into_bytes())
}

struct Caller<'a> {
    case: &'a Case,
    machines: &'a [Machine],
    runs: &'a Mutex<Vec<Run>>,
}

impl Caller<'_> {
    /// Sends a booking to each gateway and fails unless all get this status.
    fn expect_all(&self, key: Option<&str>, status: u16) -> Result<(), String> {
        for machine in self.machines {
            let (got, _) = self.send(machine, key)?;
            if got != status {
                return Err(format!("{} answered {got} to key {key:?}", machine.vm));
            }
        }
        Ok(())
    }

    /// Sends ten bookings to the gateways in turn and returns how many ran.
    fn count_runs(&self, key: Option<&str>) -> Result<usize, String> {
        let machines = self.machines.iter().cycle().take(10);
        let ran = machines.map(|machine| self.send(machine, key).map(|(_, ran)| ran));
        Ok(ran.collect::<Result<Vec<bool>, _>>()?.into_iter().filter(|ran| *ran).count())
    }

    /// Sends a booking and returns its status and whether a worker ran it.
    fn send(&self, machine: &Machine, key: Option<&str>) -> Result<(u16, bool), String> {
        let attempt = self.case.attempt_id();
        let text = request("POST", "/book/1", &attempt, key, "Deadline-Ms: 2500\r\n");
        let answer = Connection::open(machine.callers).and_then(|mut c| c.exchange(&text));
        let answer = answer.map_err(|error| format!("{}: {error}", machine.vm))?;
        let runs = self.runs.lock().unwrap();
        let run = runs.iter().find(|(id, _)| *id == attempt);
        let told =
            run.map_or("did not run".to_owned(), |(_, tenant)| format!("ran, Tenant {tenant:?}"));
        let key = key.unwrap_or("none");
        let status = answer.status();
        self.case.note(&format!("{attempt} to {}, key {key}: {status}, {told}", machine.vm));
        Ok((status, run.is_some()))
    }
}
