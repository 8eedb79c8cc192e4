//! Popular lookups that run while workers crash: by a request that crashes each worker that runs it,
//! or by themselves.

#[path = "stand.rs"]
mod stand;

use std::{
    collections::BTreeMap,
    path::PathBuf,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use stand::*;

const ZONES: [&str; 3] = ["oslo-a", "bergen-a", "tromso-a"];
const SLOTS: u64 = 6;
const WORK_MS: u64 = 60;
const CONTACT_S: f64 = 3.0;
const BACK_MS: u64 = 2_000;
/// The tenants and their keys; the first one asks for the popular things.
const TENANTS: [(&str, &str); 2] =
    [("bozi300", "jnbanfqasnmgkcuyj8pj"), ("wuno96", "bvk9m68k7b2ex5wa5xwy")];

/// What happens to the workers.
#[derive(Clone, Copy, Eq, PartialEq)]
enum Scenario {
    /// A request comes again and again that crashes each worker that runs it.
    Poison,
    /// Each worker crashes once, one after the other.
    Crash,
}

fn config() -> String {
    let tenants = TENANTS.map(|(name, key)| {
        format!(r#"{{"name":"{name}","api_keys":["{key}"],"priority":1,"allowed_regions":[]}}"#)
    });
    format!(
        r#"{{"version":7,"routes":[{{"name":"r-1","host":"voka93.example","prefix":"/status/","kind":"idempotent","timeout_ms":1000,"target_latency_ms":150,"priority":2,"service":"postgang","attempts":2,"public":false,"allowed_regions":[]}}],"services":[{{"name":"postgang","health_check_path":"/health","max_connections":110,"cold_start_s":0.0,"cold_per_s":0.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{}]}}"#,
        tenants.join(",")
    )
}

fn entry(worker: &Worker) -> String {
    let zone = ZONES[worker.name.parse::<usize>().unwrap_or(0) % ZONES.len()];
    format!(
        r#"{{"service":"postgang","address":"{}","zone":"{zone}","version":"v1","slots":{SLOTS},"state":"ready","cold_remaining_ms":0,"sequence":1,"born":{}}}"#,
        worker.addr,
        worker.born()
    )
}

fn request(path: &str, key: &str) -> (String, String) {
    let id = attempt_id();
    let head = format!(
        "GET {path} HTTP/1.1\r\nHost: voka93.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1000\r\nAuthorization: Bearer {key}\r\nConnection: close\r\n\r\n"
    );
    (id, head)
}

/// Counts of one kind of request.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    sent: u32,
    served: u32,
}

fn run(dir: PathBuf, scenario: Scenario, gateways: u8, popular: u64) -> std::io::Result<i32> {
    let (record, temp) = (Record::new(&dir)?, TempDir::new()?);
    let store = Store::start(loopback_ip(1))?;
    store.put("op/config", Some(&config()));
    let reached: Arc<Mutex<Vec<(f64, String)>>> = Arc::default();
    let crashes: Arc<Mutex<Vec<f64>>> = Arc::default();
    let mut workers = vec![];
    for number in 0..3_u8 {
        let (record, reached, crashes) = (record.clone(), reached.clone(), crashes.clone());
        let handler = move |worker: &Worker, request: &Message, conn: &mut Conn| {
            let attempt = request.attempt();
            let poison = request.path() == "/status/poison";
            if poison {
                record.line(format!(
                    "worker {} gets the crashing request {attempt}",
                    worker.instance()
                ));
                reached.lock().unwrap().push((record.now(), attempt.clone()));
                sleep_ms(20);
                worker.crash();
                record.line(format!("worker {} crashes", worker.instance()));
                crashes.lock().unwrap().push(record.now());
                return Run::Crash;
            }
            sleep_ms(WORK_MS);
            let headers =
                [("Attempt-Id", attempt.as_str()), ("Server-Stamp", worker.signature.as_str())];
            match conn.answer("200 OK", &headers, request.path().as_bytes()) {
                Ok(()) => Run::Kept,
                Err(_) => Run::Close,
            }
        };
        workers.push(Worker::start(&number.to_string(), loopback_ip(10 + number), SLOTS, handler)?);
    }
    follow_workers(&store, &workers, BACK_MS, entry);
    let ips: Vec<_> = (0..gateways).map(|number| loopback_ip(30 + number)).collect();
    let gateways = start_gateways(&temp.0, &store, &ZONES, &ips)?;
    if !wait_ready(&gateways) {
        record.say("the gateways are not ready");
        return Ok(NOT_RUN);
    }
    let callers: Vec<_> = gateways.iter().map(|gateway| gateway.callers).collect();
    sleep_ms(1_000);
    let stop = Stop::default();
    let counts: Arc<Mutex<BTreeMap<(u64, String), Count>>> = Arc::default();
    let begin = Instant::now();
    let mut threads = vec![];
    // Each client asks again as soon as it has its answer and a short pause is over.
    for client in 0..12_u64 {
        let (addr, stop, counts) =
            (callers[client as usize % callers.len()], stop.clone(), counts.clone());
        threads.push(thread::spawn(move || {
            let mut turn = client;
            while !stop.is_set() {
                turn += 1;
                // Two of three requests are for the popular things, the others for one each.
                let is_popular = client % 3 != 2;
                let (tenant, path) = match is_popular {
                    true => (0, format!("/status/popular-{}", turn % popular)),
                    false => (1, format!("/status/{client}-{turn}")),
                };
                let (_, head) = request(&path, TENANTS[tenant].1);
                let reply = call(addr, &head, b"", 1_000);
                let served = reply.status == 200 && reply.body == path.as_bytes();
                let phase = begin.elapsed().as_secs() / 3;
                let mut counts = counts.lock().unwrap();
                let count = counts.entry((phase, TENANTS[tenant].0.to_owned())).or_default();
                (count.sent, count.served) = (count.sent + 1, count.served + u32::from(served));
                drop(counts);
                thread::sleep(Duration::from_millis(if served { 10 } else { 60 }));
            }
        }));
    }
    sleep_ms(4_000);
    match scenario {
        _ if !has_trouble() => sleep_ms(20_000),
        Scenario::Poison => {
            for turn in 0..12_usize {
                let (id, head) = request("/status/poison", TENANTS[1].1);
                record.line(format!("the crashing request comes as {id}"));
                let reply = call(callers[turn % callers.len()], &head, b"", 1_000);
                record.line(format!("its answer: {} {:?}", reply.status, reply.error));
                sleep_ms(2_500);
            }
        }
        Scenario::Crash => {
            for worker in &workers {
                record.line(format!("worker {} crashes", worker.instance()));
                worker.crash();
                sleep_ms(5_000);
            }
            sleep_ms(30_000);
        }
    }
    stop.set();
    for thread in threads {
        let _ = thread.join();
    }
    let counts = counts.lock().unwrap().clone();
    let mut totals: BTreeMap<String, Count> = BTreeMap::new();
    for ((phase, tenant), count) in &counts {
        record.line(format!(
            "seconds {} to {}: tenant {tenant} {} served of {}",
            phase * 3,
            phase * 3 + 3,
            count.served,
            count.sent
        ));
        let total = totals.entry(tenant.clone()).or_default();
        (total.sent, total.served) = (total.sent + count.sent, total.served + count.served);
    }
    let share = |count: &Count| f64::from(count.served) / f64::from(count.sent.max(1));
    let all = totals.values().fold(Count::default(), |all, count| Count {
        sent: all.sent + count.sent,
        served: all.served + count.served,
    });
    for (tenant, count) in &totals {
        record.say(format!(
            "tenant {tenant}: {} served of {} ({:.2}); all {:.2}",
            count.served,
            count.sent,
            share(count),
            share(&all)
        ));
    }
    match scenario {
        Scenario::Poison => {
            let crashes = crashes.lock().unwrap().clone();
            let third = crashes.get(2).copied();
            let reached = reached.lock().unwrap();
            let late =
                reached.iter().filter(|(at, _)| third.is_some_and(|third| *at > third + CONTACT_S));
            let late = late.count();
            record.say(format!(
                "{} crashes; after the third and contact_ms the request reached workers {late} times (3 are allowed)",
                crashes.len()
            ));
            Ok(if late > 3 { BROKEN } else { HELD })
        }
        Scenario::Crash => {
            let starved = totals.values().any(|count| share(count) < share(&all) / 4.0);
            Ok(if starved { BROKEN } else { HELD })
        }
    }
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let dir = PathBuf::from(args.get(1).cloned().unwrap_or_else(|| ".".to_owned()));
    let scenario = match args.get(2).map(String::as_str) {
        Some("crash") => Scenario::Crash,
        _ => Scenario::Poison,
    };
    let number = |at: usize| args.get(at).and_then(|text| text.parse::<u64>().ok());
    let (gateways, popular) = (number(3).unwrap_or(3) as u8, number(4).unwrap_or(4));
    let code = run(dir, scenario, gateways, popular).unwrap_or_else(|error| {
        eprintln!("{error}");
        NOT_RUN
    });
    std::process::exit(code);
}
