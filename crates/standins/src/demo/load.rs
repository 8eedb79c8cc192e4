//! The callers of the demo.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use rand::{Rng as _, SeedableRng as _, rngs::SmallRng, seq::IndexedRandom as _};
use sequoiahold_core::{declare::Backend, ids::ServiceId};

use super::deployment::{Deployment, Plan};
use crate::callers::{Call, Caller};

/// Pause between two requests of all callers together.
const PAUSE: Duration = Duration::from_millis(12);
/// Every how many requests an order is placed.
const ORDERS: u64 = 10;
/// Tokens of an answer.
const TOKENS: u32 = 16;

/// A running load.
pub struct Load {
    calls: Rc<RefCell<Vec<Call>>>,
    stopped: Rc<Cell<bool>>,
    active: Rc<Cell<usize>>,
}

impl Load {
    /// Starts callers of all client accounts against all entries.
    pub fn start(deployment: &Deployment, plan: &Plan, seed: u64) -> Self {
        let load = Self { calls: Rc::default(), stopped: Rc::default(), active: Rc::default() };
        let entries = deployment.entries();
        let whole = Rc::new(deployment.whole.clone());
        let callers: Vec<Caller> =
            plan.fleet.clients.keys().map(|client| Caller::new(&format!("key-{client}"))).collect();
        let (model, plain) = services(plan);
        let (calls, stopped, active) =
            (load.calls.clone(), load.stopped.clone(), load.active.clone());
        actix_rt::spawn(async move {
            let mut rng = SmallRng::seed_from_u64(seed);
            for number in 0u64.. {
                if stopped.get() {
                    return;
                }
                let caller = callers.choose(&mut rng).expect("a caller").clone();
                let entry = *entries.choose(&mut rng).expect("an entry");
                let prompt = format!("{number}-{}", rng.random::<u32>());
                let (model, plain) = (model.clone(), plain.clone());
                let (calls, active, whole) = (calls.clone(), active.clone(), whole.clone());
                active.set(active.get() + 1);
                actix_rt::spawn(async move {
                    let call = match number % ORDERS {
                        0 => caller.order(entry, &plain, &prompt).await,
                        _ => caller.ask(entry, &model, &prompt, TOKENS, &whole).await,
                    };
                    calls.borrow_mut().push(call);
                    active.set(active.get() - 1);
                });
                actix_rt::time::sleep(PAUSE).await;
            }
        });
        load
    }

    /// Returns the calls that have ended so far.
    pub fn calls(&self) -> Vec<Call> {
        self.calls.borrow().clone()
    }

    /// Ends the load and returns all calls.
    pub async fn stop(self) -> Vec<Call> {
        self.stopped.set(true);
        while self.active.get() > 0 {
            actix_rt::time::sleep(PAUSE).await;
        }
        self.calls()
    }
}

fn services(plan: &Plan) -> (ServiceId, ServiceId) {
    let services = plan.fleet.services.values();
    let model = services.clone().find(|s| matches!(s.backend, Backend::Model(_)));
    let plain = services.clone().find(|s| matches!(s.backend, Backend::Plain) && !s.repeatable);
    let name = |s: Option<&sequoiahold_core::declare::Service>| {
        s.map(|s| s.name.clone()).expect("the plan has both kinds of service")
    };
    (name(model), name(plain))
}
