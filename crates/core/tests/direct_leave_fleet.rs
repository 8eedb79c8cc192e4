//! Endpoints that ask for a pause or leave: what still reaches them, and what callers get.

mod fleet;

use std::collections::BTreeMap;

use rand::{SeedableRng as _, rngs::SmallRng};
use sequoiahold_core::{
    direct::{
        endpoint_state::AttemptOutcome,
        retry_budget::{RetryBounds, RetryBudget},
        scheduler::{Decision, Grant, PlacementRequest, Scheduler},
        wait_queue::TicketKey,
    },
    ids::ServiceId,
    time::Time,
    units::Span,
};

use self::fleet::{ms, name, request, schedulers, view};

/// When a third of the endpoints pauses or leaves, in ms.
const EVENT_MS: u64 = 2_000;
/// The length of a pause, in ms.
const PAUSE_MS: u64 = 5_000;
/// The end of the simulation, in ms.
const END_MS: u64 = 9_000;
/// Time of a request at an endpoint, and of an answer without a run, in ms.
const RUN_MS: u64 = 60;
const REFUSE_MS: u64 = 10;
/// Interval between two requests at a gateway, in ms.
const REQUEST_INTERVAL_MS: u64 = 40;
/// Bounds on the retries of all gateways.
const RETRY_BOUNDS: RetryBounds = RetryBounds { ratio: 0.2, extra: 40.0, window: Span::secs(10) };
/// Maximum number of endpoints that a request is sent to.
const MAX_ATTEMPTS: usize = 3;
/// Requests per second that a cold endpoint can serve.
const COLD_RATE: f64 = 80.0;

/// What the affected endpoints do from the event on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Event {
    /// They turn requests away with 503 and `Retry-After`.
    Pause,
    /// They say in their answers that they leave.
    Leave,
}

/// Counts of a simulation in which a third of the endpoints pauses or leaves.
#[derive(Debug, Default)]
struct Counts {
    /// Arrivals at affected endpoints by gateway and endpoint, later than 0.5 s after the first
    /// answer with the word to that gateway, and until the end of a pause.
    after_word: BTreeMap<(usize, usize), u32>,
    /// The same from any gateway, later than 0.5 s after the first answer to any.
    after_news: u32,
    /// Arrivals at the other endpoints with their time.
    remaining: BTreeMap<usize, Vec<u64>>,
    requests: u32,
    in_time: u32,
}

struct Running {
    ends_ms: u64,
    gateway: usize,
    endpoint: usize,
    sent: Time,
    run: bool,
    grant: Grant,
    request: PlacementRequest,
}

/// Simulates gateways that learn from answers and from each other's reports.
struct Simulation {
    event: Event,
    schedulers: Vec<Scheduler>,
    retries: Vec<RetryBudget>,
    running: Vec<Running>,
    /// The queued requests by gateway and ticket.
    queued: Vec<Vec<(TicketKey, PlacementRequest)>>,
    /// When the word of an endpoint reached a gateway first.
    heard: BTreeMap<(usize, usize), u64>,
    rng: SmallRng,
    counts: Counts,
}

impl Simulation {
    fn new(event: Event, gateways: usize, endpoints: usize) -> Self {
        Self {
            event,
            schedulers: schedulers(gateways, &view(endpoints, Some(COLD_RATE))),
            retries: vec![RetryBudget::new(RETRY_BOUNDS); gateways],
            running: vec![],
            queued: vec![vec![]; gateways],
            heard: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(7),
            counts: Counts::default(),
        }
    }

    fn run(mut self) -> Counts {
        for now_ms in (0..END_MS).step_by(5) {
            self.finish(now_ms);
            for gateway in 0..self.schedulers.len() {
                if (now_ms + gateway as u64 * 5).is_multiple_of(REQUEST_INTERVAL_MS) {
                    self.counts.requests += 1;
                    self.retries[gateway].record_request(ms(now_ms), &name("orders"));
                    self.submit(now_ms, gateway, request(ms(now_ms)));
                }
                self.dispatch(now_ms, gateway);
            }
        }
        self.counts
    }

    fn submit(&mut self, now_ms: u64, gateway: usize, request: PlacementRequest) {
        let decision = self.schedulers[gateway].submit(ms(now_ms), request.clone(), &mut self.rng);
        match decision {
            Decision::Dispatch(grant) => self.send(now_ms, gateway, grant, request),
            Decision::Wait(ticket) => self.queued[gateway].push((ticket, request)),
            Decision::Refuse(_) => {}
        }
    }

    fn dispatch(&mut self, now_ms: u64, gateway: usize) {
        let decided = self.schedulers[gateway].dispatch_queued(ms(now_ms), &mut self.rng);
        for (_, ticket, result) in decided {
            let queued = &mut self.queued[gateway];
            let index = queued.iter().position(|(key, _)| *key == ticket).expect("a ticket");
            let (_, request) = queued.swap_remove(index);
            if let Ok(grant) = result {
                self.send(now_ms, gateway, grant, request);
            }
        }
    }

    fn send(&mut self, now_ms: u64, gateway: usize, grant: Grant, request: PlacementRequest) {
        let number = grant.instance.as_str().trim_start_matches("i-");
        let endpoint: usize = number.parse().expect("a number");
        let affected = endpoint.is_multiple_of(3) && now_ms >= EVENT_MS;
        let over = |from: Option<&u64>| from.is_some_and(|from| now_ms > from + 500);
        let ends = match self.event {
            Event::Pause => EVENT_MS + PAUSE_MS,
            Event::Leave => END_MS,
        };
        if affected && over(self.heard.get(&(gateway, endpoint))) && now_ms < ends {
            *self.counts.after_word.entry((gateway, endpoint)).or_default() += 1;
        }
        let first = self.heard.iter().filter(|((_, other), _)| *other == endpoint);
        if affected && over(first.map(|(_, at)| at).min()) {
            self.counts.after_news += 1;
        }
        if !endpoint.is_multiple_of(3) {
            self.counts.remaining.entry(endpoint).or_default().push(now_ms);
        }
        let paused = affected && self.event == Event::Pause && now_ms < EVENT_MS + PAUSE_MS;
        let took_ms = if paused { REFUSE_MS } else { RUN_MS };
        self.running.push(Running {
            ends_ms: now_ms + took_ms,
            gateway,
            endpoint,
            sent: ms(now_ms),
            run: !paused,
            grant,
            request,
        });
    }

    fn finish(&mut self, now_ms: u64) {
        let (ended, running) =
            std::mem::take(&mut self.running).into_iter().partition(|run| run.ends_ms <= now_ms);
        self.running = running;
        for mut run in ended {
            self.hear(now_ms, &run);
            let outcome = if run.run { AttemptOutcome::Answered } else { AttemptOutcome::Full };
            self.schedulers[run.gateway].release(ms(now_ms), &mut run.grant, outcome);
            if run.run {
                self.counts.in_time += u32::from(ms(now_ms) <= run.request.objective);
                continue;
            }
            run.request.tried.push(run.grant.endpoint);
            run.request.healthy_only = true;
            let service: ServiceId = name("orders");
            let (gateways, budget) = (self.schedulers.len(), &mut self.retries[run.gateway]);
            if run.request.tried.len() < MAX_ATTEMPTS
                && budget.try_spend(ms(now_ms), &service, gateways)
            {
                self.submit(now_ms, run.gateway, run.request);
            }
        }
    }

    /// Tells a gateway, and by its report all others, what an answer says of its endpoint.
    fn hear(&mut self, now_ms: u64, run: &Running) {
        let affected = run.endpoint.is_multiple_of(3) && now_ms >= EVENT_MS;
        if !affected || (self.event == Event::Pause && run.run) || now_ms >= EVENT_MS + PAUSE_MS {
            return;
        }
        self.heard.entry((run.gateway, run.endpoint)).or_insert(now_ms);
        if self.event == Event::Pause {
            let left = Span::millis(EVENT_MS + PAUSE_MS - now_ms);
            self.schedulers[run.gateway].record_pause(ms(now_ms), &run.grant, left);
        }
        if self.event == Event::Leave {
            let (now, scheduler) = (ms(now_ms), &mut self.schedulers[run.gateway]);
            let Some(report) = scheduler.record_leaving(now, run.sent, &run.grant, true) else {
                return;
            };
            let others = self.schedulers.iter_mut().enumerate();
            for (_, other) in others.filter(|(index, _)| *index != run.gateway) {
                other.merge_leaving(now, now, vec![report.clone()]);
            }
        }
    }
}

impl Counts {
    /// Checks the requests in each second at the endpoints that neither pause nor leave.
    fn check_cold_rate(&self) {
        for (endpoint, sent) in &self.remaining {
            let in_second =
                |from: &u64| sent.iter().filter(|at| (*from..from + 1_000).contains(*at)).count();
            let most = sent.iter().map(in_second).max().expect("requests") as f64;
            assert!(most <= COLD_RATE * 1.5 + 5.0, "{most} requests in a second at i-{endpoint}");
        }
    }
}

#[test]
fn third_of_the_endpoints_that_pauses_gets_no_requests_meanwhile() {
    let counts = Simulation::new(Event::Pause, 149, 60).run();
    let most = counts.after_word.values().max().copied().unwrap_or(0);
    let all: u32 = counts.after_word.values().sum();
    println!("{all} requests within pauses, {most} of one gateway at one endpoint");
    println!("{} of {} requests answered in time", counts.in_time, counts.requests);
    assert!(most <= 2, "{most} requests of a gateway within a pause");
    counts.check_cold_rate();
}

#[test]
fn third_of_the_endpoints_that_leaves_gets_no_new_requests() {
    let counts = Simulation::new(Event::Leave, 149, 60).run();
    let all: u32 = counts.after_word.values().sum();
    println!("{all} requests from gateways with an answer, {} of all gateways", counts.after_news);
    println!("{} of {} requests answered in time", counts.in_time, counts.requests);
    assert_eq!((all, counts.after_news), (0, 0), "requests to endpoints that leave");
    counts.check_cold_rate();
}
