//! Steady load from callers of all client accounts.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng, seq::IndexedRandom as _};
use sequoiahold_core::ids::{Digest, ServiceId};

use crate::{
    callers::{Call, Caller, ChatRequest, Order},
    deployment::Deployment,
};

/// Time between two checks for calls in progress.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The rate and mix of requests of a load.
#[derive(Clone, Copy, Debug)]
pub struct LoadSpec {
    /// The seed of the random choices.
    pub seed: u64,
    /// The time between two requests, over all callers.
    pub pause: Duration,
    /// One in this many requests is an order; 0 means none.
    pub orders: u64,
    /// One in this many orders is sent again through another entry; 0 means none.
    pub repeats: u64,
    /// The number of tokens of an answer.
    pub tokens: u32,
}

impl Default for LoadSpec {
    fn default() -> Self {
        let pause = Duration::from_millis(12);
        Self { seed: 1, pause, orders: 10, repeats: 0, tokens: 16 }
    }
}

/// A running load.
#[derive(Clone)]
pub struct Load {
    /// The entries that callers use, as a load balancer of the platform would select them.
    pub entries: Rc<RefCell<Vec<SocketAddr>>>,
    calls: Rc<RefCell<Vec<Call>>>,
    stopped: Rc<Cell<bool>>,
    active: Rc<Cell<usize>>,
    target: Rc<LoadTarget>,
}

/// The callers, and the services that they call.
struct LoadTarget {
    callers: Vec<Caller>,
    model_service: ServiceId,
    order_service: ServiceId,
    fingerprints: BTreeSet<Digest>,
}

impl Load {
    /// Starts a load by callers of all client accounts on all entries.
    pub fn start(deployment: &Deployment, spec: LoadSpec) -> Self {
        let clients = deployment.plan.fleet.clients.keys();
        let target = LoadTarget {
            callers: clients.map(|client| Caller::new(&format!("key-{client}"))).collect(),
            model_service: deployment.plan.model_service(),
            order_service: deployment.plan.order_service(),
            fingerprints: deployment.fingerprints.clone(),
        };
        let load = Self {
            entries: Rc::new(RefCell::new(deployment.entries())),
            calls: Rc::default(),
            stopped: Rc::default(),
            active: Rc::default(),
            target: Rc::new(target),
        };
        actix_rt::spawn(load.clone().run(spec));
        load
    }

    /// Stops sending new requests to an entry.
    pub fn remove_entry(&self, entry: SocketAddr) {
        self.entries.borrow_mut().retain(|addr| *addr != entry);
    }

    /// Returns the calls that have finished.
    pub fn calls(&self) -> Vec<Call> {
        self.calls.borrow().clone()
    }

    /// Returns the number of calls in progress.
    pub fn in_progress(&self) -> usize {
        self.active.get()
    }

    /// Stops the load, waits for the calls in progress and returns all calls.
    pub async fn stop(self) -> Vec<Call> {
        self.stopped.set(true);
        while self.active.get() > 0 {
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        self.calls()
    }

    async fn run(self, spec: LoadSpec) {
        let mut rng = SmallRng::seed_from_u64(spec.seed);
        for number in 0u64.. {
            if self.stopped.get() {
                return;
            }
            let entries = self.entries.borrow().clone();
            let caller = self.target.callers.choose(&mut rng).expect("a caller").clone();
            let entry = *entries.choose(&mut rng).expect("an entry");
            let name = format!("{number}-{}", rng.random::<u32>());
            if spec.orders > 0 && number.is_multiple_of(spec.orders) {
                let order = Order::now(&name);
                self.send_order(&caller, entry, &order);
                let count = number / spec.orders;
                if spec.repeats > 0 && count.is_multiple_of(spec.repeats) {
                    let others: Vec<_> = entries.into_iter().filter(|e| *e != entry).collect();
                    self.send_order(&caller, *others.choose(&mut rng).unwrap_or(&entry), &order);
                }
            } else {
                self.send_chat(&caller, entry, name, spec.tokens);
            }
            actix_rt::time::sleep(spec.pause).await;
        }
    }

    fn send_chat(&self, caller: &Caller, entry: SocketAddr, name: String, tokens: u32) {
        let (target, caller) = (self.target.clone(), caller.clone());
        self.spawn_call(async move {
            let request = ChatRequest { service: &target.model_service, prompt: &name, tokens };
            caller.chat(entry, &request, &target.fingerprints).await
        });
    }

    fn send_order(&self, caller: &Caller, entry: SocketAddr, order: &Order) {
        let (target, caller, order) = (self.target.clone(), caller.clone(), order.clone());
        self.spawn_call(
            async move { caller.place_order(entry, &target.order_service, &order).await },
        );
    }

    fn spawn_call(&self, call: impl Future<Output = Call> + 'static) {
        let (calls, active) = (self.calls.clone(), self.active.clone());
        active.set(active.get() + 1);
        actix_rt::spawn(async move {
            let call = call.await;
            calls.borrow_mut().push(call);
            active.set(active.get() - 1);
        });
    }
}
