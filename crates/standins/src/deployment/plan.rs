//! Declared deployments and changes to their declarations.

use std::{
    collections::{BTreeMap, BTreeSet},
    path::Path,
};

use sequoiahold::command::files;
use sequoiahold_core::{
    declare::{Backend, Declaration, Fleet, Object, Pool, Role, Service, Vm, load::read_set},
    ids::{ServiceId, VersionId, VmId, ZoneId},
    units::Bytes,
};

use super::network::Network;
use crate::content::Content;

/// The directory of the declared deployments in the checkout.
pub const EXAMPLES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");

/// The declarations of a deployment and the fleet that they describe.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The declared objects, each with its source location.
    pub declared: Vec<Declaration>,
    /// The fleet built from the declared objects.
    pub fleet: Fleet,
    /// The size of a chunk of weights.
    pub chunk_size: Bytes,
}

impl Plan {
    /// Reads the deployment `name` below `examples`; an error reports the first invalid object.
    pub fn read(examples: &Path, name: &str) -> anyhow::Result<Self> {
        let files = files::read_set_files(&examples.join(name))?;
        let set = read_set(files.iter().map(|(name, text)| (name.as_str(), text.as_str())));
        let (declared, fleet) = set.map_err(|errors| anyhow::anyhow!("{}", errors[0]))?;
        Ok(Self { declared, fleet, chunk_size: Bytes(64_000) })
    }

    /// Returns a deployment of two zones, each with an entry, two engines and one order service.
    pub fn small(examples: &Path) -> anyhow::Result<Self> {
        let plan = Self::read(examples, "glasmarke")?;
        let zones: BTreeSet<ZoneId> = plan.fleet.zones.keys().take(2).cloned().collect();
        let (model, orders) = (plan.model_service(), plan.order_service());
        let is_kept = |vm: &Vm| {
            let name = vm.name.as_str();
            let has_suffix = |role: &str, number: u32| name.ends_with(&format!("-{role}-{number}"));
            let engine = has_suffix(model.as_str(), 1) || has_suffix(model.as_str(), 2);
            zones.contains(&vm.zone)
                && (engine || has_suffix("entry", 1) || has_suffix(orders.as_str(), 1))
        };
        plan.retain_vms(is_kept).resize(Bytes(1_000_000), Bytes(8_000))
    }

    /// Returns the first entry of each zone, which processes contact before they know others.
    pub fn seeds(&self) -> Vec<Vm> {
        let mut first: BTreeMap<&ZoneId, &Vm> = BTreeMap::new();
        for vm in self.fleet.vms.values().filter(|vm| vm.role == Role::Entry) {
            first.entry(&vm.zone).or_insert(vm);
        }
        first.into_values().cloned().collect()
    }

    /// Removes the VMs that `keep` rejects, and the zones, pools and services no VM then needs.
    pub fn retain_vms(mut self, keep: impl Fn(&Vm) -> bool) -> Self {
        let fleet = &self.fleet;
        let vms: Vec<&Vm> = fleet.vms.values().filter(|vm| keep(vm)).collect();
        let names: BTreeSet<&VmId> = vms.iter().map(|vm| &vm.name).collect();
        let zones: BTreeSet<&ZoneId> = vms.iter().map(|vm| &vm.zone).collect();
        let pools: Vec<&Pool> = vms.iter().filter_map(|vm| fleet.pool_of(&vm.name)).collect();
        let serves = |service: &ServiceId| pools.iter().any(|pool| pool.service == *service);
        self.declared.retain(|declaration| match &declaration.object {
            Object::Vm(vm) => names.contains(&vm.name),
            Object::Zone(zone) => zones.contains(&zone.name),
            Object::Pool(pool) => serves(&pool.service),
            Object::Service(service) => serves(&service.name),
            _ => true,
        });
        for declaration in &mut self.declared {
            if let Object::Client(client) = &mut declaration.object {
                client.services.retain(&serves);
            }
        }
        self.rebuild_fleet();
        self
    }

    /// Moves all VMs to another loopback network.
    pub fn move_to(&mut self, network: &Network) {
        for vm in self.declared.iter_mut().filter_map(vm_mut) {
            vm.addr = network.translate(vm.addr);
        }
        self.rebuild_fleet();
    }

    /// Sets the size of the weights of all versions and of their chunks.
    pub fn resize(mut self, size: Bytes, chunk: Bytes) -> anyhow::Result<Self> {
        for declaration in &mut self.declared {
            if let Object::Version(version) = &mut declaration.object {
                version.size = size;
                version.manifest = Content::of(&version.name, size, chunk)?.manifest.digest();
            }
        }
        self.chunk_size = chunk;
        self.rebuild_fleet();
        Ok(self)
    }

    /// Returns the version of the first model with this number, counted from 1.
    pub fn version(&self, number: usize) -> VersionId {
        self.fleet.versions.keys().nth(number - 1).cloned().expect("the plan has two versions")
    }

    /// Returns the first zone.
    pub fn first_zone(&self) -> ZoneId {
        self.fleet.zones.keys().next().cloned().expect("the plan has a zone")
    }

    /// Returns the endpoint VMs of model services.
    pub fn model_vms(&self) -> Vec<VmId> {
        let engines = self.fleet.vms.values().filter(|vm| self.is_model_vm(vm));
        engines.map(|vm| vm.name.clone()).collect()
    }

    /// Returns the endpoint VMs of the service that takes orders.
    pub fn order_vms(&self) -> Vec<VmId> {
        let orders = self.order_service();
        self.fleet.endpoints(&orders).map(|vm| vm.name.clone()).collect()
    }

    /// Returns the entry VMs.
    pub fn entry_vms(&self) -> Vec<VmId> {
        let entries = self.fleet.vms.values().filter(|vm| vm.role == Role::Entry);
        entries.map(|vm| vm.name.clone()).collect()
    }

    /// Returns the first model service.
    pub fn model_service(&self) -> ServiceId {
        self.find_service(|service| matches!(service.backend, Backend::Model(_)))
    }

    /// Returns the first plain service whose calls are not repeatable.
    pub fn order_service(&self) -> ServiceId {
        self.find_service(|service| {
            matches!(service.backend, Backend::Plain) && !service.repeatable
        })
    }

    /// Sets the version that every declared model serves, by its number.
    pub fn set_version(&self, declared: &mut [Declaration], number: usize) {
        for declaration in declared {
            if let Object::Model(model) = &mut declaration.object {
                model.version = self.version(number);
            }
        }
    }

    /// Sets whether a zone is out of service.
    pub fn set_zone_out(&self, declared: &mut [Declaration], zone: &ZoneId, out: bool) {
        for declaration in declared {
            if let Object::Zone(object) = &mut declaration.object
                && object.name == *zone
            {
                object.out = out;
            }
        }
    }

    /// Returns the size of the weights of the first model.
    pub fn weights_size(&self) -> Bytes {
        self.fleet.versions.values().next().map_or(Bytes(0), |version| version.size)
    }

    fn is_model_vm(&self, vm: &Vm) -> bool {
        match &vm.role {
            Role::Endpoint(pool) => self.fleet.pool_version(pool).is_some(),
            Role::Entry => false,
        }
    }

    fn find_service(&self, wanted: impl Fn(&Service) -> bool) -> ServiceId {
        let service = self.fleet.services.values().find(|service| wanted(service));
        service.map(|service| service.name.clone()).expect("the plan has both kinds of service")
    }

    fn rebuild_fleet(&mut self) {
        self.fleet = Fleet::new(self.declared.iter().map(|declaration| declaration.object.clone()));
    }
}

fn vm_mut(declaration: &mut Declaration) -> Option<&mut Vm> {
    match &mut declaration.object {
        Object::Vm(vm) => Some(vm),
        _ => None,
    }
}
