//! The entry's event loop: owns the state and takes all decisions.

use std::{collections::BTreeMap, sync::Arc};

use rand::{SeedableRng, rngs::SmallRng};
use sequoiahold_core::{
    adopt::{Adopter, Adoption, InForce},
    declare::{Fleet, Published, Role},
    ids::{RequestId, VmId},
    proto::{Beat, Call, Reply},
    refuse::{Reason, Refusal},
    route::Router,
    time::Timers,
    units::Span,
};
use tokio::sync::{mpsc, watch};

use super::event::{Choose, Chosen, Event};
use crate::{
    clock::Clock,
    net::{Links, call},
    platform::VmState,
    settings,
    status::{EndpointStatus, Status},
};

/// Heartbeat intervals without an answer after which a connection is replaced.
const SILENT_BEATS: u64 = 3;

#[derive(Clone, Debug)]
enum Timer {
    Beat(VmId),
}

/// The state of an entry process.
pub struct EventLoop {
    settings: settings::Entry,
    clock: Clock,
    links: Links,
    in_force: watch::Sender<Option<InForce>>,
    events: mpsc::UnboundedSender<Event>,
    adopter: Adopter,
    router: Router,
    timers: Timers<Timer>,
    beating: BTreeMap<VmId, ()>,
    counters: BTreeMap<String, u64>,
    last: RequestId,
    rng: SmallRng,
}

impl EventLoop {
    /// Returns the event loop of a process that knows nothing yet.
    pub fn new(
        settings: settings::Entry,
        clock: Clock,
        links: Links,
        in_force: watch::Sender<Option<InForce>>,
        events: mpsc::UnboundedSender<Event>,
    ) -> Self {
        let router = Router::new(settings.zone.clone());
        let rng = SmallRng::seed_from_u64(clock.incarnation().0);
        Self {
            settings,
            clock,
            links,
            in_force,
            events,
            adopter: Adopter::default(),
            router,
            timers: Timers::default(),
            beating: BTreeMap::new(),
            counters: BTreeMap::new(),
            last: RequestId::default(),
            rng,
        }
    }

    /// Handles events and timers until all senders are gone.
    pub async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Event>) {
        loop {
            tokio::select! {
                event = receiver.recv() => match event {
                    Some(event) => self.on_event(event),
                    None => return,
                },
                () = self.clock.until(self.timers.next()) => self.on_time(),
            }
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Offer(published) => self.on_offer(published),
            Event::Vms(list) => self.on_vms(&list),
            Event::Beat(beat) => self.on_beat(*beat),
            Event::Silent(vm) => self.on_silent(&vm),
            Event::Choose(choose) => self.on_choose(choose),
            Event::Set(above, reply) => {
                let newer = self.adopter.in_force().filter(|_| self.adopter.generation() > above);
                let _ = reply.send(newer.map(|now| now.published.clone()));
            }
            Event::Tell(reply) => drop(reply.send(self.beat())),
            Event::Status(reply) => drop(reply.send(self.status())),
            Event::Count(name) => *self.counters.entry(name.to_owned()).or_default() += 1,
        }
    }

    fn on_time(&mut self) {
        while let Some(Timer::Beat(vm)) = self.timers.pop(self.clock.now()) {
            self.send_beat(&vm);
        }
    }

    fn on_offer(&mut self, published: Arc<Published>) {
        let outcome = self.adopter.offer(published);
        match &outcome {
            Adoption::Adopted(_) => log::info!("{outcome}"),
            Adoption::Refused(_) => log::warn!("{outcome}"),
            Adoption::Old(_) => return,
        }
        let now = self.adopter.in_force().cloned();
        self.in_force.send_replace(now);
        self.start_beats();
    }

    fn on_vms(&mut self, list: &BTreeMap<VmId, VmState>) {
        for (vm, state) in list {
            self.router.leaving(vm, *state == VmState::Leaving);
        }
    }

    fn on_beat(&mut self, beat: Beat) {
        if let Some(load) = beat.load {
            self.router.report(&beat.vm, load);
        }
    }

    fn on_silent(&mut self, vm: &VmId) {
        self.links.close(vm);
        self.router.lost(vm);
    }

    fn on_choose(&mut self, choose: Choose) {
        let choice = self.choose(&choose);
        let _ = choose.reply.send(choice);
    }

    fn choose(&mut self, choose: &Choose) -> Result<Chosen, Refusal> {
        let fleet = self.fleet().ok_or(Refusal::after(Reason::Unconfigured, Span::secs(1)))?;
        let vm = self.router.choose(&fleet, &choose.service, &choose.tried, &mut self.rng)?;
        let addr = fleet.vms.get(&vm).map(|vm| vm.addr);
        let addr = addr.ok_or(Refusal::new(Reason::NoEndpoint))?;
        self.last = self.last.next();
        Ok(Chosen { vm, addr, id: self.last })
    }

    fn fleet(&self) -> Option<Arc<Fleet>> {
        self.adopter.in_force().map(|now| now.fleet.clone())
    }

    fn start_beats(&mut self) {
        let Some(fleet) = self.fleet() else { return };
        let endpoints = fleet.vms.values().filter(|vm| matches!(vm.role, Role::Endpoint(_)));
        for vm in endpoints {
            if self.beating.insert(vm.name.clone(), ()).is_none() {
                self.timers.at(self.clock.now(), Timer::Beat(vm.name.clone()));
            }
        }
    }

    fn send_beat(&mut self, vm: &VmId) {
        let Some(addr) = self.fleet().and_then(|fleet| Some(fleet.vms.get(vm)?.addr)) else {
            self.beating.remove(vm);
            self.router.lost(vm);
            return;
        };
        self.timers.at(self.clock.now() + self.settings.heartbeat, Timer::Beat(vm.clone()));
        let (links, events, vm) = (self.links.clone(), self.events.clone(), vm.clone());
        let beat = Call::Beat(Box::new(self.beat()));
        let patience = Span(self.settings.heartbeat.0 * SILENT_BEATS);
        actix_rt::spawn(async move {
            let exchange = async {
                let connection = links.get(&vm, addr).await?;
                call(&connection, &beat).await
            };
            let event = match actix_rt::time::timeout(patience.into(), exchange).await {
                Ok(Ok(Reply::Beat(beat))) => Event::Beat(beat),
                _ => Event::Silent(vm),
            };
            let _ = events.send(event);
        });
    }

    fn beat(&self) -> Beat {
        Beat {
            vm: self.settings.vm.clone(),
            incarnation: self.clock.incarnation(),
            generation: self.adopter.generation(),
            load: None,
        }
    }

    fn status(&self) -> Status {
        let endpoint = |(vm, known): (&VmId, &sequoiahold_core::route::Known)| {
            let zone = self.fleet().and_then(|fleet| Some(fleet.vms.get(vm)?.zone.clone()));
            let load = &known.load;
            let (limit, running, version) = (load.limit, load.running, load.version.clone());
            let open = load.open && !known.leaving;
            (vm.clone(), EndpointStatus { zone, version, limit, running, open })
        };
        Status {
            vm: self.settings.vm.to_string(),
            role: "entry".to_owned(),
            zone: self.settings.zone.to_string(),
            incarnation: self.clock.incarnation(),
            generation: self.adopter.generation(),
            open: true,
            endpoints: self.router.known().iter().map(endpoint).collect(),
            counters: self.counters.clone(),
            ..Status::default()
        }
    }
}
