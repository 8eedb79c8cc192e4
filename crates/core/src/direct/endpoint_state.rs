//! State that a gateway tracks for each endpoint: load, health and recent sends.

use std::collections::VecDeque;

use super::{
    availability::{Availability, Cause},
    cells::{Assignment, Relation},
    endpoint_notices::Start,
    load_exchange::LocalLoad,
    load_reports::{LoadKnowledge, LoadReports},
    pace::Pace,
    rate_limit::RateLimit,
    view::Endpoint,
};
use crate::{
    ids::{Digest, ModelId, RegionId},
    time::Time,
    units::Span,
};

/// Window of the rate limit that protects cold endpoints.
const SEND_WINDOW: Span = Span::secs(1);
/// Maximum number of seconds of which one is open to a gateway with a low rate limit.
const MAX_TURNS: f64 = 100.0;
/// Consecutive failures after which an endpoint is put in backoff.
const FAILURE_THRESHOLD: u32 = 2;
/// Initial backoff of a failing endpoint; each further failure doubles it.
const BACKOFF: Span = Span::millis(600);
/// Maximum backoff, so that a recovered endpoint serves again within seconds.
const MAX_BACKOFF: Span = Span::millis(4_800);
/// Backoff after an endpoint refused a request because it was full.
const FULL_BACKOFF: Span = Span::millis(120);
/// Divisor of an endpoint's slots that gives the share reserved for its primary gateway: the others
/// learn of its recent sends with a delay, and an excess request waits until a slot is free.
const PRIMARY_SLOT_DIVISOR: u32 = 8;
/// Divisor of an endpoint's slots that gives the share reserved for its cell: what others know of
/// its load is older still.
const CELL_SLOT_DIVISOR: u32 = 4;
/// Time after a pause within which the requests in progress grow from one to all slots.
const RETURN_RAMP: Span = Span::millis(700);
/// Age after which the load reported by peers is ignored.
const PEER_LOAD_TTL: Span = Span::millis(1_500);

/// How an attempt at an endpoint ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// It was answered.
    Answered,
    /// The caller disconnected or its deadline passed.
    Dropped,
    /// The endpoint was full and did not run it.
    Full,
    /// The address belongs to another instance, or the endpoint holds other weights.
    Misdirected,
    /// The connection failed, or the answer was invalid.
    Failed,
}

/// The load of requests in progress at an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct InFlightLoad {
    /// Requests in progress.
    pub requests: u32,
    /// Total estimated prefill time of the requests without a first event yet, in ms.
    pub prefill_ms: u32,
}

impl InFlightLoad {
    /// Adds another load to this one.
    pub fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.prefill_ms += other.prefill_ms;
    }

    /// Returns this load without another one, at least zero.
    pub fn saturating_sub(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            prefill_ms: self.prefill_ms.saturating_sub(other.prefill_ms),
        }
    }

    /// Returns the greater of both loads, by requests and by prefill time.
    pub fn max(self, other: Self) -> Self {
        Self {
            requests: self.requests.max(other.requests),
            prefill_ms: self.prefill_ms.max(other.prefill_ms),
        }
    }
}

/// An endpoint as seen by the scheduler.
#[derive(Clone, Debug)]
pub struct EndpointState {
    /// The published endpoint.
    pub endpoint: Endpoint,
    /// The region of its zone.
    pub region: Option<RegionId>,
    /// Distance: 0 in the gateway's zone, 1 in its region, 2 elsewhere.
    pub distance: u32,
    /// The hash of the instance id, which identifies the endpoint in load reports.
    pub hash: u32,
    /// Its primary and cell, and how this gateway is related to them.
    pub assignment: Assignment,
    /// The load caused by this gateway.
    pub own_load: InFlightLoad,
    /// The rate limit that it advertises.
    pub rate_limit: RateLimit,
    /// The place of this gateway among those that share the limit, if there is one.
    pub limit_rank: usize,
    /// The pace at which it takes requests after a start, a recovery or a pause.
    pub pace: Pace,
    peer_load: InFlightLoad,
    peer_updated: Time,
    recent_sends: VecDeque<Time>,
    failure_streak: u32,
    availability: Availability,
    last_send: Option<Time>,
    weights: LoadKnowledge,
    /// The start of the engine as published last.
    published_start: Start,
    /// The start and version of the last request that was placed here on a version of the weights.
    used_load: Option<(Option<u64>, u64)>,
}

impl EndpointState {
    /// Returns the state of an endpoint that has received no requests.
    pub fn new(endpoint: Endpoint, region: Option<RegionId>, distance: u32) -> Self {
        Self {
            hash: Digest::of(endpoint.entry.instance.as_str().as_bytes()).short_hash(),
            published_start: Start::of(&endpoint.entry),
            endpoint,
            region,
            distance,
            assignment: Assignment::default(),
            own_load: InFlightLoad::default(),
            rate_limit: RateLimit::default(),
            limit_rank: 0,
            pace: Pace::default(),
            peer_load: InFlightLoad::default(),
            peer_updated: Time::default(),
            recent_sends: VecDeque::new(),
            failure_streak: 0,
            availability: Availability::default(),
            last_send: None,
            weights: LoadKnowledge::default(),
            used_load: None,
        }
    }

    /// Applies a new published state of the same instance.
    ///
    /// A changed entry clears the misdirected flag; a restart also clears failures, backoff and limit.
    /// An earlier start at the same address is that of a restored or stale list.
    pub fn update(&mut self, mut endpoint: Endpoint) {
        self.published_start = Start::of(&endpoint.entry);
        if self.endpoint.entry.addr == endpoint.entry.addr {
            let known = self.endpoint.entry.started_ms;
            endpoint.entry.started_ms = known.max(endpoint.entry.started_ms);
        }
        let restarted = self.endpoint.entry.started_ms != endpoint.entry.started_ms
            || self.endpoint.entry.addr != endpoint.entry.addr;
        if self.endpoint.entry != endpoint.entry {
            self.availability.clear(Cause::Misdirected);
        }
        if restarted {
            self.failure_streak = 0;
            for cause in [Cause::Failing, Cause::Full, Cause::Leaving, Cause::Pause] {
                self.availability.clear(cause);
            }
            self.rate_limit = RateLimit::default();
        }
        self.endpoint = endpoint;
        if restarted {
            self.pace.begin_start(self.slots());
        }
    }

    /// Returns whether the endpoint accepts requests of this gateway, one of `gateways`, now,
    /// regardless of its load: no cause is in force.
    pub fn is_available(&self, now: Time, gateways: usize) -> bool {
        !self.endpoint.entry.leaving
            && self.availability.is_available(now)
            && self.next_turn(now, gateways).is_some_and(|(turn, _)| turn <= now)
    }

    /// Records that the endpoint's engine loads weights until the given time.
    pub fn set_loading(&mut self, until: Time) {
        self.availability.set(Cause::Loading, Some(until));
    }

    /// Applies what is known of the weights that the endpoint's engine has loaded.
    pub fn apply_loads(&mut self, loads: &mut LoadReports) {
        let entry = &self.endpoint.entry;
        let (start, loaded) = (&self.published_start, entry.loaded.as_deref().unwrap_or_default());
        loads.record_published(start, loaded, self.endpoint.restored);
        let weights = loads.knowledge(&self.published_start, &entry.zone);
        if self.weights != weights {
            self.weights = weights;
            self.availability.clear(Cause::Misdirected);
        }
    }

    /// Returns the version of a model that may be used here, `None` if the endpoint does not hold it
    /// or is not known to have loaded it intact.
    pub fn usable_version(&self, model: &ModelId) -> Option<u64> {
        let published = self.endpoint.loaded_model(model).map(|loaded| loaded.version);
        self.weights.usable_version(model, published)
    }

    /// Returns the model of a request here: one that names none gets the first that is held.
    pub fn model_for(&self, requested: Option<&ModelId>) -> Option<ModelId> {
        let first = || Some(&self.endpoint.entry.loaded.as_ref()?.first()?.model);
        requested.or_else(first).cloned()
    }

    /// Returns whether the endpoint rejected a request as held by another instance or version.
    pub fn is_misdirected(&self, now: Time) -> bool {
        self.availability.end(Cause::Misdirected).is_some_and(|end| end > now)
    }

    /// Returns whether requests must be bound to the version that may be used here.
    pub fn needs_proof(&self) -> bool {
        self.endpoint.entry.loaded.is_some() && self.weights != LoadKnowledge::Published
    }

    /// Returns whether a model that the endpoint holds is not known to be loaded intact.
    pub fn is_unproved(&self) -> bool {
        let loaded = self.endpoint.entry.loaded.iter().flatten();
        let mut complete = loaded.filter(|loaded| loaded.complete);
        complete.any(|loaded| self.usable_version(&loaded.model).is_none())
    }

    /// Returns whether the endpoint holds a version of whose load nothing is known.
    pub fn awaits_report(&self) -> bool {
        self.weights == LoadKnowledge::Awaited && self.is_unproved()
    }

    /// Returns the start of the engine as published last.
    pub fn published_start(&self) -> Start {
        self.published_start
    }

    /// Records until when the endpoint pauses or has paused, `None` if it did not.
    pub fn set_pause(&mut self, until: Option<Time>) {
        match until {
            Some(until) => {
                if self.availability.end(Cause::Pause) != Some(until) {
                    self.pace.begin(self.slots());
                }
                self.availability.set(Cause::Pause, Some(until));
            }
            None => self.availability.clear(Cause::Pause),
        }
    }

    /// Records until when the endpoint counts as leaving, `Some(None)` without an end, `None` if it
    /// has not said that it leaves.
    pub fn set_leaving(&mut self, until: Option<Option<Time>>) {
        match until {
            Some(end) => self.availability.set(Cause::Leaving, end),
            None => self.availability.clear(Cause::Leaving),
        }
    }

    /// Returns whether the endpoint leaves, as it said or as published.
    pub fn is_leaving(&self, now: Time) -> bool {
        self.endpoint.entry.leaving
            || self.availability.end(Cause::Leaving).is_some_and(|end| end > now)
    }

    /// Returns the causes for which the endpoint gets no requests from this gateway, one of
    /// `gateways`, with their ends where known.
    pub fn causes(
        &self,
        now: Time,
        gateways: usize,
    ) -> impl Iterator<Item = (Cause, Option<Time>)> {
        let published = self.endpoint.entry.leaving.then_some((Cause::Leaving, None));
        let other = move |(cause, _): &(Cause, _)| published.is_none() || *cause != Cause::Leaving;
        let turn = self.next_turn(now, gateways).map(|(turn, _)| turn);
        let limited = turn.is_none_or(|turn| turn > now).then_some((Cause::RateLimit, turn));
        let unproved = self.is_unproved().then_some((Cause::Unproved, None));
        let causes = published.into_iter().chain(self.availability.causes(now).filter(other));
        causes.chain(limited).chain(unproved)
    }

    /// Returns until when the endpoint is known to take no requests, as it pauses or loads weights.
    pub fn known_end(&self) -> Time {
        let end = |cause| self.availability.end(cause).unwrap_or_default();
        end(Cause::Pause).max(end(Cause::Loading))
    }

    /// Returns whether this gateway may have one more request in progress, as it returns slowly
    /// after a pause.
    pub fn allows_return(&self, now: Time) -> bool {
        let Some(end) = self.availability.end(Cause::Pause) else { return true };
        let elapsed = now - end;
        let slots = u64::from(self.slots());
        elapsed >= RETURN_RAMP
            || u64::from(self.own_load.requests) <= slots * elapsed.0 / RETURN_RAMP.0
    }

    /// Returns whether one more request in progress keeps the endpoint's pace.
    pub fn allows_pace(&mut self, now: Time) -> bool {
        let total = self.total_load(now).requests;
        self.pace.allows(now, self.assignment.relation, self.own_load.requests, total)
    }

    /// Returns from when on this gateway, one of `gateways`, may send a request within the rate limit,
    /// with the interval to the next one; `None` if it has no part of the limit.
    pub fn next_turn(&self, now: Time, gateways: usize) -> Option<(Time, Span)> {
        self.rate_limit.next_turn(now, self.limit_rank, gateways, self.last_send)
    }

    /// Returns whether the endpoint has not failed since its last answer.
    pub fn is_healthy(&self) -> bool {
        self.failure_streak == 0
    }

    /// Returns whether one more request stays within `limit` requests per second.
    ///
    /// A limit below one allows a single request in one of several seconds. Which one depends on
    /// `salt`, which differs between gateways, so that not all of them send in the same second.
    pub fn allows_send(&mut self, now: Time, limit: f64, salt: u32) -> bool {
        if limit <= 0.0 {
            return false;
        }
        let turns = (1.0 / limit).ceil().clamp(1.0, MAX_TURNS) as u64;
        let turn = now.0 / SEND_WINDOW.0 + u64::from(salt ^ self.hash);
        if !turn.is_multiple_of(turns) {
            return false;
        }
        while self.recent_sends.front().is_some_and(|at| *at + SEND_WINDOW < now) {
            self.recent_sends.pop_front();
        }
        (self.recent_sends.len() as f64) < limit.max(1.0).floor()
    }

    /// Returns the load caused by all gateways, as far as known here.
    pub fn total_load(&self, now: Time) -> InFlightLoad {
        let peer_load = if self.peer_updated + PEER_LOAD_TTL > now {
            self.peer_load
        } else {
            InFlightLoad::default()
        };
        let mut load = self.own_load;
        load.add(peer_load);
        load
    }

    /// Returns the endpoint as the exchange of loads sees it.
    pub fn local_load(&self) -> LocalLoad<'_> {
        LocalLoad {
            instance: self.hash,
            relation: self.assignment.relation,
            primary: self.assignment.primary.as_deref(),
            own: self.own_load,
        }
    }

    /// Returns the number of requests that it serves at the same time, at least one.
    pub fn slots(&self) -> u32 {
        self.endpoint.entry.slots.max(1)
    }

    /// Returns the number of slots that this gateway may fill where `gateways` send requests.
    pub fn capacity(&self, gateways: usize) -> u32 {
        let slots = self.slots();
        let reserved = match self.assignment.relation {
            _ if gateways <= 1 => 0,
            Relation::Primary => 0,
            Relation::Cell | Relation::Shared => slots / PRIMARY_SLOT_DIVISOR,
            Relation::Outside => slots / CELL_SLOT_DIVISOR,
        };
        slots - reserved
    }

    /// Sets the load that other gateways report.
    pub fn set_peer_load(&mut self, now: Time, peer_load: InFlightLoad) {
        self.peer_load = peer_load;
        self.peer_updated = now;
    }

    /// Records a request sent to the endpoint.
    pub fn record_send(&mut self, now: Time, prefill_ms: u32) {
        self.own_load.requests += 1;
        self.own_load.prefill_ms += prefill_ms;
        self.recent_sends.push_back(now);
        self.last_send = Some(now);
    }

    /// Records that a request is placed here on a version of the weights; returns whether it is the
    /// first one since the endpoint started or held another version.
    pub fn record_use(&mut self, version: u64) -> bool {
        let load = Some((self.endpoint.entry.started_ms, version));
        std::mem::replace(&mut self.used_load, load) != load
    }

    /// Removes the prefill time of a request from the own load.
    pub fn finish_prefill(&mut self, prefill_ms: u32) {
        self.own_load.prefill_ms = self.own_load.prefill_ms.saturating_sub(prefill_ms);
    }

    /// Records the end of a request sent to the endpoint and adjusts its backoff.
    pub fn record_outcome(&mut self, now: Time, outcome: AttemptOutcome) {
        self.own_load.requests = self.own_load.requests.saturating_sub(1);
        match outcome {
            AttemptOutcome::Answered => {
                if self.failure_streak >= FAILURE_THRESHOLD {
                    self.pace.begin(self.slots());
                }
                self.failure_streak = 0;
            }
            AttemptOutcome::Dropped => {}
            AttemptOutcome::Full => self.availability.extend(Cause::Full, now + FULL_BACKOFF),
            AttemptOutcome::Misdirected => self.availability.set(Cause::Misdirected, None),
            AttemptOutcome::Failed => self.record_failure(now),
        }
    }

    fn record_failure(&mut self, now: Time) {
        self.failure_streak += 1;
        if self.failure_streak >= FAILURE_THRESHOLD {
            let doublings = (self.failure_streak - FAILURE_THRESHOLD).min(3);
            let backoff = Span(BACKOFF.0 << doublings).min(MAX_BACKOFF);
            self.availability.set(Cause::Failing, Some(now + backoff));
        }
    }
}
