//! Real gateways in front of a simulated store and simulated endpoints, all on loopback.

use std::{
    cell::RefCell,
    collections::HashMap,
    hash::{BuildHasher as _, Hasher as _, RandomState},
    net::SocketAddr,
    path::PathBuf,
    time::{Duration, Instant},
};

use anyhow::{Context as _, bail};
use futures_util::{StreamExt as _, stream};
use serde_json::Value;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

use super::{
    Arrival, Store, Worker, gateway_config, gateway_settings, loopback_addr, registry_entry,
};
use crate::processes::{Process, Signal, program_path};

/// Time within which a gateway must be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Maximum time of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The answer to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// The status, 0 without an answer.
    pub status: u16,
    /// The whole answer with its head.
    pub text: String,
    /// The time from connecting to the end of the answer.
    pub took: Duration,
    /// Why the call ended before the end of the connection, if it did.
    pub error: Option<String>,
}

impl Call {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.text.lines().skip(1).take_while(|line| !line.is_empty());
        let mut headers = lines.filter_map(|line| line.split_once(':'));
        let (_, value) = headers.find(|(key, _)| key.eq_ignore_ascii_case(name))?;
        Some(value.trim())
    }
}

struct Gateway {
    vm: String,
    callers: SocketAddr,
    ready: SocketAddr,
    settings: Value,
    process: RefCell<Option<Process>>,
}

/// A running cluster; the endpoints `i-0`, `i-1` and so on serve the service of
/// [`gateway_config`].
pub struct Cluster {
    /// The store.
    pub store: Store,
    /// The endpoints.
    pub workers: Vec<Worker>,
    /// The addresses of the endpoints.
    pub addrs: Vec<SocketAddr>,
    gateways: Vec<Gateway>,
    /// The gateway to which each attempt was sent.
    sent: RefCell<HashMap<String, usize>>,
    dir: PathBuf,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        // A directory left behind among the temporary files does no harm.
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Cluster {
    /// Starts a cluster and waits until its gateways are ready; fails if an address cannot be bound
    /// or a gateway is not ready within 20 s.
    pub async fn start(gateways: usize, endpoints: usize) -> anyhow::Result<Self> {
        Self::start_with(gateways, endpoints, |_| {}).await
    }

    /// Starts a cluster whose gateways have settings that `adjust` changes; fails as
    /// [`Cluster::start`].
    pub async fn start_with(
        gateways: usize,
        endpoints: usize,
        adjust: impl Fn(&mut Value),
    ) -> anyhow::Result<Self> {
        let dir = std::env::temp_dir().join(format!("cluster-{:016x}", random_id()));
        std::fs::create_dir_all(&dir)?;
        let platform = loopback_addr();
        let store = Store::start(platform).await?;
        store.put("op/config", Some(gateway_config(1, &["key-1"])));
        let (mut workers, mut addrs) = (vec![], vec![]);
        for number in 0..endpoints {
            let (addr, name) = (loopback_addr(), format!("i-{number}"));
            workers.push(Worker::start(addr, &name).await?);
            store.put(&format!("servers/{name}"), Some(registry_entry(addr, "ready")));
            addrs.push(addr);
        }
        // All processes listen for peers on the same port, each at its own address.
        let port = loopback_addr().port();
        let peers: Vec<SocketAddr> =
            (0..gateways).map(|_| SocketAddr::new(loopback_addr().ip(), port)).collect();
        let gateway = |(number, own): (usize, &SocketAddr)| {
            let (vm, callers, ready) =
                (format!("gateway-{number}"), loopback_addr(), loopback_addr());
            let mut settings = gateway_settings(&vm, *own, platform, &peers, callers, ready);
            adjust(&mut settings);
            Gateway { vm, callers, ready, settings, process: RefCell::default() }
        };
        let gateways = peers.iter().enumerate().map(gateway).collect();
        let cluster = Self { store, workers, addrs, gateways, sent: RefCell::default(), dir };
        (0..cluster.gateways.len()).try_for_each(|number| cluster.start_gateway(number))?;
        for number in 0..cluster.gateways.len() {
            cluster.wait_ready(number).await?;
        }
        Ok(cluster)
    }

    /// Returns the number of gateways.
    pub fn gateways(&self) -> usize {
        self.gateways.len()
    }

    /// Returns the address at which a gateway takes callers.
    pub fn callers(&self, number: usize) -> SocketAddr {
        self.gateways[number].callers
    }

    /// Starts a gateway again, whose process is ended if it still runs.
    pub fn start_gateway(&self, number: usize) -> anyhow::Result<()> {
        let Gateway { vm, settings, process, .. } = &self.gateways[number];
        process.take();
        process.replace(Some(Process::start(&program_path(), "gateway", vm, &self.dir, settings)?));
        Ok(())
    }

    /// Signals a gateway's process if it runs.
    pub fn signal(&self, number: usize, signal: Signal) {
        if let Some(process) = self.gateways[number].process.borrow().as_ref() {
            process.signal(signal);
        }
    }

    /// Waits until a gateway is ready; fails after 20 s.
    pub async fn wait_ready(&self, number: usize) -> anyhow::Result<()> {
        let request = "GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let deadline = Instant::now() + READY_TIMEOUT;
        while exchange(self.gateways[number].ready, request).await.status != 200 {
            if Instant::now() > deadline {
                bail!("gateway {number} is not ready");
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns the lines that a gateway has logged; fails if they cannot be read.
    pub fn log(&self, number: usize) -> anyhow::Result<String> {
        let path = self.dir.join(format!("{}.log", self.gateways[number].vm));
        std::fs::read_to_string(&path).with_context(|| format!("cannot read {}", path.display()))
    }

    /// Sends a request to a gateway and reads the answer.
    pub async fn call(&self, number: usize, request: &str) -> Call {
        let head = request.lines().filter_map(|line| line.split_once(": "));
        let attempts = head.filter(|(name, _)| name.eq_ignore_ascii_case("attempt-id"));
        let attempts = attempts.map(|(_, attempt)| (attempt.to_owned(), number));
        self.sent.borrow_mut().extend(attempts);
        exchange(self.gateways[number].callers, request).await
    }

    /// Sends reads to all gateways in turn for `time`, without awaiting answers in between, and
    /// returns the answers.
    pub async fn send_reads(&self, time: Duration, interval: Duration) -> Vec<Call> {
        let started = Instant::now();
        let gateways = stream::unfold(0, |sent| async move {
            if sent > 0 {
                actix_rt::time::sleep(interval).await;
            }
            (started.elapsed() < time).then_some((sent % self.gateways(), sent + 1))
        });
        let calls = gateways.map(|number| async move {
            self.call(number, &request("GET", "/read/1", "key-1")).await
        });
        calls.buffered(usize::MAX).collect().await
    }

    /// Returns the requests of callers of a gateway that reached an endpoint.
    pub fn arrivals_from(&self, number: usize, endpoint: usize) -> Vec<Arrival> {
        let (sent, arrivals) = (self.sent.borrow(), self.workers[endpoint].arrivals());
        let is_own = |arrival: &Arrival| {
            let attempt = arrival.attempt.as_deref();
            attempt.is_some_and(|attempt| sent.get(attempt) == Some(&number))
        };
        arrivals.into_iter().filter(is_own).collect()
    }

    /// Waits until a condition holds; returns whether it did within `timeout`.
    pub async fn wait_until(&self, timeout: Duration, mut done: impl AsyncFnMut() -> bool) -> bool {
        let deadline = Instant::now() + timeout;
        while !done().await {
            if Instant::now() > deadline {
                return false;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        true
    }
}

/// Returns a request without a body that has an id of its own.
pub fn request(method: &str, path: &str, key: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {:016x}\r\n\
         Deadline-Ms: 3000\r\nAuthorization: Bearer {key}\r\nConnection: close\r\n\
         Content-Length: 0\r\n\r\n",
        random_id()
    )
}

fn random_id() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// Sends a request on a new connection and reads up to the end of the connection.
pub(super) async fn exchange(addr: SocketAddr, request: &str) -> Call {
    let started = Instant::now();
    let mut bytes = vec![];
    let transfer = async {
        let mut stream = TcpStream::connect(addr).await?;
        stream.write_all(request.as_bytes()).await?;
        stream.read_to_end(&mut bytes).await
    };
    let error = match actix_rt::time::timeout(CALL_TIMEOUT, transfer).await {
        Ok(Ok(_)) => None,
        Ok(Err(error)) => Some(error.to_string()),
        Err(_) => Some("timed out".to_owned()),
    };
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let status = text.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    Call { status, text, took: started.elapsed(), error }
}
