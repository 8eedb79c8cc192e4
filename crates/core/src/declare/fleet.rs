//! The fleet that a valid set of declarations describes.

use std::collections::BTreeMap;

use super::{Adapter, Backend, Client, Model, Object, Pool, Role, Service, Version, Vm, Zone};
use crate::ids::{
    AdapterId, ClientId, Digest, ModelId, PoolId, ServiceId, VersionId, VmId, ZoneId,
};

/// All declared objects, by kind and name.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Fleet {
    /// The availability zones.
    pub zones: BTreeMap<ZoneId, Zone>,
    /// The endpoint pools.
    pub pools: BTreeMap<PoolId, Pool>,
    /// The services.
    pub services: BTreeMap<ServiceId, Service>,
    /// The models.
    pub models: BTreeMap<ModelId, Model>,
    /// The versions.
    pub versions: BTreeMap<VersionId, Version>,
    /// The adapters.
    pub adapters: BTreeMap<AdapterId, Adapter>,
    /// The client accounts.
    pub clients: BTreeMap<ClientId, Client>,
    /// The VMs.
    pub vms: BTreeMap<VmId, Vm>,
}

impl Fleet {
    /// Returns the fleet of these objects; of two with the same kind and name, the last is kept.
    pub fn new(objects: impl IntoIterator<Item = Object>) -> Self {
        let mut fleet = Self::default();
        for object in objects {
            fleet.insert(object);
        }
        fleet
    }

    /// Returns the version that endpoints of `pool` serve, or `None` if its service is plain.
    pub fn pool_version(&self, pool: &PoolId) -> Option<&Version> {
        let service = self.services.get(&self.pools.get(pool)?.service)?;
        let Backend::Model(model) = &service.backend else { return None };
        self.versions.get(&self.models.get(model)?.version)
    }

    /// Returns the pool of an endpoint VM, or `None` for other VMs.
    pub fn pool_of(&self, vm: &VmId) -> Option<&Pool> {
        match &self.vms.get(vm)?.role {
            Role::Endpoint(pool) => self.pools.get(pool),
            Role::Entry => None,
        }
    }

    /// Returns the endpoint VMs that serve `service`.
    pub fn endpoints<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Vm> {
        self.vms.values().filter(move |vm| match &vm.role {
            Role::Endpoint(pool) => self.pools.get(pool).is_some_and(|p| p.service == *service),
            Role::Entry => false,
        })
    }

    /// Returns whether the zone of a VM is in service.
    pub fn zone_in_service(&self, vm: &VmId) -> bool {
        let zone = self.vms.get(vm).and_then(|vm| self.zones.get(&vm.zone));
        zone.is_some_and(|zone| !zone.out)
    }

    /// Returns the client account with this API key digest.
    pub fn client_by_key(&self, key: &Digest) -> Option<&Client> {
        self.clients.values().find(|client| client.key == *key)
    }

    fn insert(&mut self, object: Object) {
        match object {
            Object::Zone(o) => drop(self.zones.insert(o.name.clone(), o)),
            Object::Pool(o) => drop(self.pools.insert(o.name.clone(), o)),
            Object::Service(o) => drop(self.services.insert(o.name.clone(), o)),
            Object::Model(o) => drop(self.models.insert(o.name.clone(), o)),
            Object::Version(o) => drop(self.versions.insert(o.name.clone(), o)),
            Object::Adapter(o) => drop(self.adapters.insert(o.name.clone(), o)),
            Object::Client(o) => drop(self.clients.insert(o.name.clone(), o)),
            Object::Vm(o) => drop(self.vms.insert(o.name.clone(), o)),
        }
    }
}
