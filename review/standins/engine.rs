//! A model worker and the origin of its weights.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    case::Case,
    http::{Message, Reply, serve},
    platform::Store,
    sha256::hex_digest,
};

/// The model.
pub const MODEL: &str = "m0";
/// Number of pieces of a version.
pub const PIECES: u64 = 96;
/// Length of a piece.
const PIECE_BYTES: usize = 24_576;
/// Time that a load takes (`warm_s`).
const LOAD_TIME: Duration = Duration::from_millis(300);
/// Time for which a spoilt piece excuses the system.
const SPOILT_EXCUSE: Duration = Duration::from_secs(3);
/// Number of events of a stream.
const EVENTS: u64 = 14;

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub version: u64,
    /// The pieces of the weights in use that had been spoilt for too long as they were taken.
    pub spoilt: Vec<u64>,
}

/// What the loader does at an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// It asks for the report while all pieces of a newer version are staged, each read back since
    /// the last one was staged.
    ReportWhenVerified,
}

#[derive(Default)]
struct State {
    id: String,
    starts: u32,
    born_ms: u128,
    held: Option<u64>,
    loading: bool,
    spoilt_in_use: Vec<u64>,
    orders: u64,
    staged: BTreeMap<u64, Vec<u8>>,
    /// When pieces turned bad.
    bad_since: BTreeMap<u64, Instant>,
    /// Number of pieces read back since the last one was staged.
    read_back: u64,
    runs: Vec<Run>,
}

/// A running model worker.
#[derive(Clone)]
pub struct Engine {
    case: Case,
    store: Store,
    pub addr: SocketAddr,
    name: String,
    state: Arc<Mutex<State>>,
    on_step: Arc<Mutex<Option<Box<dyn FnOnce(Step) + Send>>>>,
}

impl Engine {
    /// Starts a worker that holds version 1, which is also staged.
    pub fn start(case: &Case, store: &Store, name: &str, addr: SocketAddr) -> Result<Self, String> {
        let staged = (0..PIECES).map(|index| (index, piece(1, index))).collect();
        let state = State { held: Some(1), staged, ..State::default() };
        let engine = Self {
            case: case.clone(),
            store: store.clone(),
            addr,
            name: name.to_owned(),
            state: Arc::new(Mutex::new(state)),
            on_step: Arc::default(),
        };
        engine.begin();
        let server = engine.clone();
        serve(addr, move |request| server.answer(request))?;
        Ok(engine)
    }

    /// Calls `action` once, before the answer to the call that is the step.
    pub fn at_step(&self, action: impl FnOnce(Step) + Send + 'static) {
        *self.on_step.lock().unwrap() = Some(Box::new(action));
    }

    /// Returns the runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().unwrap().runs.clone()
    }

    /// Returns the version that it holds.
    pub fn held(&self) -> Option<u64> {
        self.state.lock().unwrap().held
    }

    /// Turns staged pieces bad.
    pub fn spoil(&self, pieces: &[u64]) {
        let mut state = self.state.lock().unwrap();
        for index in pieces {
            if let Some(data) = state.staged.get_mut(index) {
                data[100] ^= 1;
                state.bad_since.insert(*index, Instant::now());
            }
        }
        self.case.note(&format!("{}: staged pieces {pieces:?} turned bad", self.name));
    }

    /// Loses power: weights and staged pieces are gone, and its entry disappears.
    pub fn lose_power(&self) {
        let mut state = self.state.lock().unwrap();
        self.store.remove(&format!("servers/{}", state.id));
        let (starts, runs) = (state.starts, std::mem::take(&mut state.runs));
        *state = State { starts, runs, ..State::default() };
    }

    /// Starts, under a new id.
    pub fn begin(&self) {
        let mut state = self.state.lock().unwrap();
        state.starts += 1;
        state.id = format!("{}-{}", self.name, state.starts);
        state.born_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        self.write_entry(&state);
    }

    fn write_entry(&self, state: &State) {
        let entry = format!(
            "{{\"service\":\"llm\",\"address\":\"{}\",\"zone\":\"oslo-a\",\"version\":\"v1\",\
             \"slots\":16,\"state\":\"ready\",\"cold_remaining_ms\":0,\"stage\":\"combined\",\
             \"models\":[{}],\"sequence\":{},\"born\":{}}}",
            self.addr,
            models(state),
            state.orders,
            state.born_ms
        );
        self.store.put(&format!("servers/{}", state.id), &entry);
    }

    fn answer(&self, request: &Message) -> Reply {
        let path = request.target().split('?').next().unwrap_or("");
        let index = request.query("sample_count").unwrap_or(0);
        if path == "/-/report" {
            return self.report();
        }
        if path.starts_with("/-/stage-put/") {
            let mut state = self.state.lock().unwrap();
            state.staged.insert(index, request.body.clone());
            state.bad_since.remove(&index);
            state.read_back = 0;
            return Reply::status(200);
        }
        if path.starts_with("/-/stage-get/") {
            let mut state = self.state.lock().unwrap();
            state.read_back += 1;
            let data = state.staged.get(&index).cloned();
            return data.map_or(Reply::status(404), |data| Reply::status(200).body(data));
        }
        match path {
            "/-/order" => self.order(request),
            "/health" => {
                let id = self.state.lock().unwrap().id.clone();
                Reply::status(200).with("Instance-Id", &id)
            }
            _ => self.run(request),
        }
    }

    fn report(&self) -> Reply {
        let (text, is_verified) = {
            let state = self.state.lock().unwrap();
            let text = format!(
                "{{\"stage\":\"combined\",\"models\":[{}],\"busy\":{},\"sequence\":{},\
                 \"waiting\":0,\"running\":0,\"kv_used\":0,\"kv_total\":317000,\"handles\":0,\
                 \"born\":{}}}",
                models(&state),
                state.loading,
                state.orders,
                state.born_ms
            );
            let newest =
                state.staged.get(&0).is_some_and(|data| Some(version_of(data)) > state.held);
            (text, newest && !state.loading && state.read_back >= PIECES)
        };
        if is_verified && let Some(action) = self.on_step.lock().unwrap().take() {
            action(Step::ReportWhenVerified);
        }
        Reply::json(text)
    }

    fn order(&self, request: &Message) -> Reply {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let number = |name: &str| {
            let rest = text.split(&format!("\"{name}\":")).nth(1)?;
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<u64>().ok()
        };
        let mut state = self.state.lock().unwrap();
        let Some(version) = number("version") else { return Reply::status(400) };
        if state.held == Some(version) && !state.loading {
            return Reply::status(200);
        }
        if state.loading || number("precondition").is_some_and(|orders| orders != state.orders) {
            return Reply::status(409);
        }
        state.orders += 1;
        state.loading = true;
        let is_bad = |index: &u64| state.staged.get(index) != Some(&piece(version, *index));
        let bad: Vec<u64> = (0..PIECES).filter(is_bad).collect();
        let is_excused = |index: &u64| {
            state.bad_since.get(index).is_some_and(|since| since.elapsed() <= SPOILT_EXCUSE)
        };
        let spoilt: Vec<u64> = bad.iter().copied().filter(|index| !is_excused(index)).collect();
        let ages = bad.iter().filter_map(|index| state.bad_since.get(index));
        let ages: Vec<u128> = ages.map(|since| since.elapsed().as_millis()).collect();
        self.case.note(&format!(
            "{}: accepts the order to load version {version}; bad pieces {bad:?}, for {ages:?} ms",
            self.name
        ));
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(LOAD_TIME);
            let mut state = engine.state.lock().unwrap();
            (state.held, state.loading, state.spoilt_in_use) = (Some(version), false, spoilt);
            engine.write_entry(&state);
            engine.case.note(&format!("{}: holds version {version}", engine.name));
        });
        Reply::status(202)
    }

    fn run(&self, request: &Message) -> Reply {
        let id = {
            let state = self.state.lock().unwrap();
            let other =
                |name: &str, own: &str| request.header(name).is_some_and(|text| text != own);
            let held = state.held.map_or(String::new(), |held| held.to_string());
            if other("expect-instance", &state.id) || other("expect-version", &held) {
                return Reply::status(421).with("Instance-Id", &state.id);
            }
            if state.held.is_none() || state.loading {
                return Reply::status(503).with("Not-Executed", "1");
            }
            state.id.clone()
        };
        thread::sleep(Duration::from_millis(60));
        let attempt = request.header("attempt-id").unwrap_or("").to_owned();
        let version = {
            let mut state = self.state.lock().unwrap();
            let (version, spoilt) = (state.held.unwrap_or(0), state.spoilt_in_use.clone());
            state.runs.push(Run { attempt: attempt.clone(), version, spoilt });
            version
        };
        let events = (1..=EVENTS).map(|id| format!("id: {id}\ndata: token {id}\n\n"));
        Reply::status(200)
            .with("Content-Type", "text/event-stream")
            .with("Attempt-Id", &attempt)
            .with("Server-Stamp", &id)
            .with("Weight-Versions", &version.to_string())
            .body(events.collect::<String>().into_bytes())
    }
}

fn models(state: &State) -> String {
    state.held.map_or(String::new(), |held| {
        format!("{{\"name\":\"{MODEL}\",\"version\":{held},\"adapters\":[]}}")
    })
}

/// Returns a piece of a version, which begins with the number of the version.
pub fn piece(version: u64, index: u64) -> Vec<u8> {
    let mut seed = version * 1_000_003 + index;
    let mut data = version.to_be_bytes().to_vec();
    while data.len() < PIECE_BYTES {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        data.extend(seed.to_be_bytes());
    }
    data
}

fn version_of(data: &[u8]) -> u64 {
    data.first_chunk().map_or(0, |bytes| u64::from_be_bytes(*bytes))
}

#[derive(Default)]
struct OriginState {
    spoil_until: Option<Instant>,
    answers: u32,
    spoilt: u32,
}

/// The origin of the weights.
#[derive(Clone)]
pub struct Origin {
    state: Arc<Mutex<OriginState>>,
}

impl Origin {
    /// Starts an origin whose newest version is `newest`.
    pub fn start(case: &Case, addr: SocketAddr, newest: u64) -> Result<Self, String> {
        let origin = Self { state: Arc::default() };
        let (server, case) = (origin.clone(), case.clone());
        let digests: BTreeMap<u64, Vec<String>> = (1..=newest)
            .map(|version| (version, (0..PIECES).map(|i| hex_digest(&piece(version, i))).collect()))
            .collect();
        serve(addr, move |request| {
            let version = request.query("version").unwrap_or(newest);
            server.state.lock().unwrap().answers += 1;
            if request.target().starts_with("/-/manifest/") {
                let Some(digests) = digests.get(&version) else { return Reply::status(404) };
                let mut digests = digests.clone();
                let spoilt = server.is_spoiling();
                if spoilt {
                    let digit = if digests[40].starts_with('0') { "1" } else { "0" };
                    digests[40].replace_range(..1, digit);
                }
                let told = if spoilt { ", one digit wrong" } else { "" };
                case.note(&format!("origin: manifest of version {version} sent{told}"));
                return Reply::json(manifest(version, &digests));
            }
            let index = request.query("sample_count").unwrap_or(0);
            Reply::status(200).body(piece(version, index))
        })?;
        Ok(origin)
    }

    /// Makes one digit wrong in each manifest sent within some time.
    pub fn spoil_manifests(&self, time: Duration) {
        let until = Instant::now() + time;
        *self.state.lock().unwrap() =
            OriginState { spoil_until: Some(until), ..OriginState::default() };
    }

    /// Returns the number of answers, and of spoilt ones, since the last ones began to be spoilt.
    pub fn answers(&self) -> (u32, u32) {
        let state = self.state.lock().unwrap();
        (state.answers, state.spoilt)
    }

    fn is_spoiling(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        let spoils = state.spoil_until.is_some_and(|until| Instant::now() < until);
        state.spoilt += u32::from(spoils);
        spoils
    }
}

fn manifest(version: u64, digests: &[String]) -> String {
    let digests: Vec<String> = digests.iter().map(|digest| format!("\"{digest}\"")).collect();
    format!(
        "{{\"model\":\"{MODEL}\",\"version\":{version},\"chunk_bytes\":{PIECE_BYTES},\
         \"layers\":16,\"digests\":[{}]}}",
        digests.join(",")
    )
}

/// Returns the service of the model workers in the configuration.
pub fn llm_service() -> String {
    format!(
        "{{\"name\":\"llm\",\"health_check_path\":\"/health\",\"max_connections\":434,\
         \"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":3.0,\"cold_per_s\":36.0,\
         \"engine\":{{\"slots\":16,\"kv_cache_tokens\":317000,\"kv_token_bytes\":262144,\
         \"stride\":5,\"models\":[{{\"name\":\"{MODEL}\",\"pace\":1.0,\"load_s\":4.0,\
         \"warm_s\":0.3}}],\"size_mb\":149000.0,\"step_ms\":9.27,\"per_seq_ms\":0.0232,\
         \"context_per_k\":0.0322,\"read_per_s\":20700.0,\"pairs_per_m\":1.18,\"chunk\":2048,\
         \"report_lag_ms\":200.0,\"usual\":{{\"prompt\":647.0,\"answer\":70.0}}}}}}"
    )
}

/// Returns the service of the origin in the configuration.
pub fn origin_service(addr: SocketAddr) -> String {
    format!(
        "{{\"name\":\"verksted\",\"health_check_path\":\"/health\",\"max_connections\":48,\
         \"origin\":\"{addr}\",\"zone\":\"oslo-a\",\"link_mbps\":7.3}}"
    )
}
