//! Division of the gateways and endpoints of each availability zone into cells.
//!
//! Load pattern: in a large zone, no gateway can be told each request of every other gateway in
//! time. Within a cell the gateways are few enough to tell each other their load at its endpoints
//! at once; endpoints outside are used where the own cell is full, by loads that may be older.

use std::{collections::BTreeMap, rc::Rc};

use crate::{
    ids::{Digest, InstanceId, ServiceId, VmId, ZoneId},
    rendezvous,
};

/// Maximum number of gateways in a cell.
const MAX_GATEWAYS: usize = 12;

/// How a gateway is related to an endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Relation {
    /// Not yet assigned, or no gateway is in the endpoint's zone: all gateways are equal.
    #[default]
    Shared,
    /// The gateway goes first there.
    Primary,
    /// The endpoint is in the gateway's cell and has another primary.
    Cell,
    /// The endpoint is in another cell.
    Outside,
}

/// The assignment of an endpoint, as seen by one gateway.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Assignment {
    /// The relation of the gateway to the endpoint.
    pub relation: Relation,
    /// The primary gateway of the endpoint, `None` if all gateways are equal.
    pub primary: Option<Rc<VmId>>,
    /// The number of gateways in the endpoint's cell.
    pub cell_gateways: usize,
}

/// The cells of all zones, as seen by one gateway.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Cells {
    own: Option<Rc<VmId>>,
    salt: u32,
    zones: BTreeMap<ZoneId, Vec<Rc<VmId>>>,
}

impl Cells {
    /// Returns the cells of these gateways, which include `own`.
    pub fn new(own: &VmId, gateways: impl IntoIterator<Item = (VmId, ZoneId)>) -> Self {
        let mut zones: BTreeMap<ZoneId, Vec<Rc<VmId>>> = BTreeMap::new();
        for (vm, zone) in gateways {
            zones.entry(zone).or_default().push(Rc::new(vm));
        }
        zones.values_mut().for_each(|vms| vms.sort());
        let salt = Digest::of(own.as_str().as_bytes()).short_hash();
        Self { own: Some(Rc::new(own.clone())), salt, zones }
    }

    /// Returns the gateway as which the cells are seen.
    pub fn own(&self) -> Option<&VmId> {
        self.own.as_deref()
    }

    /// Returns a number that differs between gateways.
    pub fn salt(&self) -> u32 {
        self.salt
    }

    /// Returns the place of this gateway in an order of all gateways that is the same at all of them
    /// and differs between endpoints.
    pub fn rank(&self, instance: &InstanceId) -> usize {
        let Some(own) = &self.own else { return 0 };
        let weight = |vm: &VmId| rendezvous::weight(vm.as_str(), instance.as_str().as_bytes());
        let own_weight = weight(own);
        self.zones.values().flatten().filter(|vm| weight(vm) > own_weight).count()
    }

    /// Returns the other gateways: of the own cell, of the rest of its zone, and of other zones.
    pub fn others(&self) -> (Vec<&VmId>, Vec<&VmId>, Vec<&VmId>) {
        let (mut mates, mut near, mut far) = (vec![], vec![], vec![]);
        for vms in self.zones.values() {
            let own = vms.iter().position(|vm| Some(vm) == self.own.as_ref());
            let own_cell = own.map(|own| cell_of(vms.len(), own));
            for (index, vm) in vms.iter().enumerate().filter(|(index, _)| Some(*index) != own) {
                match own_cell {
                    None => far.push(&**vm),
                    Some(cell) if cell_of(vms.len(), index) == cell => mates.push(&**vm),
                    Some(_) => near.push(&**vm),
                }
            }
        }
        (mates, near, far)
    }

    /// Returns the assignments of endpoints, given by service and zone in an order that is the same
    /// at all gateways.
    ///
    /// The endpoints of a service in a zone are dealt to its cells, and those of a cell to its
    /// gateways, in turn.
    pub fn assign<'a>(
        &self,
        endpoints: impl IntoIterator<Item = (&'a ServiceId, &'a ZoneId)>,
    ) -> Vec<Assignment> {
        let mut dealt: BTreeMap<(&ServiceId, &ZoneId), usize> = BTreeMap::new();
        let mut assign = |service, zone| {
            let Some(vms) = self.zones.get(zone) else { return Assignment::default() };
            let index = dealt.entry((service, zone)).or_default();
            let cells = cell_count(vms.len());
            let (cell, turn) = (*index % cells, *index / cells);
            *index += 1;
            let members: Vec<usize> =
                (0..vms.len()).filter(|index| cell_of(vms.len(), *index) == cell).collect();
            let primary = vms[members[turn % members.len()]].clone();
            let mut inside = members.iter().map(|index| &vms[*index]);
            let relation = match &self.own {
                Some(own) if primary == *own => Relation::Primary,
                Some(own) if inside.any(|vm| vm == own) => Relation::Cell,
                _ => Relation::Outside,
            };
            Assignment { relation, primary: Some(primary), cell_gateways: members.len() }
        };
        endpoints.into_iter().map(|(service, zone)| assign(service, zone)).collect()
    }
}

fn cell_count(gateways: usize) -> usize {
    gateways.div_ceil(MAX_GATEWAYS).max(1)
}

/// Returns the cell of the gateway at this index in the order of its zone.
fn cell_of(gateways: usize, index: usize) -> usize {
    index * cell_count(gateways) / gateways.max(1)
}
