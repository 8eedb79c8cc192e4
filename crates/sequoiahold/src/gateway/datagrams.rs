//! Exchange of load reports between gateways, and handling of the other datagrams from peers.

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

/// Interval between two load reports.
const SEND_INTERVAL: Duration = Duration::from_millis(70);
/// Age at which a load report expires.
const REPORT_TTL: Span = Span::millis(1_200);
/// Maximum number of endpoints in a load report, so that it fits into one datagram.
const MAX_ENDPOINTS: usize = 120;

/// Load reports of the other gateways, and the hashes that identify endpoints in them.
#[derive(Default)]
struct PeerLoads {
    reports: BTreeMap<VmId, (Time, Vec<EndpointLoad>)>,
    hashes: HashMap<InstanceId, u32>,
}

/// Starts the task that exchanges load reports and handles the datagrams from peers.
pub(super) fn start<C: Codec>(
    gateway: &Rc<Gateway<C>>,
    mut inbox: mpsc::UnboundedReceiver<Datagram>,
) {
    let gateway = gateway.clone();
    actix_rt::spawn(async move {
        let mut peer_loads = PeerLoads::default();
        let mut send_timer = actix_rt::time::interval(SEND_INTERVAL);
        loop {
            tokio::select! {
                datagram = inbox.recv() => match datagram {
                    Some(Datagram::Load(report)) => {
                        peer_loads.reports.insert(report.from, (gateway.node.now(), report.loads));
                    }
                    Some(Datagram::Loading(note)) => {
                        let paused_until = gateway.node.now() + note.pause;
                        gateway.scheduler.borrow_mut().pause_endpoint(&note.instance, paused_until);
                    }
                    Some(Datagram::Crash(crash)) => {
                        let now = gateway.node.now();
                        gateway.suspects.borrow_mut().record_crash(now, crash);
                    }
                    Some(_) => {}
                    None => return,
                },
                _ = send_timer.tick() => {
                    send_loads(&gateway, &mut peer_loads);
                    apply_loads(&gateway, &mut peer_loads);
                }
            }
        }
    });
}

/// Sends this gateway's load at each endpoint to the other gateways.
fn send_loads<C: Codec>(gateway: &Gateway<C>, peer_loads: &mut PeerLoads) {
    let scheduler = gateway.scheduler.borrow();
    let loaded = scheduler.endpoints().filter(|(_, state)| state.own_load.requests > 0);
    let loads: Vec<EndpointLoad> = loaded
        .map(|(_, state)| EndpointLoad {
            instance: peer_loads.hash(&state.endpoint.entry.instance),
            count: state.own_load.requests.min(u32::from(u16::MAX)) as u16,
            prefill_ms: state.own_load.prefill_ms,
        })
        .take(MAX_ENDPOINTS)
        .collect();
    let from = gateway.node.settings.vm.clone();
    let datagram = Datagram::Load(LoadReport { from, loads });
    gateway.node.send(gateway.node.peer_addrs(Role::Gateway), &datagram);
}

/// Sets the sum of the other gateways' loads at each endpoint in the scheduler.
fn apply_loads<C: Codec>(gateway: &Gateway<C>, peer_loads: &mut PeerLoads) {
    let now = gateway.node.now();
    peer_loads.reports.retain(|_, (at, _)| *at + REPORT_TTL > now);
    let mut totals: HashMap<u32, InFlightLoad> = HashMap::new();
    for load in peer_loads.reports.values().flat_map(|(_, loads)| loads) {
        let total = totals.entry(load.instance).or_default();
        total.requests += u32::from(load.count);
        total.prefill_ms += load.prefill_ms;
    }
    let mut scheduler = gateway.scheduler.borrow_mut();
    let instances: Vec<InstanceId> =
        scheduler.endpoints().map(|(_, state)| state.endpoint.entry.instance.clone()).collect();
    peer_loads.hashes.retain(|instance, _| instances.contains(instance));
    for instance in instances {
        let peer_load = totals.get(&peer_loads.hash(&instance)).copied().unwrap_or_default();
        scheduler.set_peer_load(now, &instance, peer_load);
    }
}

impl PeerLoads {
    fn hash(&mut self, instance: &InstanceId) -> u32 {
        let compute_hash = || {
            let digest = Digest::of(instance.as_str().as_bytes());
            let bytes = digest.bytes();
            u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
        };
        *self.hashes.entry(instance.clone()).or_insert_with(compute_hash)
    }
}
