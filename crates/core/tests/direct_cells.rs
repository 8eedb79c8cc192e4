//! Cells of gateways and endpoints: division, exchange of loads, and limits for cold endpoints.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use rstest::rstest;
use sequoiahold_core::{
    direct::{
        cells::{Assignment, Cells, Relation},
        endpoint_state::InFlightLoad,
        load_exchange::{EndpointLoad, LoadExchange, LoadMessage, LoadReport, LocalLoad},
    },
    ids::{ServiceId, VmId, ZoneId},
    time::Time,
};

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("valid name")
}

fn ms(ms: u64) -> Time {
    Time(ms * 1_000)
}

fn gateways(count: usize, zones: usize) -> Vec<(VmId, ZoneId)> {
    let gateway =
        |index: usize| (name(&format!("g-{index:03}")), name(&format!("z{}", index % zones)));
    (0..count).map(gateway).collect()
}

/// Returns the services and zones of endpoints.
fn endpoints(count: usize, zones: usize) -> Vec<(ServiceId, ZoneId)> {
    (0..count).map(|index| (name("llm"), name(&format!("z{}", index % zones)))).collect()
}

fn assign(cells: &Cells, endpoints: &[(ServiceId, ZoneId)]) -> Vec<Assignment> {
    cells.assign(endpoints.iter().map(|(service, zone)| (service, zone)))
}

#[rstest]
#[case::small_site(8, 16, 3)]
#[case::grown_site(33, 58, 3)]
#[case::large_site(149, 156, 5)]
#[case::many_gateways(810, 156, 8)]
#[case::many_endpoints(16, 4_500, 8)]
fn each_endpoint_has_one_primary_and_a_bounded_cell(
    #[case] count: usize,
    #[case] servers: usize,
    #[case] zones: usize,
) {
    let (gateways, endpoints) = (gateways(count, zones), endpoints(servers, zones));
    let mut primaries = vec![BTreeSet::new(); servers];
    let mut members = vec![0; servers];
    for (own, _) in &gateways {
        let cells = Cells::new(own, gateways.clone());
        let (mates, near, far) = cells.others();
        assert!(mates.len() < 12);
        assert_eq!(mates.len() + near.len() + far.len(), count - 1);
        for (index, assignment) in assign(&cells, &endpoints).into_iter().enumerate() {
            let inside = matches!(assignment.relation, Relation::Primary | Relation::Cell);
            members[index] += usize::from(inside);
            primaries[index].insert(assignment.primary.expect("a gateway in the zone"));
        }
    }
    assert!(primaries.iter().all(|primaries| primaries.len() == 1));
    assert!(members.iter().all(|members| (1..=12).contains(members)), "{members:?}");
}

#[test]
fn zone_without_gateways_is_shared_by_all() {
    let cells = Cells::new(&name("g-000"), gateways(4, 2));
    let [assignment] = &assign(&cells, &[(name("llm"), name("z9"))])[..] else {
        panic!("one endpoint")
    };
    assert_eq!(*assignment, Assignment::default());
}

fn local_load<'a>(
    (index, (assignment, own)): (usize, (&'a Assignment, &InFlightLoad)),
) -> LocalLoad<'a> {
    let primary = assignment.primary.as_deref();
    LocalLoad { instance: index as u32, relation: assignment.relation, primary, own: *own }
}

/// Gateways that exchange loads without losses, one round each in 70 ms.
struct Exchange {
    gateways: Vec<(VmId, ZoneId)>,
    exchanges: Vec<LoadExchange>,
    assignments: Vec<Vec<Assignment>>,
    loads: Vec<Vec<InFlightLoad>>,
    sent: usize,
}

impl Exchange {
    fn new(count: usize, servers: usize, zones: usize) -> Self {
        let gateways = gateways(count, zones);
        let endpoints = endpoints(servers, zones);
        let addrs: BTreeMap<VmId, _> = gateways
            .iter()
            .enumerate()
            .map(|(index, (vm, _))| (vm.clone(), ([127, 0, 0, 1], index as u16).into()))
            .collect();
        let mut exchanges = vec![];
        let mut assignments = vec![];
        for (own, _) in &gateways {
            let cells = Cells::new(own, gateways.clone());
            let mut exchange = LoadExchange::default();
            exchange.set_gateways(&cells, addrs.clone());
            exchanges.push(exchange);
            assignments.push(assign(&cells, &endpoints));
        }
        let loads = vec![vec![InFlightLoad::default(); servers]; count];
        Self { gateways, exchanges, assignments, loads, sent: 0 }
    }

    fn local_loads(&self, gateway: usize) -> Vec<LocalLoad<'_>> {
        let own = self.loads[gateway].iter();
        self.assignments[gateway].iter().zip(own).enumerate().map(local_load).collect()
    }

    /// Runs one round of each gateway.
    fn round(&mut self, now: Time) {
        let mut inbox: Vec<(usize, LoadMessage)> = vec![];
        for gateway in 0..self.gateways.len() {
            let mut exchange = std::mem::take(&mut self.exchanges[gateway]);
            let own = &self.gateways[gateway].0;
            let loads = self.local_loads(gateway);
            let peer_loads = exchange.peer_loads(now, &loads);
            for (message, to) in exchange.start_round(now, own, &loads, &peer_loads) {
                inbox.extend(to.iter().map(|addr| (usize::from(addr.port()), message.clone())));
            }
            self.exchanges[gateway] = exchange;
        }
        self.sent += inbox.len();
        inbox.into_iter().for_each(|(to, message)| self.exchanges[to].receive(now, message));
    }

    /// Returns the load of the other gateways at an endpoint as known to a gateway.
    fn known(&mut self, now: Time, gateway: usize, endpoint: usize) -> u32 {
        let mut exchange = std::mem::take(&mut self.exchanges[gateway]);
        let loads = exchange.peer_loads(now, &self.local_loads(gateway));
        self.exchanges[gateway] = exchange;
        loads[endpoint].requests
    }
}

#[test]
fn cell_knows_each_load_after_one_round_and_a_guest_after_two() {
    let mut fleet = Exchange::new(149, 156, 5);
    let relation = |fleet: &Exchange, gateway: usize| fleet.assignments[gateway][0].relation;
    let of = |fleet: &Exchange, wanted| {
        (0..149).filter(|gateway| relation(fleet, *gateway) == wanted).collect::<Vec<usize>>()
    };
    let (primary, mates, outsiders) = (
        of(&fleet, Relation::Primary)[0],
        of(&fleet, Relation::Cell),
        of(&fleet, Relation::Outside),
    );
    let load = |requests| InFlightLoad { requests, prefill_ms: requests * 70 };
    fleet.loads[primary][0] = load(3);
    fleet.loads[mates[0]][0] = load(2);
    fleet.loads[outsiders[0]][0] = load(1);
    fleet.round(ms(0));
    assert_eq!(fleet.known(ms(0), mates[1], 0), 5);
    assert_eq!(fleet.known(ms(0), primary, 0), 3);
    fleet.round(ms(70));
    assert_eq!(fleet.known(ms(70), mates[1], 0), 6);
    for step in 2..30 {
        fleet.round(ms(step * 70));
    }
    assert!(outsiders[1..].iter().all(|gateway| fleet.known(ms(2_030), *gateway, 0) == 6));
    // The total is told with the own load, which is not a load of others.
    assert_eq!(fleet.known(ms(2_030), outsiders[0], 0), 5);
    fleet.loads[outsiders[0]][0] = load(0);
    fleet.round(ms(2_100));
    fleet.round(ms(2_170));
    assert_eq!(fleet.known(ms(2_170), mates[1], 0), 5);
}

#[test]
fn messages_of_a_gateway_do_not_grow_with_the_fleet() {
    let rate = |gateways: usize, zones: usize| {
        let mut fleet = Exchange::new(gateways, gateways, zones);
        for step in 0..20 {
            for gateway in 0..gateways {
                fleet.loads[gateway][gateway].requests = step;
                fleet.loads[gateway][(gateway + 1) % gateways].requests = step;
            }
            fleet.round(ms(u64::from(step) * 70));
        }
        fleet.sent as f64 / gateways as f64 / 20.0
    };
    let (grown, large, target) = (rate(33, 3), rate(149, 5), rate(810, 8));
    assert!(large <= grown * 1.3 && target <= grown * 1.3, "{grown}, {large}, {target}");
}

#[test]
fn silent_gateways_loads_expire() {
    let mut fleet = Exchange::new(8, 8, 2);
    let mate = (0..8).find(|gateway| fleet.assignments[*gateway][0].relation == Relation::Cell);
    let (host, mate) = (
        (0..8).find(|gateway| fleet.assignments[*gateway][0].relation == Relation::Primary),
        mate.expect("a mate"),
    );
    fleet.loads[host.expect("a primary")][0].requests = 4;
    fleet.round(ms(0));
    assert_eq!(fleet.known(ms(0), mate, 0), 4);
    assert_eq!(fleet.known(ms(1_300), mate, 0), 0);
}

#[test]
fn assignment_changes_little_when_a_gateway_leaves() {
    let all = gateways(149, 5);
    let endpoints = endpoints(156, 5);
    let primary = |gateways: &[(VmId, ZoneId)]| -> HashMap<usize, VmId> {
        let cells = Cells::new(&gateways[0].0, gateways.iter().cloned());
        let primaries = assign(&cells, &endpoints).into_iter().enumerate();
        primaries
            .filter_map(|(index, found)| Some((index, found.primary?.as_ref().clone())))
            .collect()
    };
    let before = primary(&all);
    let after = primary(&all[..148]);
    let moved = before.iter().filter(|(index, vm)| after.get(index) != Some(*vm)).count();
    // Only the zone of the gateway that left may change.
    assert!(moved <= 32, "{moved} of 156 endpoints have another primary");
}

#[test]
fn report_of_many_endpoints_fits_into_a_datagram() {
    let mut exchange = LoadExchange::default();
    let cells = Cells::new(&name("g-000"), gateways(1, 1));
    exchange.set_gateways(&cells, BTreeMap::new());
    let load = |instance: u32| EndpointLoad {
        instance: u32::MAX - instance,
        count: u16::MAX,
        prefill_ms: 100_000,
    };
    let report = LoadReport {
        from: name("some-other-gateway-with-a-long-name-12"),
        loads: (0..200).map(load).collect(),
        guests: vec![],
    };
    exchange.receive(ms(0), LoadMessage::Report(report));
    let own: VmId = name("a-gateway-with-a-name-of-forty-characters");
    let busy = InFlightLoad { requests: 70_000, prefill_ms: 100_000 };
    let endpoints: Vec<LocalLoad> = (0..200)
        .map(|index| LocalLoad {
            instance: u32::MAX - index,
            relation: Relation::Primary,
            primary: Some(&own),
            own: busy,
        })
        .collect();
    let peer_loads = exchange.peer_loads(ms(10), &endpoints);
    for (message, _) in exchange.start_round(ms(10), &own, &endpoints, &peer_loads) {
        let bytes = postcard::to_stdvec(&message).expect("encodes");
        assert!(bytes.len() < 1_400, "{} bytes", bytes.len());
    }
}
