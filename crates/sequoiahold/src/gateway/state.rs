//! What the tasks of a gateway share.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use actix_http::ServiceConfig;
use sequoiahold_core::{
    direct::{
        membership::Role,
        platform::Codec,
        retry_budget::{RetryBounds, RetryBudget},
        scheduler::{Grant, Scheduler, SchedulerConfig},
        wait_queue::TicketKey,
    },
    ids::{ServiceId, VmId, ZoneId},
    refusal::Refusal,
    time::Time,
};
use tokio::sync::{oneshot, watch};

use super::{metrics::Metrics, seat::Held, suspects::Suspected};
use crate::{
    h1::{Pool, PoolLimits},
    node::Node,
};

/// Time within which a connection to an endpoint must be established: 20 round trips between regions.
const CONNECT: Duration = Duration::from_millis(150);
/// Idle connections that are kept to one endpoint.
const IDLE: usize = 24;
/// Time between two looks at waiting requests.
const LOOK: Duration = Duration::from_millis(25);
/// Time after the start at which a gateway that heard of no other one takes callers.
const ALONE: Time = Time(3_000_000);
/// Gateways that are assumed while none is heard of.
const UNKNOWN_GATEWAYS: usize = 16;

/// The end of a wait.
pub(super) type Waiter<D> = oneshot::Sender<Result<Held<D>, Refusal>>;

/// What the tasks of a gateway share.
pub(super) struct Gateway<D: Codec> {
    pub(super) node: Rc<Node<D>>,
    pub(super) config: ServiceConfig,
    pub(super) desk: RefCell<Scheduler>,
    pub(super) repeats: RefCell<RetryBudget>,
    pub(super) waiters: RefCell<BTreeMap<(ServiceId, TicketKey), Waiter<D>>>,
    pub(super) pool: Pool,
    pub(super) metrics: Metrics,
    pub(super) suspects: RefCell<Suspected>,
    active: Cell<usize>,
    open: Cell<usize>,
    draining: Cell<bool>,
    closing: watch::Sender<bool>,
}

impl<D: Codec> Gateway<D> {
    /// Returns the state of a gateway that has no endpoints yet.
    pub(super) fn new(node: Rc<Node<D>>, config: ServiceConfig) -> Rc<Self> {
        let settings = &node.settings;
        let bounds = &settings.bounds;
        let place = SchedulerConfig {
            zone: settings.zone.clone(),
            regions: settings.zones.clone(),
            rollout_time: bounds.version,
            cold_factor: bounds.cold_factor,
            cold_extra: bounds.cold_extra,
        };
        let repeats = RetryBounds {
            ratio: bounds.retry_ratio,
            extra: bounds.retry_extra,
            window: bounds.retry_window,
        };
        let pool = Pool::new(config.clone(), PoolLimits { connect: CONNECT, idle: IDLE });
        Rc::new(Self {
            node,
            config,
            desk: RefCell::new(Scheduler::new(place)),
            repeats: RefCell::new(RetryBudget::new(repeats)),
            waiters: RefCell::default(),
            pool,
            metrics: Metrics::default(),
            suspects: RefCell::default(),
            active: Cell::new(0),
            open: Cell::new(0),
            draining: Cell::new(false),
            closing: watch::channel(false).0,
        })
    }

    /// Returns how many gateways may send to the same endpoints, with a guess while none is known.
    pub(super) fn gateways(&self) -> usize {
        let mesh = self.node.membership.borrow();
        if mesh.is_joined() { mesh.count_with_role(Role::Gateway) } else { UNKNOWN_GATEWAYS }
    }

    /// Returns whether new callers can be served.
    pub(super) fn is_ready(&self) -> bool {
        let view = self.node.view.borrow();
        let known = view.catalog().is_some() && !view.endpoints().is_empty();
        let joined = self.node.membership.borrow().is_joined() || self.node.now() >= ALONE;
        known && joined && !self.draining.get()
    }

    /// Returns the number of requests in progress.
    pub(super) fn active(&self) -> usize {
        self.active.get()
    }

    /// Returns the number of callers' open connections.
    pub(super) fn open(&self) -> usize {
        self.open.get()
    }

    /// Returns whether the gateway was told to stop.
    pub(super) fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Takes note that the gateway was told to stop.
    pub(super) fn set_draining(&self) {
        self.draining.set(true);
    }

    /// Closes the callers' connections that carry no request.
    pub(super) fn close_idle(&self) {
        self.closing.send_replace(true);
    }

    /// Returns whether new requests are turned away.
    pub(super) fn is_closing(&self) -> bool {
        *self.closing.borrow()
    }

    /// Returns a signal that is raised when idle connections are to be closed.
    pub(super) fn closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// Counts a request as in progress while the result lives.
    pub(super) fn enter(self: &Rc<Self>) -> Counted<D> {
        self.active.set(self.active.get() + 1);
        Counted { gateway: self.clone(), count: |gateway| &gateway.active }
    }

    /// Counts a connection as open while the result lives.
    pub(super) fn connect(self: &Rc<Self>) -> Counted<D> {
        self.open.set(self.open.get() + 1);
        Counted { gateway: self.clone(), count: |gateway| &gateway.open }
    }

    /// Works out the endpoints that this gateway sends to before others do.
    fn deal(&self) {
        let mesh = self.node.membership.borrow();
        let all = mesh.live_with_role(self.node.now(), Role::Gateway).chain([mesh.own()]);
        let mut gateways: Vec<(VmId, ZoneId)> =
            all.map(|member| (member.vm.clone(), member.zone.clone())).collect();
        gateways.sort();
        self.desk.borrow_mut().assign_primaries(&mesh.own().vm, &gateways);
    }

    /// Hands out the places that are free now.
    pub(super) fn pump(self: &Rc<Self>) {
        let now = self.node.now();
        let decided = self.desk.borrow_mut().dispatch_queued(now, &mut *self.node.rng.borrow_mut());
        for (service, ticket, result) in decided {
            let waiter = self.waiters.borrow_mut().remove(&(service, ticket));
            let result = result.map(|grant: Grant| Held::new(self.clone(), grant));
            if let Some(waiter) = waiter {
                // A caller that left meanwhile drops the place, which gives it back.
                drop(waiter.send(result));
            }
        }
    }
}

/// Counts something while it lives.
pub(super) struct Counted<D: Codec> {
    gateway: Rc<Gateway<D>>,
    count: fn(&Gateway<D>) -> &Cell<usize>,
}

impl<D: Codec> Drop for Counted<D> {
    fn drop(&mut self) {
        let count = (self.count)(&self.gateway);
        count.set(count.get() - 1);
    }
}

/// Starts the tasks that follow the published state and look after waiting requests.
pub(super) fn start<D: Codec>(gateway: &Rc<Gateway<D>>) {
    actix_rt::spawn(follow(gateway.clone()));
    actix_rt::spawn(look(gateway.clone()));
}

async fn follow<D: Codec>(gateway: Rc<Gateway<D>>) {
    let mut changes = gateway.node.subscribe();
    while changes.changed().await.is_ok() {
        gateway.desk.borrow_mut().update(&gateway.node.view.borrow());
        gateway.pump();
    }
}

async fn look<D: Codec>(gateway: Rc<Gateway<D>>) {
    loop {
        actix_rt::time::sleep(LOOK).await;
        let gateways = gateway.gateways();
        gateway.desk.borrow_mut().set_gateway_count(gateways);
        gateway.deal();
        if gateway.desk.borrow().queued_requests() > 0 {
            gateway.pump();
        }
    }
}
