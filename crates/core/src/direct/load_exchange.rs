//! Exchange of the gateways' loads at endpoints.
//!
//! Load pattern: hundreds of gateways send to the same endpoints. Each tells its load to the
//! gateways of its cell at once, to the primaries of endpoints that it uses outside, and the totals
//! of its cell's endpoints to the others in turn, so that what it sends does not grow with the
//! fleet while each endpoint's total is told often, by every gateway of its cell.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
};

use serde::{Deserialize, Serialize};

use super::{
    cells::{Cells, Relation},
    endpoint_state::InFlightLoad,
};
use crate::{ids::VmId, time::Time, units::Span};

/// Age at which a report expires.
const REPORT_TTL: Span = Span::millis(1_200);
/// Age at which the total of an endpoint outside the cell expires.
const TOTAL_TTL: Span = Span::millis(3_000);
/// Interval at which unchanged reports are repeated.
const REPEAT_INTERVAL: Span = Span::millis(350);
/// Number of gateways of the own zone, outside the cell, that each round tells the totals.
const NEAR_RECIPIENTS: usize = 2;
/// Number of gateways of other zones that each round tells the totals.
const FAR_RECIPIENTS: usize = 2;
/// Maximum number of loads in a message, so that it fits into one datagram.
const MAX_LOADS: usize = 110;

/// A load at one endpoint.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndpointLoad {
    /// The hash of the endpoint's instance id.
    pub instance: u32,
    /// The number of requests in flight.
    pub count: u16,
    /// The expected prefill time in ms, summed over the requests without a first event.
    #[serde(rename = "reading")]
    pub prefill_ms: u32,
}

/// The load of one gateway at its endpoints.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// The VM of the gateway.
    pub from: VmId,
    /// Its loads at endpoints, without those where it has none.
    pub loads: Vec<EndpointLoad>,
    /// Loads of gateways of other cells at endpoints whose primary is the sender.
    pub guests: Vec<EndpointLoad>,
}

/// A message of the exchange.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LoadMessage {
    /// The load of one gateway.
    Report(LoadReport),
    /// The loads of all gateways at the endpoints of a cell.
    Totals(Vec<EndpointLoad>),
}

/// An endpoint as the exchange sees it.
#[derive(Clone, Copy, Debug)]
pub struct LocalLoad<'a> {
    /// The hash of the endpoint's instance id.
    pub instance: u32,
    /// The relation of this gateway to the endpoint.
    pub relation: Relation,
    /// The primary gateway of the endpoint.
    pub primary: Option<&'a VmId>,
    /// The load caused by this gateway.
    pub own: InFlightLoad,
}

/// Loads by the hash of the endpoint's instance id.
type Loads = BTreeMap<u32, InFlightLoad>;

/// The loads that other gateways told this one.
#[derive(Clone, Debug, Default)]
pub struct LoadExchange {
    mates: BTreeMap<VmId, SocketAddr>,
    near: Vec<SocketAddr>,
    far: Vec<SocketAddr>,
    addrs: BTreeMap<VmId, SocketAddr>,
    reports: BTreeMap<VmId, (Time, LoadReport)>,
    totals: HashMap<u32, (Time, InFlightLoad)>,
    last_sent: Option<(Time, LoadReport)>,
    hosts: BTreeSet<VmId>,
    turn: usize,
    rank: usize,
}

impl LoadExchange {
    /// Sets the other gateways and their addresses.
    pub fn set_gateways(&mut self, cells: &Cells, addrs: BTreeMap<VmId, SocketAddr>) {
        let (mates, near, far) = cells.others();
        self.rank = mates.iter().filter(|vm| cells.own() > Some(**vm)).count();
        let known = |vm: &&VmId| addrs.get(*vm).copied();
        self.near = near.iter().filter_map(known).collect();
        self.far = far.iter().filter_map(known).collect();
        let with_addr = |vm: &VmId| Some((vm.clone(), *addrs.get(vm)?));
        self.mates = mates.into_iter().filter_map(with_addr).collect();
        self.addrs = addrs;
    }

    /// Records a message of another gateway.
    pub fn receive(&mut self, now: Time, message: LoadMessage) {
        match message {
            LoadMessage::Report(report) => {
                self.reports.insert(report.from.clone(), (now, report));
            }
            LoadMessage::Totals(totals) => {
                let load = |load: EndpointLoad| (load.instance, (now, load.into()));
                self.totals.extend(totals.into_iter().map(load));
            }
        }
    }

    /// Returns the load that the other gateways have at each of these endpoints.
    pub fn peer_loads(&mut self, now: Time, endpoints: &[LocalLoad]) -> Vec<InFlightLoad> {
        self.reports.retain(|_, (at, _)| *at + REPORT_TTL > now);
        self.totals.retain(|_, (at, _)| *at + TOTAL_TTL > now);
        let (mut mates, mut guests) = (Loads::new(), Loads::new());
        for (_, report) in self.reports.values() {
            if self.mates.contains_key(&report.from) {
                add_all(&mut mates, report.loads.iter().chain(&report.guests));
            } else {
                add_all(&mut guests, &report.loads);
            }
        }
        let peer_load = |endpoint: &LocalLoad| {
            let find = |loads: &Loads| loads.get(&endpoint.instance).copied().unwrap_or_default();
            let mut load = find(&mates);
            match endpoint.relation {
                // The primary tells its cell of the guests.
                Relation::Cell => {}
                Relation::Primary | Relation::Shared => load.add(find(&guests)),
                Relation::Outside => {
                    // The total includes the own load as the cell knew it.
                    let total = self.totals.get(&endpoint.instance).map(|(_, total)| *total);
                    load = load.max(total.unwrap_or_default().saturating_sub(endpoint.own));
                }
            }
            load
        };
        endpoints.iter().map(peer_load).collect()
    }

    /// Returns the messages of a round and their recipients, given the endpoints and the load that
    /// [`LoadExchange::peer_loads`] returned for each.
    pub fn start_round(
        &mut self,
        now: Time,
        own: &VmId,
        endpoints: &[LocalLoad],
        peer_loads: &[InFlightLoad],
    ) -> Vec<(LoadMessage, Vec<SocketAddr>)> {
        let report = self.build_report(own, endpoints);
        let repeated =
            |(at, sent): &(Time, LoadReport)| *sent == report && *at + REPEAT_INTERVAL > now;
        let mut messages = vec![];
        if !self.last_sent.as_ref().is_some_and(repeated) {
            messages.push((
                LoadMessage::Report(report.clone()),
                self.mates.values().copied().collect(),
            ));
            messages.extend(self.guest_report(own, endpoints));
            self.last_sent = Some((now, report));
        }
        let recipients = self.next_recipients();
        if !recipients.is_empty() {
            messages
                .push((LoadMessage::Totals(self.cell_totals(endpoints, peer_loads)), recipients));
        }
        messages
    }

    fn build_report(&self, own: &VmId, endpoints: &[LocalLoad]) -> LoadReport {
        let loads = loads(endpoints.iter().map(|endpoint| (endpoint.instance, endpoint.own)));
        let primary: BTreeSet<u32> = endpoints
            .iter()
            .filter(|endpoint| endpoint.relation == Relation::Primary)
            .map(|endpoint| endpoint.instance)
            .collect();
        let is_guest = |report: &&LoadReport| !self.mates.contains_key(&report.from);
        let reports = self.reports.values().map(|(_, report)| report).filter(is_guest);
        let told = reports.flat_map(|report| &report.loads);
        let mut guests = Loads::new();
        add_all(&mut guests, told.filter(|load| primary.contains(&load.instance)));
        let mut guests = self::loads(guests);
        guests.truncate(MAX_LOADS - loads.len());
        LoadReport { from: own.clone(), loads, guests }
    }

    /// Returns the own report for the primaries of endpoints outside the cell, including those
    /// where the own load has just ended.
    fn guest_report(
        &mut self,
        own: &VmId,
        endpoints: &[LocalLoad],
    ) -> Option<(LoadMessage, Vec<SocketAddr>)> {
        let outside = |endpoint: &&LocalLoad| {
            endpoint.relation == Relation::Outside && endpoint.own.requests > 0
        };
        let used: Vec<&LocalLoad> = endpoints.iter().filter(outside).collect();
        let hosts: BTreeSet<VmId> =
            used.iter().filter_map(|endpoint| endpoint.primary.cloned()).collect();
        let previous = std::mem::replace(&mut self.hosts, hosts.clone());
        let addr = |vm: &VmId| self.addrs.get(vm).copied();
        let recipients: Vec<SocketAddr> = previous.union(&hosts).filter_map(addr).collect();
        let loads = loads(used.iter().map(|endpoint| (endpoint.instance, endpoint.own)));
        let report = LoadReport { from: own.clone(), loads, guests: vec![] };
        (!recipients.is_empty()).then_some((LoadMessage::Report(report), recipients))
    }

    fn cell_totals(
        &self,
        endpoints: &[LocalLoad],
        peer_loads: &[InFlightLoad],
    ) -> Vec<EndpointLoad> {
        let inside = |(endpoint, _): &(&LocalLoad, &InFlightLoad)| {
            matches!(endpoint.relation, Relation::Primary | Relation::Cell)
        };
        let total = |(endpoint, load): (&LocalLoad, &InFlightLoad)| {
            let mut load = *load;
            load.add(endpoint.own);
            EndpointLoad::new(endpoint.instance, load)
        };
        let mut totals: Vec<EndpointLoad> =
            endpoints.iter().zip(peer_loads).filter(inside).map(total).collect();
        // Where not all fit, each message continues after the one before.
        let start = self.turn.wrapping_mul(MAX_LOADS) % totals.len().max(1);
        totals.rotate_left(start);
        totals.truncate(MAX_LOADS);
        totals
    }

    /// Returns the next gateways outside the cell; those of one cell are at different places in the
    /// order, so that each recipient hears of the cell often.
    fn next_recipients(&mut self) -> Vec<SocketAddr> {
        let turn = self.turn;
        self.turn = turn.wrapping_add(1);
        let in_turn = |addrs: &[SocketAddr], count: usize| -> Vec<SocketAddr> {
            let count = count.min(addrs.len());
            let start = turn.wrapping_mul(count) + self.rank * addrs.len() / (self.mates.len() + 1);
            (0..count).map(|offset| addrs[(start + offset) % addrs.len()]).collect()
        };
        let mut recipients = in_turn(&self.near, NEAR_RECIPIENTS);
        recipients.extend(in_turn(&self.far, FAR_RECIPIENTS));
        recipients
    }
}

impl EndpointLoad {
    fn new(instance: u32, load: InFlightLoad) -> Self {
        let count = load.requests.min(u32::from(u16::MAX)) as u16;
        Self { instance, count, prefill_ms: load.prefill_ms }
    }
}

impl From<EndpointLoad> for InFlightLoad {
    fn from(load: EndpointLoad) -> Self {
        Self { requests: u32::from(load.count), prefill_ms: load.prefill_ms }
    }
}

fn add_all<'a>(loads: &mut Loads, added: impl IntoIterator<Item = &'a EndpointLoad>) {
    for load in added {
        loads.entry(load.instance).or_default().add((*load).into());
    }
}

fn loads(loads: impl IntoIterator<Item = (u32, InFlightLoad)>) -> Vec<EndpointLoad> {
    let some = loads.into_iter().filter(|(_, load)| load.requests > 0);
    some.map(|(instance, load)| EndpointLoad::new(instance, load)).take(MAX_LOADS).collect()
}
