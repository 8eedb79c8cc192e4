//! Record of what callers, endpoints and operators saw in a soak, with the checks on it.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap, VecDeque},
    fmt::{self, Display},
    num::ParseIntError,
    rc::Rc,
    str::FromStr,
    time::{Duration, Instant},
};

use super::{call::Mode, notices::Notices};

/// Time without disturbance after which a process is in touch.
pub(super) const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time after which a new configuration must be in force.
const CONFIG_TIME: Duration = Duration::from_secs(2);
/// Time after which a leaving endpoint must get no requests.
pub(super) const DRAIN_TIME: Duration = Duration::from_secs(2);
/// The span in which the requests to an endpoint with a rate limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Factor on what a rate limit allows in the span, and the requests allowed beyond.
const LIMIT_TOLERANCE: (f64, f64) = (1.5, 5.0);
/// Time after which a gateway that was told a rate limit must keep it.
const TOLD_TIME: Duration = Duration::from_millis(500);
/// Interval at which the soak shows that it is not held up.
pub(super) const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time beyond the interval after which the soak, and maybe all processes, stood still.
const STALL_TIME: Duration = Duration::from_millis(200);
/// Time by which the soak itself may be late to record an event.
pub(super) const SLACK: Duration = Duration::from_millis(250);

/// The id of a request as sent once by a caller.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct AttemptId(pub u64);

impl Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for AttemptId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// The disturbances of one part of the system, which may overlap.
#[derive(Clone, Copy, Debug)]
struct Disturbances {
    active: u32,
    last: Instant,
}

impl Disturbances {
    fn new() -> Self {
        Self { active: 0, last: Instant::now() }
    }

    /// Returns since when there is no disturbance, `None` during one.
    fn calm_since(&self) -> Option<Instant> {
        (self.active == 0).then_some(self.last)
    }
}

/// A part of the system that faults disturb.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Part {
    /// The store and all links.
    Platform,
    /// A process, by its index; gateways come first.
    Process(usize),
}

/// A request as sent by a caller.
#[derive(Clone, Debug)]
pub(super) struct Sent {
    /// The index of the gateway.
    pub(super) gateway: usize,
    /// What may be done with the request.
    pub(super) mode: Mode,
    /// The API key.
    pub(super) key: String,
    /// The time at which the caller sent it.
    pub(super) at: Instant,
}

/// A request as run by an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Run {
    /// The id of the endpoint.
    pub(super) instance: String,
    /// The version of the weights that the endpoint held.
    pub(super) version: u64,
    /// The chunks that were missing, of another version or corrupt for too long when loaded.
    pub(super) unusable: Vec<u64>,
    /// Whether the gateway asked for this version.
    pub(super) versioned: bool,
    /// The client account that the gateway named.
    pub(super) account: Option<String>,
    /// The time at which the request reached the endpoint.
    pub(super) arrived: Instant,
}

/// A rate limit of an endpoint.
#[derive(Clone, Debug)]
struct RateLimit {
    rate: f64,
    since: Instant,
    /// When each gateway was told first.
    told: BTreeMap<usize, Instant>,
    /// The counted requests of the last [`LIMIT_WINDOW`].
    arrivals: VecDeque<Instant>,
}

#[derive(Debug, Default)]
struct State {
    sent: HashMap<AttemptId, Sent>,
    runs: HashMap<AttemptId, Vec<Run>>,
    refused: HashMap<AttemptId, u16>,
    /// The API keys, each with the times at which it was added and removed.
    keys: BTreeMap<String, (Instant, Option<Instant>)>,
    versions: BTreeMap<u64, Instant>,
    leaving: HashMap<String, Instant>,
    limits: HashMap<String, RateLimit>,
    notices: Notices,
    disturbances: BTreeMap<Part, Disturbances>,
    /// The last tick and the longest time by which one was late.
    ticked: Option<Instant>,
    lag: Duration,
    answered: u64,
    bad_loads: u32,
    /// Number of requests that began on such a load.
    bad_runs: u32,
    /// The time from the last version until all engines held it for good.
    held: Option<Duration>,
    violations: Vec<String>,
}

/// The shared record of a soak.
#[derive(Clone, Debug)]
pub(super) struct Journal {
    start: Instant,
    /// The time within which a version must be in use everywhere.
    bound: Duration,
    state: Rc<RefCell<State>>,
}

impl Journal {
    /// Returns an empty record.
    pub(super) fn new(bound: Duration) -> Self {
        Self { start: Instant::now(), bound, state: Rc::default() }
    }

    /// Returns the violations so far.
    pub(super) fn violations(&self) -> Vec<String> {
        self.state.borrow().violations.clone()
    }

    /// Returns the numbers of requests sent, run and answered with success.
    pub(super) fn counts(&self) -> (usize, usize, u64) {
        let state = self.state.borrow();
        (state.sent.len(), state.runs.values().map(Vec::len).sum(), state.answered)
    }

    /// Records a load from chunks that must not be used.
    pub(super) fn count_bad_load(&self) {
        self.state.borrow_mut().bad_loads += 1;
    }

    /// Returns the number of loads from chunks that must not be used.
    pub(super) fn bad_loads(&self) -> u32 {
        self.state.borrow().bad_loads
    }

    /// Returns the number of requests that began on a load from such chunks.
    pub(super) fn bad_runs(&self) -> u32 {
        self.state.borrow().bad_runs
    }

    /// Records since when all engines hold a version, `None` if some do not.
    pub(super) fn hold_all(&self, version: u64, since: Option<Instant>) {
        let state = &mut *self.state.borrow_mut();
        let published = state.versions.get(&version).copied();
        state.held = since.zip(published).map(|(since, at)| since.saturating_duration_since(at));
    }

    /// Returns how long it took until all engines held the last version, `None` if some do not.
    pub(super) fn held(&self) -> Option<Duration> {
        self.state.borrow().held
    }

    /// Returns the longest time for which the soak stood still.
    pub(super) fn lag(&self) -> Duration {
        self.state.borrow().lag
    }

    /// Records that the soak runs; one that stood still disturbs the platform, as times are then
    /// recorded late.
    pub(super) fn tick(&self) {
        let (now, mut state) = (Instant::now(), self.state.borrow_mut());
        let last = state.ticked.replace(now).unwrap_or(now);
        let late = (now - last).saturating_sub(TICK_INTERVAL);
        state.lag = state.lag.max(late);
        drop(state);
        if late > STALL_TIME {
            self.notices(|notices| notices.stall(now, late));
            self.begin(Part::Platform);
            self.end(Part::Platform);
        }
    }

    /// Records the start of a disturbance.
    pub(super) fn begin(&self, part: Part) {
        let mut state = self.state.borrow_mut();
        state.disturbances.entry(part).or_insert_with(Disturbances::new).active += 1;
    }

    /// Records the end of a disturbance.
    pub(super) fn end(&self, part: Part) {
        let mut state = self.state.borrow_mut();
        let known = state.disturbances.entry(part).or_insert_with(Disturbances::new);
        known.active = known.active.saturating_sub(1);
        known.last = Instant::now();
    }

    /// Records a published version; the newest one is in force.
    pub(super) fn publish_version(&self, version: u64) {
        self.state.borrow_mut().versions.insert(version, Instant::now());
    }

    /// Records the keys of a published configuration.
    pub(super) fn publish_keys(&self, keys: &[String]) {
        let (now, mut state) = (Instant::now(), self.state.borrow_mut());
        for (key, (_, removed)) in &mut state.keys {
            if removed.is_none() && !keys.contains(key) {
                *removed = Some(now);
            }
        }
        for key in keys {
            state.keys.entry(key.clone()).or_insert((now, None));
        }
    }

    /// Records that an endpoint was published as leaving or gone.
    pub(super) fn publish_leaving(&self, instance: &str) {
        self.state.borrow_mut().leaving.entry(instance.to_owned()).or_insert_with(Instant::now);
    }

    /// Records that an engine starts again under an id, without what it said before.
    pub(super) fn restart(&self, ended: &str, instance: &str) {
        self.notices(|notices| notices.restart(ended, instance));
        [ended, instance].iter().for_each(|engine| self.set_rate_limit(engine, None));
    }

    /// Records that an endpoint limits the requests per second, `None` for no limit.
    pub(super) fn set_rate_limit(&self, instance: &str, rate: Option<f64>) {
        let mut state = self.state.borrow_mut();
        state.limits.remove(instance);
        if let Some(rate) = rate {
            let (told, arrivals) = (BTreeMap::new(), VecDeque::new());
            let limit = RateLimit { rate, since: Instant::now(), told, arrivals };
            state.limits.insert(instance.to_owned(), limit);
        }
    }

    /// Records that an answer told the sender of a request the rate limit of an endpoint.
    pub(super) fn tell_rate_limit(&self, attempt: AttemptId, instance: &str) {
        let mut state = self.state.borrow_mut();
        let gateway = state.sent.get(&attempt).map(|sent| sent.gateway);
        if let (Some(gateway), Some(limit)) = (gateway, state.limits.get_mut(instance)) {
            limit.told.entry(gateway).or_insert_with(Instant::now);
        }
    }

    /// Checks a request that reaches an endpoint with a rate limit, whether it accepts it or not.
    pub(super) fn check_rate(&self, attempt: AttemptId, instance: &str) {
        let (now, mut state) = (Instant::now(), self.state.borrow_mut());
        let gateway = state.sent.get(&attempt).map(|sent| sent.gateway);
        let in_touch = self.in_touch(&state, attempt).is_some();
        let Some(limit) = state.limits.get_mut(instance) else { return };
        let told = gateway.and_then(|gateway| limit.told.get(&gateway)).copied();
        let counts = told.is_some_and(|told| now > told + TOLD_TIME);
        if !in_touch || !counts || now < limit.since + CONTACT_TIME {
            return;
        }
        limit.arrivals.push_back(now);
        limit.arrivals.retain(|at| *at + LIMIT_WINDOW > now);
        let (factor, extra) = LIMIT_TOLERANCE;
        let allowed = factor * limit.rate * LIMIT_WINDOW.as_secs_f64() + extra;
        let (rate, count) = (limit.rate, limit.arrivals.len());
        drop(state);
        if count as f64 > allowed {
            let text = format!("{instance} got {count} in 4 s at a limit of {rate} a second");
            self.report("LIMIT", attempt, text);
        }
    }

    /// Records what engines said in their answers, or what excuses from it.
    pub(super) fn notices(&self, record: impl FnOnce(&mut Notices)) {
        record(&mut self.state.borrow_mut().notices);
    }

    /// Records that an answer asks the sender of a request for a pause.
    pub(super) fn ask_for_pause(&self, attempt: AttemptId, instance: &str, time: Duration) {
        let state = &mut *self.state.borrow_mut();
        if let Some(sent) = state.sent.get(&attempt) {
            let told = (sent.gateway, instance);
            state.notices.ask(Instant::now(), attempt, told, time);
        }
    }

    /// Records an answer that says its engine leaves.
    pub(super) fn say_leaving(&self, attempt: AttemptId, instance: &str) {
        let state = &mut *self.state.borrow_mut();
        if let Some(sent) = state.sent.get(&attempt) {
            state.notices.answer(attempt, sent.gateway, instance);
        }
    }

    /// Checks a request that reaches an engine, whether it accepts it or not, by what engines said.
    pub(super) fn check_notices(&self, attempt: AttemptId, instance: &str) {
        self.tick();
        let mut state = self.state.borrow_mut();
        let State { sent, notices, .. } = &mut *state;
        let broken = sent
            .get(&attempt)
            .map(|sent| notices.arrive(Instant::now(), (sent.gateway, sent.at), instance));
        drop(state);
        for (check, text) in broken.unwrap_or_default() {
            self.report(check, attempt, text);
        }
    }

    /// Records a request that a caller sends.
    pub(super) fn send(&self, attempt: AttemptId, sent: Sent) {
        self.state.borrow_mut().sent.insert(attempt, sent);
    }

    /// Checks a request that reaches an endpoint which accepts it.
    pub(super) fn check_arrival(&self, attempt: AttemptId, instance: &str) {
        self.tick();
        let state = self.state.borrow();
        let Some(leaving) = state.leaving.get(instance).copied() else { return };
        let Some(calm) = self.in_touch(&state, attempt) else { return };
        drop(state);
        let late = Instant::now().saturating_duration_since(leaving.max(calm));
        if late > DRAIN_TIME + SLACK {
            self.report("DRAIN", attempt, format_args!("{instance} leaves since {late:?}"));
        }
    }

    /// Checks and records a request that an endpoint begins to run.
    pub(super) fn begin_run(&self, attempt: AttemptId, run: Run) {
        self.tick();
        let sent = self.state.borrow().sent.get(&attempt).cloned();
        match sent {
            None => self.report("UNASKED", attempt, "no caller sent this request"),
            Some(sent) => self.check_run(attempt, &sent, &run),
        }
        self.state.borrow_mut().runs.entry(attempt).or_default().push(run);
    }

    fn check_run(&self, attempt: AttemptId, sent: &Sent, run: &Run) {
        let (now, state) = (Instant::now(), self.state.borrow());
        let refused = state.refused.get(&attempt).copied();
        let repeated = sent.mode.runs_once() && state.runs.contains_key(&attempt);
        let calm = self.in_touch(&state, attempt);
        let newer = state.versions.range(run.version + 1..).map(|(version, at)| (*version, *at));
        let newer = newer.min_by_key(|(_, at)| *at);
        let removed = state.keys.get(&sent.key).map(|(_, removed)| *removed);
        drop(state);
        if !run.unusable.is_empty() {
            self.state.borrow_mut().bad_runs += 1;
            let (instance, chunks) = (&run.instance, &run.unusable);
            let (gateway, version) = (sent.gateway, run.version);
            let text = format!(
                "runs at {instance}, sent by gateway-{gateway}, on version {version} loaded from \
                 unusable chunks {chunks:?}"
            );
            self.report("WHOLE", attempt, text);
        }
        if run.account.as_deref() != Some("acme") {
            self.report("UNASKED", attempt, format_args!("for account {:?}", run.account));
        }
        if let Some(status) = refused {
            self.report("REFUSED", attempt, format_args!("runs after answer {status}"));
        }
        if repeated {
            self.report("TWICE", attempt, format_args!("runs again at {}", run.instance));
        }
        match removed {
            None => self.report("ROUTE", attempt, "runs with a key that never existed"),
            Some(Some(at))
                if calm.is_some_and(|calm| sent.at > at.max(calm) + CONFIG_TIME + SLACK) =>
            {
                self.report("KEY", attempt, format_args!("key removed {:?} ago", now - at));
            }
            Some(_) => {}
        }
        let (Some((version, published)), Some(calm)) = (newer, calm) else { return };
        let late = now.saturating_duration_since(published.max(calm));
        if late > self.bound + SLACK {
            let text = format!(
                "begins on version {} at {}, {late:?} after version {version} was published; \
                 reached it {:?} ago, version asked for: {}, sent by gateway-{} at {:?}",
                run.version,
                run.instance,
                now - run.arrived,
                run.versioned,
                sent.gateway,
                sent.at - self.start
            );
            self.report("VERSION", attempt, text);
        }
    }

    /// Checks the status of the answer that a caller got.
    pub(super) fn check_status(&self, attempt: AttemptId, status: u16) {
        self.tick();
        let mut state = self.state.borrow_mut();
        let ran = state.runs.contains_key(&attempt);
        if (200..300).contains(&status) {
            state.answered += 1;
        }
        if matches!(status, 408 | 421 | 429 | 503) {
            state.refused.insert(attempt, status);
            state.notices.confirm(Instant::now(), attempt);
        }
        let key = state.sent.get(&attempt).and_then(|sent| state.keys.get(&sent.key)).copied();
        let sent_at = state.sent.get(&attempt).map(|sent| sent.at);
        let calm = self.in_touch(&state, attempt);
        drop(state);
        if matches!(status, 408 | 421 | 429 | 503) && ran {
            self.report("REFUSED", attempt, format_args!("answer {status} after a run"));
        }
        if let (401 | 403 | 404, Some((added, None)), Some(calm), Some(at)) =
            (status, key, calm, sent_at)
            && at > added.max(calm) + CONFIG_TIME + SLACK
        {
            self.report("CONFIG", attempt, format_args!("answer {status} for a valid key"));
        }
    }

    /// Adds a violation by a request, an engine or a process.
    pub(super) fn report(&self, check: &str, subject: impl Display, detail: impl Display) {
        let at = self.start.elapsed().as_secs_f64();
        let text = format!("{check} at {at:.3} s, {subject}: {detail}");
        self.state.borrow_mut().violations.push(text);
    }

    /// Returns since when the platform is calm if the sender of a request was in touch.
    fn in_touch(&self, state: &State, attempt: AttemptId) -> Option<Instant> {
        let sent = state.sent.get(&attempt)?;
        let calm_since = |part| match state.disturbances.get(&part) {
            Some(known) => known.calm_since(),
            None => Some(self.start),
        };
        let (platform, gateway) =
            (calm_since(Part::Platform)?, calm_since(Part::Process(sent.gateway))?);
        (sent.at > platform.max(gateway) + CONTACT_TIME).then_some(platform)
    }
}
