//! A configuration that adds a client account whose name has a capital letter.

#[path = "stand.rs"]
mod stand;

use std::{path::PathBuf, time::Duration};

use stand::*;

const SLOTS: u64 = 6;
/// A key that the new configuration takes away, and one that it keeps.
const OLD_KEY: &str = "jnbanfqasnmgkcuyj8pj";
const KEPT_KEY: &str = "bvk9m68k7b2ex5wa5xwy";
/// The key of the new account.
const NEW_KEY: &str = "q7wm4p9xk2ztn5hcvb8s";
const CONFIG_APPLY_MS: u64 = 2_000;

fn route(name: &str, prefix: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"voka93.example","prefix":"{prefix}","kind":"idempotent","timeout_ms":2500,"target_latency_ms":150,"priority":2,"service":"orders","attempts":2,"public":false,"allowed_regions":[]}}"#
    )
}

fn tenant(name: &str, keys: &[&str]) -> String {
    let keys = keys.iter().map(|key| format!("\"{key}\"")).collect::<Vec<_>>().join(",");
    format!(r#"{{"name":"{name}","api_keys":[{keys}],"priority":1,"allowed_regions":[]}}"#)
}

fn config(version: u64, routes: &[String], tenants: &[String]) -> String {
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"orders","health_check_path":"/health","max_connections":110,"cold_start_s":0.0,"cold_per_s":0.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{}]}}"#,
        routes.join(","),
        tenants.join(",")
    )
}

fn entry(worker: &Worker) -> String {
    format!(
        r#"{{"service":"orders","address":"{}","zone":"ost-a","version":"v1","slots":{SLOTS},"state":"ready","cold_remaining_ms":0,"sequence":1,"born":{}}}"#,
        worker.addr,
        worker.born()
    )
}

fn ask(record: &Record, gateway: &Gateway, what: &str, path: &str, key: &str) -> u16 {
    let head = format!(
        "GET {path} HTTP/1.1\r\nHost: voka93.example\r\nAttempt-Id: {}\r\nDeadline-Ms: 2500\r\nAuthorization: Bearer {key}\r\nConnection: close\r\n\r\n",
        attempt_id()
    );
    let reply = call(gateway.callers, &head, b"", 2_500);
    record.line(format!("{} {what}: {} {:?}", gateway.vm, reply.status, reply.error));
    reply.status
}

fn run(dir: PathBuf) -> std::io::Result<i32> {
    let (record, temp) = (Record::new(&dir)?, TempDir::new()?);
    let store = Store::start(loopback_ip(1))?;
    let first = config(7, &[route("r-1", "/lookup/")], &[tenant("bozi300", &[OLD_KEY, KEPT_KEY])]);
    store.put("op/config", Some(&first));
    let mut workers = vec![];
    for number in 0..3_u8 {
        let handler = |worker: &Worker, request: &Message, conn: &mut Conn| {
            sleep_ms(20);
            let attempt = request.attempt();
            let headers =
                [("Attempt-Id", attempt.as_str()), ("Server-Stamp", worker.signature.as_str())];
            match conn.answer("200 OK", &headers, b"{}") {
                Ok(()) => Run::Kept,
                Err(_) => Run::Close,
            }
        };
        workers.push(Worker::start(&number.to_string(), loopback_ip(10 + number), SLOTS, handler)?);
    }
    follow_workers(&store, &workers, 2_000, entry);
    let ips = [2, 3, 4].map(loopback_ip);
    let gateways = start_gateways(&temp.0, &store, &["ost-a", "west-a", "sud-a"], &ips)?;
    if !wait_ready(&gateways) {
        record.say("the gateways are not ready");
        return Ok(NOT_RUN);
    }
    sleep_ms(1_000);
    for gateway in &gateways {
        if ask(&record, gateway, "old key, before", "/lookup/1", OLD_KEY) != 200 {
            return Ok(NOT_RUN);
        }
    }
    let name = if has_trouble() { "Solothurn" } else { "solothurn" };
    let second = config(
        9,
        &[route("r-1", "/lookup/"), route("r-2", "/proofs/")],
        &[tenant("bozi300", &[KEPT_KEY]), tenant(name, &[NEW_KEY])],
    );
    store.put("op/config", Some(&second));
    record.line(format!(
        "configuration 9 acknowledged: account {name} added, a key taken away, a route added"
    ));
    std::thread::sleep(Duration::from_millis(CONFIG_APPLY_MS + 4_000));
    let mut faults = 0;
    for gateway in &gateways {
        let taken = ask(&record, gateway, "key that was taken away", "/lookup/1", OLD_KEY);
        let route = ask(&record, gateway, "route that was added", "/proofs/1", KEPT_KEY);
        let added = ask(&record, gateway, "key that was added", "/lookup/1", NEW_KEY);
        faults += u32::from(taken == 200) + u32::from(route == 404) + u32::from(added == 401);
    }
    drop(gateways);
    record.line("the gateways are started again");
    let gateways = start_gateways(&temp.0, &store, &["ost-a", "west-a", "sud-a"], &ips)?;
    let ready = wait_ready(&gateways);
    let mut unserved = 0;
    for gateway in &gateways {
        let status = ask(&record, gateway, "kept key, after the start", "/lookup/1", KEPT_KEY);
        unserved += u32::from(status != 200);
    }
    record.say(format!(
        "{faults} of 9 requests handled as only configuration 7 allows, 6 s after configuration 9 was acknowledged; ready after a start: {ready}, unserved then: {unserved} of 3"
    ));
    Ok(if faults > 0 || unserved > 0 { BROKEN } else { HELD })
}

fn main() {
    let dir = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| ".".to_owned()));
    let code = run(dir).unwrap_or_else(|error| {
        eprintln!("{error}");
        NOT_RUN
    });
    std::process::exit(code);
}
