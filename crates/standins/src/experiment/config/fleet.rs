//! Generated declarations of a large fleet whose client accounts change.

use sequoiahold_core::{
    declare::{Declaration, Object, PublishedSet, SetError, load::read_set},
    ids::{Digest, Generation},
};
use serde_json::{Value, json};

/// Number of zones, VMs and client accounts of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    /// Number of availability zones.
    pub zones: usize,
    /// Number of entry VMs.
    pub entries: usize,
    /// Number of endpoint VMs.
    pub endpoints: usize,
    /// Number of client accounts.
    pub clients: usize,
}

/// Declarations of a generated fleet, and their generation.
#[derive(Clone, Debug)]
pub struct Fleet {
    declared: Vec<Declaration>,
    generation: Generation,
    next_client: usize,
}

impl Fleet {
    /// Generates a fleet of the given size at generation 0.
    pub fn new(size: FleetSize) -> Self {
        let text = Value::Array(fleet_objects(size)).to_string();
        let (declared, _) =
            read_set([("fleet.json", text.as_str())]).expect("generated declarations are valid");
        Self { declared, generation: Generation(0), next_client: 0 }
    }

    /// Changes the weight of one client account and renders the set under the next generation.
    pub fn change_client(&mut self) -> Result<PublishedSet, SetError> {
        let clients =
            self.declared.iter_mut().filter_map(|declaration| match &mut declaration.object {
                Object::Client(client) => Some(client),
                _ => None,
            });
        let mut clients: Vec<_> = clients.collect();
        let i = self.next_client % clients.len();
        clients[i].weight = clients[i].weight % 9 + 1;
        self.next_client += 7;
        self.generation = self.generation.next();
        PublishedSet::render(&self.declared, self.generation)
    }

    /// Changes the weight of one client account and renders the set under the same generation.
    pub fn change_same_generation(&mut self) -> Result<PublishedSet, SetError> {
        self.generation = Generation(self.generation.0 - 1);
        self.change_client()
    }
}

fn fleet_objects(size: FleetSize) -> Vec<Value> {
    let digest = Digest::of(b"weights").to_string();
    let mut objects = vec![
        json!({"kind": "model", "name": "m", "version": "m-1"}),
        json!({"kind": "version", "name": "m-1", "model": "m", "manifest": digest, "size": "16GB"}),
        json!({"kind": "service", "name": "llm", "backend": {"model": "m"}, "repeatable": true, "timeout": "30s"}),
        json!({"kind": "pool", "name": "llm", "service": "llm", "slots": 32, "cold": 2}),
    ];
    let zone = |i: usize| format!("zone-{}", i % size.zones);
    objects.extend((0..size.zones).map(|i| {
        let region = format!("region-{}", i % 3);
        json!({"kind": "zone", "name": zone(i), "region": region, "link": "2500KB/s"})
    }));
    objects.extend((0..size.clients).map(|i| {
        let name = format!("account-{i}");
        let key = Digest::of(name.as_bytes()).to_string();
        json!({"kind": "client", "name": name, "key": key, "weight": 1, "services": ["llm"]})
    }));
    objects.extend((0..size.entries + size.endpoints).map(|i| {
        let (kind, role) = if i < size.entries {
            ("entry", json!("entry"))
        } else {
            ("llm", json!({"endpoint": "llm"}))
        };
        let name = format!("{}-{kind}-{i}", zone(i));
        json!({"kind": "vm", "name": name, "zone": zone(i), "role": role, "addr": vm_addr(i)})
    }));
    objects
}

fn vm_addr(i: usize) -> String {
    format!("10.{}.{}.{}:7400", i >> 16, (i >> 8) & 255, i & 255)
}
