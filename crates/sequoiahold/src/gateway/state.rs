//! State shared by the tasks of a gateway.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use actix_http::ServiceConfig;
use sequoiahold_core::{
    direct::{
        cells::Cells,
        load_exchange::LoadExchange,
        membership::Role,
        platform::Codec,
        retry_budget::{RetryBounds, RetryBudget},
        scheduler::{Grant, Scheduler, SchedulerConfig},
        wait_queue::TicketKey,
    },
    ids::ServiceId,
    refusal::Refusal,
    time::Time,
};
use tokio::sync::{oneshot, watch};

use super::{
    memory::CallerMemory, metrics::Metrics, parts::PartTracker, slot::SlotGuard,
    suspects::CrashSuspects,
};
use crate::{
    h1::{ConnectionPool, PoolLimits},
    node::Node,
    settings,
};

/// Timeout for connecting to an endpoint; allows for 20 round trips between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Maximum number of idle connections kept to each endpoint.
const MAX_IDLE_CONNECTIONS: usize = 24;
/// Interval at which queued requests are dispatched.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Interval at which the gateway count and the cells are updated.
const ASSIGN_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the start at which a gateway that found no other gateway becomes ready.
const STANDALONE_READY_TIME: Time = Time(3_000_000);
/// Number of gateways assumed while none is known.
const ASSUMED_GATEWAYS: usize = 16;

/// Channel on which a queued request receives its slot or refusal.
pub(super) type Waiter<C> = oneshot::Sender<Result<SlotGuard<C>, Refusal>>;

/// State shared by the tasks of a gateway.
pub(super) struct Gateway<C: Codec> {
    pub(super) node: Rc<Node<C>>,
    pub(super) http_config: ServiceConfig,
    pub(super) scheduler: RefCell<Scheduler>,
    pub(super) retry_budget: RefCell<RetryBudget>,
    pub(super) waiters: RefCell<BTreeMap<(ServiceId, TicketKey), Waiter<C>>>,
    pub(super) pool: ConnectionPool,
    pub(super) memory: CallerMemory,
    pub(super) metrics: Metrics,
    pub(super) suspects: RefCell<CrashSuspects>,
    pub(super) parts: RefCell<PartTracker>,
    pub(super) load_exchange: RefCell<LoadExchange>,
    cells: RefCell<Cells>,
    active_requests: Cell<usize>,
    open_connections: Cell<usize>,
    draining: Cell<bool>,
    closing: watch::Sender<bool>,
}

impl<C: Codec> Gateway<C> {
    /// Returns the state of a gateway that has no endpoints yet.
    pub(super) fn new(
        node: Rc<Node<C>>,
        http_config: ServiceConfig,
        settings: &settings::Gateway,
    ) -> Rc<Self> {
        let bounds = &node.settings.bounds;
        let scheduler_config = SchedulerConfig {
            zone: node.settings.zone.clone(),
            regions: node.settings.zones.clone(),
            rollout_time: bounds.version,
            cold_factor: bounds.cold_factor,
            cold_extra: bounds.cold_extra,
            pace: settings.pace,
        };
        let retry_bounds = RetryBounds {
            ratio: bounds.retry_ratio,
            extra: bounds.retry_extra,
            window: bounds.retry_window,
        };
        let retry_budget = if node.settings.restarted {
            RetryBudget::restarted(retry_bounds, node.now())
        } else {
            RetryBudget::new(retry_bounds)
        };
        let pool = ConnectionPool::new(
            http_config.clone(),
            PoolLimits { connect_timeout: CONNECT_TIMEOUT, max_idle: MAX_IDLE_CONNECTIONS },
        );
        Rc::new(Self {
            node,
            http_config,
            scheduler: RefCell::new(Scheduler::new(scheduler_config)),
            retry_budget: RefCell::new(retry_budget),
            waiters: RefCell::default(),
            pool,
            memory: CallerMemory::new(settings.memory),
            metrics: Metrics::default(),
            suspects: RefCell::default(),
            parts: RefCell::default(),
            load_exchange: RefCell::default(),
            cells: RefCell::default(),
            active_requests: Cell::new(0),
            open_connections: Cell::new(0),
            draining: Cell::new(false),
            closing: watch::channel(false).0,
        })
    }

    /// Returns how many gateways may send to the same endpoints, [`ASSUMED_GATEWAYS`] while unknown.
    pub(super) fn gateway_count(&self) -> usize {
        let membership = self.node.membership.borrow();
        if membership.is_joined() {
            membership.count_with_role(Role::Gateway)
        } else {
            ASSUMED_GATEWAYS
        }
    }

    /// Returns whether the gateway is ready for new callers.
    pub(super) fn is_ready(&self) -> bool {
        let view = self.node.view.borrow();
        let has_endpoints = view.catalog().is_some() && !view.endpoints().is_empty();
        let joined =
            self.node.membership.borrow().is_joined() || self.node.now() >= STANDALONE_READY_TIME;
        has_endpoints && joined && !self.draining.get()
    }

    /// Returns the number of active requests.
    pub(super) fn active_requests(&self) -> usize {
        self.active_requests.get()
    }

    /// Returns the number of open connections from callers.
    pub(super) fn open_connections(&self) -> usize {
        self.open_connections.get()
    }

    /// Returns whether the gateway is shutting down.
    pub(super) fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Marks the gateway as shutting down, which makes it not ready.
    pub(super) fn set_draining(&self) {
        self.draining.set(true);
    }

    /// Closes the listener and the idle connections from callers, and refuses further requests.
    pub(super) fn close_idle_connections(&self) {
        self.closing.send_replace(true);
    }

    /// Returns whether new requests are refused.
    pub(super) fn is_closing(&self) -> bool {
        *self.closing.borrow()
    }

    /// Returns a receiver that becomes true when idle connections are to be closed.
    pub(super) fn closing_signal(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// Counts an active request until the guard is dropped.
    pub(super) fn count_request(self: &Rc<Self>) -> CountGuard<C> {
        self.active_requests.set(self.active_requests.get() + 1);
        CountGuard { gateway: self.clone(), count: |gateway| &gateway.active_requests }
    }

    /// Counts an open connection until the guard is dropped.
    pub(super) fn count_connection(self: &Rc<Self>) -> CountGuard<C> {
        self.open_connections.set(self.open_connections.get() + 1);
        CountGuard { gateway: self.clone(), count: |gateway| &gateway.open_connections }
    }

    /// Divides the live gateways into cells, and assigns the endpoints to them if they differ.
    fn update_cells(&self) {
        let membership = self.node.membership.borrow();
        let own = membership.own();
        let members = || membership.live_with_role(Role::Gateway).chain([own]);
        let gateways = members().map(|member| (member.vm.clone(), member.zone.clone()));
        let cells = Cells::new(&own.vm, gateways);
        if *self.cells.borrow() != cells {
            let addrs = members().map(|member| (member.vm.clone(), member.addr)).collect();
            self.load_exchange.borrow_mut().set_gateways(&cells, addrs);
            self.scheduler.borrow_mut().assign(&cells);
            self.cells.replace(cells);
        }
    }

    /// Updates the metric of the announced versions.
    fn record_announced(&self) {
        let now = self.node.now();
        let start = self.node.clock.incarnation().0 as f64 / 1e6;
        let announced = self.node.view.borrow().announced_versions(now).into_iter();
        self.metrics.set_announced(announced.filter_map(|announced| {
            let age = announced.known_age()?;
            let at = start + (now.0 as f64 - age.0 as f64) / 1e6;
            Some((announced, at))
        }));
    }

    /// Dispatches queued requests to free slots and notifies their tasks.
    pub(super) fn dispatch_queued(self: &Rc<Self>) {
        let now = self.node.now();
        let decisions =
            self.scheduler.borrow_mut().dispatch_queued(now, &mut *self.node.rng.borrow_mut());
        for (service, key, result) in decisions {
            let waiter = self.waiters.borrow_mut().remove(&(service, key));
            let result = result.map(|grant: Grant| SlotGuard::new(self.clone(), grant));
            if let Some(waiter) = waiter {
                // If the caller has disconnected, dropping the guard releases the slot.
                drop(waiter.send(result));
            }
        }
    }
}

/// Guard that decrements a counter when dropped.
pub(super) struct CountGuard<C: Codec> {
    gateway: Rc<Gateway<C>>,
    count: fn(&Gateway<C>) -> &Cell<usize>,
}

impl<C: Codec> Drop for CountGuard<C> {
    fn drop(&mut self) {
        let count = (self.count)(&self.gateway);
        count.set(count.get() - 1);
    }
}

/// Starts the tasks that apply the published state and poll the queues.
pub(super) fn start<C: Codec>(gateway: &Rc<Gateway<C>>) {
    actix_rt::spawn(follow_changes(gateway.clone()));
    actix_rt::spawn(poll_queue(gateway.clone()));
    actix_rt::spawn(follow_members(gateway.clone()));
}

async fn follow_changes<C: Codec>(gateway: Rc<Gateway<C>>) {
    let mut changes = gateway.node.subscribe();
    while changes.changed().await.is_ok() {
        gateway.scheduler.borrow_mut().update(&gateway.node.view.borrow());
        gateway.scheduler.borrow_mut().apply_loads(&mut gateway.node.loads.borrow_mut());
        gateway.scheduler.borrow_mut().assign(&gateway.cells.borrow());
        gateway.record_announced();
        gateway.dispatch_queued();
    }
}

async fn poll_queue<C: Codec>(gateway: Rc<Gateway<C>>) {
    loop {
        actix_rt::time::sleep(QUEUE_POLL_INTERVAL).await;
        if gateway.scheduler.borrow().queued_requests() > 0 {
            gateway.dispatch_queued();
        }
    }
}

async fn follow_members<C: Codec>(gateway: Rc<Gateway<C>>) {
    loop {
        let gateway_count = gateway.gateway_count();
        gateway.scheduler.borrow_mut().set_gateway_count(gateway_count);
        if gateway.node.membership.borrow().is_joined() {
            let now = gateway.node.now();
            gateway.retry_budget.borrow_mut().record_gateways(now, gateway_count);
        }
        gateway.update_cells();
        gateway.node.record_loaders();
        actix_rt::time::sleep(ASSIGN_INTERVAL).await;
    }
}
