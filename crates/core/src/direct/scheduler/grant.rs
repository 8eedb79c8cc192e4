//! Slots granted at endpoints, and the versions of the weights that they are bound to.

use std::net::SocketAddr;

use super::{EndpointKey, PlacementRequest, Scheduler};
use crate::{
    direct::{endpoint_notices::Start, endpoint_state::EndpointState, load_reports::LoadReports},
    ids::{ClientId, InstanceId, ModelId, ServiceId, ZoneId},
    time::Time,
    units::Span,
};

/// A slot at an endpoint, held until [`Scheduler::release`].
#[derive(Clone, Debug)]
pub struct Grant {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The instance that must run the request.
    pub instance: InstanceId,
    /// Its address.
    pub addr: SocketAddr,
    /// Its start in ms of the wall clock, if it is published.
    pub started_ms: Option<u64>,
    /// The only version of the weights that may be used, `None` for any.
    pub version: Option<u64>,
    /// The version of the requested model that the endpoint holds, as reported or published.
    pub loaded: Option<u64>,
    /// Whether this is the first request here since the endpoint started or held another version.
    pub first_use: bool,
    /// When a newer version was announced, `None` while there is none or if the time is unknown.
    pub replaced_at: Option<Time>,
    /// The requested model.
    pub model: Option<ModelId>,
    /// When the slot was granted.
    pub granted_at: Time,
    /// Estimated prefill time of the prompt in ms; 0 once prefill is over.
    pub prefill_ms: u32,
    /// Estimated time to the first event in ms; 0 where the service declares no engine.
    pub first_ms: u32,
    /// The client account.
    pub account: Option<ClientId>,
    /// The service.
    pub service: ServiceId,
}

impl Scheduler {
    /// Reserves a slot at an endpoint for a request with these estimated times, in ms, of its prefill
    /// and to its first event.
    pub(super) fn reserve(
        &mut self,
        now: Time,
        request: &PlacementRequest,
        key: EndpointKey,
        min_version: Option<u64>,
        (prefill_ms, first_ms): (u32, u32),
    ) -> Grant {
        let state = &mut self.endpoints[key];
        state.record_send(now, prefill_ms);
        let model = state.model_for(request.model.as_ref());
        let loaded = model.and_then(|model| state.usable_version(&model));
        let any_version = min_version.map(|min| loaded.unwrap_or(min));
        let version = if state.needs_proof() { loaded } else { any_version };
        let first_use = loaded.is_some_and(|loaded| state.record_use(loaded));
        let entry = &state.endpoint.entry;
        let targets = request.model.as_ref().and_then(|model| self.targets.get(model));
        let replaced_at = targets.zip(loaded);
        let replaced_at =
            replaced_at.and_then(|(targets, loaded)| targets.replaced_for(loaded, Span(0)));
        let grant = Grant {
            endpoint: key,
            instance: entry.instance.clone(),
            addr: entry.addr,
            started_ms: entry.started_ms,
            version,
            loaded,
            first_use,
            replaced_at,
            model: request.model.clone(),
            granted_at: now,
            prefill_ms,
            first_ms,
            account: request.account.clone(),
            service: request.service.clone(),
        };
        let queue = self.queues.entry(request.service.clone()).or_default();
        queue.waiting.record_start(&request.account);
        if request.tried.is_empty() {
            queue.admission.record_placed(now, request.urgency(now));
        }
        grant
    }

    /// Applies what is known of the loads of engines; follows each [`Scheduler::update`].
    pub fn apply_loads(&mut self, loads: &mut LoadReports) {
        for state in self.endpoints.values_mut() {
            state.apply_loads(loads);
        }
    }

    /// Returns whether peers may know more of the loads: an endpoint holds a version that is not known
    /// to be loaded intact, or rejected the one that is.
    pub fn lacks_reports(&self, now: Time) -> bool {
        let mut states = self.endpoints.values();
        states.any(|state| state.is_unproved() || state.is_misdirected(now))
    }

    /// Returns the published starts and the zones of the endpoints that hold a version of whose load
    /// nothing is known.
    pub fn unknown_loads(&self) -> impl Iterator<Item = (Start, &ZoneId)> {
        let unknown = self.endpoints.values().filter(|state| state.awaits_report());
        unknown.map(|state| (state.published_start(), &state.endpoint.entry.zone))
    }

    /// Returns whether the version that a request is placed on may no longer be used at its endpoint.
    pub(super) fn is_outdated(&self, grant: &Grant) -> bool {
        let state = self.endpoints.get(grant.endpoint);
        state.is_some_and(EndpointState::needs_proof) && self.is_replaced(grant)
    }

    /// Returns whether the endpoint of a request holds another version, as far as known, than when the
    /// request was placed.
    pub(super) fn is_replaced(&self, grant: &Grant) -> bool {
        let Some(state) = self.endpoints.get(grant.endpoint) else { return false };
        let model = state.model_for(grant.model.as_ref());
        model.and_then(|model| state.usable_version(&model)) != grant.loaded
    }
}
