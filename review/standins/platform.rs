//! The platform's store, read and watched by the system, and the settings of its processes.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::{
    case::Case,
    http::{Connection, Message, Reply, serve},
};

/// Time within which a gateway must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

#[derive(Default)]
struct State {
    /// The current values with the revisions that wrote them.
    items: BTreeMap<String, (u64, String)>,
    /// All writes; `None` for a removal.
    log: Vec<(u64, String, Option<String>)>,
    revision: u64,
}

/// A running store.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts an empty store.
    pub fn start(addr: SocketAddr) -> Result<Self, String> {
        let store = Self::default();
        let server = store.clone();
        serve(addr, move |request| server.answer(request).with("Store-Era", "1"))?;
        Ok(store)
    }

    /// Writes a value; when this returns, the write is acknowledged.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.items.insert(key.to_owned(), (revision, value.to_owned()));
        state.log.push((revision, key.to_owned(), Some(value.to_owned())));
        changed.notify_all();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        if state.items.remove(key).is_some() {
            state.log.push((revision, key.to_owned(), None));
        }
        changed.notify_all();
    }

    fn answer(&self, request: &Message) -> Reply {
        match request.target().split('?').next() {
            Some("/-/kv-range") => self.range(),
            Some("/-/kv-watch") => {
                let (after, wait) = (request.query("after"), request.query("wait_ms"));
                self.watch(after.unwrap_or(0), Duration::from_millis(wait.unwrap_or(0)))
            }
            _ => Reply::status(404),
        }
    }

    fn range(&self) -> Reply {
        let state = self.state.0.lock().unwrap();
        let items = state.items.iter().map(|(key, (at, value))| item(*at, key, Some(value)));
        let items: Vec<String> = items.collect();
        let (items, at) = (items.join(","), state.revision);
        Reply::json(format!("{{\"items\":[{items}],\"has_more\":false,\"at\":{at}}}"))
    }

    fn watch(&self, after: u64, wait: Duration) -> Reply {
        let (state, changed) = &*self.state;
        let deadline = Instant::now() + wait;
        let mut state = state.lock().unwrap();
        while state.revision <= after {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
        let later = state.log.iter().filter(|(at, ..)| *at > after);
        let events = later.map(|(at, key, value)| item(*at, key, value.as_deref()));
        let events: Vec<String> = events.collect();
        Reply::json(format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision))
    }
}

fn item(at: u64, key: &str, value: Option<&str>) -> String {
    match value {
        Some(value) => {
            let value = base64(value.as_bytes());
            format!(
                "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{at},\"created\":{at},\
                 \"lease\":0}}"
            )
        }
        None => format!("{{\"key\":\"{key}\",\"revision\":{at},\"tombstone\":true}}"),
    }
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = bits >> (18 - 6 * index) & 63;
            let is_padding = index > group.len();
            text.push(if is_padding { '=' } else { ALPHABET[digit as usize] as char });
        }
    }
    text
}

/// The addresses of one machine of the system.
#[derive(Clone)]
pub struct Machine {
    pub vm: String,
    pub ip: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
}

impl Machine {
    /// Reserves the addresses of a machine.
    pub fn new(case: &Case, vm: &str) -> Self {
        let ip = case.machine();
        let (callers, ready) = (case.free_addr(&ip), case.free_addr(&ip));
        Self { vm: vm.to_owned(), ip, callers, ready }
    }

    /// Returns the settings as the template `deploy/gateway.json` gives them.
    pub fn gateway_settings(
        &self,
        peer_port: u16,
        seeds: &[Machine],
        platform: SocketAddr,
    ) -> String {
        let node = self.node_settings(peer_port, seeds, platform);
        format!(
            "{{{node},\"callers\":\"{}\",\"ready\":\"{}\",\
             \"log\":{{\"format\":\"json\",\"output\":\"stdout\"}}}}",
            self.callers, self.ready
        )
    }

    /// Returns the settings as the template `deploy/loader.json` gives them.
    pub fn loader_settings(
        &self,
        peer_port: u16,
        seeds: &[Machine],
        platform: SocketAddr,
        engine: SocketAddr,
    ) -> String {
        let node = self.node_settings(peer_port, seeds, platform);
        format!(
            "{{{node},\"engine\":\"{engine}\",\"service\":\"llm\",\"link\":\"7.3Mbit/s\",\
             \"log\":{{\"format\":\"json\",\"output\":\"stdout\"}}}}"
        )
    }

    /// Returns the bounds of the small sites with the fields common to all roles.
    fn node_settings(&self, peer_port: u16, seeds: &[Machine], platform: SocketAddr) -> String {
        let seeds = seeds.iter().take(3).map(|seed| format!("\"{}:{peer_port}\"", seed.ip));
        let seeds: Vec<String> = seeds.collect();
        format!(
            "\"node\":{{\"vm\":\"{}\",\"zone\":\"oslo-a\",\"zones\":{{\"oslo-a\":\"ostlandet\"}},\
             \"peers\":\"{}:{peer_port}\",\"seeds\":[{}],\"platform\":\"{platform}\",\
             \"bounds\":{{\"version\":\"8000ms\",\"retry_ratio\":0.2,\"retry_extra\":106,\
             \"retry_window\":\"10s\",\"cold_factor\":1.5,\"cold_extra\":5,\"grace\":\"8s\"}}}}",
            self.vm,
            self.ip,
            seeds.join(",")
        )
    }

    /// Waits until the gateway on this machine says that it is ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        let deadline = Instant::now() + READY_TIMEOUT;
        let request = "GET /-/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
        while Instant::now() < deadline {
            let answer = Connection::open(self.ready).and_then(|mut c| c.exchange(request));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{} is not ready", self.vm))
    }
}

/// Returns a route of the configuration.
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, timeout_ms: u64) -> String {
    let (attempts, resume) = match kind {
        "non_idempotent" => (1, false),
        "streaming" => (2, true),
        _ => (2, false),
    };
    format!(
        "{{\"name\":\"{name}\",\"host\":\"tann.example\",\"prefix\":\"{prefix}\",\
         \"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":400,\"priority\":1,\
         \"service\":\"{service}\",\"attempts\":{attempts},\"public\":false,\
         \"sticky_sessions\":{resume},\"resume_streams\":{resume},\"target_gap_ms\":400,\
         \"allowed_regions\":[]}}"
    )
}

/// Returns a configuration with tenants, given as names with their keys.
pub fn config(
    version: u64,
    routes: &[String],
    services: &[String],
    tenants: &[(&str, &[&str])],
) -> String {
    let tenant = |(name, keys): &(&str, &[&str])| {
        let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
        let keys = keys.join(",");
        format!(
            "{{\"name\":\"{name}\",\"api_keys\":[{keys}],\"priority\":1,\"allowed_regions\":[]}}"
        )
    };
    let tenants: Vec<String> = tenants.iter().map(tenant).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{}]}}",
        routes.join(","),
        services.join(","),
        tenants.join(",")
    )
}

/// Returns a plain service of the configuration.
pub fn service(name: &str) -> String {
    format!("{{\"name\":\"{name}\",\"health_check_path\":\"/health\",\"max_connections\":110}}")
}

/// Returns the entry of a plain worker in the list of workers.
pub fn worker_entry(service: &str, addr: SocketAddr) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"oslo-a\",\"version\":\"v1\",\
         \"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1}}"
    )
}

/// Returns a request of a client.
pub fn request(method: &str, path: &str, attempt: &str, key: Option<&str>, more: &str) -> String {
    let key = key.map_or(String::new(), |key| format!("Authorization: Bearer {key}\r\n"));
    format!(
        "{method} {path} HTTP/1.1\r\nHost: tann.example\r\nAttempt-Id: {attempt}\r\n\
         {key}{more}Content-Length: 0\r\n\r\n"
    )
}
