//! A fleet of gateways in virtual time that place requests to one service.

use std::collections::BTreeMap;

use sequoiahold_core::{
    direct::{
        catalog::{Catalog, EndpointEntry, Service},
        cells::Cells,
        platform::PublishedValue,
        scheduler::{PlacementRequest, Scheduler, SchedulerConfig},
        view::View,
    },
    ids::{VmId, ZoneId},
    time::Time,
    units::Span,
};

/// Number of availability zones.
const ZONES: usize = 3;

pub fn ms(ms: u64) -> Time {
    Time(ms * 1_000)
}

pub fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("valid name")
}

fn zone(index: usize) -> ZoneId {
    name(&format!("z{}", index % ZONES))
}

pub fn entry(index: usize, started_ms: u64) -> EndpointEntry {
    EndpointEntry {
        instance: name(&format!("i-{index}")),
        service: name("orders"),
        addr: ([127, 0, 0, 1], 1_000 + index as u16).into(),
        zone: zone(index),
        slots: 8,
        leaving: false,
        cold_time: Span(0),
        loaded: None,
        started_ms: Some(started_ms),
    }
}

pub fn publish(view: &mut View, entry: EndpointEntry) {
    let published = PublishedValue::Endpoint(entry.instance.clone(), Some(entry));
    view.apply(ms(0), published, Some(ms(0)));
}

pub fn view(endpoints: usize, cold_rate: Option<f64>) -> View {
    let mut catalog = Catalog::new(1, []);
    let service = Service {
        name: name("orders"),
        max_connections: 100,
        cold_rate,
        engine: None,
        origin: None,
    };
    catalog.services.insert(name("orders"), service);
    let mut view = View::default();
    view.apply(ms(0), PublishedValue::Catalog(Box::new(catalog)), Some(ms(0)));
    (0..endpoints).for_each(|index| publish(&mut view, entry(index, 1_000)));
    view
}

/// Returns the schedulers of `count` gateways that know each other.
pub fn schedulers(count: usize, view: &View) -> Vec<Scheduler> {
    schedulers_with(count, view, false)
}

/// Returns the same schedulers, with or without a pace for endpoints that start.
pub fn schedulers_with(count: usize, view: &View, pace: bool) -> Vec<Scheduler> {
    let gateways: Vec<(VmId, ZoneId)> =
        (0..count).map(|index| (name(&format!("g-{index:03}")), zone(index))).collect();
    let regions: BTreeMap<ZoneId, _> =
        (0..ZONES).map(|index| (zone(index), name(&format!("r{index}")))).collect();
    let scheduler = |(own, zone): &(VmId, ZoneId)| {
        let mut scheduler = Scheduler::new(SchedulerConfig {
            zone: zone.clone(),
            regions: regions.clone(),
            rollout_time: Span::secs(8),
            cold_factor: 1.5,
            cold_extra: 5.0,
            pace,
        });
        scheduler.update(view);
        scheduler.set_gateway_count(count);
        scheduler.assign(&Cells::new(own, gateways.clone()));
        scheduler
    };
    gateways.iter().map(scheduler).collect()
}

pub fn request(now: Time) -> PlacementRequest {
    PlacementRequest {
        service: name("orders"),
        account: None,
        priority: 1.into(),
        regions: None,
        model: None,
        tokens: (0, 0),
        objective: now + Span::millis(150),
        deadline: now + Span::millis(2_500),
        tried: vec![],
        healthy_only: false,
    }
}
