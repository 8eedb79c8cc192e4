//! What a process believes of the published state: configuration, endpoints, zones, versions.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
};

use super::{
    catalog::{Catalog, Listed, Loaded},
    seam::Published,
};
use crate::{
    ids::{InstanceId, ModelId, ZoneId},
    time::Time,
    units::Span,
};

/// Time after an outage of the platform in which a missing entry may come back: the platform says
/// that entries of live endpoints are back within about two seconds.
const RETURN: Span = Span::millis(1_700);

/// An endpoint as it is believed to be.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its entry in the list.
    pub listed: Listed,
    /// Until when it is cold by its entry.
    pub cold: Time,
    /// When it is given up unless its entry comes back.
    pub doubt: Option<Time>,
}

/// The version of a model that operators want.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Wanted {
    /// The version.
    pub version: u64,
    /// When this process learnt of it.
    pub since: Time,
}

/// What a change did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Effect {
    /// A newer configuration is in force.
    Catalog,
    /// Endpoints, zones or versions changed.
    Endpoints,
    /// Nothing changed.
    None,
}

/// The published state.
#[derive(Clone, Debug, Default)]
pub struct View {
    catalog: Option<Rc<Catalog>>,
    endpoints: BTreeMap<InstanceId, Endpoint>,
    out: BTreeSet<ZoneId>,
    wanted: BTreeMap<ModelId, Wanted>,
    returned: Option<Time>,
}

impl View {
    /// Returns the configuration in force.
    pub fn catalog(&self) -> Option<&Rc<Catalog>> {
        self.catalog.as_ref()
    }

    /// Returns the endpoints.
    pub fn endpoints(&self) -> &BTreeMap<InstanceId, Endpoint> {
        &self.endpoints
    }

    /// Returns whether operators have taken a zone out.
    pub fn is_out(&self, zone: &ZoneId) -> bool {
        self.out.contains(zone)
    }

    /// Returns the version of a model that operators want.
    pub fn wanted(&self, model: &ModelId) -> Option<Wanted> {
        self.wanted.get(model).copied()
    }

    /// Returns the models with a wanted version.
    pub fn models(&self) -> impl Iterator<Item = (&ModelId, &Wanted)> {
        self.wanted.iter()
    }

    /// Takes note that the platform answers again after an outage.
    pub fn platform_returned(&mut self, now: Time) {
        self.returned = Some(now);
    }

    /// Takes a published value.
    pub fn apply(&mut self, now: Time, published: Published) -> Effect {
        match published {
            Published::Catalog(catalog) => self.set_catalog(*catalog),
            Published::Endpoint(instance, Some(listed)) => {
                let cold = now + listed.cold;
                self.endpoints.insert(instance, Endpoint { listed, cold, doubt: None });
                Effect::Endpoints
            }
            Published::Endpoint(instance, None) => self.remove(now, &instance),
            Published::ZoneOut(zone, true) => changed(self.out.insert(zone)),
            Published::ZoneOut(zone, false) => changed(self.out.remove(&zone)),
            Published::Wanted(model, version) => self.want(now, model, version),
            Published::Other => Effect::None,
        }
    }

    /// Gives up the endpoints whose entries did not come back; returns whether there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        let before = self.endpoints.len();
        self.endpoints.retain(|_, endpoint| endpoint.doubt.is_none_or(|until| until > now));
        self.endpoints.len() != before
    }

    fn set_catalog(&mut self, catalog: Catalog) -> Effect {
        if self.catalog.as_ref().is_some_and(|held| held.version >= catalog.version) {
            return Effect::None;
        }
        self.catalog = Some(Rc::new(catalog));
        Effect::Catalog
    }

    fn remove(&mut self, now: Time, instance: &InstanceId) -> Effect {
        let returned = self.returned.filter(|at| *at + RETURN > now);
        let Some(at) = returned else {
            return changed(self.endpoints.remove(instance).is_some());
        };
        if let Some(endpoint) = self.endpoints.get_mut(instance)
            && !endpoint.listed.leaving
        {
            endpoint.doubt = Some(at + RETURN);
            return Effect::None;
        }
        changed(self.endpoints.remove(instance).is_some())
    }

    fn want(&mut self, now: Time, model: ModelId, version: Option<u64>) -> Effect {
        let Some(version) = version else { return changed(self.wanted.remove(&model).is_some()) };
        let known = self.wanted.get(&model);
        if known.is_some_and(|wanted| wanted.version >= version) {
            return Effect::None;
        }
        self.wanted.insert(model, Wanted { version, since: now });
        Effect::Endpoints
    }
}

impl Endpoint {
    /// Returns what the endpoint holds whole of a model.
    pub fn held(&self, model: &ModelId) -> Option<&Loaded> {
        let loaded = self.listed.loaded.as_ref()?;
        loaded.iter().find(|loaded| loaded.model == *model && loaded.whole)
    }
}

fn changed(changed: bool) -> Effect {
    if changed { Effect::Endpoints } else { Effect::None }
}
