//! Division of the gateways and endpoints of each availability zone into cells.
//!
//! Load pattern: in a large zone, no gateway can be told each request of every other gateway in
//! time. Within a cell the gateways are few enough to tell each other their load at its endpoints
//! at once; endpoints outside are used where the own cell is full, by loads that may be older.

use std::{collections::BTreeMap, rc::Rc};

use crate::ids::{Digest, ServiceId, VmId, ZoneId};

/// Maximum number of gateways in a cell.
const MAX_GATEWAYS: usize = 12;
/// Odd factor that mixes the bits of a product.
const MIX_FACTOR: u64 = 0x9E37_79B9_7F4A_7C15;

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

/// A gateway of a zone.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Gateway {
    vm: Rc<VmId>,
    /// A number that differs between gateways.
    salt: u32,
}

impl Gateway {
    fn new(vm: VmId) -> Self {
        let salt = Digest::of(vm.as_str().as_bytes()).short_hash();
        Self { vm: Rc::new(vm), salt }
    }

    /// Returns the rendezvous weight of the gateway for an endpoint, given by its hash.
    fn weight(&self, endpoint: u32) -> u64 {
        let mixed = (u64::from(self.salt) << 32 | u64::from(endpoint)).wrapping_mul(MIX_FACTOR);
        (mixed ^ mixed >> 29).wrapping_mul(MIX_FACTOR)
    }
}

/// The cells of all zones, as seen by one gateway.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Cells {
    own: Option<Gateway>,
    zones: BTreeMap<ZoneId, Vec<Gateway>>,
}

impl Cells {
    /// Returns the cells of these gateways, which include `own`.
    pub fn new(own: &VmId, gateways: impl IntoIterator<Item = (VmId, ZoneId)>) -> Self {
        let mut zones: BTreeMap<ZoneId, Vec<Gateway>> = BTreeMap::new();
        for (vm, zone) in gateways {
            zones.entry(zone).or_default().push(Gateway::new(vm));
        }
        zones.values_mut().for_each(|gateways| gateways.sort_by(|a, b| a.vm.cmp(&b.vm)));
        Self { own: Some(Gateway::new(own.clone())), zones }
    }

    /// Returns the gateway as which the cells are seen.
    pub fn own(&self) -> Option<&VmId> {
        self.own.as_ref().map(|own| &*own.vm)
    }

    /// Returns the place of this gateway in an order of all gateways that is the same at all of them
    /// and differs between endpoints.
    pub fn rank(&self, endpoint: u32) -> usize {
        let Some(own) = &self.own else { return 0 };
        let weight = own.weight(endpoint);
        self.zones.values().flatten().filter(|gateway| gateway.weight(endpoint) > weight).count()
    }

    /// Returns the same among the gateways that have the same relation to an endpoint of a zone.
    pub fn group_rank(&self, zone: &ZoneId, assignment: &Assignment, endpoint: u32) -> usize {
        let (Some(own), primary) = (&self.own, assignment.primary.as_ref()) else { return 0 };
        let weight = own.weight(endpoint);
        let gateways = self.zones.get(zone).map_or(&[][..], Vec::as_slice);
        let index = gateways.iter().position(|gateway| Some(&gateway.vm) == primary);
        let cell = index.map(|index| cell_of(gateways.len(), index));
        let is_cell = assignment.relation == Relation::Cell;
        let mut rank = 0;
        for (known, gateways) in &self.zones {
            let group = gateways.iter().enumerate().filter(|(index, gateway)| {
                let inside = known == zone && Some(cell_of(gateways.len(), *index)) == cell;
                inside == is_cell && Some(&gateway.vm) != primary
            });
            rank += group.filter(|(_, gateway)| gateway.weight(endpoint) > weight).count();
        }
        rank
    }

    /// Returns the other gateways: of the own cell, of the rest of its zone, and of other zones.
    pub fn others(&self) -> (Vec<&VmId>, Vec<&VmId>, Vec<&VmId>) {
        let (mut mates, mut near, mut far) = (vec![], vec![], vec![]);
        for gateways in self.zones.values() {
            let own = self.own.as_ref();
            let own =
                gateways.iter().position(|gateway| Some(&gateway.vm) == own.map(|own| &own.vm));
            let own_cell = own.map(|own| cell_of(gateways.len(), own));
            for (index, gateway) in
                gateways.iter().enumerate().filter(|(index, _)| Some(*index) != own)
            {
                match own_cell {
                    None => far.push(&*gateway.vm),
                    Some(cell) if cell_of(gateways.len(), index) == cell => {
                        mates.push(&*gateway.vm)
                    }
                    Some(_) => near.push(&*gateway.vm),
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
            let primary = vms[members[turn % members.len()]].vm.clone();
            let mut inside = members.iter().map(|index| &vms[*index].vm);
            let relation = match &self.own {
                Some(own) if primary == own.vm => Relation::Primary,
                Some(own) if inside.any(|vm| *vm == own.vm) => Relation::Cell,
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
