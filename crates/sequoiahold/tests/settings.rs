//! Validation of settings, and agreement of the documented keys and defaults with the code.

use std::collections::BTreeMap;

use rstest::rstest;
use sequoiahold::settings::{Endpoint, Entry, Gateway, Loader, Validate, parse};
use sequoiahold_core::declare::load::read_set;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};

const CONFIGURATION_PAGE: &str = include_str!("../../../docs/CONFIGURATION.md");

fn entry() -> Value {
    json!({
        "vm": "e1", "zone": "z1", "callers": "10.0.0.1:8080", "peers": "10.0.0.1:7400",
        "admin": "127.0.0.1:7401",
        "platform": {"config": "http://10.0.0.9:7000", "vms": "http://10.0.0.9:7000"},
        "keys": {"ca": "ca.pem", "cert": "vm.pem", "key": "vm.key"},
    })
}

fn endpoint() -> Value {
    let mut value = entry();
    let map = value.as_object_mut().expect("an object");
    map.remove("callers");
    map.insert("engine".to_owned(), json!({"url": "http://127.0.0.1:8000"}));
    map.insert("weights".to_owned(), json!({"origin": "http://10.0.0.8", "rate": "2500KB/s"}));
    value
}

fn node() -> Value {
    json!({
        "vm": "g1", "zone": "z1", "zones": {"z1": "r1"}, "peers": "10.0.0.1:7700",
        "platform": "10.0.0.9:8007",
    })
}

fn gateway() -> Value {
    json!({"node": node(), "callers": "10.0.0.1:8005", "ready": "10.0.0.1:8002"})
}

fn loader() -> Value {
    json!({"node": node(), "engine": "10.0.0.1:8001", "service": "llm", "link": "7.3Mbit/s"})
}

/// Sets the value at a path such as `config/wait`; `null` removes a top-level key.
fn with_value(mut settings: Value, path: &str, to: Value) -> Value {
    let mut target = &mut settings;
    for key in path.split('/') {
        target = &mut target[key];
    }
    *target = to;
    if settings[path].is_null() {
        settings.as_object_mut().expect("an object").remove(path);
    }
    settings
}

fn parse_error<T: Validate + DeserializeOwned>(settings: &Value) -> String {
    parse::<T>(&settings.to_string()).err().map_or(String::new(), |error| format!("{error:#}"))
}

#[test]
fn minimal_settings_are_accepted() {
    assert_eq!(parse_error::<Entry>(&entry()), "");
    assert_eq!(parse_error::<Endpoint>(&endpoint()), "");
    assert_eq!(parse_error::<Gateway>(&gateway()), "");
    assert_eq!(parse_error::<Loader>(&loader()), "");
}

#[rstest]
#[case::unknown("colour", json!("red"), "unknown field `colour`")]
#[case::unknown_in_part("config/colour", json!(1), "unknown field `colour`")]
#[case::missing("vm", json!(null), "missing field `vm`")]
#[case::bad_name("vm", json!("E 1"), "key vm: \"E 1\" is not a name")]
#[case::no_port("callers", json!("10.0.0.1:0"), "key callers: must have a port above 0")]
#[case::host_name("callers", json!("host:80"), "key callers: invalid socket address")]
#[case::any_address("peers", json!("0.0.0.0:7400"), "key peers: must be the IP number")]
#[case::one_address("admin", json!("10.0.0.1:7400"), "key admin: must be another address than peers")]
#[case::platform("platform/config", json!("10.0.0.9"), "key platform.config: \"10.0.0.9\" is not an address that starts with")]
#[case::platform_list("platform/vms", json!("ftp://x"), "key platform.vms: ")]
#[case::keys("keys/ca", json!(3), "key keys.ca: invalid type")]
#[case::level("log/level", json!("loud"), "key log.level: \"loud\" is not one of off, error")]
#[case::format("log/format", json!("xml"), "key log.format: unknown variant `xml`")]
#[case::statsd("metrics/statsd", json!("host"), "key metrics.statsd: invalid socket address")]
#[case::heartbeat("heartbeat", json!("1ms"), "key heartbeat: must be between 50ms and 5s")]
#[case::no_unit("heartbeat", json!("500"), "key heartbeat: \"500\" is not a time such as")]
#[case::body("limits/body", json!("5MB"), "key limits.body: must be between 1B and 4MB")]
#[case::head("limits/head", json!("1ms"), "key limits.head: must be between 100ms and 600s")]
#[case::upload("limits/upload", json!("601s"), "key limits.upload: must be between")]
#[case::idle("limits/idle", json!("0s"), "key limits.idle: must be between")]
#[case::connections("limits/connections", json!(0), "key limits.connections: must be at least 1")]
#[case::interval("config/interval", json!("6s"), "key config.interval: must be between 100ms and 5s")]
#[case::fanout("config/fanout", json!(0), "key config.fanout: must be between 1 and 16")]
#[case::readers("config/readers", json!(9), "key config.readers: must be between 1 and 8")]
#[case::wait("config/wait", json!("20s"), "key config.wait: must be between 100ms and 10s")]
#[case::stale("config/stale", json!("1s"), "key config.stale: must be between 3s and 30s")]
#[case::list("config/list", json!("1ms"), "key config.list: must be between 500ms and 10s")]
#[case::seeds("config/seeds", json!([{"vm": "e2", "addr": "x"}]), "key config.seeds[0].addr: invalid socket address")]
#[case::many_seeds("config/seeds", json!(vec![json!({"vm": "e2", "addr": "10.0.0.2:1"}); 9]), "key config.seeds: must have at most 8")]
fn entry_settings_are_rejected(#[case] path: &str, #[case] to: Value, #[case] text: &str) {
    let found = parse_error::<Entry>(&with_value(entry(), path, to));
    assert!(found.contains(text), "{text:?} is not in {found:?}");
}

#[rstest]
#[case::engine("engine/url", json!("127.0.0.1"), "key engine.url: ")]
#[case::fences("engine/fences", json!("yes"), "key engine.fences: invalid type")]
#[case::origin("weights/origin", json!("x"), "key weights.origin: ")]
#[case::rate("weights/rate", json!("0B/s"), "key weights.rate: must be above 0B/s")]
#[case::draws("weights/draws", json!(65), "key weights.draws: must be between 1 and 64")]
#[case::memory("weights/memory", json!("1KB"), "key weights.memory: must be at least 1MB")]
#[case::look("look", json!("6s"), "key look: must be between 20ms and 1s")]
#[case::callers("callers", json!("10.0.0.1:80"), "unknown field `callers`")]
fn endpoint_settings_are_rejected(#[case] path: &str, #[case] to: Value, #[case] text: &str) {
    let found = parse_error::<Endpoint>(&with_value(endpoint(), path, to));
    assert!(found.contains(text), "{text:?} is not in {found:?}");
}

#[rstest]
#[case::zone("node/zone", json!("z9"), "key zones: has no region for zone z9")]
#[case::grace("node/bounds", json!({"grace": "10ms"}), "key bounds.grace: must be at least 1s")]
#[case::window("node/bounds", json!({"retry_window": "1ms"}), "key bounds.retry_window: must be")]
#[case::fraction("node/bounds", json!({"grace": "2.5"}), "key node.bounds.grace: \"2.5\" is not a time")]
#[case::one_address("ready", json!("10.0.0.1:8005"), "key ready: must be another address")]
#[case::connections("connections", json!(0), "key connections: must be at least 1")]
#[case::memory("memory", json!("1MB"), "key memory: must be at least 64MB")]
fn gateway_settings_are_rejected(#[case] path: &str, #[case] to: Value, #[case] text: &str) {
    let found = parse_error::<Gateway>(&with_value(gateway(), path, to));
    assert!(found.contains(text), "{text:?} is not in {found:?}");
}

#[rstest]
#[case::link("link", json!("0Mbit/s"), "key link: must be above 0")]
#[case::engine("engine", json!("host"), "key engine: invalid socket address")]
fn loader_settings_are_rejected(#[case] path: &str, #[case] to: Value, #[case] text: &str) {
    let found = parse_error::<Loader>(&with_value(loader(), path, to));
    assert!(found.contains(text), "{text:?} is not in {found:?}");
}

/// Returns the keys and defaults in a section of the documentation.
fn documented_keys(section: &str) -> BTreeMap<String, String> {
    let heading = format!("## {section}\n");
    let (_, rest) =
        CONFIGURATION_PAGE.split_once(&heading).unwrap_or_else(|| panic!("no section {section:?}"));
    let rows = rest.lines().take_while(|line| !line.starts_with("## "));
    let cells = rows.filter_map(|line| line.strip_prefix("| `")?.split_once("` | "));
    let default =
        |cells: &str| cells.split(" | ").nth(1).unwrap_or("").trim_matches('`').to_owned();
    cells.map(|(key, rest)| (key.to_owned(), default(rest))).collect()
}

/// Collects the paths and texts of all values below a JSON value that are not objects.
fn leaves(value: &Value, path: &str, found: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(map) => {
            for (key, value) in map {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                leaves(value, &path, found);
            }
        }
        Value::String(text) => drop(found.insert(path.to_owned(), text.clone())),
        other => drop(found.insert(path.to_owned(), other.to_string())),
    }
}

fn expected_keys<T: Validate + DeserializeOwned + Serialize>(
    given: &Value,
) -> BTreeMap<String, String> {
    let settings: T = parse(&given.to_string()).expect("minimal settings");
    let (mut found, mut set) = (BTreeMap::new(), BTreeMap::new());
    leaves(&serde_json::to_value(&settings).expect("JSON"), "", &mut found);
    leaves(given, "", &mut set);
    set.into_keys().for_each(|key| drop(found.insert(key, "required".to_owned())));
    if found.remove("node.zones.z1").is_some() {
        found.insert("node.zones".to_owned(), "required".to_owned());
    }
    found
}

#[test]
fn the_documentation_lists_all_settings() {
    assert_eq!(documented_keys("Settings of an entry"), expected_keys::<Entry>(&entry()));
    assert_eq!(documented_keys("Settings of an endpoint"), expected_keys::<Endpoint>(&endpoint()));
    assert_eq!(documented_keys("Settings of a gateway"), expected_keys::<Gateway>(&gateway()));
    assert_eq!(documented_keys("Settings of a loader"), expected_keys::<Loader>(&loader()));
}

#[test]
fn the_documentation_lists_all_declaration_keys() {
    let digest = "0".repeat(64);
    let text = json!([
        {"kind": "zone", "name": "z", "region": "r", "link": "1MB/s"},
        {"kind": "service", "name": "s", "backend": {"model": "m"}, "repeatable": true, "timeout": "1s"},
        {"kind": "pool", "name": "p", "service": "s", "slots": 1, "cold": 1},
        {"kind": "model", "name": "m", "version": "v"},
        {"kind": "version", "name": "v", "model": "m", "manifest": digest, "size": "1MB"},
        {"kind": "adapter", "name": "a", "version": "v", "digest": digest, "size": "1MB"},
        {"kind": "client", "name": "c", "key": digest, "weight": 1, "services": ["s"]},
        {"kind": "vm", "name": "e", "zone": "z", "role": "entry", "addr": "10.0.0.1:1"},
        {"kind": "vm", "name": "w", "zone": "z", "role": {"endpoint": "p"}, "addr": "10.0.0.2:1"},
    ]);
    let (declared, _) = read_set([("set.json", text.to_string().as_str())]).expect("a valid set");
    for (given, one) in text.as_array().expect("objects").iter().zip(&declared) {
        let whole = serde_json::to_value(&one.object).expect("JSON");
        let keys = whole.as_object().expect("an object").iter().filter(|(key, _)| *key != "kind");
        let rows: BTreeMap<String, String> = keys
            .map(|(key, value)| {
                let text = value.as_str().map_or(value.to_string(), str::to_owned);
                let default = if given.get(key).is_some() { "required".to_owned() } else { text };
                (key.clone(), default)
            })
            .collect();
        assert_eq!(documented_keys(one.object.kind()), rows, "section {}", one.object.kind());
    }
}

#[test]
fn mutated_settings_do_not_panic() {
    let valid = endpoint().to_string().into_bytes();
    let mut state = 1u64;
    let mut random_below = move |below: usize| {
        state =
            state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as usize % below.max(1)
    };
    for _ in 0..3_000 {
        let mut text = valid.clone();
        for _ in 0..=random_below(3) {
            if text.is_empty() {
                break;
            }
            let at = random_below(text.len());
            match random_below(3) {
                0 => text[at] = b"\"{}[],:0x\xff"[random_below(10)],
                1 => drop(text.remove(at)),
                _ => text.truncate(at),
            }
        }
        let text = String::from_utf8_lossy(&text);
        let _ = parse::<Endpoint>(&text);
        let _ = parse::<Entry>(&text);
    }
}
