//! What a gateway knows of one endpoint: its load, its health and what was sent there.

use std::collections::VecDeque;

use super::view::Endpoint;
use crate::{ids::RegionId, time::Time, units::Span};

/// Window of the bound on a cold endpoint.
const SECOND: Span = Span::secs(1);
/// Failures in a row after which an endpoint rests.
const FAILURES: u32 = 2;
/// First rest of an endpoint that fails; each further failure doubles it.
const REST: Span = Span::millis(600);
/// Longest rest, so that an endpoint that is back serves within seconds.
const MAX_REST: Span = Span::millis(4_800);
/// Time after a refusal for want of room in which nothing more is sent there.
const FULL: Span = Span::millis(120);
/// Part of an endpoint's slots that only the gateway that goes first there may fill: the others know
/// what it has sent of late only after a while, and a request too many waits for a slot to end.
const SHARED_PART: u32 = 8;
/// Age at which the load that peers told is forgotten.
const STALE: Span = Span::millis(1_500);

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
    pub count: u32,
    /// The time that reading their prompts takes, for those without a first event yet, in ms.
    pub reading: u32,
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
    pub own: InFlightLoad,
    others: InFlightLoad,
    told: Time,
    sends: VecDeque<Time>,
    failures: u32,
    rest: Time,
    unfit: bool,
    paused: Time,
}

impl EndpointState {
    /// Returns an endpoint to which nothing was sent yet.
    pub fn new(endpoint: Endpoint, region: Option<RegionId>, distance: u32) -> Self {
        Self {
            endpoint,
            region,
            distance,
            primary: false,
            own: InFlightLoad::default(),
            others: InFlightLoad::default(),
            told: Time::default(),
            sends: VecDeque::new(),
            failures: 0,
            rest: Time::default(),
            unfit: false,
            paused: Time::default(),
        }
    }

    /// Takes the published state of the same instance; a changed entry ends a misdirection.
    pub fn refresh(&mut self, endpoint: Endpoint) {
        let restarted = self.endpoint.listed.born != endpoint.listed.born
            || self.endpoint.listed.addr != endpoint.listed.addr;
        if self.endpoint.listed != endpoint.listed {
            self.unfit = false;
        }
        if restarted {
            self.failures = 0;
            self.rest = Time::default();
        }
        self.endpoint = endpoint;
    }

    /// Returns whether the endpoint may be asked now, apart from its load.
    pub fn is_fit(&self, now: Time) -> bool {
        let rests = self.rest > now || self.paused > now;
        !self.unfit && !self.endpoint.listed.leaving && !rests
    }

    /// Takes note that the endpoint takes no new requests until a time.
    pub fn pause(&mut self, until: Time) {
        self.paused = until;
    }

    /// Returns whether the endpoint answered the last requests.
    pub fn is_sound(&self) -> bool {
        self.failures == 0
    }

    /// Returns whether the bound of `most` requests in any second allows one more.
    pub fn is_open(&mut self, now: Time, most: usize) -> bool {
        while self.sends.front().is_some_and(|at| *at + SECOND < now) {
            self.sends.pop_front();
        }
        self.sends.len() < most
    }

    /// Returns the load that all gateways cause, as far as this one knows.
    pub fn load(&self, now: Time) -> InFlightLoad {
        let others = if self.told + STALE > now { self.others } else { InFlightLoad::default() };
        InFlightLoad {
            count: self.own.count + others.count,
            reading: self.own.reading + others.reading,
        }
    }

    /// Returns the requests that may run there where this many gateways send.
    pub fn room(&self, gateways: usize) -> u32 {
        let slots = self.endpoint.listed.slots.max(1);
        let kept = if self.primary || gateways <= 1 { 0 } else { slots / SHARED_PART };
        slots - kept
    }

    /// Takes the load that other gateways cause.
    pub fn tell(&mut self, now: Time, others: InFlightLoad) {
        self.others = others;
        self.told = now;
    }

    /// Takes note of a request that is sent there.
    pub fn send(&mut self, now: Time, reading: u32) {
        self.own.count += 1;
        self.own.reading += reading;
        self.sends.push_back(now);
    }

    /// Takes note that the prompt of a request that was sent there has been read.
    pub fn read(&mut self, reading: u32) {
        self.own.reading = self.own.reading.saturating_sub(reading);
    }

    /// Takes note of the end of a request that was sent there.
    pub fn end(&mut self, now: Time, ended: AttemptOutcome) {
        self.own.count = self.own.count.saturating_sub(1);
        match ended {
            AttemptOutcome::Answered => self.failures = 0,
            AttemptOutcome::Dropped => {}
            AttemptOutcome::Full => self.rest = self.rest.max(now + FULL),
            AttemptOutcome::Misdirected => self.unfit = true,
            AttemptOutcome::Failed => self.fail(now),
        }
    }

    fn fail(&mut self, now: Time) {
        self.failures += 1;
        if self.failures >= FAILURES {
            let doublings = (self.failures - FAILURES).min(3);
            self.rest = now + Span(REST.0 << doublings).min(MAX_REST);
        }
    }
}
