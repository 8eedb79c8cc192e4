//! At-most-once execution of calls with an idempotency key or a ticket.

mod duplicates;
mod key;
mod ownership;
mod store;

pub use self::{
    duplicates::DuplicateFilter,
    key::{CallKey, KeyedCall, OnceTicket},
    ownership::{Handover, KeyOwnership, key_owner},
    store::{Answer, CallOutcome, CallState, CallStore, MAX_ANSWER_BYTES, Record},
};
use crate::{
    ids::{ClientId, Generation, Incarnation, VmId},
    refusal::{Failure, Reason, Refusal},
    time::Time,
    units::Span,
};

/// Time after its first use in which a caller may repeat a key, and for which its record is stored.
pub const KEY_LIFETIME: Span = Span::secs(60);
/// Largest clock difference between callers and VMs that is tolerated for keys that carry a time.
pub const MAX_CLOCK_SKEW: Span = Span::secs(2);
/// Retry delay for a call with a key or a ticket.
const KEY_RETRY: Span = Span::secs(1);

/// The decision of an endpoint on a call that carries a key or a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The call is the first with this key and may run.
    Run,
    /// A call with this key has ended, and its stored answer is returned.
    Replay(Answer),
    /// The call does not run; an earlier call with the same key may have run.
    Refuse(Refusal),
    /// A call with this key was handed over, and its outcome is unknown.
    Fail(Failure),
}

/// The keys and tickets of one endpoint process, with the calls that used them.
#[derive(Clone, Debug)]
pub struct CallRegistry {
    own: VmId,
    incarnation: Incarnation,
    ownership: KeyOwnership,
    store: CallStore,
}

impl CallRegistry {
    /// Returns the registry of a new process; `epoch` is the wall clock at time 0.
    pub fn new(own: VmId, incarnation: Incarnation, epoch: Time) -> Self {
        let ownership = KeyOwnership::new(own.clone(), epoch);
        Self { own, incarnation, ownership, store: CallStore::default() }
    }

    /// Sets the endpoints that share the keys and all declared endpoints of the service.
    pub fn adopt(
        &mut self,
        now: Time,
        generation: Generation,
        members: Vec<VmId>,
        declared: &[VmId],
    ) {
        self.ownership.adopt(now, generation, members, declared);
    }

    /// Issues a ticket that only this incarnation accepts, or refuses while the store is full.
    pub fn issue_ticket(&mut self, now: Time, client: &ClientId) -> Result<OnceTicket, Refusal> {
        let vm = self.own.clone();
        let ticket = self.store.issue_ticket(now, client, |number| OnceTicket {
            vm: vm.clone(),
            incarnation: self.incarnation,
            number,
        });
        ticket.ok_or(Refusal::retry_after(Reason::Overload, KEY_RETRY))
    }

    /// Decides whether a call runs; a call that runs is recorded only by `begin`.
    pub fn decide(&mut self, now: Time, call: KeyedCall<'_>) -> Verdict {
        self.store.expire(now);
        if self.store.is_reused(call) {
            return Verdict::Refuse(Refusal::new(Reason::KeyReused));
        }
        match (self.store.find(call), call.key) {
            (Some(CallState::Issued), _) => Verdict::Run,
            (Some(CallState::Running), _) => {
                Verdict::Refuse(Refusal::retry_after(Reason::Running, KEY_RETRY))
            }
            (Some(CallState::Ended(answer)), _) => match &answer.body {
                Some(_) => Verdict::Replay(answer.clone()),
                None => Verdict::Refuse(Refusal::new(Reason::Ran)),
            },
            (Some(CallState::Unknown), _) | (None, CallKey::Ticket(_)) => {
                Verdict::Fail(Failure::Unknown)
            }
            (None, CallKey::Chosen(chosen)) => {
                if self.store.is_full() {
                    return Verdict::Refuse(Refusal::retry_after(Reason::Overload, KEY_RETRY));
                }
                match self.ownership.may_run(now, chosen) {
                    true => Verdict::Run,
                    false => Verdict::Refuse(Refusal::retry_after(Reason::Key, KEY_RETRY)),
                }
            }
        }
    }

    /// Records that a call is handed over to the service.
    pub fn begin(&mut self, now: Time, call: KeyedCall<'_>) {
        self.store.begin(now, call);
    }

    /// Records the outcome of a call.
    pub fn end(&mut self, now: Time, call: KeyedCall<'_>, end: CallOutcome) {
        self.store.end(now, call, end);
    }

    /// Returns the endpoints that have not yet handed over their records.
    pub fn unconfirmed_endpoints(&self) -> Vec<VmId> {
        self.ownership.unconfirmed()
    }

    /// Returns the records of this process for the keys that `to` owns at `generation`.
    pub fn handover_for(
        &mut self,
        now: Time,
        to: &VmId,
        members: &[VmId],
        generation: Generation,
    ) -> Handover {
        self.ownership.record_generation(generation);
        let records = self.store.owned_by(to, members);
        let known = self.ownership.generation();
        Handover { generation: known, asked: generation, age: self.ownership.age(now), records }
    }

    /// Imports the records of keys that this endpoint owns from another one, unless they are stale.
    pub fn import_handover(&mut self, now: Time, from: &VmId, handover: Handover) {
        let accepted = self.ownership.accept_handover(now, from, &handover);
        for record in handover.records.into_iter().filter(|_| accepted) {
            self.store.import(now, record);
        }
    }

    /// Returns whether this endpoint may run all keys that it owns.
    pub fn is_settled(&mut self, now: Time) -> bool {
        self.ownership.try_settle(now)
    }

    /// Returns the number of stored keys and tickets.
    pub fn record_count(&self) -> usize {
        self.store.len()
    }
}
