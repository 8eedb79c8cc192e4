//! One request from its arrival to its final answer.

use std::{rc::Rc, time::Duration};

use actix_http::StatusCode;
use actix_rt::time::timeout;
use bytes::Bytes;
use sequoiahold_core::{
    direct::{
        catalog::RetryMode, endpoint_state::AttemptOutcome, platform::Codec,
        scheduler::PlacementRequest,
    },
    refusal::{Reason, Refusal},
    suspect::Fingerprint,
    units::Span,
};

use super::{
    answer::Own,
    attempt::{self, Sent},
    plan::{Plan, plan},
    record::{self, Outcome, Record},
    relay::{Part, Relay},
    seat::{Held, find},
    state::Gateway,
    suspects,
};
use crate::h1::{Answer, Incoming, Upstream, Writer, end_to_end};

/// Time without an answer after which what may be repeated is sent elsewhere, where time is left.
const SILENCE: Duration = Duration::from_millis(450);
/// Time without an event after which a stream goes on elsewhere.
const STREAM_SILENCE: Duration = Duration::from_millis(1_200);
/// Time after which a caller may come back, to another gateway.
const LEAVING_RETRY: Span = Span::millis(50);
/// Time after which a caller may come back whom no endpoint had room for.
const OVERLOAD_RETRY: Span = Span::millis(700);
/// Least time that must be left for another try.
const LEAST_LEFT: Span = Span::millis(60);

/// A request under way.
struct Run<'a, D: Codec> {
    gateway: &'a Rc<Gateway<D>>,
    request: &'a Incoming,
    plan: Plan,
    ask: PlacementRequest,
    sends: u32,
    ran: bool,
    fallback: Option<(Answer, Bytes)>,
    record: Record,
    print: Fingerprint,
}

/// What comes after a send.
enum Next {
    /// The final answer has gone out; whether the connection can be kept.
    Over(bool),
    /// Another endpoint is asked, or the request fails.
    Again,
}

/// Serves a request; returns whether the caller's connection can be kept.
pub(super) async fn serve<D: Codec>(
    gateway: &Rc<Gateway<D>>,
    request: Incoming,
    writer: &mut Writer,
) -> bool {
    if gateway.is_closing() {
        let refusal = Refusal::retry_after(Reason::Leaving, LEAVING_RETRY);
        return own(gateway, &request, writer, Own::Refused(refusal)).await;
    }
    let plan = match plan(gateway, &request) {
        Ok(plan) => plan,
        Err(none) => {
            record::unplanned(gateway, &request, none);
            return own(gateway, &request, writer, none.into()).await;
        }
    };
    gateway.repeats.borrow_mut().record_request(gateway.node.now(), &plan.service);
    let print = suspects::print(&request, plan.account.as_ref());
    let left = plan.left(gateway.node.now());
    let mut run = Run {
        gateway,
        request: &request,
        ask: plan.ask(),
        plan,
        sends: 0,
        ran: false,
        fallback: None,
        record: Record::default(),
        print,
    };
    let last = request.text(gateway.node.codec.header_names().last_event);
    let last = last.and_then(|text| text.trim().parse().ok());
    let mut relay = Relay::new(writer, last, gateway.is_draining());
    let kept = match timeout(left, run.go(&mut relay)).await {
        Ok(kept) => kept,
        Err(_) => run.fail(&mut relay, Own::TimedOut).await,
    };
    run.record.first = relay.first;
    kept
}

impl<D: Codec> Run<'_, D> {
    async fn go(&mut self, relay: &mut Relay<'_>) -> bool {
        loop {
            if self.gateway.suspects.borrow().is_condemned(self.print) {
                let refusal = Refusal::new(Reason::Suspect);
                return self.fail(relay, Own::Refused(refusal)).await;
            }
            let asked = self.gateway.node.now();
            let found = find(self.gateway, self.ask.clone()).await;
            self.record.waited.0 += (self.gateway.node.now() - asked).0;
            let held = match found {
                Ok(held) => held,
                Err(refusal) => return self.fail(relay, Own::Refused(refusal)).await,
            };
            match self.send(relay, held).await {
                Next::Over(kept) => return kept,
                Next::Again if self.may_repeat() => {}
                Next::Again => return self.fail(relay, self.without_answer()).await,
            }
        }
    }

    /// Sends the request to an endpoint.
    async fn send(&mut self, relay: &mut Relay<'_>, mut held: Held<D>) -> Next {
        self.ask.tried.push(held.grant.endpoint);
        self.record.placed(&held.grant);
        self.ask.healthy_only = true;
        let silence = self.silence();
        let last = relay.events.last_id();
        // A time-out may end this future: until an answer proves otherwise, the request has run.
        let before = std::mem::replace(&mut self.ran, true);
        let _running = suspects::enter(self.gateway, &held.grant.instance, self.print);
        let sent =
            attempt::send(self.gateway, &self.plan, self.request, &held.grant, last, silence).await;
        match sent {
            Sent::Answered(answer, upstream) => {
                self.sends += 1;
                let events = self.plan.streaming && answer.status == StatusCode::OK;
                if events {
                    return self.relay(relay, held, answer, upstream).await;
                }
                self.answer(relay, held, answer, upstream).await
            }
            Sent::NotRun { misdirected } => {
                self.ran = before;
                self.sends += 1;
                let (ended, fault) = match misdirected {
                    true => {
                        (AttemptOutcome::Misdirected, "not run: another instance or version there")
                    }
                    false => (AttemptOutcome::Full, "not run: no room there"),
                };
                self.note(&held, fault);
                held.ended = ended;
                Next::Again
            }
            Sent::Unsent(fault) => {
                self.ran = before;
                self.failed(&mut held, &fault, false)
            }
            Sent::Lost { fault, broke } => {
                self.sends += 1;
                self.failed(&mut held, &fault, broke)
            }
        }
    }

    /// Passes a stream on.
    async fn relay(
        &mut self,
        relay: &mut Relay<'_>,
        mut held: Held<D>,
        answer: Answer,
        mut upstream: Box<Upstream>,
    ) -> Next {
        let part = relay.pass(&answer, &mut upstream, self.silence(), || held.read()).await;
        match part {
            Part::Done => {
                self.record.outcome = Outcome::Answered(answer.status.as_u16());
                held.ended = AttemptOutcome::Answered;
                self.gateway.suspects.borrow_mut().clear(self.print);
                self.gateway.pool.put(*upstream);
                Next::Over(relay.writer().keeps())
            }
            Part::CallerGone => Next::Over(false),
            Part::Broken { fault, broke } => self.failed(&mut held, &fault, broke),
        }
    }

    /// Passes an answer on that is no stream.
    async fn answer(
        &mut self,
        relay: &mut Relay<'_>,
        mut held: Held<D>,
        answer: Answer,
        upstream: Box<Upstream>,
    ) -> Next {
        let body = match attempt::body(self.gateway, *upstream).await {
            Ok(body) => body,
            Err(error) => return self.failed(&mut held, &error.to_string(), false),
        };
        held.ended = AttemptOutcome::Answered;
        drop(held);
        if relay.begun {
            return Next::Again;
        }
        let failed = answer.status.is_server_error();
        if failed && self.plan.repeat != RetryMode::AtMostOnce && self.may_repeat() {
            self.fallback = Some((answer, body));
            return Next::Again;
        }
        Next::Over(self.write(relay, &answer, &body).await)
    }

    async fn write(&mut self, relay: &mut Relay<'_>, answer: &Answer, body: &Bytes) -> bool {
        self.record.outcome = Outcome::Answered(answer.status.as_u16());
        let close = self.gateway.is_draining();
        let headers = end_to_end(&answer.headers);
        let writer = relay.writer();
        match writer.answer(answer.status, headers, body, close).await {
            Ok(()) => !close && writer.keeps(),
            Err(_) => false,
        }
    }

    /// Returns the answer where the last endpoint gave none and no other may be asked.
    fn without_answer(&self) -> Own {
        if self.gateway.node.now() >= self.plan.deadline {
            return Own::TimedOut;
        }
        Own::Refused(Refusal::retry_after(Reason::Overload, OVERLOAD_RETRY))
    }

    /// Gives the final answer where no endpoint's answer can be passed on.
    async fn fail(&mut self, relay: &mut Relay<'_>, own_answer: Own) -> bool {
        if relay.begun {
            // Another head within the answer that has begun would be no answer at all.
            self.record.outcome = Outcome::Cut;
            return false;
        }
        if let Some((answer, body)) = self.fallback.take() {
            return self.write(relay, &answer, &body).await;
        }
        let answer = match own_answer {
            Own::Refused(_) if self.ran => Own::Unknown,
            Own::TimedOut if !self.ran => Own::Refused(Refusal::new(Reason::Deadline)),
            other => other,
        };
        self.record.outcome = Outcome::Own(answer);
        own(self.gateway, self.request, relay.writer(), answer).await
    }

    /// Returns whether the request may be sent once more, and takes the right to it.
    fn may_repeat(&mut self) -> bool {
        let now = self.gateway.node.now();
        let allowed = self.sends < self.plan.attempts
            && !(self.ran && self.plan.repeat == RetryMode::AtMostOnce)
            && now + LEAST_LEFT < self.plan.deadline;
        if !allowed {
            return false;
        }
        if self.sends == 0 {
            return true;
        }
        let gateways = self.gateway.gateways();
        self.gateway.repeats.borrow_mut().try_spend(now, &self.plan.service, gateways)
    }

    /// Returns how long an endpoint may stay silent.
    fn silence(&self) -> Duration {
        let left = self.plan.left(self.gateway.node.now());
        let last =
            self.sends + 1 >= self.plan.attempts || self.plan.repeat == RetryMode::AtMostOnce;
        match self.plan.streaming {
            _ if last => left,
            true => STREAM_SILENCE.min(left),
            false => SILENCE.min(left),
        }
    }

    /// Takes note that the endpoint gave no sound answer, and crashed if the connection `broke`.
    fn failed(&self, held: &mut Held<D>, fault: &str, broke: bool) -> Next {
        self.note(held, fault);
        if broke {
            suspects::crashed(self.gateway, &held.grant.instance);
        }
        held.ended = AttemptOutcome::Failed;
        Next::Again
    }

    fn note(&self, held: &Held<D>, fault: &str) {
        let id = self.request.text(self.gateway.node.codec.header_names().attempt).unwrap_or("");
        let instance = held.grant.instance.to_string();
        let took = self.took();
        log::info!(
            target: "request",
            id, instance = instance.as_str(), sends = self.sends, took_ms = took, fault;
            "endpoint failed"
        );
    }

    fn took(&self) -> u64 {
        (self.gateway.node.now() - self.plan.arrived).0 / 1_000
    }
}

impl<D: Codec> Drop for Run<'_, D> {
    /// Writes the one line that every planned request leaves, also where its caller left.
    fn drop(&mut self) {
        let id = self.request.text(self.gateway.node.codec.header_names().attempt).unwrap_or("");
        let metrics = &self.gateway.metrics;
        self.record.write(metrics, id, &self.plan, self.sends, self.took());
    }
}

/// Gives an answer of the gateway itself.
async fn own<D: Codec>(
    gateway: &Gateway<D>,
    request: &Incoming,
    writer: &mut Writer,
    answer: Own,
) -> bool {
    let name = gateway.node.codec.header_names().attempt;
    let id = request.text(name);
    answer.write(writer, id.map(|id| (name, id)), gateway.is_draining()).await
}
