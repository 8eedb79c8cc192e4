//! The declared fleet of a simulation.

use sequoiahold_core::{
    declare::{
        Backend, Client, Declaration, Model, Object, Pool, Role, Service, SourceLocation, Version,
        Vm, Zone,
    },
    ids::Digest,
    route::Policy,
    units::{ByteRate, Bytes, Share, Span},
    weights::Manifest,
};

/// Size of a chunk of the generated weights, in bytes.
const CHUNK_SIZE: Bytes = Bytes(64);
/// Scheduling weight of a large client account.
const LARGE_WEIGHT: u32 = 4;
/// Number of chunks of a version.
const CHUNK_COUNT: u64 = 4;

/// Size and behaviour of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct SimulationConfig {
    /// Number of availability zones, named `z1`, `z2` and so on.
    pub zones: u8,
    /// Number of entry VMs per zone, named `z1-entry-1` and so on.
    pub entries: u8,
    /// Number of endpoint VMs of the service `llm` per zone, named `z1-llm-1` and so on.
    pub endpoints: u8,
    /// Number of endpoint VMs of the plain service `orders` per zone, named `z1-orders-1` etc.
    pub plain_endpoints: u8,
    /// Concurrent requests that a warm engine can run.
    pub slots: u32,
    /// Concurrent requests that a cold engine can run.
    pub cold_slots: u32,
    /// Number of client accounts, named `c1`, `c2` and so on.
    pub clients: u8,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Routing policy of the entries.
    pub policy: Policy,
    /// Number of additional endpoint VMs of `llm` in the first zone.
    pub extra_endpoints: u8,
    /// Number of large client accounts, which have weight 4 and come first.
    pub large_clients: u8,
    /// Time from the first token of a request to its end.
    pub run_time: Span,
}

impl Default for SimulationConfig {
    fn default() -> Self {
        Self {
            zones: 2,
            entries: 1,
            endpoints: 2,
            plain_endpoints: 1,
            slots: 4,
            cold_slots: 1,
            clients: 2,
            seed: 1,
            policy: Policy::Credits,
            extra_endpoints: 0,
            large_clients: 0,
            run_time: Span::millis(150),
        }
    }
}

impl SimulationConfig {
    /// Returns the declared objects of the simulation.
    pub fn declarations(&self) -> Vec<Declaration> {
        let mut objects = vec![
            service("llm", Backend::Model(parse("llm")), true),
            service("orders", Backend::Plain, false),
            pool("llm", self.slots, self.cold_slots),
            pool("orders", 16, 16),
            Object::Model(Model { name: parse("llm"), version: parse("llm-1") }),
            version(1),
            version(2),
        ];
        objects.extend(
            (1..=self.clients)
                .map(|n| client(n, if n <= self.large_clients { LARGE_WEIGHT } else { 1 })),
        );
        for zone in 1..=self.zones {
            objects.push(Object::Zone(Zone {
                name: parse(&format!("z{zone}")),
                region: parse(&format!("r{zone}")),
                out: false,
                link: ByteRate(2_500_000),
            }));
            objects.extend((1..=self.entries).map(|n| vm(zone, "entry", n, Role::Entry)));
            let llm = Role::Endpoint(parse("llm"));
            let count = self.endpoints + if zone == 1 { self.extra_endpoints } else { 0 };
            objects.extend((1..=count).map(|n| vm(zone, "llm", n, llm.clone())));
            let orders = Role::Endpoint(parse("orders"));
            objects
                .extend((1..=self.plain_endpoints).map(|n| vm(zone, "orders", n, orders.clone())));
        }
        let source = |index| SourceLocation { file: "world".to_owned(), index };
        let declared = objects.into_iter().enumerate();
        declared.map(|(index, object)| Declaration { object, source: source(index) }).collect()
    }
}

/// Returns the manifest of a version and the data of its chunks.
pub(super) fn model_weights(number: u64) -> (Manifest, Vec<Vec<u8>>) {
    let data: Vec<u8> =
        (0..CHUNK_COUNT * CHUNK_SIZE.0).map(|i| (i / CHUNK_SIZE.0 * 16 + number) as u8).collect();
    let manifest = Manifest::from_data(&data, CHUNK_SIZE);
    (manifest, data.chunks(CHUNK_SIZE.0 as usize).map(<[u8]>::to_vec).collect())
}

fn parse<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("generated names are valid")
}

fn service(text: &str, backend: Backend, repeatable: bool) -> Object {
    Object::Service(Service { name: parse(text), backend, repeatable, timeout: Span::secs(30) })
}

fn pool(text: &str, slots: u32, cold: u32) -> Object {
    let step = Share(500);
    Object::Pool(Pool { name: parse(text), service: parse(text), slots, cold, step })
}

fn version(number: u64) -> Object {
    let (manifest, _) = model_weights(number);
    Object::Version(Version {
        name: parse(&format!("llm-{number}")),
        model: parse("llm"),
        manifest: manifest.digest(),
        size: manifest.size,
    })
}

fn client(number: u8, weight: u32) -> Object {
    Object::Client(Client {
        name: parse(&format!("c{number}")),
        key: Digest::of(&[number]),
        weight,
        services: vec![parse("llm"), parse("orders")],
    })
}

fn vm(zone: u8, kind: &str, number: u8, role: Role) -> Object {
    let host = match kind {
        "entry" => number,
        "llm" => 20 + number,
        _ => 200 + number,
    };
    Object::Vm(Vm {
        name: parse(&format!("z{zone}-{kind}-{number}")),
        zone: parse(&format!("z{zone}")),
        role,
        addr: ([127, 1, zone, host], 7400).into(),
    })
}
