//! What a gateway knows of one endpoint: its load, its health and what was sent there.

use std::collections::VecDeque;

use super::view::Endpoint;
use crate::{ids::RegionId, time::Time, units::Span};

/// Window of the bound on a cold endpoint.
const SEND_WINDOW: Span = Span::secs(1);
/// Failures in a row after which an endpoint rests.
const FAILURE_THRESHOLD: u32 = 2;
/// First rest of an endpoint that fails; each further failure doubles it.
const BACKOFF: Span = Span::millis(600);
/// Longest rest, so that an endpoint that is back serves within seconds.
const MAX_BACKOFF: Span = Span::millis(4_800);
/// Time after a refusal for want of room in which nothing more is sent there.
const FULL_BACKOFF: Span = Span::millis(120);
/// Part of an endpoint's slots that only the gateway that goes first there may fill: the others know
/// what it has sent of late only after a while, and a request too many waits for a slot to end.
const PRIMARY_SLOT_DIVISOR: u32 = 8;
/// Age at which the load that peers told is forgotten.
const PEER_LOAD_TTL: Span = Span::millis(1_500);

/// How a request ended at an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// It was answered.
    Answered,
    /// The caller left or its time was over.
    Dropped,
    /// The endpoint had no room and did not run it.
    Full,
    /// Another instance is at the address, or other weights.
    Misdirected,
    /// The connection failed, or the endpoint gave no sound answer.
    Failed,
}

/// The load of an endpoint that one gateway causes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct InFlightLoad {
    /// Requests in progress.
    pub requests: u32,
    /// The time that reading their prompts takes, for those without a first event yet, in ms.
    pub prefill_ms: u32,
}

/// One endpoint.
#[derive(Clone, Debug)]
pub struct EndpointState {
    /// The endpoint as published.
    pub endpoint: Endpoint,
    /// The region of its zone.
    pub region: Option<RegionId>,
    /// How far it is: 0 in the own zone, 1 in the own region, 2 elsewhere.
    pub distance: u32,
    /// Whether this gateway goes before the others in sending there.
    pub primary: bool,
    /// The requests of this gateway there.
    pub own_load: InFlightLoad,
    peer_load: InFlightLoad,
    peer_updated: Time,
    recent_sends: VecDeque<Time>,
    failure_streak: u32,
    backoff_until: Time,
    misdirected: bool,
    paused_until: Time,
}

impl EndpointState {
    /// Returns an endpoint to which nothing was sent yet.
    pub fn new(endpoint: Endpoint, region: Option<RegionId>, distance: u32) -> Self {
        Self {
            endpoint,
            region,
            distance,
            primary: false,
            own_load: InFlightLoad::default(),
            peer_load: InFlightLoad::default(),
            peer_updated: Time::default(),
            recent_sends: VecDeque::new(),
            failure_streak: 0,
            backoff_until: Time::default(),
            misdirected: false,
            paused_until: Time::default(),
        }
    }

    /// Takes the published state of the same instance; a changed entry ends a misdirection.
    pub fn update(&mut self, endpoint: Endpoint) {
        let restarted = self.endpoint.entry.started_ms != endpoint.entry.started_ms
            || self.endpoint.entry.addr != endpoint.entry.addr;
        if self.endpoint.entry != endpoint.entry {
            self.misdirected = false;
        }
        if restarted {
            self.failure_streak = 0;
            self.backoff_until = Time::default();
        }
        self.endpoint = endpoint;
    }

    /// Returns whether the endpoint may be asked now, apart from its load.
    pub fn is_available(&self, now: Time) -> bool {
        let unavailable = self.backoff_until > now || self.paused_until > now;
        !self.misdirected && !self.endpoint.entry.leaving && !unavailable
    }

    /// Takes note that the endpoint takes no new requests until a time.
    pub fn pause_until(&mut self, until: Time) {
        self.paused_until = until;
    }

    /// Returns whether the endpoint answered the last requests.
    pub fn is_healthy(&self) -> bool {
        self.failure_streak == 0
    }

    /// Returns whether the bound of `most` requests in any second allows one more.
    pub fn allows_send(&mut self, now: Time, limit: usize) -> bool {
        while self.recent_sends.front().is_some_and(|at| *at + SEND_WINDOW < now) {
            self.recent_sends.pop_front();
        }
        self.recent_sends.len() < limit
    }

    /// Returns the load that all gateways cause, as far as this one knows.
    pub fn total_load(&self, now: Time) -> InFlightLoad {
        let peer_load = if self.peer_updated + PEER_LOAD_TTL > now {
            self.peer_load
        } else {
            InFlightLoad::default()
        };
        InFlightLoad {
            requests: self.own_load.requests + peer_load.requests,
            prefill_ms: self.own_load.prefill_ms + peer_load.prefill_ms,
        }
    }

    /// Returns the requests that may run there where this many gateways send.
    pub fn capacity(&self, gateways: usize) -> u32 {
        let slots = self.endpoint.entry.slots.max(1);
        let reserved = if self.primary || gateways <= 1 { 0 } else { slots / PRIMARY_SLOT_DIVISOR };
        slots - reserved
    }

    /// Takes the load that other gateways cause.
    pub fn set_peer_load(&mut self, now: Time, peer_load: InFlightLoad) {
        self.peer_load = peer_load;
        self.peer_updated = now;
    }

    /// Takes note of a request that is sent there.
    pub fn record_send(&mut self, now: Time, prefill_ms: u32) {
        self.own_load.requests += 1;
        self.own_load.prefill_ms += prefill_ms;
        self.recent_sends.push_back(now);
    }

    /// Takes note that the prompt of a request that was sent there has been read.
    pub fn finish_prefill(&mut self, prefill_ms: u32) {
        self.own_load.prefill_ms = self.own_load.prefill_ms.saturating_sub(prefill_ms);
    }

    /// Takes note of the end of a request that was sent there.
    pub fn record_outcome(&mut self, now: Time, outcome: AttemptOutcome) {
        self.own_load.requests = self.own_load.requests.saturating_sub(1);
        match outcome {
            AttemptOutcome::Answered => self.failure_streak = 0,
            AttemptOutcome::Dropped => {}
            AttemptOutcome::Full => self.backoff_until = self.backoff_until.max(now + FULL_BACKOFF),
            AttemptOutcome::Misdirected => self.misdirected = true,
            AttemptOutcome::Failed => self.record_failure(now),
        }
    }

    fn record_failure(&mut self, now: Time) {
        self.failure_streak += 1;
        if self.failure_streak >= FAILURE_THRESHOLD {
            let doublings = (self.failure_streak - FAILURE_THRESHOLD).min(3);
            self.backoff_until = now + Span(BACKOFF.0 << doublings).min(MAX_BACKOFF);
        }
    }
}
