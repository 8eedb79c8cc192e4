//! Calls that may not be repeated: each key or ticket runs at most once.

mod key;
mod memory;
mod owners;
mod seen;

pub use self::{
    key::{CallKey, KeyedCall, OnceTicket},
    memory::{Answer, MAX_ANSWER, Memory, Record, RunEnd, RunState},
    owners::{HandOver, Owners, owner},
    seen::Seen,
};
use crate::{
    ids::{ClientId, Generation, Incarnation, VmId},
    refusal::{Failure, Reason, Refusal},
    time::Time,
    units::Span,
};

/// Time after its first use in which a caller may repeat a key; copies and answers are kept as long.
pub const KEY_LIFE: Span = Span::secs(60);
/// Largest difference between the wall clocks of callers and of VMs for keys that carry a time.
pub const KEY_SKEW: Span = Span::secs(2);
/// The time after which a caller may come back with its key.
const RETRY: Span = Span::secs(1);

/// What an endpoint does with a call that carries a key or a ticket.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// The call is the first with this key and may run.
    Run,
    /// The key has run to its end; its answer is given again.
    Replay(Answer),
    /// This call does not run; whether an earlier one with the key ran is not said.
    Refuse(Refusal),
    /// The key was handed over and its outcome is not known.
    Fail(Failure),
}

/// The keys and tickets of one endpoint process.
#[derive(Clone, Debug)]
pub struct Once {
    own: VmId,
    incarnation: Incarnation,
    owners: Owners,
    memory: Memory,
}

impl Once {
    /// Returns the state of a process that has just started; `epoch` is the wall clock at time 0.
    pub fn new(own: VmId, incarnation: Incarnation, epoch: Time) -> Self {
        let owners = Owners::new(own.clone(), epoch);
        Self { own, incarnation, owners, memory: Memory::default() }
    }

    /// Takes the members that share the keys and all declared endpoints of the service.
    pub fn adopt(
        &mut self,
        now: Time,
        generation: Generation,
        members: Vec<VmId>,
        declared: &[VmId],
    ) {
        self.owners.adopt(now, generation, members, declared);
    }

    /// Issues a ticket that only this incarnation runs.
    pub fn issue(&mut self, now: Time, client: &ClientId) -> Result<OnceTicket, Refusal> {
        let vm = self.own.clone();
        let number = self.memory.issue(now, client, |number| OnceTicket {
            vm: vm.clone(),
            incarnation: self.incarnation,
            number,
        });
        number.ok_or(Refusal::retry_after(Reason::Overload, RETRY))
    }

    /// Decides what becomes of a call; `Verdict::Run` changes nothing until `begin`.
    pub fn decide(&mut self, now: Time, call: KeyedCall<'_>) -> Verdict {
        self.memory.expire(now);
        if self.memory.is_reused(call) {
            return Verdict::Refuse(Refusal::new(Reason::KeyReused));
        }
        match (self.memory.find(call), call.key) {
            (Some(RunState::Issued), _) => Verdict::Run,
            (Some(RunState::Running), _) => {
                Verdict::Refuse(Refusal::retry_after(Reason::Running, RETRY))
            }
            (Some(RunState::Ended(answer)), _) => match &answer.body {
                Some(_) => Verdict::Replay(answer.clone()),
                None => Verdict::Refuse(Refusal::new(Reason::Ran)),
            },
            (Some(RunState::Unknown), _) | (None, CallKey::Ticket(_)) => {
                Verdict::Fail(Failure::Unknown)
            }
            (None, CallKey::Chosen(chosen)) => {
                if self.memory.is_full() {
                    return Verdict::Refuse(Refusal::retry_after(Reason::Overload, RETRY));
                }
                match self.owners.may_run(now, chosen) {
                    true => Verdict::Run,
                    false => Verdict::Refuse(Refusal::retry_after(Reason::Key, RETRY)),
                }
            }
        }
    }

    /// Takes note that a call is handed over to the service.
    pub fn begin(&mut self, now: Time, call: KeyedCall<'_>) {
        self.memory.begin(now, call);
    }

    /// Takes note of how a call ended.
    pub fn end(&mut self, now: Time, call: KeyedCall<'_>, end: RunEnd) {
        self.memory.end(now, call, end);
    }

    /// Returns the endpoints that have yet to hand over their keys.
    pub fn ask_next(&self) -> Vec<VmId> {
        self.owners.silent()
    }

    /// Returns what this process knows of the keys that `to` owns at `generation`.
    pub fn hand_over(
        &mut self,
        now: Time,
        to: &VmId,
        members: &[VmId],
        generation: Generation,
    ) -> HandOver {
        self.owners.heard(generation);
        let records = self.memory.owned_by(to, members);
        let known = self.owners.generation();
        HandOver { generation: known, asked: generation, age: self.owners.age(now), records }
    }

    /// Takes what another endpoint knows of the keys that this one owns.
    pub fn take_over(&mut self, now: Time, from: &VmId, given: HandOver) {
        let taken = self.owners.confirm(now, from, &given);
        for record in given.records.into_iter().filter(|_| taken) {
            self.memory.import(now, record);
        }
    }

    /// Returns whether all chosen keys of this endpoint may run.
    pub fn settled(&mut self, now: Time) -> bool {
        self.owners.settle(now)
    }

    /// Returns the number of keys and tickets that are remembered.
    pub fn remembered(&self) -> usize {
        self.memory.len()
    }
}
