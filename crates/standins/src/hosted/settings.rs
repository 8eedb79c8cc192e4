//! Addresses, settings and published values of a small hosted deployment on loopback.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU16, Ordering},
};

use serde_json::{Value, json};

/// The first port of the processes under test, below those of outgoing connections.
const FIRST_PORT: u16 = 20_000;

/// Returns an address of its own in this process, outside the ports and the address from which
/// connections are opened, so that nothing else takes it before its process listens.
///
/// It is not tried first: a child process that has yet to execute its program would hold the
/// listener of such a trial open.
pub fn loopback_addr() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let [block, host] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    SocketAddr::from(([127, 64 + high % 64, low, host], FIRST_PORT + u16::from(block)))
}

/// Returns a configuration with a route of each kind and one client account with these keys.
pub fn gateway_config(version: u64, keys: &[&str]) -> Value {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        json!({
            "name": name, "host": "shop.example", "prefix": prefix, "kind": kind,
            "timeout_ms": 3000, "target_latency_ms": 1500, "priority": 1, "service": "llm",
            "attempts": attempts, "public": false, "resume_streams": kind == "streaming",
            "target_gap_ms": 400, "allowed_regions": []
        })
    };
    json!({
        "version": version,
        "routes": [
            route("orders", "/order/", "non_idempotent", 1),
            route("reads", "/read/", "idempotent", 2),
            route("streams", "/stream/", "streaming", 3),
        ],
        "services": [{ "name": "llm", "health_check_path": "/health", "max_connections": 100 }],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000
        },
        "tenants": [{ "name": "acme", "api_keys": keys, "priority": 1, "allowed_regions": [] }]
    })
}

/// Makes the endpoints of the service engines of a model, with an origin of its weights.
pub fn add_engine(config: &mut Value, model: &str, origin: SocketAddr) {
    let service = &mut config["services"][0];
    service["engine"] = json!({
        "slots": 4, "kv_cache_tokens": 100_000, "models": [{ "name": model, "warm_s": 0.2 }],
        "step_ms": 5, "read_per_s": 100_000, "chunk": 4_096, "stride": 1,
        "usual": { "prompt": 100, "answer": 6 }
    });
    service["origin"] = json!(origin);
    service["zone"] = json!("z1");
    service["link_mbps"] = json!(1_000);
}

/// Returns the entry of an endpoint in the list of endpoints.
pub fn registry_entry(addr: SocketAddr, state: &str) -> Value {
    json!({
        "service": "llm", "address": addr.to_string(), "zone": "z1", "version": "v1",
        "slots": 4, "state": state, "cold_remaining_ms": 0, "sequence": 1
    })
}

/// Returns the settings of a gateway.
pub fn gateway_settings(
    vm: &str,
    peers: SocketAddr,
    platform: SocketAddr,
    seeds: &[SocketAddr],
    callers: SocketAddr,
    ready: SocketAddr,
) -> Value {
    json!({
        "node": {
            "vm": vm, "zone": "z1", "zones": { "z1": "r1" },
            "peers": peers, "seeds": seeds, "platform": platform,
            "bounds": { "retry_ratio": 0.2, "retry_extra": 100.0, "grace": "6s" }
        },
        "callers": callers, "ready": ready, "log": { "format": "json" }
    })
}
