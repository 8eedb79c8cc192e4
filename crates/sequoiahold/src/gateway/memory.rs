//! Memory that the connections of callers hold, and the closing of those that hold too much.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use sequoiahold_core::{
    direct::{
        memory_budget::{Decision, HolderId, MemoryBudget, Phase},
        platform::Codec,
    },
    units::Bytes,
};
use tokio::sync::Notify;

use super::state::Gateway;
use crate::h1::Allowance;

/// Memory of the connections of callers.
pub(super) struct CallerMemory {
    budget: RefCell<MemoryBudget>,
    evictions: RefCell<BTreeMap<HolderId, Rc<Notify>>>,
}

/// What a connection holds, until it is dropped.
pub(super) struct Hold<C: Codec> {
    gateway: Rc<Gateway<C>>,
    id: HolderId,
    eviction: Rc<Notify>,
    request: Cell<usize>,
    answer: Cell<usize>,
}

/// The part of a connection's memory that is for requests.
pub(super) struct RequestMemory<'a, C: Codec>(pub(super) &'a Hold<C>);

/// The part of a connection's memory that is for answers, beyond one that is kept.
pub(super) struct AnswerMemory<'a, C: Codec>(pub(super) &'a Hold<C>, pub(super) usize);

impl CallerMemory {
    /// Returns the memory of the connections on a VM with this memory.
    pub(super) fn new(memory: Bytes) -> Self {
        Self { budget: RefCell::new(MemoryBudget::new(memory)), evictions: RefCell::default() }
    }
}

impl<C: Codec> Hold<C> {
    /// Returns what a new connection holds, which is nothing.
    pub(super) fn new(gateway: &Rc<Gateway<C>>) -> Self {
        let (memory, eviction) = (&gateway.memory, Rc::new(Notify::new()));
        let id = memory.budget.borrow_mut().open(gateway.node.now());
        memory.evictions.borrow_mut().insert(id, eviction.clone());
        let (request, answer) = (Cell::new(0), Cell::new(0));
        Self { gateway: gateway.clone(), id, eviction, request, answer }
    }

    /// Returns when the connection is to be closed.
    pub(super) async fn evicted(&self) {
        self.eviction.notified().await;
    }

    /// Sets what the connection does from now on.
    pub(super) fn set_phase(&self, phase: Phase) {
        let now = self.gateway.node.now();
        self.gateway.memory.budget.borrow_mut().set_phase(now, self.id, phase);
    }

    /// Gives back all bytes, as the next request is awaited.
    pub(super) fn clear(&self) {
        self.set_phase(Phase::Uploading);
        self.resize(0, 0);
    }

    fn resize(&self, request: usize, answer: usize) -> bool {
        let (gateway, wanted) = (&self.gateway, Bytes((request + answer) as u64));
        let decision =
            gateway.memory.budget.borrow_mut().resize(gateway.node.now(), self.id, wanted);
        let Decision::Granted(evicted) = decision else {
            gateway.metrics.add_memory_shortage("refused");
            return false;
        };
        for id in evicted {
            gateway.metrics.add_memory_shortage("closed");
            let eviction = gateway.memory.evictions.borrow_mut().remove(&id);
            eviction.iter().for_each(|eviction| eviction.notify_one());
        }
        self.request.set(request);
        self.answer.set(answer);
        true
    }
}

impl<C: Codec> Allowance for RequestMemory<'_, C> {
    fn try_hold(&self, bytes: usize) -> bool {
        self.0.resize(bytes, self.0.answer.get())
    }
}

impl<C: Codec> Allowance for AnswerMemory<'_, C> {
    fn try_hold(&self, bytes: usize) -> bool {
        self.0.resize(self.0.request.get(), self.1 + bytes)
    }
}

impl<C: Codec> Drop for Hold<C> {
    fn drop(&mut self) {
        self.gateway.memory.budget.borrow_mut().close(self.id);
        self.gateway.memory.evictions.borrow_mut().remove(&self.id);
    }
}
