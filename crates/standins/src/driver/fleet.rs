//! The declared fleet of a driven world.

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

/// Size of a chunk of the generated weights.
const CHUNK_SIZE: Bytes = Bytes(64);
/// The weight of a large client account.
const LARGE_WEIGHT: u32 = 4;
/// Chunks of a version.
const CHUNK_COUNT: u64 = 4;

/// The size and behaviour of a driven world.
#[derive(Clone, Copy, Debug)]
pub struct WorldConfig {
    /// Availability zones, named `z1`, `z2` and so on.
    pub zones: u8,
    /// Entry VMs in a zone, named `z1-entry-1` and so on.
    pub entries: u8,
    /// Endpoint VMs of the service `llm` in a zone, named `z1-llm-1` and so on.
    pub endpoints: u8,
    /// Endpoint VMs of the plain service `orders` in a zone, named `z1-orders-1` and so on.
    pub plain_endpoints: u8,
    /// Requests that a warm engine bears.
    pub slots: u32,
    /// Requests that a cold engine bears.
    pub cold_slots: u32,
    /// Client accounts, named `c1`, `c2` and so on.
    pub clients: u8,
    /// The seed of all random choices.
    pub seed: u64,
    /// How entries choose endpoints.
    pub policy: Policy,
    /// Endpoint VMs of `llm` that the first zone has besides.
    pub extra_endpoints: u8,
    /// Client accounts of weight 4, the first ones.
    pub large_clients: u8,
    /// Time that an engine runs a request after its first token.
    pub run_time: Span,
}

impl Default for WorldConfig {
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

impl WorldConfig {
    /// Returns the declared objects of the world.
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

/// Returns the chunks of a version and its manifest.
pub(super) fn model_weights(number: u64) -> (Manifest, Vec<Vec<u8>>) {
    let data: Vec<u8> =
        (0..CHUNK_COUNT * CHUNK_SIZE.0).map(|i| (i / CHUNK_SIZE.0 * 16 + number) as u8).collect();
    let manifest = Manifest::from_data(&data, CHUNK_SIZE);
    (manifest, data.chunks(CHUNK_SIZE.0 as usize).map(<[u8]>::to_vec).collect())
}

fn parse<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a generated name is sound")
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
