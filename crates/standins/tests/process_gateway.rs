//! Real gateway processes with a simulated store and simulated endpoints of a hosted platform.

use std::{
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, Instant},
};

use rstest::rstest;
use sequoiahold_standins::{
    hosted::{
        Behaviour, Store, Worker, gateway_config, gateway_settings, loopback_addr, registry_entry,
    },
    processes::{Process, Signal, program_path},
};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

/// Time within which a gateway must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Time within which published state must be in force.
const APPLY_TIMEOUT: Duration = Duration::from_secs(5);

struct Fixture {
    store: Store,
    workers: Vec<Worker>,
    addrs: Vec<SocketAddr>,
    callers: SocketAddr,
    ready: SocketAddr,
    peers: SocketAddr,
    gateway: Process,
    dir: TempDir,
}

struct TempDir(PathBuf);

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

impl Fixture {
    async fn start(endpoints: usize) -> Self {
        Self::start_with(endpoints, |_| {}).await
    }

    /// Starts a gateway whose settings `adjust` changes.
    async fn start_with(endpoints: usize, adjust: impl FnOnce(&mut Value)) -> Self {
        let dir = std::env::temp_dir().join(format!("gateway-{:016x}", random_id()));
        std::fs::create_dir_all(&dir).expect("a directory for settings");
        let (platform, callers, ready, peers) =
            (loopback_addr(), loopback_addr(), loopback_addr(), loopback_addr());
        let store = Store::start(platform).await.expect("a store");
        store.put("op/config", Some(gateway_config(1, &["key-1"])));
        let (mut workers, mut addrs) = (vec![], vec![]);
        for number in 0..endpoints {
            let (addr, name) = (loopback_addr(), format!("i-{number}"));
            workers.push(Worker::start(addr, &name).await.expect("an endpoint"));
            store.put(&format!("servers/{name}"), Some(registry_entry(addr, "ready")));
            addrs.push(addr);
        }
        let mut settings = gateway_settings("gateway-1", peers, platform, &[], callers, ready);
        adjust(&mut settings);
        let gateway = Process::start(&program_path(), "gateway", "gateway-1", &dir, &settings)
            .expect("a gateway");
        let fixture =
            Self { store, workers, addrs, callers, ready, peers, gateway, dir: TempDir(dir) };
        let deadline = Instant::now() + READY_TIMEOUT;
        while fixture.readiness().await != 200 {
            assert!(Instant::now() < deadline, "the gateway is not ready");
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        fixture
    }

    async fn readiness(&self) -> u16 {
        let request = "GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        exchange(self.ready, request).await.0
    }

    async fn send(&self, method: &str, path: &str, key: &str) -> (u16, String) {
        exchange(self.callers, &request(method, path, key, "close")).await
    }
}

fn request(method: &str, path: &str, key: &str, connection: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {:016x}\r\n\
         Deadline-Ms: 3000\r\nAuthorization: Bearer {key}\r\nConnection: {connection}\r\n\
         Content-Length: 0\r\n\r\n",
        random_id()
    )
}

fn random_id() -> u64 {
    use std::hash::{BuildHasher as _, Hasher as _};
    std::collections::hash_map::RandomState::new().build_hasher().finish()
}

async fn exchange(addr: SocketAddr, request: &str) -> (u16, String) {
    let Ok(mut stream) = TcpStream::connect(addr).await else { return (0, String::new()) };
    if stream.write_all(request.as_bytes()).await.is_err() {
        return (0, String::new());
    }
    let mut bytes = vec![];
    let read = stream.read_to_end(&mut bytes);
    let _ = actix_rt::time::timeout(Duration::from_secs(10), read).await;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    (status, text)
}

async fn wait_until(condition: &str, mut done: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + APPLY_TIMEOUT;
    while !done().await {
        assert!(Instant::now() < deadline, "timed out waiting until {condition}");
        actix_rt::time::sleep(Duration::from_millis(30)).await;
    }
}

#[actix_rt::test]
async fn requests_run_once_with_the_account_and_without_the_key() {
    let fixture = Fixture::start(1).await;
    let (status, text) = fixture.send("POST", "/order/1", "key-1").await;
    assert_eq!(status, 200, "{text}");
    assert!(text.contains("server-stamp: signed-i-0") && text.ends_with("done"), "{text}");
    let ran = fixture.workers[0].requests();
    assert_eq!(ran.len(), 1);
    assert_eq!((ran[0].account.as_deref(), ran[0].has_key), (Some("acme"), false));
    assert_eq!(ran[0].priority.as_deref(), Some("4"));
    assert_eq!(fixture.send("POST", "/order/1", "key-2").await.0, 401);
    assert_eq!(fixture.send("POST", "/none/1", "key-1").await.0, 404);
    assert_eq!(fixture.workers[0].requests().len(), 1);
}

#[rstest]
#[case::lost(Behaviour::CloseUnanswered, 502)]
#[case::mute(Behaviour::NeverAnswer, 504)]
#[case::unsigned(Behaviour::Unsigned, 502)]
#[case::full(Behaviour::AtCapacity, 503)]
#[actix_rt::test]
async fn a_non_idempotent_request_that_may_have_run_is_not_retried_or_reported_as_not_run(
    #[case] behaviour: Behaviour,
    #[case] expected: u16,
) {
    let fixture = Fixture::start(2).await;
    fixture.workers.iter().for_each(|worker| worker.set_behaviour(behaviour));
    let (status, text) = fixture.send("POST", "/order/1", "key-1").await;
    let runs: usize = fixture.workers.iter().map(|worker| worker.requests().len()).sum();
    assert_eq!(status, expected, "{text}");
    assert_eq!(runs, usize::from(behaviour != Behaviour::AtCapacity), "{text}");
}

#[actix_rt::test]
async fn an_idempotent_request_is_retried_on_another_endpoint() {
    let fixture = Fixture::start(2).await;
    fixture.workers[0].set_behaviour(Behaviour::CloseUnanswered);
    for _ in 0..6 {
        let (status, text) = fixture.send("GET", "/read/1", "key-1").await;
        assert_eq!(status, 200, "{text}");
    }
}

#[actix_rt::test]
async fn a_broken_stream_resumes_on_another_endpoint_after_its_last_event() {
    let fixture = Fixture::start(2).await;
    fixture.workers[0].set_behaviour(Behaviour::TruncateEvent);
    for _ in 0..4 {
        let (status, text) = fixture.send("POST", "/stream/1", "key-1").await;
        assert_eq!(status, 200, "{text}");
        let numbers: Vec<&str> =
            text.lines().filter_map(|line| line.strip_prefix("id: ")).collect();
        assert_eq!(numbers, ["1", "2", "3", "4", "5", "6"], "{text}");
    }
    let resumed =
        fixture.workers[1].requests().iter().filter(|ran| ran.last_event == Some(2)).count();
    assert_eq!(resumed, fixture.workers[0].requests().len());
}

#[actix_rt::test]
async fn a_stream_that_breaks_everywhere_ends_without_a_second_head() {
    let fixture = Fixture::start(3).await;
    fixture.workers.iter().for_each(|worker| worker.set_behaviour(Behaviour::TruncateEvent));
    let (status, text) = fixture.send("POST", "/stream/1", "key-1").await;
    assert_eq!(status, 200, "{text}");
    assert_eq!(text.matches("HTTP/1.1").count(), 1, "{text}");
    assert!(!text.ends_with("0\r\n\r\n"), "the broken stream ended like a complete one: {text}");
}

/// An answer without length and chunks ends with its connection, also where the endpoint crashed.
#[rstest]
#[case::within_an_event("id: 1\ndata: tok")]
#[case::before_the_first_event("")]
#[actix_rt::test]
async fn a_stream_that_ends_with_its_connection_too_early_continues_elsewhere(
    #[case] body: &'static str,
) {
    let fixture = Fixture::start(2).await;
    let addr = loopback_addr();
    let listener = tokio::net::TcpListener::bind(addr).await.expect("an address");
    let broken_count = std::rc::Rc::new(std::cell::Cell::new(0));
    let broken = broken_count.clone();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut head = vec![0; 4_096];
            let count = stream.read(&mut head).await.unwrap_or_default();
            let text = String::from_utf8_lossy(&head[..count]).to_lowercase();
            let attempt = text.lines().find(|line| line.starts_with("attempt-id:"));
            let attempt = attempt.unwrap_or("attempt-id: none");
            let answer = format!("HTTP/1.1 200 OK\r\n{attempt}\r\nserver-stamp: x\r\n\r\n{body}");
            let _ = stream.write_all(answer.as_bytes()).await;
            broken.set(broken.get() + 1);
        }
    });
    fixture.store.put("servers/i-0", Some(registry_entry(addr, "ready")));
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    for _ in 0..20 {
        let (status, text) = fixture.send("POST", "/stream/1", "key-1").await;
        assert_eq!((status, text.matches("data: token").count()), (200, 6), "{text}");
    }
    assert!(broken_count.get() > 0, "no answer was broken off");
}

/// An endpoint may come back under the same name, with another start time.
#[actix_rt::test]
async fn a_request_that_crashes_the_same_instance_twice_is_refused() {
    let fixture = Fixture::start(1).await;
    let worker = &fixture.workers[0];
    worker.set_behaviour(Behaviour::CloseUnanswered);
    for start in 1..=3 {
        let mut entry = registry_entry(fixture.addrs[0], "ready");
        entry["born"] = json!(1_000 * start);
        fixture.store.put("servers/i-0", Some(entry));
        actix_rt::time::sleep(Duration::from_millis(500)).await;
        fixture.send("GET", "/read/1", "key-1").await;
    }
    assert_eq!(worker.requests().len(), 2, "sends of a request that crashed two starts");
}

#[actix_rt::test]
async fn a_caller_disconnect_is_passed_on_to_the_endpoint() {
    let fixture = Fixture::start(1).await;
    fixture.workers[0].set_behaviour(Behaviour::Slow(Duration::from_millis(200)));
    let mut stream = TcpStream::connect(fixture.callers).await.expect("a connection");
    let text = request("POST", "/stream/1", "key-1", "keep-alive");
    stream.write_all(text.as_bytes()).await.expect("a request");
    wait_until("the request runs", async || !fixture.workers[0].requests().is_empty()).await;
    drop(stream);
    wait_until("the endpoint sees its reader disconnect", async || {
        fixture.workers[0].dropped_streams() == 1
    })
    .await;
}

#[actix_rt::test]
async fn published_changes_take_effect_and_never_revert() {
    let fixture = Fixture::start(2).await;
    fixture.store.put("servers/i-0", Some(registry_entry(fixture.addrs[0], "draining")));
    wait_until("the draining endpoint gets no more requests", async || {
        let before = fixture.workers[0].requests().len();
        for _ in 0..4 {
            fixture.send("GET", "/read/1", "key-1").await;
        }
        fixture.workers[0].requests().len() == before
    })
    .await;
    fixture.store.put("op/config", Some(gateway_config(2, &["key-2"])));
    wait_until("the new key is valid", async || {
        fixture.send("GET", "/read/1", "key-2").await.0 == 200
    })
    .await;
    fixture.store.put("op/config", Some(gateway_config(1, &["key-1"])));
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(fixture.send("GET", "/read/1", "key-1").await.0, 401);
    fixture.store.set_down(true);
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(fixture.send("GET", "/read/1", "key-2").await.0, 200);
}

// Guards against the withdrawal of the last API key opening the gateway to all callers.
#[actix_rt::test]
async fn requests_without_a_valid_key_do_not_run_once_all_keys_are_withdrawn() {
    let fixture = Fixture::start(1).await;
    fixture.store.put("op/config", Some(gateway_config(2, &[])));
    wait_until("the key is withdrawn", async || {
        fixture.send("GET", "/read/1", "key-1").await.0 != 200
    })
    .await;
    let before = fixture.workers[0].requests().len();
    for key in ["key-1", "invented", ""] {
        assert_eq!(fixture.send("POST", "/order/1", key).await.0, 401, "key {key:?}");
    }
    assert_eq!(fixture.workers[0].requests().len(), before, "requests without a valid key ran");
    fixture.store.put("op/config", Some(gateway_config(3, &["key-3"])));
    wait_until("the new key is valid", async || {
        fixture.send("GET", "/read/1", "key-3").await.0 == 200
    })
    .await;
}

// Guards against an emptied list of client accounts opening the gateway to all callers.
#[actix_rt::test]
async fn requests_do_not_run_once_the_list_of_accounts_is_empty() {
    let fixture = Fixture::start(1).await;
    let mut config = gateway_config(2, &[]);
    config["tenants"] = json!([]);
    fixture.store.put("op/config", Some(config));
    wait_until("the account is gone", async || {
        let status = fixture.send("GET", "/read/1", "key-1").await.0;
        let requests = fixture.workers[0].requests();
        status == 401 || requests.last().is_some_and(|request| request.account.is_none())
    })
    .await;
    let before = fixture.workers[0].requests().len();
    for key in ["key-1", "invented", ""] {
        assert_eq!(fixture.send("POST", "/order/1", key).await.0, 401, "key {key:?}");
    }
    assert_eq!(fixture.workers[0].requests().len(), before, "requests without a valid key ran");
}

#[actix_rt::test]
async fn a_gateway_without_the_platform_gets_its_state_from_a_peer() {
    let fixture = Fixture::start(1).await;
    let (callers, unused_addr) = (loopback_addr(), loopback_addr());
    // All processes listen for peers on the same port, each at its own address.
    let peers = SocketAddr::new(loopback_addr().ip(), fixture.peers.port());
    let second_settings = gateway_settings(
        "gateway-2",
        peers,
        unused_addr,
        &[fixture.peers],
        callers,
        loopback_addr(),
    );
    let dir = &fixture.dir.0;
    let _second = Process::start(&program_path(), "gateway", "gateway-2", dir, &second_settings)
        .expect("a gateway");
    let get = async |key| exchange(callers, &request("GET", "/read/1", key, "close")).await.0;
    wait_until("the second gateway serves requests", async || get("key-1").await == 200).await;
    // A configuration too large for a datagram, so that the gateway must fetch it from its peer.
    let many: Vec<String> = (0..2_000).map(|number| format!("spare-key-{number}")).collect();
    let keys: Vec<&str> = ["key-2"].into_iter().chain(many.iter().map(String::as_str)).collect();
    fixture.store.put("op/config", Some(gateway_config(2, &keys)));
    wait_until("the new key is valid on the second gateway", async || get("key-2").await == 200)
        .await;
    assert_eq!(get("key-1").await, 401);
}

#[actix_rt::test]
async fn a_silent_watch_delays_a_change_by_a_bounded_time() {
    let fixture = Fixture::start(1).await;
    // Waits until the gateway has renewed its first watch: only waiting watches are stalled.
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    fixture.store.stall_watches();
    fixture.store.put("op/config", Some(gateway_config(2, &["key-2"])));
    wait_until("the new key is valid", async || {
        fixture.send("GET", "/read/1", "key-2").await.0 == 200
    })
    .await;
}

/// The time within which a version must be in use, as in the settings of [`start_with_version`].
const ROLLOUT: Duration = Duration::from_secs(4);

/// Starts a gateway and an endpoint that holds version 1 of a model.
async fn start_with_version() -> Fixture {
    let adjust = |settings: &mut Value| settings["node"]["bounds"]["version"] = json!("4s");
    let fixture = Fixture::start_with(1, adjust).await;
    let mut entry = registry_entry(fixture.addrs[0], "ready");
    entry["models"] = json!([{ "name": "m", "version": 1, "adapters": [] }]);
    fixture.store.put("servers/i-0", Some(entry));
    fixture.store.put("op/version/m", Some(json!({ "model": "m", "version": 1 })));
    let read = model_request("GET", "/read/1");
    wait_until("the first version serves", async || {
        exchange(fixture.callers, &read).await.0 == 200
    })
    .await;
    fixture
}

fn model_request(method: &str, path: &str) -> String {
    request(method, path, "key-1", "close").replacen("\r\n", "\r\nModel: m\r\n", 1)
}

/// Only after an outage may the entry of a live endpoint be missing, so only then it is kept.
#[actix_rt::test]
async fn an_endpoint_removed_while_a_watch_is_silent_is_not_kept() {
    let fixture = Fixture::start(1).await;
    // The next watch begins soon after this change, so that its silence is noticed late.
    fixture.store.put("op/config", Some(gateway_config(2, &["key-1"])));
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    fixture.store.stall_watches();
    fixture.store.put("servers/i-0", None);
    let removed = Instant::now();
    assert_eq!(fixture.send("GET", "/read/1", "key-1").await.0, 200);
    actix_rt::time::sleep(Duration::from_secs(3).saturating_sub(removed.elapsed())).await;
    let before = fixture.workers[0].requests().len();
    while removed.elapsed() < Duration::from_secs(5) {
        fixture.send("GET", "/read/1", "key-1").await;
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    let late = fixture.workers[0].requests().len() - before;
    assert_eq!(late, 0, "requests reached the removed endpoint");
}

/// What happens to a gateway while operators publish a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Disruption {
    /// The connection of its waiting watch falls silent, new ones work.
    SilentWatch,
    /// The same, and the first new connection is turned away.
    SilentWatchAndRejection,
    /// The process stands still.
    Paused(Duration),
    /// The process stands still after an answer, while no watch is waiting.
    PausedBetweenWatches(Duration),
}

/// The rollout time counts from the publication, not from the moment at which a process hears of it.
#[rstest]
#[case::silent_watch(Disruption::SilentWatch)]
#[case::silent_watch_and_rejection(Disruption::SilentWatchAndRejection)]
#[case::paused_process(Disruption::Paused(Duration::from_secs(2)))]
#[case::paused_between_watches(Disruption::PausedBetweenWatches(Duration::from_secs(2)))]
#[actix_rt::test]
async fn a_version_that_is_heard_of_late_is_in_use_within_the_rollout_time(
    #[case] disruption: Disruption,
) {
    let fixture = start_with_version().await;
    let read = model_request("GET", "/read/1");
    // Waits until the gateway has renewed its watch: only waiting watches are stalled.
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    match disruption {
        Disruption::SilentWatch => fixture.store.stall_watches(),
        Disruption::SilentWatchAndRejection => {
            // The next watch begins soon after this change, which tells when it is given up.
            fixture.store.put("op/config", Some(gateway_config(2, &["key-1"])));
            actix_rt::time::sleep(Duration::from_millis(500)).await;
            fixture.store.stall_watches();
        }
        Disruption::Paused(_) => fixture.gateway.signal(Signal::Stop),
        Disruption::PausedBetweenWatches(_) => {
            fixture.store.put("op/config", Some(gateway_config(2, &["key-1"])));
            actix_rt::time::sleep(Duration::from_millis(40)).await;
            fixture.gateway.signal(Signal::Stop);
        }
    }
    fixture.store.put("op/version/m", Some(json!({ "model": "m", "version": 2 })));
    let published = Instant::now();
    if let Disruption::Paused(pause) | Disruption::PausedBetweenWatches(pause) = disruption {
        actix_rt::time::sleep(pause).await;
        fixture.gateway.signal(Signal::Continue);
    }
    if disruption == Disruption::SilentWatchAndRejection {
        actix_rt::time::sleep(Duration::from_millis(1_900)).await;
        fixture.store.set_down(true);
        actix_rt::time::sleep(Duration::from_millis(500)).await;
        fixture.store.set_down(false);
    }
    actix_rt::time::sleep(ROLLOUT.saturating_sub(published.elapsed())).await;
    let before = fixture.workers[0].requests().len();
    while published.elapsed() < ROLLOUT * 2 {
        exchange(fixture.callers, &read).await;
        actix_rt::time::sleep(Duration::from_millis(100)).await;
    }
    let late = fixture.workers[0].requests().len() - before;
    assert_eq!(late, 0, "requests ran on the old version after the rollout time");
}

/// The endpoint may begin what waits there at any time, also after the rollout time.
#[actix_rt::test]
async fn a_request_that_waits_at_an_endpoint_is_withdrawn_within_the_rollout_time() {
    let fixture = start_with_version().await;
    fixture.store.put("op/version/m", Some(json!({ "model": "m", "version": 2 })));
    let published = Instant::now();
    fixture.workers[0].set_behaviour(Behaviour::NeverAnswer);
    actix_rt::time::sleep(ROLLOUT / 2).await;
    let (status, text) = exchange(fixture.callers, &model_request("POST", "/order/1")).await;
    assert_eq!(fixture.workers[0].requests().last().map(|ran| ran.has_key), Some(false));
    assert_eq!(status, 502, "{text}");
    assert!(published.elapsed() < ROLLOUT, "withdrawn after {:?}", published.elapsed());
}

#[actix_rt::test]
async fn a_stopping_gateway_is_not_ready_and_finishes_running_requests() {
    let mut fixture = Fixture::start(1).await;
    fixture.workers[0].set_behaviour(Behaviour::Slow(Duration::from_millis(300)));
    let (callers, text) = (fixture.callers, request("POST", "/stream/1", "key-1", "keep-alive"));
    let running = actix_rt::spawn(async move { exchange(callers, &text).await });
    wait_until("the request runs", async || !fixture.workers[0].requests().is_empty()).await;
    fixture.gateway.signal(Signal::Terminate);
    wait_until("the gateway is not ready", async || fixture.readiness().await != 200).await;
    let (status, text) = running.await.expect("an answer");
    assert_eq!(status, 200);
    assert!(text.contains("id: 6"), "{text}");
    assert!(fixture.gateway.wait(Duration::from_secs(8)).await, "the gateway still runs");
}

/// An endpoint that sends bytes without end costs its request and neither memory nor a connection.
#[rstest]
#[case::answer("GET", "/read/1")]
#[case::stream("POST", "/stream/1")]
#[actix_rt::test]
async fn a_body_without_end_is_broken_off(#[case] method: &str, #[case] path: &str) {
    let fixture = Fixture::start(1).await;
    fixture.workers[0].set_behaviour(Behaviour::EndlessBody);
    let (status, text) = fixture.send(method, path, "key-1").await;
    assert_ne!(status, 200, "{} bytes", text.len());
    assert!(text.len() < 10_000, "{} bytes reach the caller", text.len());
    wait_until("the connection is closed", async || fixture.workers[0].dropped_streams() > 0).await;
    fixture.workers[0].set_behaviour(Behaviour::Normal);
    wait_until("the endpoint serves again", async || {
        fixture.send("GET", "/read/2", "key-1").await.0 == 200
    })
    .await;
}

/// The head of an answer has no end either.
#[rstest]
#[case::header(b"HTTP/1.1 200 OK\r\nx: ", b"y")]
#[case::informational(b"", b"HTTP/1.1 100 Continue\r\n\r\n")]
#[case::garbage(b"", b"\0")]
#[actix_rt::test]
async fn a_head_without_end_is_broken_off(
    #[case] start: &'static [u8],
    #[case] rest: &'static [u8],
) {
    let fixture = Fixture::start(1).await;
    let addr = loopback_addr();
    let listener = tokio::net::TcpListener::bind(addr).await.expect("an address");
    let closed = std::rc::Rc::new(std::cell::Cell::new(0));
    let closed_count = closed.clone();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let closed = closed_count.clone();
            actix_rt::spawn(async move {
                let piece = rest.repeat(4_096);
                let mut sent = stream.write_all(start).await;
                while sent.is_ok() {
                    sent = stream.write_all(&piece).await;
                    actix_rt::time::sleep(Duration::from_millis(1)).await;
                }
                closed.set(closed.get() + 1);
            });
        }
    });
    fixture.store.put("servers/i-0", Some(registry_entry(addr, "ready")));
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    let started = Instant::now();
    let (status, text) = fixture.send("GET", "/read/1", "key-1").await;
    assert!(status >= 500, "{status}: {text}");
    assert!(started.elapsed() < Duration::from_secs(5), "took {:?}", started.elapsed());
    wait_until("the connection is closed", async || closed.get() > 0).await;
}
