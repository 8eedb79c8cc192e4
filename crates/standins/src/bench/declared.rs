//! Generated declarations of a given size.

use std::{fmt, net::SocketAddr};

use sequoiahold_core::{
    declare::{
        Backend, Client, Declaration, Model, Object, Pool, Role, Service, SourceLocation, Version,
        Vm, Zone,
    },
    ids::Digest,
    units::{ByteRate, Bytes, Share, Span},
    weights::Manifest,
};

/// The network of a generated deployment and its numbers of objects.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// The network of the running VMs.
    pub net: Subnet,
    /// Endpoint VMs that run.
    pub endpoints: u16,
    /// Endpoint VMs declared in another zone, which never run.
    pub remote_endpoints: u16,
    /// Client accounts.
    pub clients: u16,
}

/// A loopback network `127.number.0.0/16`, one for each point of a series.
#[derive(Clone, Copy, Debug)]
pub struct Subnet(u8);

impl Default for Subnet {
    fn default() -> Self {
        Self(60)
    }
}

impl fmt::Display for Subnet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl Subnet {
    /// Returns the loopback network `127.number.0.0/16`.
    pub fn new(number: u8) -> Self {
        Self(number)
    }

    /// Pairs each value with a network of its own.
    pub fn pair_each<T>(values: impl IntoIterator<Item = T>) -> impl Iterator<Item = (Self, T)> {
        (60..).map(Self).zip(values)
    }

    /// Returns the address of a running VM, by its number.
    pub fn address(self, host: u16, port: u16) -> SocketAddr {
        ([127, self.0, (host / 250) as u8 + 1, (host % 250) as u8 + 1], port).into()
    }
}

/// Returns declarations of an entry named `entry` and the endpoints of the pool `llm`.
pub fn declarations(counts: Counts, weights: &Manifest) -> Vec<Declaration> {
    let mut objects = vec![
        zone("near"),
        zone("far"),
        Object::Service(Service {
            name: name("llm"),
            backend: Backend::Model(name("llm")),
            repeatable: true,
            timeout: Span::secs(60),
        }),
        Object::Pool(Pool {
            name: name("llm"),
            service: name("llm"),
            slots: 64,
            cold: 64,
            step: Share(1_000),
        }),
        Object::Model(Model { name: name("llm"), version: name("llm-1") }),
        Object::Version(Version {
            name: name("llm-1"),
            model: name("llm"),
            manifest: weights.digest(),
            size: Bytes(weights.size.0),
        }),
        vm("entry", "near", Role::Entry, counts.net.address(0, 7400)),
        vm("entry-far", "far", Role::Entry, ([127, 59, 250, 1], 7400).into()),
    ];
    let pool = Role::Endpoint(name("llm"));
    objects.extend(
        (1..=counts.endpoints)
            .map(|n| vm(&format!("near-{n}"), "near", pool.clone(), counts.net.address(n, 7400))),
    );
    objects.extend((1..=counts.remote_endpoints.max(1)).map(|n| {
        let addr = ([127, 59, (n / 250) as u8, (n % 250) as u8 + 1], 7400).into();
        vm(&format!("far-{n}"), "far", pool.clone(), addr)
    }));
    objects.extend((0..counts.clients.max(1)).map(|n| {
        Object::Client(Client {
            name: name(&format!("account-{n}")),
            key: Digest::of(format!("key-account-{n}").as_bytes()),
            weight: 1,
            services: vec![name("llm")],
        })
    }));
    let source = |index| SourceLocation { file: "bench".to_owned(), index };
    let declared = objects.into_iter().enumerate();
    declared.map(|(index, object)| Declaration { object, source: source(index) }).collect()
}

pub(super) fn name<T: std::str::FromStr<Err: fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a generated name is valid")
}

fn zone(text: &str) -> Object {
    let link = ByteRate(2_500_000);
    Object::Zone(Zone { name: name(text), region: name(text), out: false, link })
}

fn vm(text: &str, zone: &str, role: Role, addr: SocketAddr) -> Object {
    Object::Vm(Vm { name: name(text), zone: name(zone), role, addr })
}
