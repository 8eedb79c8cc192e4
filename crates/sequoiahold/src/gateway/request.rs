//! Handling of a request from its arrival to the final response, including retries.

use std::{rc::Rc, time::Duration};

use actix_http::StatusCode;
use actix_rt::time::timeout;
use bytes::Bytes;
use sequoiahold_core::{
    direct::{
        availability::Cause,
        catalog::RetryMode,
        endpoint_state::AttemptOutcome,
        memory_budget::Phase,
        platform::Codec,
        scheduler::{Grant, PlacementRequest},
    },
    ids::ConnectionId,
    refusal::{Reason, Refusal},
    suspect::Fingerprint,
    time::Time,
    units::Span,
};

use super::{
    answer::LocalReply,
    attempt::{self, Attempt, SendOutcome},
    charge::RetryCharge,
    memory::{AnswerMemory, Hold},
    notices, parts,
    plan::{Plan, plan_request},
    record::{self, Outcome, RequestRecord},
    relay::{Relay, RelayOutcome},
    slot::{SlotGuard, acquire},
    state::Gateway,
    suspects,
};
use crate::h1::{
    IncomingRequest, ResponseWriter, Upstream, UpstreamError, UpstreamResponse, end_to_end_headers,
};

/// Time without a response after which a request that may be retried is sent to another endpoint.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(450);
/// Time without data after which a resumable stream continues at another endpoint.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Retry delay given to callers of a gateway that is shutting down; the retry reaches another one.
const LEAVING_RETRY_DELAY: Span = Span::millis(50);
/// Retry delay given to callers whose request no endpoint accepted.
const OVERLOAD_RETRY_DELAY: Span = Span::millis(700);
/// Minimum time left until the deadline for another attempt.
const MIN_RETRY_TIME: Span = Span::millis(60);
/// Maximum age of the first event at a crash that the request may have caused.
const MAX_CRASH_DELAY: Duration = Duration::from_secs(1);

/// Reply to a request that is suspected of crashing endpoints.
const SUSPECT_REPLY: LocalReply =
    LocalReply::Refused(Refusal { reason: Reason::Suspect, retry: None });

/// An active request.
struct RequestTask<'a, C: Codec> {
    gateway: &'a Rc<Gateway<C>>,
    hold: &'a Hold<C>,
    request: &'a IncomingRequest,
    plan: Plan,
    placement: PlacementRequest,
    /// Number of attempts in which any byte may have been sent.
    sends: u32,
    /// Number of attempts in which an endpoint may have run the request.
    maybe_runs: u32,
    /// The charge for the attempts after the first.
    charge: RetryCharge<'a, C>,
    /// The last server error, which is passed on if no further attempt gets a response.
    fallback: Option<(UpstreamResponse, Bytes)>,
    record: RequestRecord,
    fingerprint: Fingerprint,
    /// Whether a further attempt may follow, as no part of the prompt is near its limit.
    may_repeat: bool,
    /// Time at which the current attempt began.
    sent_at: Time,
    /// The connections over which it was sent.
    connections: Vec<ConnectionId>,
}

/// What to do after an attempt.
enum NextStep {
    /// The final response was written; whether the caller's connection can be reused.
    Done(bool),
    /// The response of the endpoint is the final one.
    Respond(UpstreamResponse, Bytes),
    /// The request ends with a local reply or a fallback.
    Fail(LocalReply),
    /// Another attempt is made if it is allowed; otherwise the request fails.
    Retry,
    /// The request is placed again, as the attempt was not made.
    Replace,
}

/// Serves a request; returns whether the caller's connection can be reused.
pub(super) async fn serve<C: Codec>(
    gateway: &Rc<Gateway<C>>,
    request: IncomingRequest,
    writer: &mut ResponseWriter,
    hold: &Hold<C>,
) -> bool {
    if gateway.is_closing() {
        let refusal = Refusal::retry_after(Reason::Leaving, LEAVING_RETRY_DELAY);
        return respond(gateway, &request, writer, LocalReply::Refused(refusal)).await;
    }
    let plan = match plan_request(gateway, &request) {
        Ok(plan) => plan,
        Err(error) => {
            record::log_rejected(gateway, &request, error);
            return respond(gateway, &request, writer, error.into()).await;
        }
    };
    gateway.retry_budget.borrow_mut().record_request(gateway.node.now(), &plan.service);
    let fingerprint = suspects::fingerprint(&request, plan.account.as_ref());
    let mut task = RequestTask {
        gateway,
        hold,
        request: &request,
        placement: plan.placement_request(),
        charge: RetryCharge::new(gateway, plan.service.clone()),
        plan,
        sends: 0,
        maybe_runs: 0,
        fallback: None,
        record: RequestRecord::default(),
        fingerprint,
        may_repeat: true,
        sent_at: Time::default(),
        connections: vec![],
    };
    let last_event = request.header_text(gateway.node.codec.header_names().last_event);
    let last_event = last_event.and_then(|text| text.trim().parse().ok());
    let mut relay = Relay::new(writer, last_event, gateway.is_draining());
    let keep_alive = task.run(&mut relay).await;
    task.record.first_event = relay.first_event;
    keep_alive
}

impl<C: Codec> RequestTask<'_, C> {
    /// Makes attempts until a final response is written; returns whether the caller's connection
    /// can be reused.
    ///
    /// The deadline does not cut off a complete response while it is written.
    async fn run(&mut self, relay: &mut Relay<'_>) -> bool {
        loop {
            let time_left = self.plan.time_left(self.gateway.node.now());
            let step = timeout(time_left, self.make_attempt(relay)).await;
            match step.unwrap_or(NextStep::Fail(LocalReply::TimedOut)) {
                NextStep::Done(keep_alive) => return keep_alive,
                NextStep::Respond(response, body) => {
                    return self.write_response(relay, &response, &body).await;
                }
                NextStep::Fail(reply) => return self.fail(relay, reply).await,
                NextStep::Replace => {}
                NextStep::Retry if self.try_retry() => {}
                NextStep::Retry => return self.fail(relay, self.exhausted_reply()).await,
            }
        }
    }

    /// Waits for a slot and makes one attempt.
    async fn make_attempt(&mut self, relay: &mut Relay<'_>) -> NextStep {
        if self.is_blocked() {
            return NextStep::Fail(SUSPECT_REPLY);
        }
        let queued_at = self.gateway.node.now();
        let acquired = acquire(self.gateway, self.placement.clone()).await;
        self.record.waited.0 += (self.gateway.node.now() - queued_at).0;
        let slot = match acquired {
            Ok(slot) => slot,
            Err(refusal) => {
                let (id, service) = (self.attempt_id(), &self.plan.service);
                notices::log_causes(self.gateway, id, service, refusal.reason);
                return NextStep::Fail(LocalReply::Refused(refusal));
            }
        };
        // The request may have been blocked while it waited.
        if self.is_blocked() {
            drop(slot);
            return NextStep::Fail(SUSPECT_REPLY);
        }
        self.send(relay, slot).await
    }

    /// Returns whether the request or a part of its prompt is blocked, and logs the part.
    fn is_blocked(&self) -> bool {
        let part = parts::blocked_part(self.gateway, &self.plan);
        if let Some(part) = part {
            let (id, part) = (self.attempt_id(), part.to_string());
            log::info!(target: "request", id, part = part.as_str(); "refused for a prompt part");
        }
        part.is_some() || self.gateway.suspects.borrow().is_blocked(self.fingerprint)
    }

    /// Makes one attempt at the endpoint of the slot and forwards the response.
    async fn send(&mut self, relay: &mut Relay<'_>, mut slot: SlotGuard<C>) -> NextStep {
        self.placement.tried.push(slot.grant.endpoint);
        self.record.add_grant(self.gateway.node.now(), &slot.grant);
        if slot.grant.first_use {
            record::log_first_use(self.attempt_id(), &slot.grant);
        }
        self.placement.healthy_only = true;
        self.sent_at = self.gateway.node.now();
        // The deadline may drop this future at any await: until a response proves otherwise, the
        // request counts as run.
        self.maybe_runs += 1;
        let _in_flight =
            suspects::track_in_flight(self.gateway, &slot.grant.instance, self.fingerprint);
        let outcome = self.send_to(&slot.grant, relay.events.last_id()).await;
        match outcome {
            SendOutcome::Responded(response, upstream) => {
                self.sends += 1;
                parts::record_answer(self.gateway, &slot.grant.instance, self.sent_at);
                let is_stream = self.plan.streaming && response.status == StatusCode::OK;
                if is_stream {
                    return self.forward_stream(relay, slot, response, upstream).await;
                }
                self.forward_response(relay, slot, response, upstream).await
            }
            SendOutcome::NotRun { misdirected } => {
                self.maybe_runs -= 1;
                self.sends += 1;
                let (outcome, error) = match misdirected {
                    true => (AttemptOutcome::Misdirected, "not run: instance or version mismatch"),
                    false => (AttemptOutcome::Full, "not run: endpoint at its limit"),
                };
                self.log_failure(&slot, error);
                slot.outcome = outcome;
                NextStep::Retry
            }
            SendOutcome::NotSent(error) => {
                self.maybe_runs -= 1;
                self.fail_attempt(&mut slot, &error, false)
            }
            SendOutcome::Withheld(cause, end) => {
                self.maybe_runs -= 1;
                self.log_withheld(&slot, cause, end);
                NextStep::Replace
            }
            SendOutcome::Indeterminate { error, disconnected } => {
                self.sends += 1;
                self.accuse_parts(&slot, disconnected);
                self.fail_attempt(&mut slot, &error, disconnected)
            }
        }
    }

    /// Sends the request to the endpoint of a grant, which settles the charge of the attempt.
    async fn send_to(&mut self, grant: &Grant, last_event: Option<u64>) -> SendOutcome {
        let (plan, request, timeout) = (&self.plan, self.request, self.attempt_timeout());
        self.charge.begin_attempt();
        let attempt = Attempt { plan, request, grant, last_event, timeout };
        let outcome = attempt::send(self.gateway, attempt, &mut self.connections).await;
        self.charge.end_attempt(&outcome);
        outcome
    }

    /// Returns the memory for an answer, beside one that is kept.
    fn answer_memory(&self) -> AnswerMemory<'_, C> {
        let kept = self.fallback.as_ref().map_or(0, |(_, body)| body.len());
        AnswerMemory(self.hold, kept)
    }

    /// Relays a stream to the caller.
    async fn forward_stream(
        &mut self,
        relay: &mut Relay<'_>,
        mut slot: SlotGuard<C>,
        response: UpstreamResponse,
        mut upstream: Box<Upstream>,
    ) -> NextStep {
        let outcome = relay
            .forward(&response, &mut upstream, self.attempt_timeout(), || slot.finish_prefill())
            .await;
        match outcome {
            RelayOutcome::Completed => {
                self.record.outcome = Outcome::Answered(response.status.as_u16());
                slot.outcome = AttemptOutcome::Answered;
                parts::record_answer(self.gateway, &slot.grant.instance, self.sent_at);
                self.gateway.suspects.borrow_mut().clear(self.fingerprint);
                if !upstream.ends_with_connection() || !relay.is_recent(MAX_CRASH_DELAY) {
                    parts::complete(self.gateway, &self.plan);
                }
                self.gateway.pool.release(*upstream);
                NextStep::Done(relay.writer().keep_alive())
            }
            RelayOutcome::CallerDisconnected => NextStep::Done(false),
            RelayOutcome::Broken { error, disconnected } => {
                self.accuse_parts(&slot, disconnected && relay.is_recent(MAX_CRASH_DELAY));
                let step = self.fail_attempt(&mut slot, &error, disconnected);
                if relay.events.can_resume() {
                    return step;
                }
                log::info!(target: "request", id = self.attempt_id(); "stream cannot be resumed");
                NextStep::Fail(LocalReply::Unknown)
            }
        }
    }

    /// Forwards a response that is not a stream, or keeps a server error as fallback for a retry.
    async fn forward_response(
        &mut self,
        relay: &mut Relay<'_>,
        mut slot: SlotGuard<C>,
        response: UpstreamResponse,
        upstream: Box<Upstream>,
    ) -> NextStep {
        let is_complete = response.status.is_success() && !upstream.ends_with_connection();
        let read = attempt::read_body(self.gateway, *upstream, &self.answer_memory()).await;
        let body = match read {
            Ok(body) => body,
            Err(error @ UpstreamError::NoMemory) => {
                self.log_failure(&slot, &error.to_string());
                slot.outcome = AttemptOutcome::Answered;
                return NextStep::Fail(LocalReply::Unknown);
            }
            Err(error) => {
                self.accuse_parts(&slot, error.is_disconnect());
                return self.fail_attempt(&mut slot, &error.to_string(), false);
            }
        };
        if is_complete {
            parts::complete(self.gateway, &self.plan);
        }
        slot.outcome = AttemptOutcome::Answered;
        drop(slot);
        if relay.started {
            return NextStep::Retry;
        }
        let failed = response.status.is_server_error();
        if failed && self.plan.retry_mode != RetryMode::AtMostOnce && self.try_retry() {
            self.fallback = Some((response, body));
            return NextStep::Retry;
        }
        NextStep::Respond(response, body)
    }

    async fn write_response(
        &mut self,
        relay: &mut Relay<'_>,
        response: &UpstreamResponse,
        body: &Bytes,
    ) -> bool {
        // The endpoint speaks for its own attempt only.
        if promises_not_run(response.status) && self.maybe_runs > 1 {
            return self.reply(relay, LocalReply::Unknown).await;
        }
        self.record.outcome = Outcome::Answered(response.status.as_u16());
        let close = self.gateway.is_draining();
        let headers = end_to_end_headers(&response.headers);
        self.hold.set_phase(Phase::Answering);
        let writer = relay.writer();
        match writer.write_response(response.status, headers, body, close).await {
            Ok(()) => !close && writer.keep_alive(),
            Err(_) => false,
        }
    }

    /// Returns the local reply after a failed attempt that may not be retried.
    fn exhausted_reply(&self) -> LocalReply {
        if self.gateway.node.now() >= self.plan.deadline {
            return LocalReply::TimedOut;
        }
        LocalReply::Refused(Refusal::retry_after(Reason::Overload, OVERLOAD_RETRY_DELAY))
    }

    /// Ends the request without a response from the current attempt; returns whether the caller's
    /// connection can be reused.
    ///
    /// A fallback takes precedence over `reply`, and a response that has started is aborted.
    async fn fail(&mut self, relay: &mut Relay<'_>, reply: LocalReply) -> bool {
        if relay.started {
            // A second response head within a started response would be malformed.
            self.record.outcome = Outcome::Truncated;
            return false;
        }
        if let Some((response, body)) = self.fallback.take() {
            return self.write_response(relay, &response, &body).await;
        }
        let reply = match reply {
            LocalReply::Refused(_) if self.maybe_runs > 0 => LocalReply::Unknown,
            LocalReply::TimedOut if self.maybe_runs == 0 => {
                LocalReply::Refused(Refusal::new(Reason::Deadline))
            }
            other => other,
        };
        self.reply(relay, reply).await
    }

    /// Writes a local reply; returns whether the caller's connection can be reused.
    async fn reply(&mut self, relay: &mut Relay<'_>, reply: LocalReply) -> bool {
        self.record.outcome = Outcome::Local(reply);
        respond(self.gateway, self.request, relay.writer(), reply).await
    }

    /// Returns whether another attempt is allowed, and charges it to the retry budget unless none
    /// was sent before.
    fn try_retry(&mut self) -> bool {
        let allowed = self.may_repeat
            && self.sends < self.plan.max_attempts
            && !(self.maybe_runs > 0 && self.plan.retry_mode == RetryMode::AtMostOnce)
            && self.gateway.node.now() + MIN_RETRY_TIME < self.plan.deadline;
        let id = self.request.header_text(self.gateway.node.codec.header_names().attempt);
        allowed && (self.sends == 0 || self.charge.try_open(id.unwrap_or("")))
    }

    /// Returns how long an endpoint may take to respond, or pause within a stream.
    ///
    /// The last allowed attempt has until the deadline.
    fn attempt_timeout(&self) -> Duration {
        let time_left = self.plan.time_left(self.gateway.node.now());
        let final_attempt = self.sends + 1 >= self.plan.max_attempts
            || self.plan.retry_mode == RetryMode::AtMostOnce;
        match self.plan.streaming {
            _ if final_attempt => time_left,
            true => STREAM_IDLE_TIMEOUT.min(time_left),
            false => RESPONSE_TIMEOUT.min(time_left),
        }
    }

    /// Accuses the parts of the prompt if the endpoint may have crashed by the request, which then
    /// is sent to no other one if a part is near its limit.
    fn accuse_parts(&mut self, slot: &SlotGuard<C>, crashed: bool) {
        if crashed {
            parts::accuse(self.gateway, &self.plan, &slot.grant.instance);
            self.may_repeat &= parts::allows_retry(self.gateway, &self.plan);
        }
    }

    /// Records that the endpoint gave no valid response, and that it crashed if `disconnected`.
    fn fail_attempt(&self, slot: &mut SlotGuard<C>, error: &str, disconnected: bool) -> NextStep {
        self.log_failure(slot, error);
        if disconnected {
            suspects::report_crash(self.gateway, &slot.grant.instance);
        }
        slot.outcome = AttemptOutcome::Failed;
        NextStep::Retry
    }

    /// Logs a failed attempt.
    fn log_failure(&self, slot: &SlotGuard<C>, fault: &str) {
        let id = self.attempt_id();
        let instance = slot.grant.instance.to_string();
        let (took_ms, parts) = (self.elapsed_ms(), self.plan.parts_text());
        log::info!(
            target: "request",
            id, instance = instance.as_str(), parts = parts.as_str(), sends = self.sends, took_ms = took_ms, fault;
            "endpoint failed"
        );
    }

    /// Logs an attempt that was not made.
    fn log_withheld(&self, slot: &SlotGuard<C>, cause: Cause, end: Option<Time>) {
        let (id, instance) = (self.attempt_id(), slot.grant.instance.as_str());
        let cause = notices::cause_text(self.gateway.node.now(), instance, cause, end);
        log::info!(target: "request", id, instance, cause = cause.as_str(); "not sent");
    }

    fn attempt_id(&self) -> &str {
        self.request.header_text(self.gateway.node.codec.header_names().attempt).unwrap_or("")
    }

    fn elapsed_ms(&self) -> u64 {
        (self.gateway.node.now() - self.plan.arrived).0 / 1_000
    }
}

impl<C: Codec> Drop for RequestTask<'_, C> {
    /// Writes the log line of the request, also if the task is dropped as the caller disconnects.
    fn drop(&mut self) {
        let id = self.attempt_id();
        let metrics = &self.gateway.metrics;
        self.record.emit(metrics, id, &self.plan, self.sends, self.elapsed_ms());
    }
}

/// Returns whether a status tells callers that the request has not run and never will.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Writes a local reply; returns whether the caller's connection can be reused.
async fn respond<C: Codec>(
    gateway: &Gateway<C>,
    request: &IncomingRequest,
    writer: &mut ResponseWriter,
    reply: LocalReply,
) -> bool {
    let name = gateway.node.codec.header_names().attempt;
    let id = request.header_text(name);
    reply.write(writer, id.map(|id| (name, id)), gateway.is_draining()).await
}
