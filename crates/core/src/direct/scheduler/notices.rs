//! What endpoints say of themselves, applied to their state.

use super::{Grant, PlacementRequest, Scheduler, rate_limits::Outlook};
use crate::{
    direct::{
        availability::Cause,
        endpoint_notices::{EndpointNotices, LeavingReport, Start},
        endpoint_state::EndpointState,
        placement::max_retry_delay,
        wait_queue::TicketKey,
    },
    ids::{InstanceId, ServiceId},
    refusal::{Reason, Refusal},
    time::Time,
    units::Span,
};

/// Span over which gateways begin to return to an endpoint after its pause.
const RETURN_SPREAD: Span = Span::millis(300);
/// Span over which refused callers return after the end of a pause, that in which the gateways
/// return as well.
const CALLER_SPREAD: Span = Span::secs(1);
/// Longest delay before the spread: an endpoint may be added before a long pause ends.
const MAX_PAUSE_DELAY: Span = Span::secs(10);
/// Number of different delays of callers that are refused one after the other.
const CALLER_STEPS: u64 = 8;

impl Grant {
    /// Returns the start of the instance that the request is placed at.
    pub fn start(&self) -> Start {
        Start { addr: self.addr, started_ms: self.started_ms }
    }
}

impl Scheduler {
    /// Records that the engine of an endpoint loads weights until the given time.
    pub fn set_loading(&mut self, instance: &InstanceId, until: Time) {
        if let Some(key) = self.by_instance.get(instance) {
            self.endpoints[*key].set_loading(until);
        }
    }

    /// Records that the endpoint of a grant asked for a pause; returns whether it ends later than
    /// known.
    pub fn record_pause(&mut self, now: Time, grant: &Grant, pause: Span) -> bool {
        let (instance, start) = (&grant.instance, grant.start());
        let extended = self.notices.record_pause(now, instance, start, now + pause);
        self.apply_notice(&grant.instance);
        extended
    }

    /// Returns why a request that was placed must not be sent any more, with the end, `None` if it
    /// may be sent.
    pub fn withheld(&self, now: Time, grant: &Grant) -> Option<(Cause, Option<Time>)> {
        let (instance, start) = (&grant.instance, grant.start());
        if let Some(end) = self
            .notices
            .leaving_until(instance, &start)
            .filter(|end| end.is_none_or(|end| end > now))
        {
            return Some((Cause::Leaving, end));
        }
        let until = self.notices.paused_until(instance, &start);
        let paused = until.filter(|until| *until > now).map(|until| (Cause::Pause, Some(until)));
        paused.or_else(|| self.is_outdated(grant).then_some((Cause::Unproved, None)))
    }

    /// Returns the instances whose pause has ended since the last call.
    pub fn take_ended_pauses(&mut self, now: Time) -> Vec<InstanceId> {
        self.notices.take_ended_pauses(now)
    }

    /// Records whether the answer to a request, sent at `sent`, said that its endpoint leaves; returns
    /// the report for other gateways if that is a change.
    pub fn record_leaving(
        &mut self,
        now: Time,
        sent: Time,
        grant: &Grant,
        leaving: bool,
    ) -> Option<LeavingReport> {
        let (instance, start) = (grant.instance.clone(), grant.start());
        if !self.notices.record_leaving(now, sent, &instance, start, leaving) {
            return None;
        }
        self.apply_notice(&instance);
        let age = if leaving { Span(0) } else { now - sent };
        Some(LeavingReport { instance, start, leaving, age, repeated: Span(0) })
    }

    /// Merges the reports that another gateway sent at `sent`, and returns those that are a change.
    pub fn merge_leaving(
        &mut self,
        now: Time,
        sent: Time,
        mut reports: Vec<LeavingReport>,
    ) -> Vec<LeavingReport> {
        reports.retain(|report| {
            let changed = self.notices.merge_leaving(now, sent, report);
            self.apply_notice(&report.instance);
            changed
        });
        reports
    }

    /// Returns what this gateway heard of endpoints that leave, for other gateways.
    pub fn leaving_reports(&self, now: Time) -> Vec<LeavingReport> {
        self.notices.leaving_reports(now, |instance| self.by_instance.contains_key(instance))
    }

    /// Returns the causes for which endpoints of a service get no requests, with their ends where
    /// known.
    pub fn causes(
        &self,
        now: Time,
        service: &ServiceId,
    ) -> impl Iterator<Item = (&InstanceId, Cause, Option<Time>)> {
        let states = self.endpoints.values();
        let of_service = states.filter(move |state| state.endpoint.entry.service == *service);
        of_service.flat_map(move |state| {
            let causes = state.causes(now, self.gateways);
            causes.map(|(cause, end)| (&state.endpoint.entry.instance, cause, end))
        })
    }

    /// Returns the number of endpoints that get no requests, by cause.
    pub fn unavailable_endpoints(&self, now: Time) -> [(Cause, usize); Cause::ALL.len()] {
        let mut counts = Cause::ALL.map(|cause| (cause, 0));
        let states = self.endpoints.values();
        for (cause, _) in states.flat_map(|state| state.causes(now, self.gateways)) {
            counts[cause as usize].1 += 1;
        }
        counts
    }

    /// Returns the number of endpoints whose pace limits their requests in progress.
    pub fn paced_endpoints(&self) -> usize {
        let is_paced = |state: &&EndpointState| self.config.pace && state.pace.limit().is_some();
        self.endpoints.values().filter(is_paced).count()
    }

    /// Returns whether an endpoint of a service leaves, pauses or loads, so that
    /// [`Scheduler::known_refusal`] may apply to its queued requests.
    pub(super) fn may_refuse_queued(&self, now: Time, service: &ServiceId) -> bool {
        let is_out = |state: &EndpointState| state.known_end() > now || state.is_leaving(now);
        let mut states = self.endpoints.values();
        states.any(|state| state.endpoint.entry.service == *service && is_out(state))
    }

    /// Returns the refusal of a queued request that no endpoint will take before it expires.
    pub(super) fn known_refusal(
        &mut self,
        now: Time,
        request: &PlacementRequest,
        ticket: TicketKey,
    ) -> Option<Refusal> {
        let until = self.queues.get(&request.service)?.waiting.expiry(ticket)?;
        match self.outlook(now, request, until) {
            Outlook::Unavailable(end) => Some(self.unavailable_refusal(now, request, end)),
            Outlook::NoEndpoint => {
                let delay = max_retry_delay(now, request);
                Some(Refusal::retry_after(Reason::NoEndpoint, delay))
            }
            _ => None,
        }
    }

    /// Returns the refusal of a request whose endpoints all pause or load until `end` or longer.
    ///
    /// Callers that are refused one after the other are told different times.
    pub(super) fn unavailable_refusal(
        &mut self,
        now: Time,
        request: &PlacementRequest,
        end: Time,
    ) -> Refusal {
        let queue = self.queues.entry(request.service.clone()).or_default();
        queue.refused += 1;
        let spread = CALLER_SPREAD.0 * (queue.refused % CALLER_STEPS) / CALLER_STEPS;
        let delay = Span((end - now).min(MAX_PAUSE_DELAY).0 + spread);
        Refusal::retry_after(Reason::NoEndpoint, delay)
    }

    /// Applies what is known of all endpoints.
    pub(super) fn apply_notices(&mut self) {
        let (salt, notices) = (self.cells.salt(), &self.notices);
        for instance in notices.instances() {
            if let Some(key) = self.by_instance.get(instance) {
                apply(&mut self.endpoints[*key], notices, salt);
            }
        }
    }

    fn apply_notice(&mut self, instance: &InstanceId) {
        if let Some(key) = self.by_instance.get(instance) {
            apply(&mut self.endpoints[*key], &self.notices, self.cells.salt());
        }
    }
}

/// Applies what is known of an endpoint to its state.
///
/// Gateways return after a pause at different times, which `salt` determines.
fn apply(state: &mut EndpointState, notices: &EndpointNotices, salt: u32) {
    let (entry, start) = (&state.endpoint.entry, Start::of(&state.endpoint.entry));
    let paused_until = notices.paused_until(&entry.instance, &start);
    let leaving_until = notices.leaving_until(&entry.instance, &start);
    let delay = Span(u64::from(salt ^ state.hash) % RETURN_SPREAD.0);
    state.set_pause(paused_until.map(|until| until + delay));
    state.set_leaving(leaving_until);
}
