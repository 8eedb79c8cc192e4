//! The datagrams between gateways and from loaders: loads, crashes, engines that load.

use std::{
    collections::{BTreeMap, HashMap},
    rc::Rc,
    time::Duration,
};

use sequoiahold_core::{
    direct::{endpoint_state::InFlightLoad, membership::Role, platform::Codec},
    ids::{Digest, InstanceId, VmId},
    time::Time,
    units::Span,
};
use tokio::sync::mpsc;

use super::state::Gateway;
use crate::node::{Datagram, EndpointLoad, LoadReport};

/// Time between two notes.
const ROUND: Duration = Duration::from_millis(70);
/// Age at which a gateway's note is forgotten.
const STALE: Span = Span::millis(1_200);
/// Endpoints in one note; with them a note fits one datagram.
const MOST: usize = 120;

/// The notes of the other gateways.
#[derive(Default)]
struct Notes {
    told: BTreeMap<VmId, (Time, Vec<EndpointLoad>)>,
    hashes: HashMap<InstanceId, u32>,
}

/// Starts to tell and to hear.
pub(super) fn start<D: Codec>(
    gateway: &Rc<Gateway<D>>,
    mut inbox: mpsc::UnboundedReceiver<Datagram>,
) {
    let gateway = gateway.clone();
    actix_rt::spawn(async move {
        let mut notes = Notes::default();
        let mut round = actix_rt::time::interval(ROUND);
        loop {
            tokio::select! {
                datagram = inbox.recv() => match datagram {
                    Some(Datagram::Load(note)) => {
                        notes.told.insert(note.from, (gateway.node.now(), note.loads));
                    }
                    Some(Datagram::Loading(note)) => {
                        let until = gateway.node.now() + note.pause;
                        gateway.desk.borrow_mut().pause_endpoint(&note.instance, until);
                    }
                    Some(Datagram::Crash(crash)) => {
                        let now = gateway.node.now();
                        gateway.suspects.borrow_mut().hear(now, crash);
                    }
                    Some(_) => {}
                    None => return,
                },
                _ = round.tick() => {
                    tell(&gateway, &mut notes);
                    add_up(&gateway, &mut notes);
                }
            }
        }
    });
}

fn tell<D: Codec>(gateway: &Gateway<D>, notes: &mut Notes) {
    let desk = gateway.desk.borrow();
    let busy = desk.endpoints().filter(|(_, seat)| seat.own_load.requests > 0);
    let loads: Vec<EndpointLoad> = busy
        .map(|(_, seat)| EndpointLoad {
            instance: notes.hash(&seat.endpoint.entry.instance),
            count: seat.own_load.requests.min(u32::from(u16::MAX)) as u16,
            reading: seat.own_load.prefill_ms,
        })
        .take(MOST)
        .collect();
    let from = gateway.node.settings.vm.clone();
    let datagram = Datagram::Load(LoadReport { from, loads });
    gateway.node.send(gateway.node.peer_addrs(Role::Gateway), &datagram);
}

fn add_up<D: Codec>(gateway: &Gateway<D>, notes: &mut Notes) {
    let now = gateway.node.now();
    notes.told.retain(|_, (at, _)| *at + STALE > now);
    let mut sums: HashMap<u32, InFlightLoad> = HashMap::new();
    for load in notes.told.values().flat_map(|(_, loads)| loads) {
        let sum = sums.entry(load.instance).or_default();
        sum.requests += u32::from(load.count);
        sum.prefill_ms += load.reading;
    }
    let mut desk = gateway.desk.borrow_mut();
    let names: Vec<InstanceId> =
        desk.endpoints().map(|(_, seat)| seat.endpoint.entry.instance.clone()).collect();
    notes.hashes.retain(|name, _| names.contains(name));
    for name in names {
        let others = sums.get(&notes.hash(&name)).copied().unwrap_or_default();
        desk.set_peer_load(now, &name, others);
    }
}

impl Notes {
    fn hash(&mut self, instance: &InstanceId) -> u32 {
        let compute = || {
            let digest = Digest::of(instance.as_str().as_bytes());
            let bytes = digest.bytes();
            u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
        };
        *self.hashes.entry(instance.clone()).or_insert_with(compute)
    }
}
